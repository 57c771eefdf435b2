//! Encodes the values of rows.

use bytes::Bytes;
use foxtailhold::ids::JobId;
use serde::Serialize;

use crate::jobs::{JobError, Result};

/// Encodes a value of a row that belongs to `job`.
pub(super) fn encode_row<T: Serialize>(job: &JobId, value: &T) -> Result<Bytes> {
    let encoded = serde_json::to_vec(value).map_err(|error| JobError::Malformed {
        job: job.clone(),
        detail: error.to_string(),
    })?;
    Ok(encoded.into())
}
