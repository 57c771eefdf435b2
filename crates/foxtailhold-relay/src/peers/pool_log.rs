//! Logs how the slots of a service are used while its batch items wait for them.

use foxtailhold::slots::Allocator;
use foxtailhold::time::MonoMs;
use foxtailhold_http::lock::Mutex;

/// Batch items have waited for this time before the pool is logged.
const MIN_QUEUED_MS: u64 = 3_000;
/// Least interval between two lines.
const INTERVAL_MS: u64 = 1_000;

/// Logs the pools that this instance allocates.
#[derive(Debug, Default)]
pub(super) struct PoolLog {
    last_at: MonoMs,
}

impl PoolLog {
    /// Logs each pool in which batch items have waited for a while, once a second.
    pub(super) fn write(&mut self, now: MonoMs, allocator: &Mutex<Allocator>) {
        if now.since_ms(self.last_at) < INTERVAL_MS {
            return;
        }
        self.last_at = now;
        let allocator = allocator.lock();
        for (name, load) in allocator.pool_loads(now) {
            if load.batch_queued_ms < MIN_QUEUED_MS {
                continue;
            }
            log::info!(
                pool = name.as_str(), slots = load.slots, usable = load.usable, free = load.free,
                headroom = load.headroom, online = load.online, batch = load.batch,
                unreported = load.unreported, quiet = load.quiet, online_queued = load.online_queued,
                batch_queued = load.batch_queued, late_queued = load.late_queued,
                version_queued = load.version_queued, queued_ms = load.batch_queued_ms;
                "batch items wait for slots"
            );
        }
    }
}
