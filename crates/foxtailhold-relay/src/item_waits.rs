//! Waits of batch items, by what holds them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use foxtailhold::ids::JobId;
use foxtailhold::time::WallMs;
use foxtailhold_http::lock::Mutex;
use tokio::time::Instant;

/// A wait of this length is logged.
const LOGGED_WAIT_MS: u64 = 1_000;
/// An item that has not run for this time has the sum of its waits logged.
const LOGGED_IDLE_MS: u64 = 5_000;

/// What a batch item waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum WaitCause {
    /// A slot at any software version.
    Slot,
    /// A slot, first at the software version that wrote its output.
    Version,
    /// The end of the refusal of suspected parts of its prompt.
    SuspectedParts,
    /// The turn of this instance or item to probe suspected parts.
    ProbeTurn,
    /// The permit for a trial.
    TrialPermit,
    /// A backoff after crashes or interruptions.
    Backoff,
    /// A backoff after attempts that ended without a result.
    UnknownEnds,
    /// A backoff after attempts of owners that were lost.
    LostOwners,
    /// A route in the configuration.
    Route,
    /// The store.
    Store,
}

impl WaitCause {
    /// All causes.
    pub const ALL: [WaitCause; 10] = [
        WaitCause::Slot,
        WaitCause::Version,
        WaitCause::SuspectedParts,
        WaitCause::ProbeTurn,
        WaitCause::TrialPermit,
        WaitCause::Backoff,
        WaitCause::UnknownEnds,
        WaitCause::LostOwners,
        WaitCause::Route,
        WaitCause::Store,
    ];

    /// Whether crash evidence holds the item back.
    pub fn is_gate(self) -> bool {
        matches!(
            self,
            WaitCause::SuspectedParts | WaitCause::ProbeTurn | WaitCause::TrialPermit
        )
    }

    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            WaitCause::Slot => "slot",
            WaitCause::Version => "version",
            WaitCause::SuspectedParts => "suspected_parts",
            WaitCause::ProbeTurn => "probe_turn",
            WaitCause::TrialPermit => "trial_permit",
            WaitCause::Backoff => "backoff",
            WaitCause::UnknownEnds => "unknown_ends",
            WaitCause::LostOwners => "lost_owners",
            WaitCause::Route => "route",
            WaitCause::Store => "store",
        }
    }
}

/// Waits of one item since it last ran.
#[derive(Debug, Clone)]
struct Idle {
    since: Instant,
    /// Time of the waits that have ended, and number of them, by cause.
    ended: BTreeMap<WaitCause, (Duration, u32)>,
}

impl Idle {
    fn begin() -> Self {
        Idle {
            since: Instant::now(),
            ended: BTreeMap::new(),
        }
    }

    fn add(&mut self, cause: WaitCause, waited: Duration) {
        let (sum, count) = self.ended.entry(cause).or_default();
        *sum += waited;
        *count += 1;
    }

    /// Time for which the item was held back, though it was ready to run.
    fn held(&self) -> Duration {
        let held = self.ended.iter().filter(|(cause, _)| cause.is_gate());
        held.map(|(_, (sum, _))| *sum).sum()
    }

    fn log(&self, job: &JobId, item: &str) {
        let idle = self.since.elapsed();
        if idle < Duration::from_millis(LOGGED_IDLE_MS) {
            return;
        }
        let waits = self.ended.iter().map(|(cause, (sum, count))| {
            format!("{} {count} x, {} ms", cause.as_str(), sum.as_millis())
        });
        let waits: Vec<String> = waits.collect();
        log::info!(
            job = job.as_str(), item = item, idle_ms = idle.as_millis() as u64,
            held_ms = self.held().as_millis() as u64, waits = waits.join("; ");
            "item was idle"
        );
    }
}

#[derive(Debug)]
struct Wait {
    cause: WaitCause,
    job: JobId,
    item: String,
    begun: Instant,
    begun_unix_ms: u64,
    /// The waits before this one since the item last ran.
    idle: Idle,
    /// Its latest end, if it has one.
    ends_unix_ms: Option<u64>,
    is_logged: bool,
}

#[derive(Debug, Default)]
struct WaitTable {
    last_number: u64,
    waits: BTreeMap<u64, Wait>,
}

/// Number of waiting items by cause, and the longest time for which one has not run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WaitCounts {
    /// Waiting items; causes without one are left out.
    pub items: BTreeMap<WaitCause, usize>,
    /// Longest time since a waiting item last ran or became ready to run.
    pub longest: Duration,
    /// Longest time for which crash evidence has held a waiting item back since it last ran, over
    /// several waits.
    pub longest_hold: Duration,
}

/// Waits of all batch items of this instance; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct ItemWaits {
    table: Arc<Mutex<WaitTable>>,
}

impl ItemWaits {
    /// The waits of one item, none of which has begun yet.
    pub fn of_item(&self, job: &JobId, item: &str) -> ItemWait {
        ItemWait {
            waits: self.clone(),
            job: job.clone(),
            item: item.to_owned(),
            number: None,
        }
    }

    /// Number of waiting items by cause.
    pub fn counts(&self) -> WaitCounts {
        let table = self.table.lock();
        let mut counts = WaitCounts::default();
        for wait in table.waits.values() {
            *counts.items.entry(wait.cause).or_default() += 1;
            counts.longest = counts.longest.max(wait.idle.since.elapsed());
            counts.longest_hold = counts.longest_hold.max(wait.held());
        }
        counts
    }

    /// Logs each wait that has become long since the last call.
    pub fn log_long_waits(&self) {
        let mut table = self.table.lock();
        for wait in table.waits.values_mut() {
            let waited = wait.begun.elapsed();
            if wait.is_logged || waited < Duration::from_millis(LOGGED_WAIT_MS) {
                continue;
            }
            wait.is_logged = true;
            log::info!(
                job = wait.job.as_str(), item = wait.item.as_str(), cause = wait.cause.as_str(),
                since_unix_ms = wait.begun_unix_ms, until_unix_ms = wait.ends_unix_ms,
                idle_ms = wait.idle.since.elapsed().as_millis() as u64;
                "item waits"
            );
        }
    }
}

/// The current wait of one item. Dropping it ends the wait.
#[derive(Debug)]
pub struct ItemWait {
    waits: ItemWaits,
    job: JobId,
    item: String,
    number: Option<u64>,
}

impl ItemWait {
    /// States what the item waits for from now on, at the longest for `limit` if that is known. A wait
    /// for the same cause goes on, one for another cause ends.
    pub fn begin(&mut self, cause: WaitCause, now: WallMs, limit: Option<Duration>) {
        let ends_unix_ms = limit.map(|limit| now.0.saturating_add(limit.as_millis() as u64));
        let mut table = self.waits.table.lock();
        let mut idle = Idle::begin();
        if let Some(number) = self.number {
            if let Some(wait) = table.waits.get_mut(&number)
                && wait.cause == cause
            {
                wait.ends_unix_ms = ends_unix_ms;
                return;
            }
            if let Some(wait) = table.end(number) {
                idle = wait.idle;
                idle.add(wait.cause, wait.begun.elapsed());
            }
        }
        table.last_number += 1;
        let number = table.last_number;
        let wait = Wait {
            cause,
            job: self.job.clone(),
            item: self.item.clone(),
            begun: Instant::now(),
            begun_unix_ms: now.0,
            idle,
            ends_unix_ms,
            is_logged: false,
        };
        table.waits.insert(number, wait);
        self.number = Some(number);
    }

    /// Ends the wait, because the item runs.
    pub fn end(&mut self) {
        let Some(number) = self.number.take() else {
            return;
        };
        let ended = self.waits.table.lock().end(number);
        let Some(mut wait) = ended else {
            return;
        };
        wait.idle.add(wait.cause, wait.begun.elapsed());
        wait.idle.log(&wait.job, &wait.item);
    }
}

impl Drop for ItemWait {
    fn drop(&mut self) {
        self.end();
    }
}

impl Wait {
    fn held(&self) -> Duration {
        let held = self.idle.held();
        match self.cause.is_gate() {
            true => held + self.begun.elapsed(),
            false => held,
        }
    }
}

impl WaitTable {
    fn end(&mut self, number: u64) -> Option<Wait> {
        let wait = self.waits.remove(&number)?;
        if wait.is_logged {
            log::info!(
                job = wait.job.as_str(), item = wait.item.as_str(), cause = wait.cause.as_str(),
                waited_ms = wait.begun.elapsed().as_millis() as u64;
                "item waits no longer"
            );
        }
        Some(wait)
    }
}
