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

use crate::backends::Cell;
use crate::messages::StewardMessage;
use crate::shared::Shared;
use crate::stewards::{BatchFlight, OnlineGauge, StewardEntry};

/// Limit for telling a steward.
const NOTICE_TIMEOUT_MS: u64 = 500;
/// A first token later than this is pressure.
pub const LATE_FIRST_TOKEN_MS: u64 = 500;

/// Without batch there, a steward is not told for this long.
const QUIET_MS: u64 = 500;

/// Counts a batch item that is about to be sent to an engine.
pub fn batch_flight<P: Platform>(shared: &Shared<P>, backend: &BackendId) -> Option<BatchFlight> {
    shared.stewards.load().batch_flight(backend)
}

/// Notes that an online request was sent to `cell`.
pub fn sent<P: Platform>(shared: &Shared<P>, cell: &Arc<Cell>) {
    note(shared, cell, is_queued(&cell.load().report));
}

/// Notes how long the first token of an online request took.
pub fn first_token<P: Platform>(shared: &Shared<P>, cell: &Arc<Cell>, took_ms: u64) {
    if took_ms > LATE_FIRST_TOKEN_MS {
        note(shared, cell, true);
    }
}

/// Looks at all engines for online work that has ended, or that its steward must hear of again.
pub fn look<P: Platform>(shared: &Shared<P>) {
    let stewards = shared.stewards.load();
    let now_ms = shared.clock.mono().0;
    for cell in &shared.backends.load().cells {
        let Some(entry) = stewards.0.get(&cell.backend.id) else {
            continue;
        };
        let gauge = &entry.gauge;
        let (online, told) = (in_flight(cell, gauge), gauge.told.load(Ordering::Relaxed));
        let since_ms = now_ms.saturating_sub(gauge.told_ms.load(Ordering::Relaxed));
        if online != told || (online > 0 && since_ms >= NOTICE_PERIOD_MS) {
            note(shared, cell, false);
        }
    }
}

fn in_flight(cell: &Cell, gauge: &OnlineGauge) -> u32 {
    let batch = gauge.batch.load(Ordering::Relaxed);
    cell.load().in_flight.saturating_sub(batch)
}

fn note<P: Platform>(shared: &Shared<P>, cell: &Arc<Cell>, pressed: bool) {
    let stewards = shared.stewards.load();
    let Some(entry) = stewards.0.get(&cell.backend.id) else {
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
    let (shared, cell, entry) = (shared.clone(), cell.clone(), entry.clone());
    tokio::spawn(async move { tell(&shared, &cell, &entry).await });
}

async fn tell<P: Platform>(shared: &Shared<P>, cell: &Cell, entry: &StewardEntry) {
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
    let online = in_flight(cell, gauge);
    gauge.told.store(online, Ordering::Relaxed);
    let notice = OnlineLoadNotice {
        from: shared.settings.instance.clone(),
        backend: cell.backend.id.clone(),
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
    entry: &StewardEntry,
    notice: OnlineLoadNotice,
) -> bool {
    if entry.steward == shared.settings.instance {
        return noticed_here(shared, notice).await;
    }
    let request = PeerRequest::OnlineSeen(notice);
    let address = entry.address;
    match shared.peers.ask(address, &request, NOTICE_TIMEOUT_MS).await {
        Ok(answer) => answer == PeerAnswer::Done,
        Err(error) => {
            log::debug!("the steward {} was not told: {error}", entry.steward);
            true
        }
    }
}

/// Gives a notice to this instance's steward. Returns whether it has batch there.
pub async fn noticed_here<P: Platform>(shared: &Shared<P>, notice: OnlineLoadNotice) -> bool {
    let Some(actors) = shared.actors() else {
        return false;
    };
    let call = |reply| StewardMessage::Noticed(notice, reply);
    let answer = actors.steward.call(call, None).await;
    matches!(answer, Ok(CallResult::Success(true)))
}
