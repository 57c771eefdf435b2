//! The final answer to a request the system does not serve.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{CustomerId, TargetName};

/// Result of a step that may end a request.
pub type Result<T> = std::result::Result<T, Refusal>;

/// What is known of a request's effect when it is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionStatus {
    /// No backend server was sent a byte of it, and none will be.
    NotRun,
    /// A backend server may have run it, wholly or in part.
    MayHaveRun,
    /// A backend server ran it.
    Ran,
}

impl ExecutionStatus {
    /// The text in the error object's `ran` field.
    pub fn as_str(self) -> &'static str {
        match self {
            ExecutionStatus::NotRun => "not_run",
            ExecutionStatus::MayHaveRun => "may_have_run",
            ExecutionStatus::Ran => "ran",
        }
    }
}

/// Why a request is refused. Each variant becomes one documented error object.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum RefusalReason {
    /// No key or an unknown key.
    #[error("the API key is missing or unknown")]
    Unauthorized,
    /// The request cannot be understood.
    #[error("{detail}")]
    Invalid {
        /// What is wrong, naming the field.
        detail: String,
    },
    /// The body is over the limit.
    #[error("the body is over the limit of {limit_bytes} bytes")]
    BodyTooLarge {
        /// The limit.
        limit_bytes: u64,
    },
    /// The caller was too slow to send the body.
    #[error("no byte of the body came within {idle_ms} ms")]
    BodyTimeout {
        /// The limit for the wait between two parts of the body.
        idle_ms: u64,
    },
    /// The path is known and does not take the method.
    #[error("{method} is not allowed here, {allow} is")]
    MethodNotAllowed {
        /// The method of the request.
        method: String,
        /// The methods allowed, as in the `Allow` header (RFC 9110, 10.2.1).
        allow: String,
    },
    /// The model or service is not known.
    #[error("{name} is not a model or service of this system")]
    UnknownTarget {
        /// The name asked for.
        name: String,
    },
    /// The object asked for does not exist.
    #[error("there is no {kind} {id}")]
    NotFound {
        /// What kind of object.
        kind: String,
        /// Its identifier.
        id: String,
    },
    /// The same key came with another body, or the object is in another state.
    #[error("{detail}")]
    Conflict {
        /// What clashes.
        detail: String,
    },
    /// The contract's limit is used up.
    #[error("customer {customer} is over its limit of {limit}")]
    OverLimit {
        /// The customer.
        customer: CustomerId,
        /// Which limit, with its unit.
        limit: String,
    },
    /// Queues are full.
    #[error("the system is at capacity for {target}")]
    Overloaded {
        /// The model or service.
        target: TargetName,
    },
    /// No backend server of the target is live.
    #[error("no backend server of {target} is available")]
    NoBackend {
        /// The model or service.
        target: TargetName,
    },
    /// A backend server failed and no retry is left or allowed.
    #[error("a backend server of {target} failed: {detail}")]
    BackendFailed {
        /// The model or service.
        target: TargetName,
        /// What was seen.
        detail: String,
    },
    /// The request crashed backend servers before and is not run again for now.
    #[error("this request crashed backend servers and is refused for now")]
    Quarantined,
    /// The platform's store did not answer.
    #[error("the platform's store is unavailable")]
    StoreUnavailable,
    /// The request's own deadline passed.
    #[error("the deadline of {deadline_ms} ms passed")]
    DeadlinePassed {
        /// The deadline given with the request.
        deadline_ms: u64,
    },
    /// A request with the same key was claimed before and its answer is not stored.
    #[error("a request with this idempotency key was started before; its answer is not known")]
    AlreadyStarted,
    /// The batch job cannot be finished by its deadline.
    #[error("the job needs about {needed_ms} ms and its window is {window_ms} ms")]
    #[serde(rename = "CannotLand")]
    DeadlineInfeasible {
        /// Estimated time to finish.
        needed_ms: u64,
        /// The job's window.
        window_ms: u64,
    },
    /// This instance is stopping and takes no new requests.
    #[error("this instance is stopping; ask another one")]
    Stopping,
}

/// A refusal: the reason, what is known of the effect, and when to come back.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
#[error("{reason}")]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// What is known of the effect.
    pub ran: ExecutionStatus,
    /// When trying again makes sense; `None` where it never does.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// A refusal before any byte was sent that makes no sense to repeat.
    pub fn not_run(reason: RefusalReason) -> Self {
        Refusal {
            reason,
            ran: ExecutionStatus::NotRun,
            retry_after_ms: None,
        }
    }

    /// A refusal for a request that cannot be understood.
    pub fn invalid(detail: impl Into<String>) -> Self {
        let detail = detail.into();
        Refusal::not_run(RefusalReason::Invalid { detail })
    }

    /// The same refusal with a time to come back.
    pub fn retry_after_ms(mut self, after_ms: u64) -> Self {
        self.retry_after_ms = Some(after_ms);
        self
    }

    /// The same refusal with another statement on the effect.
    pub fn with_ran(mut self, ran: ExecutionStatus) -> Self {
        self.ran = ran;
        self
    }
}
