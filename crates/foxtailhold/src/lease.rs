//! The lease of an instance, stored with a fencing number as a row of the table service.
//!
//! The holder counts the term on its own monotonic clock from before it sent the renewal (Gray and
//! Cheriton, "Leases", 1989) and stops acting a margin before the end. Another instance may take
//! over only after it has seen the row unchanged for the whole term on its own clock.

use crate::act_lease::ActLease;
use crate::batch::transaction::{Condition, TransactionOutcome, Versioned};
use crate::ids::InstanceId;
use crate::lease_row::LeaseRow;
use crate::time::MonoMs;

/// Term of a lease, counted from each renewal.
pub const LEASE_TERM_MS: u64 = 6_000;
/// Safety margin: the holder stops acting this long before the term ends.
pub const LEASE_MARGIN_MS: u64 = 1_500;
/// Age up to which the holder acts on a renewal, and on a confirmation that a job is in progress.
pub const ACT_BOUND_MS: u64 = LEASE_TERM_MS - LEASE_MARGIN_MS;
/// Interval between renewals.
pub const LEASE_RENEW_MS: u64 = 1_500;

/// The lease as its holder knows it.
#[derive(Debug, Clone, Default)]
pub struct HeldLease {
    /// Epoch, and the time at which the last committed renewal was sent.
    last_renewal: Option<(u64, MonoMs)>,
}

impl HeldLease {
    /// Records a committed renewal that was sent at `sent_at`.
    pub fn record_renewal(&mut self, epoch: u64, sent_at: MonoMs) {
        self.last_renewal = Some((epoch, sent_at));
    }

    /// Gives up the lease.
    pub fn give_up(&mut self) {
        self.last_renewal = None;
    }

    /// The fencing number if the holder may act at `now`.
    pub fn epoch_at(&self, now: MonoMs) -> Option<u64> {
        let (epoch, _) = self.last_renewal?;
        self.valid_until(epoch)?.covers(now).then_some(epoch)
    }

    /// Leave of the holder to act on work owned under `epoch`; `None` if it holds no lease or holds
    /// one with a different epoch.
    pub fn valid_until(&self, epoch: u64) -> Option<ActLease> {
        let (held_epoch, sent_at) = self.last_renewal?;
        (held_epoch == epoch).then_some(ActLease::new(sent_at, ACT_BOUND_MS))
    }
}

/// State of the lease with respect to work that was claimed under some epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseState {
    /// The owner may act.
    Held,
    /// The owner may act on what runs, but nothing may start before it is confirmed again that the
    /// work is still wanted.
    Unconfirmed,
    /// The owner may not act now, but the lease may be renewed with the same epoch.
    Lapsed,
    /// The lease has a different epoch, so the work is lost for good.
    Lost,
}

impl HeldLease {
    /// State of the lease for work owned under `epoch`.
    pub fn lease_state(&self, epoch: u64, now: MonoMs) -> LeaseState {
        match self.last_renewal {
            Some((held_epoch, _)) if held_epoch != epoch => LeaseState::Lost,
            _ if self.epoch_at(now).is_some() => LeaseState::Held,
            _ => LeaseState::Lapsed,
        }
    }
}

/// Renews the lease of this instance.
///
/// A process keeps its epoch as long as the row has this epoch and is not marked as ended, even
/// after a gap longer than the term. This is safe because a take-over would have marked the row as
/// ended and each renewal is conditional on the version of the row.
#[derive(Debug, Clone)]
pub struct LeaseRenewer {
    me: InstanceId,
    held: HeldLease,
    epoch: Option<u64>,
    last_row: Option<Versioned<LeaseRow>>,
}

/// A planned renewal, not sent yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Renewal {
    /// Precondition on the current row.
    pub condition: Condition,
    /// The row to write.
    pub row: LeaseRow,
    sent_at: MonoMs,
    version: u64,
}

impl LeaseRenewer {
    /// Creates the renewer of an instance that has just started and holds no lease.
    pub fn new(me: InstanceId) -> Self {
        LeaseRenewer {
            me,
            held: HeldLease::default(),
            epoch: None,
            last_row: None,
        }
    }

    /// The lease as held by this instance.
    pub fn held(&self) -> &HeldLease {
        &self.held
    }

    /// Whether the row has to be read before the next renewal is planned.
    pub fn needs_read(&self) -> bool {
        self.last_row.is_none()
    }

    /// Plans the next renewal. `now` must not be later than the time at which it is sent. `found`
    /// is the row if it was read for this renewal.
    pub fn renewal(&mut self, found: Option<Versioned<LeaseRow>>, now: MonoMs) -> Renewal {
        let last_row = self.last_row.take().or(found);
        let condition = Condition::unchanged(last_row.as_ref());
        if !last_row
            .as_ref()
            .is_some_and(|last_row| self.is_own(&last_row.row))
        {
            self.held.give_up();
        }
        let version = last_row.as_ref().map_or(0, |last_row| last_row.version) + 1;
        let row = match last_row {
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

    /// Gives up the lease and returns the write that marks it as ended, so that other instances do
    /// not have to wait for its expiry. Returns `None` if the row is not known. The holder must not
    /// act under the lease after this.
    pub fn end(&mut self) -> Option<(Condition, LeaseRow)> {
        self.held.give_up();
        let last_row = self.last_row.take()?;
        let condition = Condition::unchanged(Some(&last_row));
        let row = LeaseRow {
            ended: true,
            ..last_row.row
        };
        Some((condition, row))
    }

    fn is_own(&self, row: &LeaseRow) -> bool {
        !row.ended && self.epoch == Some(row.epoch)
    }

    /// Processes the outcome of a renewal. After a lost response or a conflict the row has to be
    /// read again. Until then the holder acts on its previous renewal.
    pub fn handle_outcome(&mut self, renewal: Renewal, outcome: &TransactionOutcome) {
        match outcome {
            TransactionOutcome::Committed => {
                self.epoch = Some(renewal.row.epoch);
                self.held.record_renewal(renewal.row.epoch, renewal.sent_at);
                self.last_row = Some(Versioned {
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

/// The lease of another instance, as observed through its row.
#[derive(Debug, Clone)]
pub struct WatchedLease {
    version: u64,
    seen_at: MonoMs,
}

impl WatchedLease {
    /// Starts to observe a lease whose row was read with `version`; the response arrived at
    /// `received_at`.
    pub fn new(version: u64, received_at: MonoMs) -> Self {
        WatchedLease {
            version,
            seen_at: received_at,
        }
    }

    /// Records a later read, whose response arrived at `received_at`. The time at which the read
    /// was sent would be too early, because the holder may have sent its renewal after that.
    pub fn observe(&mut self, version: u64, received_at: MonoMs) {
        if version == self.version {
            return;
        }
        self.version = version;
        self.seen_at = received_at;
    }

    /// Version on which a take-over has to be conditional, or `None` unless a read sent at
    /// `sent_at` has found the row unchanged for longer than the term.
    pub fn expired_version(&self, sent_at: MonoMs) -> Option<u64> {
        (sent_at.since_ms(self.seen_at) > LEASE_TERM_MS).then_some(self.version)
    }
}
