//! Errors of calls to the platform's services.

use foxtailhold_http::client::SendError;
use thiserror::Error;

/// Result of a call to the platform.
pub type Result<T> = std::result::Result<T, PlatformError>;

/// Why a call to the platform failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PlatformError {
    /// The call did not take effect and will not, for example because it was not sent or the
    /// service answered 503 or 429.
    #[error("the platform's {service} is unavailable: {detail}")]
    Unavailable {
        /// Which service.
        service: &'static str,
        /// What was seen.
        detail: String,
    },
    /// The service refuses the call itself, for example because it exceeds a limit. The call did
    /// not take effect, and the same call will be refused again.
    #[error("the platform's {service} refuses the call: {detail}")]
    Rejected {
        /// Which service.
        service: &'static str,
        /// What was seen.
        detail: String,
    },
    /// No answer was received. The call may have taken effect, or may still take effect.
    #[error("the platform's {service} gave no answer, the effect is unknown: {detail}")]
    Unknown {
        /// Which service.
        service: &'static str,
        /// What was seen.
        detail: String,
    },
    /// The answer has an unexpected status or cannot be parsed. The call may have taken effect.
    #[error("the platform's {service} gave an answer that cannot be read: {detail}")]
    Malformed {
        /// Which service.
        service: &'static str,
        /// What was seen.
        detail: String,
    },
}

impl PlatformError {
    /// Converts a transport error: `Unavailable` if nothing was sent, otherwise `Unknown`.
    pub fn from_send(service: &'static str, error: &SendError) -> Self {
        let detail = error.to_string();
        if error.is_not_sent() {
            return PlatformError::Unavailable { service, detail };
        }
        PlatformError::Unknown { service, detail }
    }

    /// Whether a write that failed with this error may still have taken effect.
    pub fn may_have_taken_effect(&self) -> bool {
        let has_no_effect = self.is_rejected() || matches!(self, PlatformError::Unavailable { .. });
        !has_no_effect
    }

    /// Whether the service is there and refuses this call.
    pub fn is_rejected(&self) -> bool {
        matches!(self, PlatformError::Rejected { .. })
    }
}
