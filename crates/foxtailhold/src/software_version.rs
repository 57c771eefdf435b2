//! Version of the software that a backend server runs.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum length of a version.
pub const MAX_VERSION_BYTES: usize = 128;

/// Result of parsing a version.
pub type Result<T> = std::result::Result<T, VersionError>;

/// Reason why a text is not a valid version.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum VersionError {
    /// The text is longer than [`MAX_VERSION_BYTES`].
    #[error(
        "a software version may have at most {MAX_VERSION_BYTES} bytes, this one has {length_bytes}"
    )]
    TooLong {
        /// Length of the rejected text.
        length_bytes: usize,
    },
    /// The text holds a control character.
    #[error("a software version may not hold the control character {character:?}")]
    ControlCharacter {
        /// The first such character.
        character: char,
    },
}

/// Version of the software of a backend server, not of the weights that it serves. Versions have no
/// order. Output of two versions does not fit together. The default is the empty version of servers
/// that state none.
#[derive(Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SoftwareVersion(Arc<str>);

impl SoftwareVersion {
    /// Returns the version as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<&str> for SoftwareVersion {
    type Error = VersionError;

    fn try_from(text: &str) -> Result<Self> {
        if text.len() > MAX_VERSION_BYTES {
            let length_bytes = text.len();
            return Err(VersionError::TooLong { length_bytes });
        }
        if let Some(character) = text.chars().find(|character| character.is_control()) {
            return Err(VersionError::ControlCharacter { character });
        }
        Ok(Self(Arc::from(text)))
    }
}

impl TryFrom<String> for SoftwareVersion {
    type Error = VersionError;

    fn try_from(text: String) -> Result<Self> {
        Self::try_from(text.as_str())
    }
}

impl From<SoftwareVersion> for String {
    fn from(version: SoftwareVersion) -> String {
        version.0.to_string()
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
