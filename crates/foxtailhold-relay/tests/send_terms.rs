//! Requests that may be sent up to a moment only.

use std::time::Duration;

use bytes::Bytes;
use foxtailhold::ids::BackendId;
use foxtailhold_relay::connections::{Connections, SendFailure, SendTerms};
use http::Request;
use http_body_util::Full;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::time::Instant;

/// Guards against an item that is sent after the end of its leave, because it waited for a connection.
#[tokio::test]
async fn a_request_whose_leave_has_ended_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let received = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).await.unwrap();
        bytes
    });
    let connections = Connections::default();
    let terms = SendTerms {
        is_idempotent: true,
        not_after: Some(Instant::now()),
    };
    let backend = BackendId::try_from("b").unwrap();
    let build_request = || Request::new(Full::<Bytes>::default());
    let sent = connections
        .send(&backend, address, terms, build_request)
        .await;
    assert_eq!(sent.err(), Some(SendFailure::TooLate));
    let bytes = tokio::time::timeout(Duration::from_secs(2), received).await;
    assert_eq!(bytes.unwrap().unwrap(), b"");
}
