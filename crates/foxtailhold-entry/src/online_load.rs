//! Tells the stewards of engines of online work. The request path only touches counters here; a
//! notice is sent by a task of its own, at most one for each engine every few milliseconds.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use foxtailhold::batch_control::{NOTICE_GAP_MS, NOTICE_PERIOD_MS, OnlineLoadNotice, is_queued};
use foxtailhold::ids::BackendId;
use foxtailhold_peer::{PeerAnswer, PeerRequest};
use foxtailhold_platform::Platform;
use ractor::rpc::CallResult;

use crate::backends::BackendState;
use crate::batch_controllers::{BatchControllerEntry, BatchItemInFlight, OnlineNotification};
use crate::messages::BatchControllerMessage;
use crate::shared::Shared;

/// Limit for telling a steward.
const NOTICE_TIMEOUT_MS: u64 = 500;
/// A first token later than this is pressure.
pub const LATE_FIRST_TOKEN_MS: u64 = 500;

/// Without batch there, a steward is not told for this long.
const QUIET_MS: u64 = 500;

/// Counts a batch item that is about to be sent to an engine.
pub fn start_batch_item<P: Platform>(
    shared: &Shared<P>,
    backend: &BackendId,
) -> Option<BatchItemInFlight> {
    shared.batch_controllers.load().start_batch_item(backend)
}

/// Notes that an online request was sent to `cell`.
pub fn sent<P: Platform>(shared: &Shared<P>, server: &Arc<BackendState>) {
    note(shared, server, is_queued(&server.load().report));
}

/// Notes how long the first token of an online request took.
pub fn first_token<P: Platform>(shared: &Shared<P>, server: &Arc<BackendState>, took_ms: u64) {
    if took_ms > LATE_FIRST_TOKEN_MS {
        note(shared, server, true);
    }
}

/// Looks at all engines for online work that has ended, or that its steward must hear of again.
pub fn notify_changes<P: Platform>(shared: &Shared<P>) {
    let controllers = shared.batch_controllers.load();
    let now_ms = shared.clock.mono().0;
    for server in &shared.backends.load().servers {
        let Some(entry) = controllers.0.get(&server.backend.id) else {
            continue;
        };
        let gauge = &entry.gauge;
        let (online, told) = (in_flight(server, gauge), gauge.told.load(Ordering::Relaxed));
        let since_ms = now_ms.saturating_sub(gauge.told_ms.load(Ordering::Relaxed));
        if online != told || (online > 0 && since_ms >= NOTICE_PERIOD_MS) {
            note(shared, server, false);
        }
    }
}

fn in_flight(server: &BackendState, gauge: &OnlineNotification) -> u32 {
    let batch = gauge.batch.load(Ordering::Relaxed);
    server.load().in_flight.saturating_sub(batch)
}

fn note<P: Platform>(shared: &Shared<P>, server: &Arc<BackendState>, pressed: bool) {
    let controllers = shared.batch_controllers.load();
    let Some(entry) = controllers.0.get(&server.backend.id) else {
        return;
    };
    let gauge = &entry.gauge;
    if gauge.quiet_until_ms.load(Ordering::Relaxed) > shared.clock.mono().0 {
        return;
    }
    gauge.pressed.fetch_or(pressed, Ordering::Relaxed);
    if gauge.telling.swap(true, Ordering::AcqRel) {
        return;
    }
    let (shared, server, entry) = (shared.clone(), server.clone(), entry.clone());
    tokio::spawn(async move { tell(&shared, &server, &entry).await });
}

async fn tell<P: Platform>(
    shared: &Shared<P>,
    server: &BackendState,
    entry: &BatchControllerEntry,
) {
    let gauge = &entry.gauge;
    let told_ms = gauge.told_ms.load(Ordering::Relaxed);
    let since_ms = shared.clock.mono().0.saturating_sub(told_ms);
    if since_ms < NOTICE_GAP_MS {
        tokio::time::sleep(Duration::from_millis(NOTICE_GAP_MS - since_ms)).await;
    }
    gauge
        .told_ms
        .store(shared.clock.mono().0, Ordering::Relaxed);
    gauge.telling.store(false, Ordering::Release);
    let online = in_flight(server, gauge);
    gauge.told.store(online, Ordering::Relaxed);
    let notice = OnlineLoadNotice {
        from: shared.settings.instance.clone(),
        backend: server.backend.id.clone(),
        number: gauge.number.fetch_add(1, Ordering::Relaxed) + 1,
        in_flight: online,
        pressed: gauge.pressed.swap(false, Ordering::Relaxed),
    };
    if !deliver(shared, entry, notice).await {
        let until_ms = shared.clock.mono().0 + QUIET_MS;
        gauge.quiet_until_ms.store(until_ms, Ordering::Relaxed);
    }
}

/// Whether the steward has batch there, or could not be asked.
async fn deliver<P: Platform>(
    shared: &Shared<P>,
    entry: &BatchControllerEntry,
    notice: OnlineLoadNotice,
) -> bool {
    if entry.batch_controller == shared.settings.instance {
        return deliver_here(shared, notice).await;
    }
    let request = PeerRequest::OnlineSeen(notice);
    let address = entry.address;
    match shared.peers.ask(address, &request, NOTICE_TIMEOUT_MS).await {
        Ok(answer) => answer == PeerAnswer::Done,
        Err(error) => {
            log::debug!(
                "the steward {} was not told: {error}",
                entry.batch_controller
            );
            true
        }
    }
}

/// Gives a notice to this instance's steward. Returns whether it has batch there.
pub async fn deliver_here<P: Platform>(shared: &Shared<P>, notice: OnlineLoadNotice) -> bool {
    let Some(actors) = shared.actors() else {
        return false;
    };
    let call = |reply| BatchControllerMessage::OnlineWork(notice, reply);
    let answer = actors.batch_controller.call(call, None).await;
    matches!(answer, Ok(CallResult::Success(true)))
}
