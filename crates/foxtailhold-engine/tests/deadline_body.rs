//! The body of a request whose send deadline has passed must not reach the engine. Checked over a
//! TCP connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use foxtailhold::ids::RequestId;
use foxtailhold_engine::{EngineClient, EngineRequest};
use test_case::test_case;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::time::Instant;

const BODY: &str = "{\"prompt\":\"a walk along the ridge\"}";

/// Sends a request with the given send deadline to an engine that never answers, and returns what
/// the engine received.
async fn bytes_received_by_engine(not_after: Option<Instant>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    let engine = tokio::spawn(async move {
        let mut text = Vec::new();
        let Ok((mut socket, _)) = listener.accept().await else {
            return text;
        };
        let reading = socket.read_to_end(&mut text);
        let _ = tokio::time::timeout(Duration::from_millis(400), reading).await;
        text
    });
    let id = RequestId::try_from("r-1").unwrap();
    let body = Bytes::from_static(BODY.as_bytes());
    let request = EngineRequest {
        id: &id,
        path: "/v1/completions",
        body: &body,
        streamed: false,
        resume: None,
        timeout_ms: 200,
        not_after,
    };
    let answer = EngineClient::default().send(address, &request).await;
    assert!(answer.is_err(), "{answer:?}");
    String::from_utf8(engine.await.unwrap()).unwrap()
}

#[test_case(None, true; "at any time")]
#[test_case(Some(60_000), true; "in time")]
#[test_case(Some(0), false; "too late")]
#[tokio::test]
async fn body_is_sent_before_its_deadline_or_not_at_all(left_ms: Option<u64>, sent: bool) {
    let not_after = left_ms.map(|left_ms| Instant::now() + Duration::from_millis(left_ms));
    let text = bytes_received_by_engine(not_after).await;
    assert_eq!(text.contains(BODY), sent, "{text}");
}
