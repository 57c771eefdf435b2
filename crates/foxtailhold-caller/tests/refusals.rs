//! Every refusal must be sent as the error object that docs/API.md documents, with the same status,
//! code and type.

mod common;

use common::{request, serve};
use foxtailhold::refusal::RefusalReason::*;
use foxtailhold::refusal::{ExecutionStatus, Refusal, RefusalReason};
use test_case::test_case;

const API: &str = include_str!("../../../docs/API.md");

fn target() -> foxtailhold::ids::TargetName {
    "ranger".try_into().unwrap()
}

#[test_case(Unauthorized, 401, "authentication_error", "invalid_api_key"; "unauthorized")]
#[test_case(Invalid { detail: "d".into() }, 400, "invalid_request_error", "invalid_request"; "invalid")]
#[test_case(BodyTooLarge { limit_bytes: 1 }, 413, "invalid_request_error", "body_too_large"; "too large")]
#[test_case(BodyTimeout { idle_ms: 1 }, 408, "invalid_request_error", "body_timeout"; "body timeout")]
#[test_case(
    MethodNotAllowed { method: "PUT".into(), allow: "GET".into() },
    405, "invalid_request_error", "method_not_allowed"; "method"
)]
#[test_case(UnknownTarget { name: "n".into() }, 404, "invalid_request_error", "model_not_found"; "unknown target")]
#[test_case(NotFound { kind: "file".into(), id: "f".into() }, 404, "invalid_request_error", "not_found"; "not found")]
#[test_case(Conflict { detail: "d".into() }, 409, "invalid_request_error", "conflict"; "conflict")]
#[test_case(
    OverLimit { customer: "c".try_into().unwrap(), limit: "1 request/s".into() },
    429, "rate_limit_error", "over_limit"; "over limit"
)]
#[test_case(Overloaded { target: target() }, 429, "overloaded_error", "overloaded"; "overloaded")]
#[test_case(NoBackend { target: target() }, 503, "overloaded_error", "no_backend"; "no backend")]
#[test_case(
    BackendFailed { target: target(), detail: "d".into() },
    502, "backend_error", "backend_failed"; "backend failed"
)]
#[test_case(Quarantined, 422, "backend_error", "quarantined"; "quarantined")]
#[test_case(StoreUnavailable, 503, "platform_error", "store_unavailable"; "store unavailable")]
#[test_case(DeadlinePassed { deadline_ms: 1 }, 504, "timeout_error", "deadline_passed"; "deadline")]
#[test_case(AlreadyStarted, 409, "invalid_request_error", "already_started"; "already started")]
#[test_case(
    DeadlineInfeasible { needed_ms: 2, window_ms: 1 },
    429, "overloaded_error", "cannot_land"; "cannot land"
)]
#[test_case(Stopping, 503, "overloaded_error", "stopping"; "stopping")]
#[tokio::test]
async fn refusal_is_the_documented_error_object(
    reason: RefusalReason,
    status: u16,
    kind: &str,
    code: &str,
) {
    let row = format!("| {status} | `{code}` | `{kind}` |");
    assert!(API.contains(&row), "docs/API.md has no row {row}");
    for (ran, after_ms, after) in [
        (ExecutionStatus::NotRun, None, None),
        (ExecutionStatus::MayHaveRun, Some(1), Some("1")),
        (ExecutionStatus::Ran, Some(2_001), Some("3")),
    ] {
        let served = serve().await;
        let mut refusal = Refusal::not_run(reason.clone()).with_ran(ran);
        refusal.retry_after_ms = after_ms;
        *served.fake.refusal.lock().unwrap() = Some(refusal.clone());
        let body = r#"{"model":"ranger"}"#;
        let answer = served
            .send(&request("POST", "/v1/chat/completions", "", body))
            .await;
        assert_eq!(answer.status, status);
        assert_eq!(answer.header("retry-after"), after);
        assert_eq!(answer.header("x-request-id"), Some("request-1"));
        let error = &answer.json()["error"];
        assert_eq!(error["type"], kind);
        assert_eq!(error["code"], code);
        assert_eq!(error["ran"], ran.as_str());
        assert_eq!(error["message"], refusal.to_string());
        assert_eq!(error["retry_after_ms"].as_u64(), after_ms);
        assert_eq!(*served.fake.recorded_refusals.lock().unwrap(), [code]);
    }
}
