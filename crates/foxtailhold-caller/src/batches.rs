//! Batch jobs in the format of the OpenAI API.

use bytes::Bytes;
use foxtailhold::ids::{FileId, JobId};
use foxtailhold::refusal::{Refusal, RefusalReason, Result};
use foxtailhold_http::body::{self, AnswerBody};
use http::{Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::gateway::{BatchObject, BatchRequest, RequestContext};
use crate::list::{self, ListLimits};

/// Maximum size of the body of a request that creates a batch job.
pub const MAX_BODY_BYTES: usize = 64 << 10;
/// Endpoints that the items of a batch job may use.
pub const ENDPOINTS: [&str; 2] = ["/v1/chat/completions", "/v1/completions"];
/// Page sizes for listing batch jobs.
pub const LIST_LIMITS: ListLimits = ListLimits {
    default: 20,
    max: 100,
};

#[derive(Debug, Deserialize)]
struct RawBatch {
    input_file_id: String,
    endpoint: String,
    completion_window: String,
    #[serde(default)]
    metadata: serde_json::Value,
}

/// Parses a completion window such as `24h`, `90m` or `600s` into seconds.
fn window_s(text: &str) -> Result<u64> {
    let invalid = || {
        Refusal::invalid(format!(
            "completion_window is {text:?}, it must be a number and h, m or s, such as \"24h\""
        ))
    };
    let unit = text.chars().last().ok_or_else(invalid)?;
    let factor = match unit {
        'h' => 3_600,
        'm' => 60,
        's' => 1,
        _ => return Err(invalid()),
    };
    let number: u64 = text[..text.len() - 1].parse().map_err(|_| invalid())?;
    number
        .checked_mul(factor)
        .filter(|s| *s > 0)
        .ok_or_else(invalid)
}

/// Formats a completion window with the largest unit that divides it; the inverse of [`window_s`].
fn window_text(window_s: u64) -> String {
    for (factor, unit) in [(3_600, 'h'), (60, 'm')] {
        if window_s > 0 && window_s.is_multiple_of(factor) {
            return format!("{}{unit}", window_s / factor);
        }
    }
    format!("{window_s}s")
}

/// Parses and validates the body of a request that creates a batch job. `digest` is the digest of
/// the body, see [`Gateway::digest`](crate::Gateway::digest).
pub fn read(context: RequestContext, body: &Bytes, digest: String) -> Result<BatchRequest> {
    let raw: RawBatch = serde_json::from_slice(body)
        .map_err(|error| Refusal::invalid(format!("the body cannot be read: {error}")))?;
    if !ENDPOINTS.contains(&raw.endpoint.as_str()) {
        return Err(Refusal::invalid(format!(
            "endpoint is {:?}, it must be one of {ENDPOINTS:?}",
            raw.endpoint
        )));
    }
    let input_file = FileId::try_from(raw.input_file_id.as_str())
        .map_err(|error| Refusal::invalid(format!("input_file_id: {error}")))?;
    Ok(BatchRequest {
        context,
        input_file,
        endpoint: raw.endpoint,
        window_s: Some(window_s(&raw.completion_window)?),
        metadata: raw.metadata,
        digest,
    })
}

/// Parses the job identifier in a path. An invalid one is refused as not found.
pub fn id(text: &str) -> Result<JobId> {
    JobId::try_from(text).map_err(|_| {
        Refusal::not_run(RefusalReason::NotFound {
            kind: "batch".into(),
            id: text.chars().take(80).collect(),
        })
    })
}

#[derive(Debug, Serialize)]
struct RequestCounts {
    total: u64,
    completed: u64,
    failed: u64,
}

/// The batch object of the OpenAI API. Times are in seconds since the Unix epoch.
#[derive(Debug, Serialize)]
pub struct BatchBody {
    id: String,
    object: &'static str,
    endpoint: String,
    errors: Option<()>,
    input_file_id: String,
    completion_window: String,
    status: &'static str,
    output_file_id: Option<String>,
    error_file_id: Option<String>,
    created_at: u64,
    in_progress_at: u64,
    expires_at: u64,
    finalizing_at: Option<u64>,
    failed_at: Option<u64>,
    cancelling_at: Option<u64>,
    completed_at: Option<u64>,
    cancelled_at: Option<u64>,
    expired_at: Option<u64>,
    request_counts: RequestCounts,
    metadata: serde_json::Value,
}

impl From<&BatchObject> for BatchBody {
    fn from(batch: &BatchObject) -> Self {
        use foxtailhold::batch::JobStatus;
        let ended_s = batch.ended_wall_ms.map(|ms| ms / 1_000);
        let ended_at_if = |status| ended_s.filter(|_| batch.status == status);
        let window_s = batch.deadline_wall_ms.saturating_sub(batch.created_wall_ms) / 1_000;
        BatchBody {
            id: batch.job.to_string(),
            object: "batch",
            endpoint: batch.endpoint.clone(),
            errors: None,
            input_file_id: batch.input_file.to_string(),
            completion_window: window_text(window_s),
            status: batch.status.as_str(),
            output_file_id: batch.output_file.as_ref().map(ToString::to_string),
            error_file_id: batch.error_file.as_ref().map(ToString::to_string),
            created_at: batch.created_wall_ms / 1_000,
            in_progress_at: batch.created_wall_ms / 1_000,
            finalizing_at: None,
            failed_at: None,
            cancelling_at: ended_at_if(JobStatus::Cancelled),
            expires_at: batch.deadline_wall_ms / 1_000,
            completed_at: ended_at_if(JobStatus::Completed),
            cancelled_at: ended_at_if(JobStatus::Cancelled),
            expired_at: ended_at_if(JobStatus::Expired),
            request_counts: RequestCounts {
                total: batch.items,
                completed: batch.completed,
                failed: batch.failed,
            },
            metadata: batch.metadata.clone(),
        }
    }
}

/// Builds the response with one batch object.
pub fn object(batch: &BatchObject) -> Response<AnswerBody> {
    body::json(StatusCode::OK, &BatchBody::from(batch))
}

/// Builds the response with a page of at most `limit` batch objects. `batches` has one entry more
/// if there are further pages.
pub fn list(batches: &[BatchObject], limit: usize) -> Response<AnswerBody> {
    list::page(batches, limit, |batch| batch.job.as_str(), BatchBody::from)
}
