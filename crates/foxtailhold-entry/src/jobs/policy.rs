//! Selects the item policy that the settings name.

use std::future::pending;

use foxtailhold_platform::Platform;

use crate::jobs::item::{FinishedItem, ItemPolicy, ItemTask};
use crate::jobs::item_body::ItemBody;
use crate::jobs::ordinary::OrdinaryItemPolicy;
use crate::jobs::streamed_item::ControlledItemPolicy;
use crate::settings::BatchPolicy;
use crate::shared::Shared;

/// Runs no item at all: the baseline for measuring a fleet without batch work.
#[derive(Debug, Clone, Copy)]
pub struct DisabledItemPolicy;

impl ItemPolicy for DisabledItemPolicy {
    async fn run<P: Platform>(&self, _: &Shared<P>, _: &ItemTask<'_>, _: ItemBody) -> FinishedItem {
        pending().await
    }
}

/// Runs an item by the policy of the settings. An item whose body cannot be sent fails at once.
pub async fn run<P: Platform>(shared: &Shared<P>, task: &ItemTask<'_>) -> FinishedItem {
    let id = shared.request_id();
    let body = match ItemBody::try_from(task.item.body.as_ref()) {
        Ok(body) => body,
        Err(error) => return task.failed(&id, "invalid_request", error.to_string()),
    };
    match shared.settings.batch_policy {
        BatchPolicy::Controlled => ControlledItemPolicy.run(shared, task, body).await,
        BatchPolicy::Ordinary => OrdinaryItemPolicy.run(shared, task, body).await,
        BatchPolicy::Off => DisabledItemPolicy.run(shared, task, body).await,
    }
}
