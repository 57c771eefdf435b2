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
    /// ErrorClass of the error.
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

struct ErrorClass {
    status: StatusCode,
    kind: &'static str,
    code: &'static str,
}

fn error_class(reason: &RefusalReason) -> ErrorClass {
    let class_of = |status, kind, code| ErrorClass { status, kind, code };
    let invalid = "invalid_request_error";
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    match reason {
        RefusalReason::Unauthorized => class_of(
            StatusCode::UNAUTHORIZED,
            "authentication_error",
            "invalid_api_key",
        ),
        RefusalReason::Invalid { .. } => {
            class_of(StatusCode::BAD_REQUEST, invalid, "invalid_request")
        }
        RefusalReason::BodyTooLarge { .. } => {
            class_of(StatusCode::PAYLOAD_TOO_LARGE, invalid, "body_too_large")
        }
        RefusalReason::BodyTimeout { .. } => {
            class_of(StatusCode::REQUEST_TIMEOUT, invalid, "body_timeout")
        }
        RefusalReason::MethodNotAllowed { .. } => class_of(
            StatusCode::METHOD_NOT_ALLOWED,
            invalid,
            "method_not_allowed",
        ),
        RefusalReason::UnknownTarget { .. } => {
            class_of(StatusCode::NOT_FOUND, invalid, "model_not_found")
        }
        RefusalReason::NotFound { .. } => class_of(StatusCode::NOT_FOUND, invalid, "not_found"),
        RefusalReason::Conflict { .. } => class_of(StatusCode::CONFLICT, invalid, "conflict"),
        RefusalReason::OverLimit { .. } => class_of(
            StatusCode::TOO_MANY_REQUESTS,
            "rate_limit_error",
            "over_limit",
        ),
        RefusalReason::Overloaded { .. } => class_of(
            StatusCode::TOO_MANY_REQUESTS,
            "overloaded_error",
            "overloaded",
        ),
        RefusalReason::NoBackend { .. } => class_of(unavailable, "overloaded_error", "no_backend"),
        RefusalReason::BackendFailed { .. } => {
            class_of(StatusCode::BAD_GATEWAY, "backend_error", "backend_failed")
        }
        RefusalReason::Quarantined => class_of(
            StatusCode::UNPROCESSABLE_ENTITY,
            "backend_error",
            "quarantined",
        ),
        RefusalReason::StoreUnavailable => {
            class_of(unavailable, "platform_error", "store_unavailable")
        }
        RefusalReason::DeadlinePassed { .. } => class_of(
            StatusCode::GATEWAY_TIMEOUT,
            "timeout_error",
            "deadline_passed",
        ),
        RefusalReason::AlreadyStarted => class_of(StatusCode::CONFLICT, invalid, "already_started"),
        RefusalReason::DeadlineInfeasible { .. } => class_of(
            StatusCode::TOO_MANY_REQUESTS,
            "overloaded_error",
            "cannot_land",
        ),
        RefusalReason::Stopping => class_of(unavailable, "overloaded_error", "stopping"),
    }
}

/// The stable code of a refusal.
pub fn code(refusal: &Refusal) -> &'static str {
    error_class(&refusal.reason).code
}

/// The error object of a refusal.
pub fn object(refusal: &Refusal) -> ErrorBody {
    let error_class = error_class(&refusal.reason);
    ErrorBody {
        error: ErrorObject {
            kind: error_class.kind,
            code: error_class.code,
            message: refusal.to_string(),
            ran: refusal.ran,
            retry_after_ms: refusal.retry_after_ms,
        },
    }
}

/// The whole answer to a refused request.
pub fn response(refusal: &Refusal) -> Response<AnswerBody> {
    let mut response = body::json(error_class(&refusal.reason).status, &object(refusal));
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
