//! Parts of a prompt that several requests have in common.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Largest number of shared parts of one prompt that are looked at. A longer prompt keeps its first
/// ones, which more requests share.
pub const MAX_SHARED_PARTS: usize = 64;

/// Result of parsing the number of a part.
pub type Result<T> = std::result::Result<T, PartIdError>;

/// Reason why a text is not the number of a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum PartIdError {
    /// The text is empty.
    #[error("the number of a prompt part may not be empty")]
    Empty,
    /// The text holds something else than hexadecimal digits.
    #[error("the number of a prompt part has hexadecimal digits only, not {character:?}")]
    NotHexadecimal {
        /// The first such character.
        character: char,
    },
    /// The number has more than 64 bits.
    #[error("the number of a prompt part has at most 64 bits")]
    TooLarge,
}

/// Number of one part of a prompt, the same in every request that holds the part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartId(pub u64);

impl FromStr for PartId {
    type Err = PartIdError;

    fn from_str(text: &str) -> Result<Self> {
        if text.is_empty() {
            return Err(PartIdError::Empty);
        }
        if let Some(character) = text
            .chars()
            .find(|character| !character.is_ascii_hexdigit())
        {
            return Err(PartIdError::NotHexadecimal { character });
        }
        let number = u64::from_str_radix(text, 16).map_err(|_| PartIdError::TooLarge)?;
        Ok(PartId(number))
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// Parts of one prompt that other requests may share, ascending and without repetition. Cheap to
/// clone.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SharedParts(Arc<[PartId]>);

impl SharedParts {
    /// The shared parts of a prompt, given all its parts in order; `None` is a part without a valid
    /// number. The last part belongs to the request itself and is left out.
    pub fn of_prompt(parts: impl IntoIterator<Item = Option<PartId>>) -> Self {
        let mut shared = BTreeSet::new();
        let mut last = None;
        for part in parts {
            shared.extend(last.replace(part).flatten());
            if shared.len() >= MAX_SHARED_PARTS {
                break;
            }
        }
        SharedParts(shared.into_iter().collect())
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// All parts, ascending.
    pub fn as_slice(&self) -> &[PartId] {
        &self.0
    }

    /// Whether a part is among them.
    pub fn contains(&self, part: PartId) -> bool {
        self.0.binary_search(&part).is_ok()
    }

    /// Whether all of `parts` are among them.
    pub fn contains_all(&self, parts: &[PartId]) -> bool {
        parts.iter().all(|part| self.contains(*part))
    }
}

impl From<&[PartId]> for SharedParts {
    fn from(parts: &[PartId]) -> Self {
        let distinct: BTreeSet<PartId> = parts.iter().copied().collect();
        SharedParts(distinct.into_iter().collect())
    }
}

impl fmt::Display for SharedParts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, part) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{part}")?;
        }
        Ok(())
    }
}
