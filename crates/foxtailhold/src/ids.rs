//! Validated identifiers.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum length of an identifier.
pub const MAX_ID_BYTES: usize = 128;

/// Result of parsing an identifier.
pub type Result<T> = std::result::Result<T, IdError>;

/// Reason why a text is not a valid identifier.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum IdError {
    /// The text is empty.
    #[error("a {kind} may not be empty")]
    Empty {
        /// Kind of identifier that was expected.
        kind: &'static str,
    },
    /// The text is longer than [`MAX_ID_BYTES`].
    #[error("a {kind} may have at most {MAX_ID_BYTES} bytes, this one has {length_bytes}")]
    TooLong {
        /// Kind of identifier that was expected.
        kind: &'static str,
        /// Length of the rejected text.
        length_bytes: usize,
    },
    /// The text holds a character other than letters, digits, `-`, `_`, `.` and `:`.
    #[error("a {kind} may hold letters, digits, '-', '_', '.' and ':', not {character:?}")]
    BadCharacter {
        /// Kind of identifier that was expected.
        kind: &'static str,
        /// The first character that is not allowed.
        character: char,
    },
}

fn check(kind: &'static str, text: &str) -> Result<()> {
    if text.is_empty() {
        return Err(IdError::Empty { kind });
    }
    if text.len() > MAX_ID_BYTES {
        let length_bytes = text.len();
        return Err(IdError::TooLong { kind, length_bytes });
    }
    for character in text.chars() {
        if character.is_ascii_alphanumeric() || "-_.:".contains(character) {
            continue;
        }
        return Err(IdError::BadCharacter { kind, character });
    }
    Ok(())
}

macro_rules! id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = IdError;

            fn try_from(text: &str) -> Result<Self> {
                check($kind, text)?;
                Ok(Self(Arc::from(text)))
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self> {
                Self::try_from(text.as_str())
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.0.to_string()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

id!(
    /// Identifier of an instance, a process of this system.
    InstanceId,
    "instance id"
);
id!(
    /// Identifier of a backend server, a replica of a model engine or of a plain service.
    BackendId,
    "backend server id"
);
impl BackendId {
    /// Returns an identifier for one start of a backend server that keeps its identity across
    /// restarts, so that records about one start do not apply to the next. If the start time is not
    /// known (0), the identity itself is returned.
    pub fn for_start(identity: &BackendId, started_unix_ms: u64) -> Result<Self> {
        if started_unix_ms == 0 {
            return Ok(identity.clone());
        }
        BackendId::try_from(format!("{identity}:{started_unix_ms}"))
    }
}

id!(
    /// Identifier of a customer, who has one contract.
    CustomerId,
    "customer id"
);
id!(
    /// Name of an availability zone.
    AvailabilityZone,
    "availability zone"
);
id!(
    /// Identifier of a request, unique over all instances.
    RequestId,
    "request id"
);
id!(
    /// Identifier of an accepted batch job.
    JobId,
    "job id"
);
id!(
    /// Identifier of an uploaded file or of an output file of a job.
    FileId,
    "file id"
);
id!(
    /// Name of a model or of a plain service.
    TargetName,
    "model or service name"
);
id!(
    /// Idempotency key of a request, chosen by the caller.
    IdempotencyKey,
    "idempotency key"
);
