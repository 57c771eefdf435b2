//! The way of running items that the settings name.

use std::future::pending;

use foxtailhold_platform::Platform;

use crate::jobs::item::{EndedItem, ItemPolicy, ItemRun};
use crate::jobs::item_body::ItemBody;
use crate::jobs::ordinary::OrdinaryItems;
use crate::jobs::streamed_item::StewardItems;
use crate::settings::BatchPolicy;
use crate::shared::Shared;

/// No item is run: the baseline of a fleet without batch.
#[derive(Debug, Clone, Copy)]
pub struct NoItems;

impl ItemPolicy for NoItems {
    async fn run<P: Platform>(&self, _: &Shared<P>, _: &ItemRun<'_>, _: ItemBody) -> EndedItem {
        pending().await
    }
}

/// Runs an item in the way that the settings name.
pub async fn run<P: Platform>(shared: &Shared<P>, run: &ItemRun<'_>) -> EndedItem {
    let id = shared.request_id();
    let body = match ItemBody::try_from(run.item.body.as_ref()) {
        Ok(body) => body,
        Err(error) => return run.failed(&id, "invalid_request", error.to_string()),
    };
    match shared.settings.batch_policy {
        BatchPolicy::Controlled => StewardItems.run(shared, run, body).await,
        BatchPolicy::Ordinary => OrdinaryItems.run(shared, run, body).await,
        BatchPolicy::Off => NoItems.run(shared, run, body).await,
    }
}
