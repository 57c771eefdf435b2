//! Notifies the batch controllers of engines of online work. The request path only updates
//! counters; a task of its own sends the notices, at most one per engine every few milliseconds.

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

/// Time limit for one notice.
const NOTICE_TIMEOUT_MS: u64 = 500;
/// A first token that takes longer than this shows that online work is under pressure.
pub const LATE_FIRST_TOKEN_MS: u64 = 500;

/// After a batch controller has answered that it has no batch work at an engine, no notice about
/// the engine is sent for this long.
const NO_BATCH_PAUSE_MS: u64 = 500;

/// Counts a batch item that is about to be sent to an engine. `None` if the engine has no batch
/// controller.
pub fn start_batch_item<P: Platform>(
    shared: &Shared<P>,
    backend: &BackendId,
) -> Option<BatchItemInFlight> {
    shared.batch_controllers.load().start_batch_item(backend)
}

/// Records that an online request was sent to `server`.
pub fn sent<P: Platform>(shared: &Shared<P>, server: &Arc<BackendState>) {
    schedule_notice(shared, server, is_queued(&server.load().report));
}

/// Records how long the first token of an online request took.
pub fn first_token<P: Platform>(shared: &Shared<P>, server: &Arc<BackendState>, took_ms: u64) {
    if took_ms > LATE_FIRST_TOKEN_MS {
        schedule_notice(shared, server, true);
    }
}

/// Sends notices for all engines whose online work has changed since the last notice, and repeats
/// those of engines with online work every [`NOTICE_PERIOD_MS`].
pub fn notify_changes<P: Platform>(shared: &Shared<P>) {
    let controllers = shared.batch_controllers.load();
    let now_ms = shared.clock.mono().0;
    for server in &shared.backends.load().servers {
        let Some(entry) = controllers.0.get(&server.backend.id) else {
            continue;
        };
        let notification = &entry.notification;
        let (online, notified_in_flight) = (
            in_flight(server, notification),
            notification.notified_in_flight.load(Ordering::Relaxed),
        );
        let since_ms = now_ms.saturating_sub(notification.notified_ms.load(Ordering::Relaxed));
        if online != notified_in_flight || (online > 0 && since_ms >= NOTICE_PERIOD_MS) {
            schedule_notice(shared, server, false);
        }
    }
}

fn in_flight(server: &BackendState, notification: &OnlineNotification) -> u32 {
    let batch_in_flight = notification.batch_in_flight.load(Ordering::Relaxed);
    server.load().in_flight.saturating_sub(batch_in_flight)
}

fn schedule_notice<P: Platform>(shared: &Shared<P>, server: &Arc<BackendState>, pressed: bool) {
    let controllers = shared.batch_controllers.load();
    let Some(entry) = controllers.0.get(&server.backend.id) else {
        return;
    };
    let notification = &entry.notification;
    if notification.paused_until_ms.load(Ordering::Relaxed) > shared.clock.mono().0 {
        return;
    }
    notification.pressed.fetch_or(pressed, Ordering::Relaxed);
    if notification.sending.swap(true, Ordering::AcqRel) {
        return;
    }
    let (shared, server, entry) = (shared.clone(), server.clone(), entry.clone());
    tokio::spawn(async move { send_notice(&shared, &server, &entry).await });
}

async fn send_notice<P: Platform>(
    shared: &Shared<P>,
    server: &BackendState,
    entry: &BatchControllerEntry,
) {
    let notification = &entry.notification;
    let notified_ms = notification.notified_ms.load(Ordering::Relaxed);
    let since_ms = shared.clock.mono().0.saturating_sub(notified_ms);
    if since_ms < NOTICE_GAP_MS {
        tokio::time::sleep(Duration::from_millis(NOTICE_GAP_MS - since_ms)).await;
    }
    notification
        .notified_ms
        .store(shared.clock.mono().0, Ordering::Relaxed);
    notification.sending.store(false, Ordering::Release);
    let online = in_flight(server, notification);
    notification
        .notified_in_flight
        .store(online, Ordering::Relaxed);
    let notice = OnlineLoadNotice {
        from: shared.settings.instance.clone(),
        backend: server.backend.id.clone(),
        number: notification.last_number.fetch_add(1, Ordering::Relaxed) + 1,
        in_flight: online,
        pressed: notification.pressed.swap(false, Ordering::Relaxed),
    };
    if !deliver(shared, entry, notice).await {
        let until_ms = shared.clock.mono().0 + NO_BATCH_PAUSE_MS;
        notification
            .paused_until_ms
            .store(until_ms, Ordering::Relaxed);
    }
}

/// Sends a notice. Returns `false` if the batch controller has no batch work at the engine; a
/// notice without an answer counts as `true`.
async fn deliver<P: Platform>(
    shared: &Shared<P>,
    entry: &BatchControllerEntry,
    notice: OnlineLoadNotice,
) -> bool {
    if entry.batch_controller == shared.settings.instance {
        return deliver_here(shared, notice).await;
    }
    let request = PeerRequest::OnlineLoad(notice);
    let address = entry.address;
    match shared
        .peers
        .call(address, &request, NOTICE_TIMEOUT_MS)
        .await
    {
        Ok(answer) => answer == PeerAnswer::Done,
        Err(error) => {
            log::debug!(
                "online load not reported to batch controller {}: {error}",
                entry.batch_controller
            );
            true
        }
    }
}

/// Passes a notice to this instance's batch controller. Returns whether batch work is controlled
/// there.
pub async fn deliver_here<P: Platform>(shared: &Shared<P>, notice: OnlineLoadNotice) -> bool {
    let Some(actors) = shared.actors() else {
        return false;
    };
    let call = |reply| BatchControllerMessage::OnlineWork(notice, reply);
    let answer = actors.batch_controller.call(call, None).await;
    matches!(answer, Ok(CallResult::Success(true)))
}
