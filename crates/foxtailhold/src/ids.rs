//! Checked identifiers.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Longest identifier accepted, in bytes.
pub const MAX_ID_BYTES: usize = 128;

/// Result of checking an identifier.
pub type Result<T> = std::result::Result<T, IdError>;

/// Why a text is not an identifier.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum IdError {
    /// The text is empty.
    #[error("a {kind} may not be empty")]
    Empty {
        /// What was being read.
        kind: &'static str,
    },
    /// The text is longer than [`MAX_ID_BYTES`].
    #[error("a {kind} may have at most {MAX_ID_BYTES} bytes, this one has {length_bytes}")]
    TooLong {
        /// What was being read.
        kind: &'static str,
        /// Length of the text.
        length_bytes: usize,
    },
    /// The text holds a character other than letters, digits, `-`, `_`, `.` and `:`.
    #[error("a {kind} may hold letters, digits, '-', '_', '.' and ':', not {character:?}")]
    BadCharacter {
        /// What was being read.
        kind: &'static str,
        /// The first character refused.
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
            /// The identifier as text.
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
    /// One process of `foxtailhold-entry`.
    InstanceId,
    "instance id"
);
id!(
    /// One backend server: a replica of a model engine or of a plain service.
    BackendId,
    "backend server id"
);
impl BackendId {
    /// The identifier of one start of a backend server that keeps its identity when it starts again.
    /// Whatever is known of one start, by this identifier, says nothing of another. Where the start is
    /// not known (0) the identity stands for it.
    pub fn for_start(identity: &BackendId, started_unix_ms: u64) -> Result<Self> {
        if started_unix_ms == 0 {
            return Ok(identity.clone());
        }
        BackendId::try_from(format!("{identity}:{started_unix_ms}"))
    }
}

id!(
    /// One customer, the holder of one contract.
    CustomerId,
    "customer id"
);
id!(
    /// An availability zone.
    AvailabilityZone,
    "availability zone"
);
id!(
    /// One request of a caller, unique over all instances.
    RequestId,
    "request id"
);
id!(
    /// One accepted batch job.
    JobId,
    "job id"
);
id!(
    /// One uploaded or written file.
    FileId,
    "file id"
);
id!(
    /// The name of a model or of a plain service.
    TargetName,
    "model or service name"
);
id!(
    /// A caller's idempotency key.
    IdempotencyKey,
    "idempotency key"
);
