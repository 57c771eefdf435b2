//! The operator API over HTTP with a fake instance: authentication, validation and error responses.

mod common;

use common::{KEY, TOKEN, document, serve};
use foxtailhold_operator::error::OperatorError;
use http::Method;
use test_case::test_case;

const CONTRACT: &str = "/v1/contracts/c";

#[test_case(None; "no token")]
#[test_case(Some(b"Bearer wrong"); "wrong token")]
#[test_case(Some(b"Bearer the-operator-toke"); "token cut short")]
#[test_case(Some(b"Bearer the-operator-token-and-more"); "longer token")]
#[test_case(Some(b"Bearer "); "empty token")]
#[test_case(Some(b"Basic the-operator-token"); "other scheme")]
#[test_case(Some(b"Bearer \xff\xfe"); "token not ASCII")]
#[tokio::test]
async fn call_without_the_token_is_refused_and_does_nothing(authorization: Option<&[u8]>) {
    let served = serve().await;
    for (method, path) in [
        (Method::GET, "/v1/contracts"),
        (Method::PUT, CONTRACT),
        (Method::DELETE, CONTRACT),
        (Method::GET, "/v1/timeline"),
        (Method::GET, "/v1/nothing"),
        (Method::POST, "/v1/jobs"),
    ] {
        let body = document("5");
        let answer = served
            .send(&method, path, authorization, Some("0"), body.as_bytes())
            .await;
        assert_eq!(answer.status, 401, "{method} {path}");
        assert_eq!(answer.json()["error"]["code"], "unauthorized");
        assert!(!answer.text.contains(TOKEN), "{answer:?}");
    }
    assert!(served.fake.updates.lock().unwrap().is_empty());
}

#[tokio::test]
async fn health_readiness_and_metrics_need_no_token() {
    let served = serve().await;
    let get = async |path| served.send(&Method::GET, path, None, None, b"").await;
    assert_eq!(get("/health").await.status, 200);
    assert_eq!(get("/ready").await.status, 200);
    assert_eq!(get("/metrics").await.text, "# EOF\n");
    *served.fake.reasons.lock().unwrap() = vec!["a planned stop has begun".into()];
    let ready = get("/ready").await;
    assert_eq!(ready.status, 503);
    assert_eq!(ready.json()["reasons"][0], "a planned stop has begun");
    assert_eq!(get("/health").await.status, 200);
}

#[test_case("customer = ", "line 1, column"; "not TOML")]
#[test_case("\u{0}", "line 1"; "control character")]
#[test_case("api_keys = [\"12345678\"]\nrequests_per_s = 1", "customer"; "missing field")]
#[test_case("customer = \"c\"\napi_keys = [\"12345678\"]\nrequests_per_s = \"1\"", "line 3, column 18"; "wrong type")]
#[test_case("customer = \"c\"\napi_keys = \"12345678\"\nrequests_per_s = 1", "line 2, column 12"; "wrong type of keys")]
#[test_case("customer = \"c\"\napi_keys = [\"12345678\"]\nrequests_per_s = 1\nurgency = \"now\"", "line 4, column 11"; "unknown urgency")]
#[test_case("customer = \"c\"\napi_keys = [\"12345678\"]\nrequests_per_s = 1\nburst = 3", "line 4, column 1"; "unknown field")]
#[test_case("customer = \"a b\"\napi_keys = [\"12345678\"]\nrequests_per_s = 1", "line 1: field `customer`"; "bad customer")]
#[test_case("customer = \"d\"\napi_keys = [\"12345678\"]\nrequests_per_s = 1", "field `customer` is d"; "another customer")]
#[test_case("customer = \"c\"\n\napi_keys = []\nrequests_per_s = 1", "line 3: field `api_keys`"; "no key")]
#[test_case("customer = \"c\"\napi_keys = [\"short\"]\nrequests_per_s = 1", "line 2: field `api_keys`"; "short key")]
#[test_case("customer = \"c\"\napi_keys = [\"12345678\", \"12345678\"]\nrequests_per_s = 1", "different keys"; "key twice")]
#[test_case("customer = \"c\"\napi_keys = [\"with a space\"]\nrequests_per_s = 1", "visible ASCII"; "key with a space")]
#[test_case("customer = \"c\"\napi_keys = [\"12345678\"]\nrequests_per_s = 0", "line 3: field `requests_per_s` is 0"; "rate of zero")]
#[test_case("customer = \"c\"\napi_keys = [\"12345678\"]\nrequests_per_s = nan", "line 3: field `requests_per_s` is NaN"; "rate not a number")]
#[test_case("customer = \"c\"\napi_keys = [\"12345678\"]\nrequests_per_s = inf", "line 3: field `requests_per_s` is inf"; "rate without end")]
#[test_case("customer = \"c\"\napi_keys = [\"12345678\"]\nrequests_per_s = 1\nmodels = [\"a b\"]", "line 4: field `models`"; "bad model")]
#[test_case("customer = \"c\"\napi_keys = [\"12345678\"]\nrequests_per_s = 1\nservices = [\"\"]", "line 4: field `services`"; "bad service")]
#[test_case("customer = \"c\"\napi_keys = [\"12345678\"]\nrequests_per_s = 1\nburst_requests = 0", "line 4: field `burst_requests` is 0"; "burst of zero")]
#[test_case("customer = \"c\"\napi_keys = [\"12345678\"]\nrequests_per_s = 1\nconcurrent_requests = 0", "line 4: field `concurrent_requests`"; "concurrency of zero")]
#[test_case("customer = \"c\"\napi_keys = [\"12345678\"]\nrequests_per_s = 1\ntokens_per_s = -1.0", "line 4: field `tokens_per_s` is -1"; "negative token rate")]
#[test_case("customer = \"c\"\napi_keys = [\"12345678\"]\nrequests_per_s = 1\nbatch_window_s = 0", "line 4: field `batch_window_s`"; "window of zero")]
#[test_case("customer = \"c\"\napi_keys = [\"12345678\"]\nrequests_per_s = 1\nbatch_items_queued = 0", "line 4: field `batch_items_queued`"; "queue of zero")]
#[test_case("customer = \"c\"\napi_keys = [\"12345678\"]\nrequests_per_s = 1\nbatch_items_queued = -4", "line 4, column 22"; "negative count")]
#[tokio::test]
async fn wrong_document_is_refused_and_the_field_is_named(document: &str, message_part: &str) {
    let served = serve().await;
    let answer = served
        .send_known(Method::PUT, CONTRACT, Some("0"), document.as_bytes())
        .await;
    assert_eq!(answer.status, 400, "{answer:?}");
    let body = answer.json();
    assert_eq!(body["error"]["code"], "bad_contract");
    let detail = body["error"]["detail"].as_str().unwrap();
    assert!(detail.contains(message_part), "{detail}");
    assert!(served.fake.updates.lock().unwrap().is_empty());
}

#[test_case(Method::PUT, CONTRACT, None, 400, "bad_request", "expected-version"; "no version")]
#[test_case(Method::PUT, CONTRACT, Some("four"), 400, "bad_request", "expected-version"; "version is no number")]
#[test_case(Method::PUT, "/v1/contracts/a%20b", Some("0"), 400, "bad_request", "customer id"; "impossible customer")]
#[test_case(Method::GET, "/v1/contracts/other", None, 404, "not_found", "other"; "unknown customer")]
#[test_case(Method::GET, "/v1/nothing", None, 404, "not_found", "/v1/nothing"; "unknown path")]
#[test_case(Method::POST, CONTRACT, Some("0"), 405, "method_not_allowed", "GET, PUT, DELETE"; "wrong method")]
#[test_case(Method::DELETE, "/v1/jobs", None, 405, "method_not_allowed", "GET is"; "wrong method for jobs")]
#[tokio::test]
async fn wrong_call_gets_its_error(
    method: Method,
    path: &str,
    version: Option<&str>,
    status: u16,
    code: &str,
    message_part: &str,
) {
    let served = serve().await;
    let answer = served.send_known(method, path, version, b"").await;
    assert_eq!(answer.status, status, "{answer:?}");
    let body = answer.json();
    assert_eq!(body["error"]["code"], code);
    assert!(
        body["message"].as_str().unwrap().contains(message_part),
        "{body}"
    );
    assert_eq!(answer.headers.contains_key("allow"), status == 405);
}

#[tokio::test]
async fn oversized_document_is_answered() {
    let served = serve().await;
    let body = vec![b'#'; 8 << 20];
    let answer = served
        .send_known(Method::PUT, CONTRACT, Some("0"), &body)
        .await;
    assert_eq!(answer.status, 400);
    assert!(answer.text.contains("over 262144 bytes"), "{answer:?}");
}

#[test_case(
    OperatorError::Conflict { customer: "c".into(), expected: 3, current: 4 }, 409,
    "is at version 4"; "conflict"
)]
#[test_case(OperatorError::KeyTaken { customer: "d".into() }, 409, "belongs to customer d"; "key taken")]
#[test_case(OperatorError::StoreUnavailable, 503, "no effect"; "store down")]
#[test_case(
    OperatorError::EffectUnknown { change_id: "x-1".into() }, 504,
    "x-1 may be in force"; "effect unknown"
)]
#[tokio::test]
async fn failed_change_reports_its_effect(failure: OperatorError, status: u16, message_part: &str) {
    let served = serve().await;
    *served.fake.failure.lock().unwrap() = Some(failure.clone());
    for (method, body) in [
        (Method::PUT, document("5")),
        (Method::DELETE, String::new()),
    ] {
        let answer = served
            .send_known(method, CONTRACT, Some("3"), body.as_bytes())
            .await;
        assert_eq!(answer.status, status);
        let body = answer.json();
        let error: OperatorError = serde_json::from_value(body["error"].clone()).unwrap();
        assert_eq!(error, failure);
        assert!(
            body["message"].as_str().unwrap().contains(message_part),
            "{body}"
        );
    }
}

#[tokio::test]
async fn keys_are_neither_kept_nor_shown() {
    let served = serve().await;
    let body = document("5");
    served
        .send_known(Method::PUT, CONTRACT, Some("4"), body.as_bytes())
        .await;
    let updates = format!("{:?}", served.fake.updates.lock().unwrap());
    assert!(!updates.contains(KEY), "{updates}");
    for path in ["/v1/contracts", CONTRACT] {
        let shown = served.send_known(Method::GET, path, None, b"").await;
        assert!(!shown.text.contains(KEY), "{shown:?}");
        assert!(shown.text.contains('…'), "{shown:?}");
        assert!(
            shown.text.len() < 600,
            "the digest is shown in part only: {shown:?}"
        );
    }
}
