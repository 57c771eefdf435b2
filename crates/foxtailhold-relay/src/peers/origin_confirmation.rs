//! Confirmations by the platform's store, begun after a stream was taken up, that this instance
//! knows all versions at which it can have begun.
//!
//! Streams that are taken up at the same time share one confirmation.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use foxtailhold::stream_origins::StreamOrigin;
use tokio::sync::{Notify, watch};

use super::Peers;
use crate::tables::FollowedTable;

/// Longest time for which a stream that is taken up waits for the store.
pub(crate) const CONFIRM_TIMEOUT_MS: u64 = 400;
/// Interval between checks whether changes that the store has are in effect here.
const APPLIED_CHECK_MS: u64 = 5;

/// Numbers of the newest confirmations that have ended.
#[derive(Debug, Clone, Copy, Default)]
struct Ended {
    confirmed: u64,
    failed: u64,
}

/// Whether the streams of a route have one origin only.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum OnlyOrigin {
    /// They have this one.
    Only(StreamOrigin),
    /// They may have several.
    Unsure,
    /// This instance knows of one, and the store has not confirmed it.
    Unconfirmed,
}

/// Confirmations, numbered in the order in which they begin.
#[derive(Debug, Default)]
pub(super) struct OriginConfirmations {
    /// A confirmation is to begin. One task waits for it.
    due: Notify,
    /// Number of the newest confirmation that has begun.
    begun: AtomicU64,
    ended: watch::Sender<Ended>,
    has_confirmer: AtomicBool,
}

impl Peers {
    /// Waits until a confirmation is to begin, and returns its number.
    pub(crate) async fn wait_confirmation_due(&self) -> u64 {
        let confirmations = &self.inner.origin_confirmations;
        confirmations.has_confirmer.store(true, Ordering::SeqCst);
        confirmations.due.notified().await;
        confirmations.begun.fetch_add(1, Ordering::SeqCst) + 1
    }

    /// Records the end of a confirmation.
    pub(crate) fn confirmation_ended(&self, number: u64, is_confirmed: bool) {
        let ended = &self.inner.origin_confirmations.ended;
        ended.send_modify(|ended| {
            let newest = match is_confirmed {
                true => &mut ended.confirmed,
                false => &mut ended.failed,
            };
            *newest = number.max(*newest);
        });
    }

    /// Waits until all changes of a table up to `version` are in effect here.
    pub(crate) async fn wait_applied(&self, table: FollowedTable, version: u64) {
        while self.inner.tables.known_up_to(table) < version {
            tokio::time::sleep(Duration::from_millis(APPLIED_CHECK_MS)).await;
        }
    }

    /// Whether the store has confirmed, in answers to calls that began after this one, that this
    /// instance knows where streams can begin.
    pub(crate) async fn is_confirmed(&self) -> bool {
        let confirmations = &self.inner.origin_confirmations;
        if !confirmations.has_confirmer.load(Ordering::SeqCst) {
            return false;
        }
        let mut ended = confirmations.ended.subscribe();
        let wanted = confirmations.begun.load(Ordering::SeqCst) + 1;
        confirmations.due.notify_one();
        let has_ended = ended.wait_for(|ended| ended.confirmed.max(ended.failed) >= wanted);
        let limit = Duration::from_millis(CONFIRM_TIMEOUT_MS);
        let ended = tokio::time::timeout(limit, has_ended).await;
        ended.is_ok_and(|ended| ended.is_ok_and(|ended| ended.confirmed >= wanted))
    }

    /// Whether a stream of `route` that has begun before this call can have one origin only.
    pub(crate) async fn confirm_only_origin(&self, route: &str) -> OnlyOrigin {
        if self.only_origin(route).is_none() {
            return OnlyOrigin::Unsure;
        }
        if !self.is_confirmed().await {
            return OnlyOrigin::Unconfirmed;
        }
        if self.is_behind() {
            return OnlyOrigin::Unsure;
        }
        let state = self.inner.origins.lock();
        let only = state.history.only_recorded_origin(self.now(), route);
        only.map_or(OnlyOrigin::Unsure, |only| OnlyOrigin::Only(only.clone()))
    }
}
