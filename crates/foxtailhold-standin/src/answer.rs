//! Helpers shared by the HTTP handlers of the stand-ins.

use bytes::Bytes;
use foxtailhold_http::body::{self, AnswerBody};
use http::{Response, StatusCode, Uri};
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum size of a request body; larger ones are refused with status 400.
pub const MAX_BODY_BYTES: usize = 64 << 20;

/// HTTP response of a stand-in.
pub type Answer = Response<AnswerBody>;

/// Returns a JSON answer with status 200.
pub fn ok<T: Serialize>(value: &T) -> Answer {
    body::json(StatusCode::OK, value)
}

/// Returns a JSON error object with a status and a message.
pub fn error(status: StatusCode, message: &str) -> Answer {
    body::json(
        status,
        &serde_json::json!({ "error": { "message": message } }),
    )
}

/// Reads a whole request body. The error is an answer with status 400.
pub async fn read(incoming: Incoming) -> std::result::Result<Bytes, Answer> {
    body::read_whole(incoming, MAX_BODY_BYTES)
        .await
        .map_err(|failed| error(StatusCode::BAD_REQUEST, &failed.to_string()))
}

/// Reads and parses a JSON request body. The error is an answer with status 400.
pub async fn read_json<T: DeserializeOwned>(incoming: Incoming) -> std::result::Result<T, Answer> {
    from_json(&read(incoming).await?)
}

/// Parses a JSON request body. The error is an answer with status 400.
pub fn from_json<T: DeserializeOwned>(bytes: &[u8]) -> std::result::Result<T, Answer> {
    serde_json::from_slice(bytes)
        .map_err(|failed| error(StatusCode::BAD_REQUEST, &failed.to_string()))
}

/// Returns a query value with `%XX` decoded; empty if the query does not contain `name`.
pub fn query(uri: &Uri, name: &str) -> String {
    for pair in uri.query().unwrap_or_default().split('&') {
        let Some((key, value)) = pair.split_once('=') else {
            continue;
        };
        if key == name {
            return unescape(value);
        }
    }
    String::new()
}

/// Decodes `%XX` (RFC 3986, section 2.1).
pub fn unescape(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let hex = tail.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        let decoded = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (first, decoded) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
