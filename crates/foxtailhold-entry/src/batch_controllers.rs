//! The stewards of engines, as published for the request path, and what they were told.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

use foxtailhold::ids::{BackendId, InstanceId};

/// What the steward of one engine was told of this instance's online work there.
#[derive(Debug, Default)]
pub struct OnlineGauge {
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
pub struct BatchFlight(Arc<OnlineGauge>);

impl Drop for BatchFlight {
    fn drop(&mut self) {
        self.0.batch.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The steward of one engine.
#[derive(Debug, Clone)]
pub struct StewardEntry {
    /// The instance.
    pub steward: InstanceId,
    /// Where it takes messages of peers.
    pub address: SocketAddr,
    /// What it was told.
    pub gauge: Arc<OnlineGauge>,
}

/// The stewards of all engines, as published for the request path.
#[derive(Debug, Clone, Default)]
pub struct Stewards(pub HashMap<BackendId, StewardEntry>);

impl Stewards {
    /// Counts a batch item that is about to be sent to an engine.
    pub fn batch_flight(&self, backend: &BackendId) -> Option<BatchFlight> {
        let gauge = self.0.get(backend)?.gauge.clone();
        gauge.batch.fetch_add(1, Ordering::Relaxed);
        Some(BatchFlight(gauge))
    }
}
