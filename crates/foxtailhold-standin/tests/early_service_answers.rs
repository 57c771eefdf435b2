//! A plain service answers before it has read a long call. A part of its answer is never passed on as
//! whole, and neither is a status that is none.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{Deployment, Process, until};
use foxtailhold::replicas::BackendKind;
use foxtailhold_http::client::{Call, HttpClient, Reuse};
use foxtailhold_standin::demo::{API_KEY, Caller};
use foxtailhold_standin::registry;
use http::{Method, StatusCode};
use hyper::body::Bytes;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const PATH: &str = "/v1/services/portal/holds";
const WHOLE: &str = "the whole answer";
const PART: &str = "the whole";
/// More than the buffers of a connection hold, and less.
const LONG_BODY_BYTES: usize = 3 << 20;
const SHORT_BODY_BYTES: usize = 64 << 10;
/// Time between the end of what is sent and the reset of the connection.
const RESET_DELAY: Duration = Duration::from_millis(60);

/// What the service does with a call.
#[derive(Debug, Clone, Copy)]
enum Answer {
    /// It sends a part without a length, ends its direction and resets the connection later.
    PartThenReset,
    /// The same, and the reset comes at once.
    PartAndReset,
    /// It reads the call and answers whole, without a length.
    Whole,
    /// It reads the call and answers with this status and a length.
    Status(&'static str),
}

async fn read_call(stream: &mut TcpStream, body_bytes: usize) -> std::io::Result<()> {
    let mut call = Vec::new();
    loop {
        let head = call.windows(4).position(|four| four == b"\r\n\r\n");
        if head.is_some_and(|head| call.len() >= head + 4 + body_bytes) {
            return Ok(());
        }
        if stream.read_buf(&mut call).await? == 0 {
            return Ok(());
        }
    }
}

async fn serve(mut stream: TcpStream, answer: Answer, body_bytes: usize) -> std::io::Result<()> {
    match answer {
        Answer::PartThenReset | Answer::PartAndReset => {
            read_call(&mut stream, 0).await?;
            let text = format!("HTTP/1.1 200 OK\r\n\r\n{PART}");
            stream.write_all(text.as_bytes()).await?;
            stream.shutdown().await?;
            if let Answer::PartThenReset = answer {
                tokio::time::sleep(RESET_DELAY).await;
            }
            stream.set_zero_linger()
        }
        Answer::Whole => {
            read_call(&mut stream, body_bytes).await?;
            let text = format!("HTTP/1.1 200 OK\r\n\r\n{WHOLE}");
            stream.write_all(text.as_bytes()).await
        }
        Answer::Status(status) => {
            read_call(&mut stream, body_bytes).await?;
            let length = WHOLE.len();
            let text = format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{WHOLE}");
            stream.write_all(text.as_bytes()).await
        }
    }
}

async fn start_service(answer: Answer, body_bytes: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(serve(stream, answer, body_bytes));
        }
    });
    address
}

/// One instance in front of a service.
async fn start(answer: Answer, body_bytes: usize) -> Deployment {
    let mut deployment = Deployment {
        platform: Process::start(
            "foxtailhold-standin",
            &["platform", "--fleet-lag-ms", "200"],
        ),
        engines: Vec::new(),
        services: Vec::new(),
        entries: Vec::new(),
        caller: Caller::default(),
    };
    deployment.add_entry("entry-0", "concord-hall", &[]);
    let address = start_service(answer, body_bytes).await;
    let service = registry::backend(
        "early",
        BackendKind::Service,
        address,
        "concord-hall",
        "portal",
    );
    registry::register(&deployment.platform_address(), service.unwrap())
        .await
        .unwrap();
    until("the service to be known", async || {
        let known = deployment.operator(0).backends().await;
        known.is_ok_and(|known| known.len() == 1)
    })
    .await;
    deployment.set_demo_contract().await;
    deployment
}

async fn call(deployment: &Deployment, method: Method, body_bytes: usize) -> (StatusCode, Bytes) {
    let mut call = Call::new(method, deployment.caller_address(0), PATH);
    call.bearer = Some(API_KEY);
    let body = Bytes::from(vec![b'x'; body_bytes]);
    let client = HttpClient::new(Reuse::Fresh);
    let answer = client.call_bytes(&call, body, "application/octet-stream");
    answer.await.unwrap()
}

/// Guards against a part of an answer that is passed on as whole, because the service reset the
/// connection while the call was still being written.
#[test_case(Answer::PartThenReset, LONG_BODY_BYTES ; "a reset that follows")]
#[test_case(Answer::PartAndReset, LONG_BODY_BYTES ; "a reset at once")]
#[test_case(Answer::PartThenReset, SHORT_BODY_BYTES ; "a reset that follows a call in buffers")]
#[test_case(Answer::PartAndReset, SHORT_BODY_BYTES ; "a reset at once after a call in buffers")]
#[tokio::test(flavor = "multi_thread")]
async fn a_part_of_an_early_answer_is_never_passed_on(answer: Answer, body_bytes: usize) {
    let deployment = start(answer, body_bytes).await;
    for method in [Method::POST, Method::PUT] {
        let (status, body) = call(&deployment, method, body_bytes).await;
        assert!(status.is_server_error(), "{status}: {body:?}");
    }
}

/// Guards against an answer of a service in trouble whose status is none.
#[test_case("000 None" ; "zero")]
#[test_case("101 Switching Protocols" ; "another protocol")]
#[test_case("600 None" ; "above all classes")]
#[tokio::test(flavor = "multi_thread")]
async fn a_status_that_is_none_is_never_passed_on(status: &'static str) {
    let deployment = start(Answer::Status(status), SHORT_BODY_BYTES).await;
    let (status, body) = call(&deployment, Method::POST, SHORT_BODY_BYTES).await;
    assert!(
        [502, 503, 504].contains(&status.as_u16()),
        "{status}: {body:?}"
    );
}

/// An answer whose end is shown stays an answer.
#[test_case(Answer::Whole, 200 ; "whole without a length")]
#[test_case(Answer::Status("413 Payload Too Large"), 413 ; "a failure")]
#[tokio::test(flavor = "multi_thread")]
async fn a_whole_answer_is_passed_on(answer: Answer, expected: u16) {
    let deployment = start(answer, LONG_BODY_BYTES).await;
    let (status, body) = call(&deployment, Method::POST, LONG_BODY_BYTES).await;
    assert_eq!((status.as_u16(), &body[..]), (expected, WHOLE.as_bytes()));
}
