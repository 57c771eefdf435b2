//! One item of a batch job, and the trait of the policies that run items.

use std::future::Future;

use foxtailhold::batch::{BatchItem, ItemError, ItemResponse, ItemResult};
use foxtailhold::ids::{CustomerId, JobId, RequestId};
use foxtailhold::quarantine::Fingerprint;
use foxtailhold::refusal::{Refusal, RefusalReason};
use foxtailhold::time::WallMs;
use foxtailhold_engine::WholeAnswer;
use foxtailhold_platform::Platform;

use crate::gateway::dispatch::{OutgoingRequest, OwnedUnder};
use crate::jobs::item_body::ItemBody;
use crate::prompt::Prompt;
use crate::shared::Shared;

/// An item to run, with what it needs from its job.
#[derive(Debug, Clone, Copy)]
pub struct ItemTask<'a> {
    /// The item as read from the job's input.
    pub item: &'a BatchItem,
    /// The job.
    pub job: &'a JobId,
    /// The customer that owns the job.
    pub customer: &'a CustomerId,
    /// Path of the job's endpoint, which is the same for all its items.
    pub path: &'static str,
    /// Deadline of the job.
    pub deadline: WallMs,
    /// Order of its chunk: at the same deadline, items of chunks started earlier go first.
    pub order: u64,
    /// Fencing number of the lease under which this instance owns the job.
    pub epoch: u64,
}

/// The final result of an item.
#[derive(Debug)]
pub struct FinishedItem {
    /// The line written to the job's output.
    pub result: ItemResult,
    /// Whether the item was answered with a success status.
    pub completed: bool,
}

/// Longest quarantine that an item waits for. After a longer one it has failed.
const MAX_QUARANTINE_WAIT_MS: u64 = 60_000;

/// Whether a refused item waits for the end of its quarantine.
pub fn is_quarantine_over_soon(refusal: &Refusal) -> bool {
    let left_ms = refusal.retry_after_ms.unwrap_or(u64::MAX);
    refusal.reason == RefusalReason::Quarantined && left_ms <= MAX_QUARANTINE_WAIT_MS
}

/// How items are run, chosen by the setting `batch_policy`.
pub trait ItemPolicy: Clone + Send + Sync + 'static {
    /// Runs an item until it is answered or has failed for good. Dropping the future cancels the
    /// item at its engine.
    fn run<P: Platform>(
        &self,
        shared: &Shared<P>,
        task: &ItemTask<'_>,
        body: ItemBody,
    ) -> impl Future<Output = FinishedItem> + Send;
}

impl ItemTask<'_> {
    /// Whether the item may start now. Checked before each request to an engine, because engines
    /// take no fencing number: a process that was paused learns only a moment after it resumes that
    /// its lease has lapsed.
    pub fn may_start<P: Platform>(&self, shared: &Shared<P>) -> bool {
        let lease = shared.start_lease(self.job, self.epoch);
        lease.is_some_and(|lease| lease.covers(shared.clock.mono()))
    }

    fn result(&self, id: &RequestId) -> ItemResult {
        ItemResult {
            id: format!("batch_req_{id}"),
            custom_id: self.item.custom_id.clone(),
            response: None,
            error: None,
        }
    }

    /// Builds the request to an engine. It requests a stream if the answer can be assembled from
    /// one.
    pub fn outgoing(&self, id: RequestId, body: ItemBody) -> OutgoingRequest {
        let fingerprint = Fingerprint::of(self.customer, self.item.body.get().as_bytes());
        let streamed = body.streamed.is_some();
        let sent = body.streamed.unwrap_or(body.whole);
        OutgoingRequest {
            prompt: Prompt::from(sent.clone()),
            id,
            path: self.path,
            model: body.model,
            streamed,
            body: sent,
            fingerprint,
            max_tokens: body.max_tokens,
            deadline: None,
            retry_allowed: true,
            of_job: Some(OwnedUnder {
                job: self.job.clone(),
                epoch: self.epoch,
            }),
        }
    }

    /// The result of an item that has failed for good.
    pub fn failed(&self, id: &RequestId, code: &str, message: String) -> FinishedItem {
        let error = ItemError {
            code: code.to_owned(),
            message,
        };
        FinishedItem {
            result: ItemResult {
                error: Some(error),
                ..self.result(id)
            },
            completed: false,
        }
    }

    /// The result of an item with this answer; `None` if the answer's body is not JSON.
    pub fn handle_answer(&self, id: &RequestId, answer: &WholeAnswer) -> Option<FinishedItem> {
        let response = ItemResponse {
            status_code: answer.status.as_u16(),
            request_id: id.to_string(),
            body: serde_json::from_slice(&answer.body).ok()?,
        };
        Some(FinishedItem {
            completed: answer.status.is_success(),
            result: ItemResult {
                response: Some(response),
                ..self.result(id)
            },
        })
    }
}
