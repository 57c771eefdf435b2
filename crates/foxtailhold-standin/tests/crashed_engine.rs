//! After a request has crashed an engine stand-in, it stays silent until its process ends, like a
//! real engine.

use std::net::SocketAddr;
use std::time::Duration;

use foxtailhold_http::client::{HttpClient, Reuse};
use foxtailhold_standin::demo::chat;
use foxtailhold_standin::engine::{EngineFaults, EngineShape, EngineStandin};
use http::{Method, Request};
use http_body_util::Full;
use hyper::body::Bytes;
use test_case::test_case;

const SILENT_MS: u64 = 300;

async fn is_answered(address: SocketAddr, method: Method, path: &str, body: String) -> bool {
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .body(Full::new(Bytes::from(body)))
        .unwrap();
    let client = HttpClient::new(Reuse::Fresh);
    let answer = client.send(address, request, 60_000);
    let waited = tokio::time::timeout(Duration::from_millis(SILENT_MS), answer).await;
    waited.is_ok()
}

#[test_case(Method::POST, "/v1/chat/completions", false; "a whole answer")]
#[test_case(Method::POST, "/v1/chat/completions", true; "a stream")]
#[test_case(Method::GET, "/load", false; "its load")]
#[tokio::test]
async fn crashed_engine_answers_nothing(method: Method, path: &str, streamed: bool) {
    let engine = EngineStandin::new(EngineShape::default());
    engine.set_faults(EngineFaults {
        crash_on: Some("poison".into()),
        ..EngineFaults::default()
    });
    let server = engine.serve(SocketAddr::from(([127, 0, 0, 1], 0))).await;
    let address = server.unwrap().address();
    let poison = chat("poison", 8, false).to_string();
    assert!(!is_answered(address, Method::POST, "/v1/chat/completions", poison).await);
    engine.crashed().await;
    let body = match method {
        Method::POST => chat("innocent", 8, streamed).to_string(),
        _ => String::new(),
    };
    assert!(!is_answered(address, method, path, body).await);
}
