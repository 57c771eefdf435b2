//! A lease of one instance, kept as a row of the table service with a fencing number.
//!
//! The holder counts from the moment before it sent the renewal, on its own monotonic clock
//! (Gray and Cheriton, "Leases", 1989), and stops acting a margin before the end. Another instance
//! may take over only after it has seen the row unchanged for the whole term on its own clock.

use crate::batch::transaction::{Condition, TransactionOutcome, Versioned};
use crate::ids::InstanceId;
use crate::lease_row::LeaseRow;
use crate::time::MonoMs;

/// Term of a lease.
pub const LEASE_TERM_MS: u64 = 6_000;
/// The holder stops acting this long before the term ends.
pub const LEASE_MARGIN_MS: u64 = 1_500;
/// The holder renews this often.
pub const LEASE_RENEW_MS: u64 = 1_500;

/// The holder's side.
#[derive(Debug, Clone, Default)]
pub struct HeldLease {
    held: Option<(u64, MonoMs)>,
}

impl HeldLease {
    /// Notes a renewal known to be committed, sent at `sent_at`.
    pub fn renewed(&mut self, epoch: u64, sent_at: MonoMs) {
        self.held = Some((epoch, sent_at));
    }

    /// Gives the lease up.
    pub fn lost(&mut self) {
        self.held = None;
    }

    /// The fencing number, while the holder may act at `now`.
    pub fn epoch_at(&self, now: MonoMs) -> Option<u64> {
        let (epoch, _) = self.held?;
        (now < self.valid_until(epoch)?).then_some(epoch)
    }

    /// Until when the holder may act on work owned under `epoch`; `None` where it holds nothing, or
    /// another epoch.
    pub fn valid_until(&self, epoch: u64) -> Option<MonoMs> {
        let (held, sent_at) = self.held?;
        (held == epoch).then_some(sent_at + (LEASE_TERM_MS - LEASE_MARGIN_MS))
    }
}

/// How an owner stands towards work owned under an epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseState {
    /// It may act.
    Held,
    /// It may not act now; the lease may come back under the same epoch.
    Lapsed,
    /// The epoch is over for good.
    Lost,
}

impl HeldLease {
    /// How the holder stands towards work owned under `epoch`.
    pub fn lease_state(&self, epoch: u64, now: MonoMs) -> LeaseState {
        match self.held {
            Some((held, _)) if held != epoch => LeaseState::Lost,
            _ if self.epoch_at(now).is_some() => LeaseState::Held,
            _ => LeaseState::Lapsed,
        }
    }
}

/// Renews one instance's own lease.
///
/// The epoch belongs to one run of the process. It is kept as long as the row says it and is not
/// marked as ended, also after a gap longer than the term: a take-over would have marked the row,
/// and the renewal is conditional on the row's version.
#[derive(Debug, Clone)]
pub struct LeaseRenewer {
    me: InstanceId,
    held: HeldLease,
    epoch: Option<u64>,
    known: Option<Versioned<LeaseRow>>,
}

/// A renewal ready to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Renewal {
    /// What the row must be.
    pub condition: Condition,
    /// What it becomes.
    pub row: LeaseRow,
    sent_at: MonoMs,
    version: u64,
}

impl LeaseRenewer {
    /// The keeper of an instance that has just started.
    pub fn new(me: InstanceId) -> Self {
        LeaseRenewer {
            me,
            held: HeldLease::default(),
            epoch: None,
            known: None,
        }
    }

    /// What is held.
    pub fn held(&self) -> &HeldLease {
        &self.held
    }

    /// Whether the row has to be read before the next renewal.
    pub fn needs_read(&self) -> bool {
        self.known.is_none()
    }

    /// Plans the next renewal at `now`, which must not be later than the moment it is sent.
    /// `found` is the row where it was read for this renewal.
    pub fn renewal(&mut self, found: Option<Versioned<LeaseRow>>, now: MonoMs) -> Renewal {
        let known = self.known.take().or(found);
        let condition = Condition::unchanged(known.as_ref());
        if !known.as_ref().is_some_and(|known| self.is_own(&known.row)) {
            self.held.lost();
        }
        let version = known.as_ref().map_or(0, |known| known.version) + 1;
        let row = match known {
            None => LeaseRow {
                holder: self.me.clone(),
                epoch: self.epoch.unwrap_or(0) + 1,
                renewal: 1,
                ended: false,
            },
            Some(Versioned { row, .. }) => {
                let own = self.is_own(&row);
                LeaseRow {
                    epoch: if own { row.epoch } else { row.epoch + 1 },
                    renewal: row.renewal + 1,
                    ended: false,
                    ..row
                }
            }
        };
        Renewal {
            condition,
            row,
            sent_at: now,
            version,
        }
    }

    /// The end of the lease, which others may then take over at once; `None` if its row is not
    /// known. Nothing may be done under the lease after this.
    pub fn end(&mut self) -> Option<(Condition, LeaseRow)> {
        self.held.lost();
        let known = self.known.take()?;
        let condition = Condition::unchanged(Some(&known));
        let row = LeaseRow {
            ended: true,
            ..known.row
        };
        Some((condition, row))
    }

    fn is_own(&self, row: &LeaseRow) -> bool {
        !row.ended && self.epoch == Some(row.epoch)
    }

    /// Takes what became of a renewal. After a lost answer or a conflict the row is read anew;
    /// until then the holder acts on what it was granted before.
    pub fn handle_outcome(&mut self, renewal: Renewal, outcome: &TransactionOutcome) {
        match outcome {
            TransactionOutcome::Committed => {
                self.epoch = Some(renewal.row.epoch);
                self.held.renewed(renewal.row.epoch, renewal.sent_at);
                self.known = Some(Versioned {
                    version: renewal.version,
                    row: renewal.row,
                });
            }
            TransactionOutcome::Conflict { .. }
            | TransactionOutcome::Unavailable
            | TransactionOutcome::Unknown => {}
        }
    }
}

/// Another instance's view of the row.
#[derive(Debug, Clone)]
pub struct WatchedLease {
    version: u64,
    seen_at: MonoMs,
}

impl WatchedLease {
    /// Starts watching a row with `version`, whose reading was answered at `answered_at`.
    pub fn new(version: u64, answered_at: MonoMs) -> Self {
        WatchedLease {
            version,
            seen_at: answered_at,
        }
    }

    /// Notes a later reading, answered at `answered_at`. The time before the read was sent would
    /// be too early: the holder may have sent its renewal after that.
    pub fn observe(&mut self, version: u64, answered_at: MonoMs) {
        if version == self.version {
            return;
        }
        self.version = version;
        self.seen_at = answered_at;
    }

    /// The version that a take-over must be conditional on, once a reading sent at `asked_at` found
    /// it unchanged for the whole term.
    pub fn expired_version(&self, asked_at: MonoMs) -> Option<u64> {
        (asked_at.since_ms(self.seen_at) > LEASE_TERM_MS).then_some(self.version)
    }
}
