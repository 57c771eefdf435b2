//! The client of plain services against faulty services.

mod faulty;

use std::time::{Duration, Instant};

use bytes::Bytes;
use faulty::{Fault, FaultyServer};
use foxtailhold_http::client::Reuse;
use foxtailhold_service::{ServiceCall, ServiceClient, ServiceError};
use http::{HeaderMap, Method};
use test_case::test_case;

const TIMEOUT_MS: u64 = 300;
const LOAD: &str = r#"{"running":1,"waiting":2,"sequence":3}"#;

fn call() -> ServiceCall {
    ServiceCall {
        method: Method::POST,
        path_and_query: "/hold?room=1".into(),
        headers: HeaderMap::new(),
        body: Bytes::from_static(b"{\"room\":1}"),
        timeout_ms: TIMEOUT_MS,
    }
}

#[test_case(Fault::Refused, 0; "refused")]
#[test_case(Fault::ResetBefore, 0; "reset before the request was read")]
#[test_case(Fault::AnswerLost, 1; "answer lost after it took effect")]
#[test_case(Fault::ResetAfter, 1; "reset within the answer")]
#[test_case(Fault::SlowHead, 1; "no answer")]
#[test_case(Fault::SlowBody, 1; "answer that does not go on")]
#[test_case(Fault::NotHttp, 1; "answer that is not HTTP")]
#[test_case(Fault::OversizedMib(16), 1; "oversized answer")]
#[tokio::test]
async fn failed_call_is_sent_once_and_called_not_sent_only_when_it_was_not(
    fault: Fault,
    effects: usize,
) {
    for reuse in [Reuse::Pooled, Reuse::Fresh] {
        let service = FaultyServer::start(fault, "done").await;
        let client = ServiceClient::default();
        let start = Instant::now();
        let error = client
            .call(service.address, &call(), reuse)
            .await
            .unwrap_err();
        assert!(start.elapsed() < Duration::from_secs(10), "{error:?}");
        assert_eq!(service.effects(), effects, "{error:?}");
        assert_eq!(error.is_not_sent(), fault == Fault::Refused, "{error:?}");
        if fault == Fault::Refused {
            continue;
        }
        service.set(Fault::None);
        let answer = client.call(service.address, &call(), reuse).await.unwrap();
        assert_eq!(answer.body, "done");
        assert_eq!(service.effects(), effects + 1);
    }
}

#[test_case(404; "not found")]
#[test_case(500; "server error")]
#[test_case(503; "unavailable")]
#[tokio::test]
async fn status_of_the_service_is_its_answer(status: u16) {
    let service = FaultyServer::start(Fault::Status(status), "").await;
    let client = ServiceClient::default();
    let answer = client.call(service.address, &call(), Reuse::Fresh).await;
    assert_eq!(answer.unwrap().status, status);
}

#[test_case(Fault::Refused; "refused")]
#[test_case(Fault::BadBody; "malformed")]
#[test_case(Fault::Status(500); "status")]
#[test_case(Fault::ResetAfter; "reset")]
#[test_case(Fault::SlowBody; "slow")]
#[tokio::test]
async fn load_report_that_cannot_be_read_is_an_error(fault: Fault) {
    let service = FaultyServer::start(fault, LOAD).await;
    let error = ServiceClient::default().load(service.address).await;
    let error = error.unwrap_err();
    let malformed = matches!(error, ServiceError::Malformed { .. });
    let unreadable = matches!(fault, Fault::BadBody | Fault::Status(_));
    assert_eq!(malformed, unreadable, "{error:?}");
}
