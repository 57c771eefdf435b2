//! A refusal as the documented error object.

use foxtailhold::refusal::{ExecutionStatus, Refusal, RefusalReason};
use foxtailhold_http::body::{self, AnswerBody};
use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;

/// The body of every refusal.
#[derive(Debug, Serialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorObject,
}

/// The error object.
#[derive(Debug, Serialize)]
pub struct ErrorObject {
    /// Class of the error.
    #[serde(rename = "type")]
    pub kind: &'static str,
    /// A stable code.
    pub code: &'static str,
    /// A sentence.
    pub message: String,
    /// What is known of the effect.
    pub ran: ExecutionStatus,
    /// When to come back; the `Retry-After` header says the same in whole seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

struct Class {
    status: StatusCode,
    kind: &'static str,
    code: &'static str,
}

fn class(reason: &RefusalReason) -> Class {
    let of = |status, kind, code| Class { status, kind, code };
    let invalid = "invalid_request_error";
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    match reason {
        RefusalReason::Unauthorized => of(
            StatusCode::UNAUTHORIZED,
            "authentication_error",
            "invalid_api_key",
        ),
        RefusalReason::Invalid { .. } => of(StatusCode::BAD_REQUEST, invalid, "invalid_request"),
        RefusalReason::BodyTooLarge { .. } => {
            of(StatusCode::PAYLOAD_TOO_LARGE, invalid, "body_too_large")
        }
        RefusalReason::BodyTimeout { .. } => {
            of(StatusCode::REQUEST_TIMEOUT, invalid, "body_timeout")
        }
        RefusalReason::MethodNotAllowed { .. } => of(
            StatusCode::METHOD_NOT_ALLOWED,
            invalid,
            "method_not_allowed",
        ),
        RefusalReason::UnknownTarget { .. } => {
            of(StatusCode::NOT_FOUND, invalid, "model_not_found")
        }
        RefusalReason::NotFound { .. } => of(StatusCode::NOT_FOUND, invalid, "not_found"),
        RefusalReason::Conflict { .. } => of(StatusCode::CONFLICT, invalid, "conflict"),
        RefusalReason::OverLimit { .. } => of(
            StatusCode::TOO_MANY_REQUESTS,
            "rate_limit_error",
            "over_limit",
        ),
        RefusalReason::Overloaded { .. } => of(
            StatusCode::TOO_MANY_REQUESTS,
            "overloaded_error",
            "overloaded",
        ),
        RefusalReason::NoBackend { .. } => of(unavailable, "overloaded_error", "no_backend"),
        RefusalReason::BackendFailed { .. } => {
            of(StatusCode::BAD_GATEWAY, "backend_error", "backend_failed")
        }
        RefusalReason::Quarantined => of(
            StatusCode::UNPROCESSABLE_ENTITY,
            "backend_error",
            "quarantined",
        ),
        RefusalReason::StoreUnavailable => of(unavailable, "platform_error", "store_unavailable"),
        RefusalReason::DeadlinePassed { .. } => of(
            StatusCode::GATEWAY_TIMEOUT,
            "timeout_error",
            "deadline_passed",
        ),
        RefusalReason::AlreadyStarted => of(StatusCode::CONFLICT, invalid, "already_started"),
        RefusalReason::DeadlineInfeasible { .. } => of(
            StatusCode::TOO_MANY_REQUESTS,
            "overloaded_error",
            "cannot_land",
        ),
        RefusalReason::Stopping => of(unavailable, "overloaded_error", "stopping"),
    }
}

/// The stable code of a refusal.
pub fn code(refusal: &Refusal) -> &'static str {
    class(&refusal.reason).code
}

/// The error object of a refusal.
pub fn object(refusal: &Refusal) -> ErrorBody {
    let class = class(&refusal.reason);
    ErrorBody {
        error: ErrorObject {
            kind: class.kind,
            code: class.code,
            message: refusal.to_string(),
            ran: refusal.ran,
            retry_after_ms: refusal.retry_after_ms,
        },
    }
}

/// The whole answer to a refused request.
pub fn response(refusal: &Refusal) -> Response<AnswerBody> {
    let mut response = body::json(class(&refusal.reason).status, &object(refusal));
    if let Some(after_ms) = refusal.retry_after_ms {
        let seconds = HeaderValue::from(after_ms.div_ceil(1_000).max(1));
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    if let RefusalReason::MethodNotAllowed { allow, .. } = &refusal.reason
        && let Ok(allow) = HeaderValue::try_from(allow)
    {
        response.headers_mut().insert(header::ALLOW, allow);
    }
    response
}

/// The event that ends a stream that cannot be finished.
pub fn event(refusal: &Refusal) -> Vec<u8> {
    let mut event = b"data: ".to_vec();
    if serde_json::to_writer(&mut event, &object(refusal)).is_err() {
        event.extend_from_slice(b"{\"error\":{}}");
    }
    event.extend_from_slice(b"\n\n");
    event
}
