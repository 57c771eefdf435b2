//! The batch controllers of engines, as published for the request path, and the online load that
//! they were last notified of.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

use foxtailhold::ids::{BackendId, InstanceId};

/// Online work of this instance at one engine, as last sent to the engine's batch controller.
#[derive(Debug, Default)]
pub struct OnlineNotification {
    /// Batch items in flight, which are not part of the online work.
    pub(crate) batch_in_flight: AtomicU32,
    /// Whether online work came under pressure since the last notice.
    pub(crate) pressed: AtomicBool,
    /// Whether a task is about to send a notice.
    pub(crate) sending: AtomicBool,
    /// Online requests in flight according to the last notice.
    pub(crate) notified_in_flight: AtomicU32,
    pub(crate) notified_ms: AtomicU64,
    /// No notice is sent before this time, because there is no batch work at the engine.
    pub(crate) paused_until_ms: AtomicU64,
    pub(crate) last_number: AtomicU64,
}

/// A batch item in flight at an engine, counted until dropped, so that it is not taken for online
/// work.
#[derive(Debug)]
pub struct BatchItemInFlight(Arc<OnlineNotification>);

impl Drop for BatchItemInFlight {
    fn drop(&mut self) {
        self.0.batch_in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The batch controller of one engine.
#[derive(Debug, Clone)]
pub struct BatchControllerEntry {
    /// Instance that controls batch work at the engine.
    pub batch_controller: InstanceId,
    /// Peer address of that instance.
    pub address: SocketAddr,
    /// Online work that it was last notified of.
    pub notification: Arc<OnlineNotification>,
}

/// Batch controllers of all engines, by engine.
#[derive(Debug, Clone, Default)]
pub struct BatchControllers(pub HashMap<BackendId, BatchControllerEntry>);

impl BatchControllers {
    /// Counts a batch item that is about to be sent to an engine. `None` if the engine has no batch
    /// controller.
    pub fn start_batch_item(&self, backend: &BackendId) -> Option<BatchItemInFlight> {
        let notification = self.0.get(backend)?.notification.clone();
        notification.batch_in_flight.fetch_add(1, Ordering::Relaxed);
        Some(BatchItemInFlight(notification))
    }
}
