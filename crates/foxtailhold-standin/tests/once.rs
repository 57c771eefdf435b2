//! Requests that must not be repeated run at most once, in separate processes.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use common::{Deployment, until};
use foxtailhold_http::body::read_whole;
use foxtailhold_http::client::{HttpClient, Reuse};
use foxtailhold_standin::demo::API_KEY;
use foxtailhold_standin::platform::PlatformFaults;
use foxtailhold_standin::service::ServiceFaults;
use http::{Method, Request};
use http_body_util::Full;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const HOLD: &str = "/v1/services/portal/holds";

struct ServiceResponse {
    status: u16,
    retry_after: Option<String>,
    body: String,
}

impl ServiceResponse {
    fn ran(&self) -> String {
        let body: Value = serde_json::from_str(&self.body).unwrap();
        body["error"]["ran"].as_str().unwrap_or_default().to_owned()
    }

    fn is_not_run(&self) -> bool {
        self.status == 503 && self.ran() == "not_run" && self.retry_after.is_some()
    }

    fn may_have_run(&self) -> bool {
        self.status == 409 && self.ran() == "may_have_run" && self.retry_after.is_some()
    }
}

async fn post(address: SocketAddr, path: &str, key: Option<&str>, body: Bytes) -> ServiceResponse {
    let mut request = Request::post(format!("http://{address}{path}"))
        .header("authorization", format!("Bearer {API_KEY}"));
    if let Some(key) = key {
        request = request
            .header("idempotency-key", key)
            .header("foxtailhold-repeat", "never");
    }
    let request = request.body(Full::new(body)).unwrap();
    let client = HttpClient::new(Reuse::Fresh);
    let response = client.send(address, request, 60_000).await.unwrap();
    let status = response.status().as_u16();
    let retry_after = response.headers().get("retry-after");
    let retry_after = retry_after.map(|value| value.to_str().unwrap().to_owned());
    let body = read_whole(response.into_body(), 8 << 20).await.unwrap();
    ServiceResponse {
        status,
        retry_after,
        body: String::from_utf8_lossy(&body).into_owned(),
    }
}

async fn post_hold(deployment: &Deployment, entry: usize, key: &str) -> ServiceResponse {
    let address = deployment.caller_address(entry);
    post(address, HOLD, Some(key), Bytes::from_static(b"{}")).await
}

async fn set_faults<T: serde::Serialize>(deployment: &Deployment, address: SocketAddr, faults: &T) {
    let body = Bytes::from(serde_json::to_vec(faults).unwrap());
    let path = "/standin/faults";
    let sent = deployment
        .caller
        .send(address, Method::POST, path, body, "application/json");
    sent.await.unwrap();
}

async fn platform_faults(deployment: &Deployment, faults: PlatformFaults) {
    let address = deployment.platform.address("listening");
    set_faults(deployment, address, &faults).await;
}

async fn service_delay(deployment: &Deployment, delay_ms: u64) {
    let faults = ServiceFaults {
        delay_ms,
        ..ServiceFaults::default()
    };
    let address = deployment.services[0].address("listening");
    set_faults(deployment, address, &faults).await;
}

async fn get(deployment: &Deployment, address: SocketAddr, path: &str) -> Value {
    let answer = deployment
        .caller
        .json(address, Method::GET, path, &Value::Null);
    answer.await.unwrap()
}

async fn runs(deployment: &Deployment) -> usize {
    let address = deployment.services[0].address("listening");
    let record = get(deployment, address, "/standin/record").await;
    record.as_array().unwrap().len()
}

async fn start() -> Deployment {
    let deployment = Deployment::start(1, 3).await;
    deployment.set_demo_contract().await;
    deployment
}

/// Resends until the call is answered with status 200. It does not check how often the service ran.
async fn resend_until_answered(
    deployment: &Deployment,
    entry: usize,
    key: &str,
) -> ServiceResponse {
    let mut last = None;
    until("a resend to be answered", async || {
        let answered = post_hold(deployment, entry, key).await;
        let done = answered.status == 200;
        last = Some(answered);
        done
    })
    .await;
    last.unwrap()
}

#[test_case(Signal::SIGKILL; "killed")]
#[test_case(Signal::SIGSTOP; "paused and resumed")]
#[tokio::test(flavor = "multi_thread")]
async fn claim_holder_lost_while_the_service_runs(signal: Signal) {
    let deployment = start().await;
    service_delay(&deployment, 1_500).await;
    let address = deployment.caller_address(0);
    let first = tokio::spawn(async move {
        post(address, HOLD, Some("hold-1"), Bytes::from_static(b"{}")).await
    });
    until("the service to run it", async || {
        runs(&deployment).await == 1
    })
    .await;
    deployment.entries[0].signal(signal);
    let (one, two) = tokio::join!(
        post_hold(&deployment, 1, "hold-1"),
        post_hold(&deployment, 2, "hold-1")
    );
    assert!(one.may_have_run() && two.may_have_run(), "{}", one.body);
    if signal == Signal::SIGSTOP {
        tokio::time::sleep(Duration::from_millis(1_600)).await;
        deployment.entries[0].signal(Signal::SIGCONT);
        let first = first.await.unwrap();
        assert_eq!(first.status, 200, "{}", first.body);
        assert_eq!(post_hold(&deployment, 2, "hold-1").await.body, first.body);
    } else {
        tokio::time::sleep(Duration::from_millis(1_600)).await;
        assert!(post_hold(&deployment, 2, "hold-1").await.may_have_run());
    }
    assert_eq!(runs(&deployment).await, 1);
}

#[test_case(Signal::SIGKILL; "killed")]
#[test_case(Signal::SIGSTOP; "paused and resumed")]
#[tokio::test(flavor = "multi_thread")]
async fn claim_holder_lost_between_its_claim_and_its_call(signal: Signal) {
    let deployment = start().await;
    let slow = PlatformFaults {
        delay_ms: 1_000,
        ..PlatformFaults::default()
    };
    platform_faults(&deployment, slow).await;
    let address = deployment.caller_address(0);
    let first = tokio::spawn(async move {
        post(address, HOLD, Some("hold-1"), Bytes::from_static(b"{}")).await
    });
    tokio::time::sleep(Duration::from_millis(400)).await;
    deployment.entries[0].signal(signal);
    // Wait until the delayed claim takes effect, after its sender is gone.
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    platform_faults(&deployment, PlatformFaults::default()).await;
    for entry in [1, 2] {
        let resent = post_hold(&deployment, entry, "hold-1").await;
        assert!(resent.may_have_run(), "{}", resent.body);
    }
    assert_eq!(runs(&deployment).await, 0);
    if signal == Signal::SIGSTOP {
        deployment.entries[0].signal(Signal::SIGCONT);
        let first = first.await.unwrap();
        assert_eq!(first.status, 200, "{}", first.body);
        assert_eq!(post_hold(&deployment, 1, "hold-1").await.body, first.body);
        assert_eq!(runs(&deployment).await, 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_whose_answer_is_lost_is_read_back_and_sent_once() {
    let deployment = start().await;
    let lost = PlatformFaults {
        lose_write_answers: 1,
        only_table: "once".into(),
        ..PlatformFaults::default()
    };
    platform_faults(&deployment, lost).await;
    let first = post_hold(&deployment, 0, "hold-1").await;
    assert_eq!(first.status, 200, "{}", first.body);
    assert_eq!(post_hold(&deployment, 1, "hold-1").await.body, first.body);
    assert_eq!(runs(&deployment).await, 1);
}

#[test_case(PlatformFaults { lose_write_answers: 3, only_table: "once".into(), ..PlatformFaults::default() }; "answers lost")]
#[test_case(PlatformFaults { lose_writes: 3, only_table: "once".into(), ..PlatformFaults::default() }; "writes lost")]
#[test_case(PlatformFaults { delay_ms: 2_600, ..PlatformFaults::default() }; "writes late")]
#[tokio::test(flavor = "multi_thread")]
async fn an_abandoned_claim_is_not_run_and_released_later(faults: PlatformFaults) {
    let deployment = start().await;
    platform_faults(&deployment, faults).await;
    let first = post_hold(&deployment, 0, "hold-1").await;
    assert!(first.is_not_run(), "{}", first.body);
    assert_eq!(runs(&deployment).await, 0);
    platform_faults(&deployment, PlatformFaults::default()).await;
    let resent = resend_until_answered(&deployment, 1, "hold-1").await;
    // Delayed writes and the release have taken effect by now, and the answer must still be the
    // same.
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    assert_eq!(post_hold(&deployment, 2, "hold-1").await.body, resent.body);
    assert_eq!(runs(&deployment).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn with_the_store_down_the_request_is_refused_and_nothing_runs() {
    let deployment = start().await;
    let down = PlatformFaults {
        store_down: true,
        ..PlatformFaults::default()
    };
    platform_faults(&deployment, down).await;
    for entry in 0..3 {
        let refused = post_hold(&deployment, entry, "hold-1").await;
        assert!(refused.is_not_run(), "{}", refused.body);
    }
    assert_eq!(runs(&deployment).await, 0);
    platform_faults(&deployment, PlatformFaults::default()).await;
    assert_eq!(post_hold(&deployment, 0, "hold-1").await.status, 200);
    assert_eq!(runs(&deployment).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn resends_through_every_instance_at_once_run_once() {
    let deployment = start().await;
    service_delay(&deployment, 300).await;
    let mut resends = Vec::new();
    for index in 0..30 {
        let address = deployment.caller_address(index % 3);
        resends.push(tokio::spawn(async move {
            post(address, HOLD, Some("hold-1"), Bytes::from_static(b"{}")).await
        }));
    }
    let mut answers = Vec::new();
    for resend in resends {
        let answered = resend.await.unwrap();
        if answered.status == 200 {
            answers.push(answered.body);
        } else {
            assert!(answered.may_have_run(), "{}", answered.body);
        }
    }
    assert_eq!(runs(&deployment).await, 1);
    answers.dedup();
    assert_eq!(answers.len(), 1);
    let address = deployment.caller_address(1);
    let other = post(address, HOLD, Some("hold-1"), Bytes::from_static(b"[]")).await;
    assert_eq!((other.status, other.ran().as_str()), (409, "not_run"));
    assert_eq!(runs(&deployment).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_went_away_gets_the_answer_when_it_sends_again() {
    let deployment = start().await;
    service_delay(&deployment, 800).await;
    let address = deployment.caller_address(0);
    let first = tokio::spawn(async move {
        post(address, HOLD, Some("hold-1"), Bytes::from_static(b"{}")).await
    });
    until("the service to run it", async || {
        runs(&deployment).await == 1
    })
    .await;
    first.abort();
    let resent = resend_until_answered(&deployment, 1, "hold-1").await;
    assert_eq!(resent.status, 200);
    assert_eq!(runs(&deployment).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_answer_is_kept_in_the_object_store() {
    let deployment = start().await;
    let platform = deployment.platform.address("listening");
    let body = Bytes::from(vec![b'x'; 100_000]);
    let address = deployment.caller_address(0);
    let first = post(address, HOLD, Some("hold-1"), body.clone()).await;
    assert_eq!(first.status, 200);
    let counts = get(&deployment, platform, "/standin/counts").await;
    assert_eq!(counts["object_writes"], 1, "{counts}");
    let address = deployment.caller_address(2);
    let resent = post(address, HOLD, Some("hold-1"), body).await;
    assert_eq!(resent.body, first.body);
    assert_eq!(runs(&deployment).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_costs_two_table_writes_and_a_resend_one() {
    let deployment = start().await;
    let platform = deployment.platform.address("listening");
    for index in 0..10 {
        post_hold(&deployment, 0, &format!("hold-{index}")).await;
    }
    let counts = get(&deployment, platform, "/standin/transactions").await;
    assert_eq!(counts["once"], 20, "{counts}");
    post_hold(&deployment, 1, "hold-1").await;
    let counts = get(&deployment, platform, "/standin/transactions").await;
    assert_eq!(counts["once"], 21, "{counts}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_connection_moves_on_to_another_backend_server() {
    let mut deployment = start().await;
    deployment.add_service("service-1", "nashua-hall");
    deployment.settle(3).await;
    deployment.services[1].signal(Signal::SIGKILL);
    deployment.services[1].wait();
    for index in 0..10 {
        let answered = post_hold(&deployment, index % 3, &format!("hold-{index}")).await;
        assert_eq!(answered.status, 200, "{}", answered.body);
    }
    assert_eq!(runs(&deployment).await, 10);
}

/// Reads one request from a raw connection; `None` at its end.
async fn read_request(connection: &mut TcpStream) -> Option<String> {
    let mut text = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        let read = connection.read(&mut buffer).await.ok()?;
        if read == 0 {
            return None;
        }
        text.extend_from_slice(&buffer[..read]);
        let request = String::from_utf8_lossy(&text).into_owned();
        let Some((head, body)) = request.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head
            .lines()
            .filter_map(|line| line.split_once(": "))
            .find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
        let length = length.map_or(0, |(_, length)| length.parse().unwrap());
        if body.len() >= length {
            return Some(request);
        }
    }
}

/// A service that closes each connection without an answer after it has read a call. If `answers`
/// is set, it first answers one call on each connection. Returns its address and the connection
/// number of each call that it read.
async fn closing_service(
    answers: bool,
) -> (SocketAddr, std::sync::Arc<std::sync::Mutex<Vec<usize>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let seen = std::sync::Arc::new(std::sync::Mutex::new(Vec::new()));
    let record = seen.clone();
    tokio::spawn(async move {
        let mut connections = 0;
        while let Ok((mut connection, _)) = listener.accept().await {
            connections += 1;
            let (number, record) = (connections, record.clone());
            tokio::spawn(async move {
                let mut answered = !answers;
                while let Some(request) = read_request(&mut connection).await {
                    let load = request.starts_with("GET /load");
                    if !load {
                        record.lock().unwrap().push(number);
                        if answered {
                            return;
                        }
                        answered = true;
                    }
                    let body = r#"{"running":0,"waiting":0,"slots":8,"kv_used":0.0,"age_ms":0}"#;
                    let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json";
                    let answer = format!("{head}\r\ncontent-length: {}\r\n\r\n{body}", body.len());
                    connection.write_all(answer.as_bytes()).await.unwrap();
                }
            });
        }
    });
    (address, seen)
}

async fn with_closing_service(
    answers: bool,
) -> (Deployment, std::sync::Arc<std::sync::Mutex<Vec<usize>>>) {
    let deployment = start().await;
    let (address, seen) = closing_service(answers).await;
    let change = json!({ "backends": [{
        "id": "raw-0", "kind": "service", "address": address,
        "availability_zone": "concord-hall", "state": "live", "targets": ["raw"],
    }] });
    let platform = deployment.platform.address("listening");
    let body = Bytes::from(change.to_string());
    let path = "/standin/fleet";
    let sent = deployment
        .caller
        .send(platform, Method::POST, path, body, "application/json");
    sent.await.unwrap();
    until("the raw service to be known", async || {
        for index in 0..3 {
            let known = deployment.operator(index).backends().await.unwrap();
            if !known
                .iter()
                .any(|backend| backend.backend.as_str() == "raw-0")
            {
                return false;
            }
        }
        true
    })
    .await;
    (deployment, seen)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_connection_closed_after_the_request_was_read_is_never_sent_again() {
    let (deployment, seen) = with_closing_service(false).await;
    let address = deployment.caller_address(0);
    let path = "/v1/services/raw/holds";
    let body = Bytes::from_static(b"{}");
    let first = post(address, path, Some("hold-1"), body.clone()).await;
    assert_eq!((first.status, first.ran().as_str()), (502, "may_have_run"));
    for entry in 0..3 {
        let address = deployment.caller_address(entry);
        let resent = post(address, path, Some("hold-1"), body.clone()).await;
        assert!(resent.may_have_run(), "{}", resent.body);
    }
    assert_eq!(seen.lock().unwrap().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reused_connection_that_closes_is_not_resent_by_the_http_client() {
    let (deployment, seen) = with_closing_service(true).await;
    let address = deployment.caller_address(0);
    let path = "/v1/services/raw/pings";
    let first = post(address, path, None, Bytes::from_static(b"{}")).await;
    assert_eq!(first.status, 200, "{}", first.body);
    let mut reused = false;
    for _ in 0..20 {
        let before = seen.lock().unwrap().len();
        let answered = post(address, path, None, Bytes::from_static(b"{}")).await;
        let seen = seen.lock().unwrap().clone();
        // The HTTP client must not resend by itself: one request in, one request at the service.
        assert_eq!(seen.len(), before + 1);
        let last = *seen.last().unwrap();
        if seen[..before].contains(&last) {
            assert_eq!(
                (answered.status, answered.ran().as_str()),
                (502, "may_have_run")
            );
            reused = true;
            break;
        }
    }
    assert!(reused, "no connection was reused");
}
