//! An engine that answers without delay, for measuring the overhead of an instance.

use std::net::SocketAddr;

use bytes::Bytes;
use foxtailhold::replicas::LoadReport;
use foxtailhold_http::body::{self, AnswerSender};
use foxtailhold_http::server::{Handler, Server};
use http::{HeaderValue, Method, Request, Response, header};
use hyper::body::Incoming;
use serde::Deserialize;

use crate::answer::{self, Answer};
use crate::error::Result;

/// Slots in the load report; high enough that no policy considers the engine full.
const SLOTS: u32 = 100_000;

#[derive(Debug, Deserialize)]
struct Completion {
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: u64,
}

/// An engine that generates all tokens at once and ignores the prompt.
#[derive(Debug, Clone, Copy, Default)]
pub struct InstantEngine;

impl InstantEngine {
    /// Starts an HTTP server for the engine on `address`.
    pub async fn serve(self, address: SocketAddr) -> Result<Server> {
        Ok(Server::bind(address, self).await?)
    }

    async fn route(self, request: Request<Incoming>) -> std::result::Result<Answer, Answer> {
        let (head, incoming) = request.into_parts();
        if head.method == Method::GET {
            let report = LoadReport {
                slots: SLOTS,
                ..LoadReport::default()
            };
            return Ok(answer::ok(&report));
        }
        let id = head.headers.get("x-request-id");
        let id = id.and_then(|value| value.to_str().ok()).unwrap_or("none");
        let completion: Completion = answer::read_json(incoming).await?;
        if completion.stream {
            let (sender, stream) = body::streamed();
            tokio::spawn(send_events(id.to_owned(), completion.max_tokens, sender));
            return Ok(with_type(stream, "text/event-stream"));
        }
        let text = format!(
            "{{\"id\":\"chatcmpl-{id}\",\"object\":\"chat.completion\",\"created\":0,\
             \"model\":\"ranger\",\"choices\":[{{\"index\":0,\"message\":{{\"role\":\"assistant\",\
             \"content\":\"badge camp ridge\"}},\"finish_reason\":\"stop\"}}],\
             \"usage\":{{\"completion_tokens\":3}}}}"
        );
        Ok(with_type(body::whole(text), "application/json"))
    }
}

fn with_type(body: body::AnswerBody, content_type: &'static str) -> Answer {
    let mut response = Response::new(body);
    let content_type = HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

async fn send_events(id: String, tokens: u64, sender: AnswerSender) {
    for ordinal in 1..=tokens {
        let event = format!(
            "id: {ordinal}\ndata: {{\"id\":\"chatcmpl-{id}\",\"object\":\"chat.completion.chunk\",\
             \"created\":0,\"model\":\"ranger\",\"choices\":[{{\"index\":0,\
             \"delta\":{{\"content\":\"badge \"}},\"finish_reason\":null}}]}}\n\n"
        );
        if !sender.send(event.into()).await {
            return;
        }
        tokio::task::yield_now().await;
    }
    sender.send(Bytes::from_static(b"data: [DONE]\n\n")).await;
    sender.finish();
}

impl Handler for InstantEngine {
    async fn handle(&self, _: SocketAddr, request: Request<Incoming>) -> Answer {
        match self.route(request).await {
            Ok(answer) | Err(answer) => answer,
        }
    }
}
