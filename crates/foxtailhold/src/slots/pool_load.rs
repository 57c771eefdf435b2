//! How the slots of a pool are used, and what waits for them.

/// Slots in use and the queue of one pool at an instant.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolLoad {
    /// Slots of all backend servers.
    pub slots: u64,
    /// Slots that the health of the backend servers allows to be in use.
    pub usable: u64,
    /// Usable slots without a grant.
    pub free: u64,
    /// Free slots that batch items leave to online requests.
    pub headroom: u64,
    /// Slots granted to online requests.
    pub online: u64,
    /// Slots granted to batch items.
    pub batch: u64,
    /// Granted slots that their instances have not reported, though a report was due.
    pub unreported: u64,
    /// Granted slots whose instance, in its last report, had received nothing from the backend server
    /// for longer than [`MAX_SILENCE_MS`](crate::slots::MAX_SILENCE_MS).
    pub quiet: u64,
    /// Online requests that wait.
    pub online_queued: u64,
    /// Waiting batch items that can still meet their deadline.
    pub batch_queued: u64,
    /// Waiting batch items that are late.
    pub late_queued: u64,
    /// Waiting batch items that accept one version only.
    pub version_queued: u64,
    /// Time in ms for which there has been a waiting batch item at each moment.
    pub batch_queued_ms: u64,
}
