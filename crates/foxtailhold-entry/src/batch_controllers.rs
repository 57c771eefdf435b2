//! The stewards of engines, as published for the request path, and what they were told.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

use foxtailhold::ids::{BackendId, InstanceId};

/// What the steward of one engine was told of this instance's online work there.
#[derive(Debug, Default)]
pub struct OnlineNotification {
    pub(crate) batch: AtomicU32,
    pub(crate) pressed: AtomicBool,
    pub(crate) telling: AtomicBool,
    pub(crate) told: AtomicU32,
    pub(crate) told_ms: AtomicU64,
    pub(crate) quiet_until_ms: AtomicU64,
    pub(crate) number: AtomicU64,
}

/// A batch item in flight at an engine, counted until dropped, so that it does not pass for online
/// work.
#[derive(Debug)]
pub struct BatchItemInFlight(Arc<OnlineNotification>);

impl Drop for BatchItemInFlight {
    fn drop(&mut self) {
        self.0.batch.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The steward of one engine.
#[derive(Debug, Clone)]
pub struct BatchControllerEntry {
    /// The instance.
    pub batch_controller: InstanceId,
    /// Where it takes messages of peers.
    pub address: SocketAddr,
    /// What it was told.
    pub gauge: Arc<OnlineNotification>,
}

/// The stewards of all engines, as published for the request path.
#[derive(Debug, Clone, Default)]
pub struct BatchControllers(pub HashMap<BackendId, BatchControllerEntry>);

impl BatchControllers {
    /// Counts a batch item that is about to be sent to an engine.
    pub fn start_batch_item(&self, backend: &BackendId) -> Option<BatchItemInFlight> {
        let gauge = self.0.get(backend)?.gauge.clone();
        gauge.batch.fetch_add(1, Ordering::Relaxed);
        Some(BatchItemInFlight(gauge))
    }
}
