//! Byte counters of a peer client.

use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes of message bodies, without protocol overhead.
#[derive(Debug, Default)]
pub struct Traffic {
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
}

impl Traffic {
    /// Bytes of messages sent.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }

    /// Bytes of answers received.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes.load(Ordering::Relaxed)
    }

    pub(crate) fn sent(&self, length_bytes: usize) {
        let length_bytes = length_bytes as u64;
        self.sent_bytes.fetch_add(length_bytes, Ordering::Relaxed);
    }

    pub(crate) fn received(&self, length_bytes: usize) {
        let length_bytes = length_bytes as u64;
        self.received_bytes
            .fetch_add(length_bytes, Ordering::Relaxed);
    }
}
