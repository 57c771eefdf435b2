//! Converts refusals to the documented JSON error object.

use foxtailhold::refusal::{ExecutionStatus, Refusal, RefusalReason};
use foxtailhold_http::body::{self, AnswerBody};
use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;

/// The response body of a refused request.
#[derive(Debug, Serialize)]
pub struct ErrorBody {
    /// Details of the error.
    pub error: ErrorObject,
}

/// The error object of the caller API.
#[derive(Debug, Serialize)]
pub struct ErrorObject {
    /// Error class, such as `invalid_request_error`.
    #[serde(rename = "type")]
    pub kind: &'static str,
    /// Stable code of the reason, such as `body_too_large`.
    pub code: &'static str,
    /// Human-readable description.
    pub message: String,
    /// Whether the request ran, as far as it is known.
    pub ran: ExecutionStatus,
    /// Delay after which a retry may succeed. The `Retry-After` header carries the same value,
    /// rounded up to whole seconds.
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
        RefusalReason::NoMemory => class_of(unavailable, "overloaded_error", "no_memory"),
        RefusalReason::Stopping => class_of(unavailable, "overloaded_error", "stopping"),
    }
}

/// Returns the stable code of a refusal, as in [`ErrorObject::code`].
pub fn code(refusal: &Refusal) -> &'static str {
    error_class(&refusal.reason).code
}

/// Builds the response body of a refusal.
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

/// Builds the complete response to a refused request, with the `Retry-After` and `Allow` headers.
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

/// Builds the server-sent event that reports a refusal after a stream has started. The stream then
/// ends without `[DONE]`.
pub fn event(refusal: &Refusal) -> Vec<u8> {
    let mut event = b"data: ".to_vec();
    if serde_json::to_writer(&mut event, &object(refusal)).is_err() {
        event.extend_from_slice(b"{\"error\":{}}");
    }
    event.extend_from_slice(b"\n\n");
    event
}
