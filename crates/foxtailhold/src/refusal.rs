//! Errors returned to callers for requests that are not served.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{CustomerId, TargetName};

/// Result of a step that may refuse a request.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Whether a refused request may have been executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionStatus {
    /// No byte of the request was sent to a backend server, and none will be.
    NotRun,
    /// A backend server may have run the request completely or in part.
    MayHaveRun,
    /// A backend server ran the request.
    Ran,
}

impl ExecutionStatus {
    /// The value of the field `ran` in the error object.
    pub fn as_str(self) -> &'static str {
        match self {
            ExecutionStatus::NotRun => "not_run",
            ExecutionStatus::MayHaveRun => "may_have_run",
            ExecutionStatus::Ran => "ran",
        }
    }
}

/// Reason why a request is refused. Each variant corresponds to one documented error object.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The API key is missing or unknown.
    #[error("the API key is missing or unknown")]
    Unauthorized,
    /// The request is malformed.
    #[error("{detail}")]
    Invalid {
        /// Description of the problem, with the name of the field.
        detail: String,
    },
    /// The request body exceeds the size limit.
    #[error("the body is over the limit of {limit_bytes} bytes")]
    BodyTooLarge {
        /// The size limit.
        limit_bytes: u64,
    },
    /// The caller sent no further byte of the body in time.
    #[error("no byte of the body came within {idle_ms} ms")]
    BodyTimeout {
        /// Maximum time between two reads of the body.
        idle_ms: u64,
    },
    /// The path exists but does not support the method.
    #[error("{method} is not allowed here, {allow} is")]
    MethodNotAllowed {
        /// Method of the request.
        method: String,
        /// Supported methods, as in the `Allow` header (RFC 9110, 10.2.1).
        allow: String,
    },
    /// No model or service has the requested name.
    #[error("{name} is not a model or service of this system")]
    UnknownTarget {
        /// The requested name.
        name: String,
    },
    /// The requested object does not exist.
    #[error("there is no {kind} {id}")]
    NotFound {
        /// Kind of the object.
        kind: String,
        /// Identifier of the object.
        id: String,
    },
    /// The idempotency key was used with a different body, or the object is in a state that does
    /// not allow the request.
    #[error("{detail}")]
    Conflict {
        /// Description of the conflict.
        detail: String,
    },
    /// A limit of the customer's contract is exhausted.
    #[error("customer {customer} is over its limit of {limit}")]
    OverLimit {
        /// The customer whose limit is exhausted.
        customer: CustomerId,
        /// Name of the limit, with its unit.
        limit: String,
    },
    /// The queues of the target are full.
    #[error("the system is at capacity for {target}")]
    Overloaded {
        /// The requested model or service.
        target: TargetName,
    },
    /// No backend server of the target is available.
    #[error("no backend server of {target} is available")]
    NoBackend {
        /// The requested model or service.
        target: TargetName,
    },
    /// A backend server failed and no further retry is left or allowed.
    #[error("a backend server of {target} failed: {detail}")]
    BackendFailed {
        /// The requested model or service.
        target: TargetName,
        /// Description of the failure.
        detail: String,
    },
    /// The request is in quarantine, because it crashed backend servers before.
    #[error("this request crashed backend servers and is refused for now")]
    Quarantined,
    /// The platform's store did not respond.
    #[error("the platform's store is unavailable")]
    StoreUnavailable,
    /// The deadline of the request passed.
    #[error("the deadline of {deadline_ms} ms passed")]
    DeadlinePassed {
        /// The deadline that the caller set for the request.
        deadline_ms: u64,
    },
    /// A request with the same idempotency key was started before and its response is not stored.
    #[error("a request with this idempotency key was started before; its answer is not known")]
    AlreadyStarted,
    /// The batch job cannot finish by its deadline.
    #[error("the job needs about {needed_ms} ms and its window is {window_ms} ms")]
    #[serde(rename = "CannotLand")]
    DeadlineInfeasible {
        /// Estimated time until the job would finish.
        needed_ms: u64,
        /// Time from acceptance to the deadline of the job.
        window_ms: u64,
    },
    /// This instance has no memory for the body of the request.
    #[error("there is no memory for the request here")]
    NoMemory,
    /// This instance is stopping and accepts no new requests.
    #[error("this instance is stopping; ask another one")]
    Stopping,
}

/// Refusal of a request, with its reason, whether the request ran, and when to retry.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
#[error("{reason}")]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Whether the request may have been executed.
    pub ran: ExecutionStatus,
    /// Time after which a retry makes sense; `None` if it never does.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates a refusal of a request that was not sent and that the caller should not retry.
    pub fn not_run(reason: RefusalReason) -> Self {
        Refusal {
            reason,
            ran: ExecutionStatus::NotRun,
            retry_after_ms: None,
        }
    }

    /// Creates the refusal of a malformed request.
    pub fn invalid(detail: impl Into<String>) -> Self {
        let detail = detail.into();
        Refusal::not_run(RefusalReason::Invalid { detail })
    }

    /// Returns the refusal with a time after which to retry.
    pub fn retry_after_ms(mut self, after_ms: u64) -> Self {
        self.retry_after_ms = Some(after_ms);
        self
    }

    /// Returns the refusal with a different execution status.
    pub fn with_ran(mut self, ran: ExecutionStatus) -> Self {
        self.ran = ran;
        self
    }
}
