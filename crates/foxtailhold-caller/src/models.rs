//! Models in the format of the OpenAI API.

use foxtailhold::contract::Contract;
use foxtailhold::refusal::Result;
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

/// Builds the response with the models that are served now and allowed by the contract.
pub fn list<G: Gateway>(gateway: &G, contract: &Contract) -> Response<AnswerBody> {
    let names = gateway.models(contract);
    let list = ModelList {
        object: "list",
        data: names.iter().map(|name| model(name.as_str())).collect(),
    };
    body::json(StatusCode::OK, &list)
}

/// Builds the response with one model. A model that is not served or not allowed is refused as
/// unknown.
pub fn get<G: Gateway>(
    gateway: &G,
    contract: &Contract,
    name: &str,
) -> Result<Response<AnswerBody>> {
    gateway.check_model(contract, name)?;
    Ok(body::json(StatusCode::OK, &model(name)))
}
