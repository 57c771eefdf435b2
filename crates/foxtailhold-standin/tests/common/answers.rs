//! Expected and received answers of engines, and the engines' fault switches.

use foxtailhold_standin::engine::EngineFaults;
use http::Method;
use serde_json::{Value, json};

use crate::common::Deployment;

/// Path of chat completions.
pub const CHAT: &str = "/v1/chat/completions";

/// The prompt that an engine sees for a question.
pub fn prompt(question: &str) -> String {
    json!([{ "role": "user", "content": question }]).to_string()
}

/// The text of a streamed answer, and whether the stream ended with `[DONE]`.
pub fn streamed_text(body: &[u8]) -> (String, bool) {
    let body = String::from_utf8_lossy(body);
    let mut text = String::new();
    for line in body.lines() {
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        let chunk: Value = serde_json::from_str(data).unwrap_or_default();
        text.push_str(
            chunk["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or_default(),
        );
    }
    (text, body.ends_with("data: [DONE]\n\n"))
}

/// Sets all fault switches of an engine.
pub async fn set_faults(deployment: &Deployment, engine: usize, faults: &EngineFaults) {
    let address = deployment.engines[engine].address("listening");
    let body = serde_json::to_vec(faults).unwrap();
    let path = "/standin/faults";
    let sent = deployment
        .caller
        .send(address, Method::POST, path, body.into(), "application/json");
    sent.await.unwrap();
}
