//! Oversized bodies, callers that send slowly, and callers that disconnect early.

mod common;

use std::sync::atomic::Ordering;

use common::{KEY, read_answer, request, serve, until};
use foxtailhold_caller::{batches, inference, service};
use test_case::test_case;
use tokio::io::AsyncWriteExt;

const CHAT: &str = "/v1/chat/completions";

#[test_case(CHAT, inference::MAX_BODY_BYTES, 1; "chat")]
#[test_case(CHAT, inference::MAX_BODY_BYTES, 30 << 20; "chat far over the limit")]
#[test_case("/v1/batches", batches::MAX_BODY_BYTES, 8 << 20; "batch")]
#[test_case("/v1/services/portal/x", service::MAX_BODY_BYTES, 8 << 20; "service")]
#[test_case("/v1/nothing", 0, 8 << 20; "unknown path")]
#[tokio::test]
async fn oversized_body_is_answered_to_a_caller_that_sends_all_of_it_first(
    path: &str,
    limit_bytes: usize,
    over_bytes: usize,
) {
    let served = serve().await;
    let body = " ".repeat(limit_bytes + over_bytes);
    let answer = served.send(&request("POST", path, "", &body)).await;
    let error = &answer.json()["error"];
    if limit_bytes == 0 {
        assert_eq!(answer.status, 404);
        return;
    }
    assert_eq!(
        (answer.status, &error["code"]),
        (413, &"body_too_large".into())
    );
    let message = error["message"].as_str().unwrap();
    assert!(message.contains(&limit_bytes.to_string()), "{message}");
}

#[tokio::test]
async fn oversized_chunked_body_is_answered() {
    let served = serve().await;
    let mut stream = served.connect().await;
    let head = format!(
        "POST {CHAT} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         transfer-encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let part = format!("100000\r\n{}\r\n", " ".repeat(0x10_0000));
    for _ in 0..6 {
        stream.write_all(part.as_bytes()).await.unwrap();
    }
    stream.write_all(b"0\r\n\r\n").await.unwrap();
    let answer = read_answer(&mut stream).await;
    assert_eq!(answer.status, 413, "{answer:?}");
}

#[test_case(CHAT, "", r#"{"model""#; "completion")]
#[test_case("/v1/batches", "", "{"; "batch")]
#[test_case(
    "/v1/files", "content-type: multipart/form-data; boundary=b\r\n", "--b\r\nContent-Dispo";
    "upload"
)]
#[tokio::test]
async fn caller_that_stops_sending_gets_a_timeout(path: &str, headers: &str, sent: &str) {
    let served = serve().await;
    let mut stream = served.connect().await;
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n{headers}\
         content-length: 1000\r\n\r\n{sent}"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let answer = read_answer(&mut stream).await;
    assert_eq!(answer.status, 408, "{answer:?}");
    assert_eq!(answer.json()["error"]["code"], "body_timeout");
}

/// Guards against forms that are buffered as a whole because no field of theirs begins.
#[tokio::test]
async fn upload_with_an_endless_head_of_a_field_is_refused() {
    let served = serve().await;
    let mut stream = served.connect().await;
    let head = format!(
        "POST /v1/files HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         content-type: multipart/form-data; boundary=b\r\ncontent-length: 100000000\r\n\r\n\
         --b\r\nContent-Disposition: form-data; name=\""
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let name = "x".repeat(64 << 10);
    for _ in 0..8 {
        stream.write_all(name.as_bytes()).await.unwrap();
    }
    let answer = read_answer(&mut stream).await;
    assert_eq!(answer.status, 400, "{answer:?}");
}

#[tokio::test]
async fn slow_but_steady_caller_is_served() {
    let served = serve().await;
    let mut stream = served.connect().await;
    let body = format!(r#"{{"model":"ranger","pad":"{}"}}"#, "x".repeat(20));
    let whole = request("POST", CHAT, "", &body);
    let (head, rest) = whole.split_at(whole.len() - 20);
    stream.write_all(head).await.unwrap();
    for byte in rest.chunks(2) {
        tokio::time::sleep(std::time::Duration::from_millis(common::BODY_IDLE_MS / 4)).await;
        stream.write_all(byte).await.unwrap();
    }
    assert_eq!(read_answer(&mut stream).await.status, 200);
}

#[tokio::test]
async fn caller_that_vanishes_before_its_body_ends_runs_nothing() {
    let served = serve().await;
    let mut whole = request("POST", CHAT, "", r#"{"model":"ranger"}"#);
    whole.truncate(whole.len() - 3);
    let mut stream = served.connect().await;
    stream.write_all(&whole).await.unwrap();
    drop(stream);
    let recorded_refusals = served.fake.recorded_refusals.clone();
    until("the refusal to be noted", || {
        !recorded_refusals.lock().unwrap().is_empty()
    })
    .await;
    assert!(served.fake.inferences.lock().unwrap().is_empty());
}

#[tokio::test]
async fn stream_of_a_vanished_caller_is_dropped() {
    let served = serve().await;
    for vanished in 1..=3 {
        let mut stream = served.connect().await;
        let body = r#"{"model":"endless","stream":true}"#;
        stream
            .write_all(&request("POST", CHAT, "", body))
            .await
            .unwrap();
        stream.readable().await.unwrap();
        drop(stream);
        let dropped = served.fake.dropped.clone();
        until("the stream to be dropped", || {
            dropped.load(Ordering::SeqCst) == vanished
        })
        .await;
    }
}
