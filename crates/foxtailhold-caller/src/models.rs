//! Models in the OpenAI form.

use foxtailhold::contract::Contract;
use foxtailhold::refusal::{Refusal, RefusalReason, Result};
use foxtailhold_http::body::{self, AnswerBody};
use http::{Response, StatusCode};
use serde::Serialize;

use crate::gateway::Gateway;

#[derive(Serialize)]
struct ModelBody<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    owned_by: &'static str,
}

#[derive(Serialize)]
struct ModelList<'a> {
    object: &'static str,
    data: Vec<ModelBody<'a>>,
}

fn model(id: &str) -> ModelBody<'_> {
    ModelBody {
        id,
        object: "model",
        created: 0,
        owned_by: "foxtailhold",
    }
}

/// The models that the contract's holder may use now.
pub fn list<G: Gateway>(gateway: &G, contract: &Contract) -> Response<AnswerBody> {
    let names = gateway.models(contract);
    let list = ModelList {
        object: "list",
        data: names.iter().map(|name| model(name.as_str())).collect(),
    };
    body::json(StatusCode::OK, &list)
}

/// One of them.
pub fn get<G: Gateway>(
    gateway: &G,
    contract: &Contract,
    name: &str,
) -> Result<Response<AnswerBody>> {
    let names = gateway.models(contract);
    if names.iter().any(|known| known.as_str() == name) {
        return Ok(body::json(StatusCode::OK, &model(name)));
    }
    let name = name.chars().take(80).collect();
    Err(Refusal::not_run(RefusalReason::UnknownTarget { name }))
}
