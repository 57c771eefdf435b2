//! One item of a batch job, and what a way to run it is.

use std::future::Future;

use foxtailhold::batch::{BatchItem, ItemError, ItemResponse, ItemResult};
use foxtailhold::ids::{CustomerId, RequestId};
use foxtailhold::quarantine::Fingerprint;
use foxtailhold::time::WallMs;
use foxtailhold_engine::WholeAnswer;
use foxtailhold_platform::Platform;
use tokio::time::Instant;

use crate::gateway::dispatch::OutgoingRequest;
use crate::jobs::item_body::ItemBody;
use crate::shared::Shared;

/// An item to run.
#[derive(Debug, Clone, Copy)]
pub struct ItemRun<'a> {
    /// The item.
    pub item: &'a BatchItem,
    /// Whose.
    pub customer: &'a CustomerId,
    /// Path of its endpoint.
    pub path: &'static str,
    /// When its job must be finished.
    pub deadline: WallMs,
    /// Order of its chunk: those begun before go first.
    pub order: u64,
    /// Fencing number of the lease under which its job is owned.
    pub epoch: u64,
}

/// How an item ended.
#[derive(Debug)]
pub struct EndedItem {
    /// Its output line.
    pub result: ItemResult,
    /// Whether it was answered with success.
    pub completed: bool,
}

/// A way to run items.
pub trait ItemPolicy: Clone + Send + Sync + 'static {
    /// Runs an item until it is answered or can be said never to be. Dropping the future cancels
    /// the item at its engine.
    fn run<P: Platform>(
        &self,
        shared: &Shared<P>,
        run: &ItemRun<'_>,
        body: ItemBody,
    ) -> impl Future<Output = EndedItem> + Send;
}

impl ItemRun<'_> {
    /// Whether the job's lease is held now. Asked before each sending to an engine, which takes no
    /// fencing number: a process that was paused learns of a lapse a moment after it goes on.
    pub fn is_owned<P: Platform>(&self, shared: &Shared<P>) -> bool {
        Instant::now() < shared.acts_until(self.epoch)
    }

    fn result(&self, id: &RequestId) -> ItemResult {
        ItemResult {
            id: format!("batch_req_{id}"),
            custom_id: self.item.custom_id.clone(),
            response: None,
            error: None,
        }
    }

    /// The item as it is sent: for a stream, where its answer can be put together from one.
    pub fn outgoing(&self, id: RequestId, body: ItemBody) -> OutgoingRequest {
        let fingerprint = Fingerprint::of(self.customer, self.item.body.get().as_bytes());
        OutgoingRequest {
            id,
            path: self.path,
            model: body.model,
            streamed: body.streamed.is_some(),
            body: body.streamed.unwrap_or(body.whole),
            fingerprint,
            max_tokens: body.max_tokens,
            deadline: None,
            retry_allowed: true,
            lease_epoch: Some(self.epoch),
        }
    }

    /// The item can never be done.
    pub fn failed(&self, id: &RequestId, code: &str, message: String) -> EndedItem {
        let error = ItemError {
            code: code.to_owned(),
            message,
        };
        EndedItem {
            result: ItemResult {
                error: Some(error),
                ..self.result(id)
            },
            completed: false,
        }
    }

    /// The item has this answer; `None` where its body is not JSON.
    pub fn answered(&self, id: &RequestId, answer: &WholeAnswer) -> Option<EndedItem> {
        let response = ItemResponse {
            status_code: answer.status.as_u16(),
            request_id: id.to_string(),
            body: serde_json::from_slice(&answer.body).ok()?,
        };
        Some(EndedItem {
            completed: answer.status.is_success(),
            result: ItemResult {
                response: Some(response),
                ..self.result(id)
            },
        })
    }
}
