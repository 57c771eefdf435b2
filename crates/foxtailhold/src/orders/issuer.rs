//! The giver's side of the orders to one engine. One action is outstanding at a time.

use crate::idempotency::ExpectedVersion;
use crate::ids::InstanceId;
use crate::lease::{HeldLease, LEASE_MARGIN_MS, LEASE_RENEW_MS, WatchedLease};
use crate::lease_row::LeaseRow;
use crate::orders::{
    DesiredSetup, EngineState, FencingCheck, LONGEST_FLIGHT_MS, LOOK_PERIOD_MS, LeaseWriteOutcome,
    Order, OrderOutcome, RETRY_MS, SETTLED_PERIOD_MS,
};
use crate::time::MonoMs;

/// What a giver does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IssuerAction {
    /// Nothing now.
    Wait,
    /// Read the lease's row, then [`OrderIssuer::lease_read`].
    ReadLease,
    /// Write the lease's row, then [`OrderIssuer::lease_written`].
    WriteLease(LeaseWrite),
    /// Read the engine's state, then [`OrderIssuer::engine_read`].
    ReadEngine,
    /// Send an order at once, then [`OrderIssuer::order_sent`].
    SendOrder(Order),
}

/// A write of the lease's row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseWrite {
    /// The row.
    pub row: LeaseRow,
    /// What is expected of it.
    pub expected: ExpectedVersion,
    /// The version that the wanted state's row must have, for a new fencing number.
    pub desired_version: Option<u64>,
}

/// What is known of the lease's row.
#[derive(Debug, Clone)]
enum Lease {
    Unknown,
    Absent,
    /// Written by this giver; the version is current unless another one took over.
    Own(LeaseRow, u64),
    Foreign(LeaseRow, u64, WatchedLease),
}

/// A write of the lease that is under way.
#[derive(Debug, Clone)]
struct Pending {
    write: LeaseWrite,
    sent_at: MonoMs,
}

/// Steers one engine towards its wanted state.
#[derive(Debug, Clone)]
pub struct OrderIssuer {
    me: InstanceId,
    fencing: FencingCheck,
    lease: Lease,
    held: HeldLease,
    renewed_at: MonoMs,
    pending: Option<Pending>,
    /// Rows that this giver wrote or tried to write last; only these are its own after a lost
    /// answer, so that a restarted process takes nothing from its predecessor.
    written: [Option<LeaseRow>; 2],
    /// The wanted version that the fencing number held stands for.
    bound_to: Option<u64>,
    /// The wanted version last seen in effect.
    settled: Option<u64>,
    /// Another giver's orders may still arrive: set when a lease that was not ended is taken over.
    quiet_due: bool,
    quiet_until: MonoMs,
    /// When the last order was sent whose arrival is not known.
    uncertain_at: Option<MonoMs>,
    looked: Option<(MonoMs, EngineState)>,
    read_at: Option<MonoMs>,
    retry_at: MonoMs,
}

impl OrderIssuer {
    /// A giver that knows nothing yet.
    pub fn new(me: InstanceId, fencing: FencingCheck) -> Self {
        OrderIssuer {
            me,
            fencing,
            lease: Lease::Unknown,
            held: HeldLease::default(),
            renewed_at: MonoMs::default(),
            pending: None,
            written: [None, None],
            bound_to: None,
            settled: None,
            quiet_due: false,
            quiet_until: MonoMs::default(),
            uncertain_at: None,
            looked: None,
            read_at: None,
            retry_at: MonoMs::default(),
        }
    }

    /// Whether the giver holds the lease at `now`.
    pub fn holds(&self, now: MonoMs) -> bool {
        self.held.epoch_at(now).is_some()
    }

    /// What to do at `now`. `wanted` is `None` where this instance is not to give orders.
    pub fn next(&mut self, now: MonoMs, wanted: Option<&DesiredSetup>) -> IssuerAction {
        let Some(wanted) = wanted else {
            return self.finish(now);
        };
        if now < self.retry_at {
            return IssuerAction::Wait;
        }
        let Some((looked_at, state)) = &self.looked else {
            return IssuerAction::ReadEngine;
        };
        let looked_ago_ms = now.since_ms(*looked_at);
        if self.is_settled(wanted, state) {
            self.settled = Some(wanted.version);
            if looked_ago_ms > SETTLED_PERIOD_MS {
                return IssuerAction::ReadEngine;
            }
            return self.finish(now);
        }
        if looked_ago_ms > LOOK_PERIOD_MS {
            return IssuerAction::ReadEngine;
        }
        let Some(epoch) = self.held.epoch_at(now) else {
            return self.take(now, wanted);
        };
        if self.bound_to != Some(wanted.version) {
            return self.take(now, wanted);
        }
        if now.since_ms(self.renewed_at) >= LEASE_RENEW_MS {
            return self.renew(now);
        }
        self.order(now, epoch, wanted)
    }

    /// A checking engine has the wanted state only once an order for this version was taken: that
    /// order also keeps out what earlier givers still have on the way.
    fn is_settled(&self, wanted: &DesiredSetup, state: &EngineState) -> bool {
        if state.in_effect.as_ref() != Some(&wanted.setup) || state.loading.is_some() {
            return false;
        }
        self.fencing == FencingCheck::Ignored || self.settled == Some(wanted.version)
    }

    fn order(&mut self, now: MonoMs, epoch: u64, wanted: &DesiredSetup) -> IssuerAction {
        if now < self.quiet_until {
            return IssuerAction::Wait;
        }
        let Some((looked_at, state)) = &self.looked else {
            return IssuerAction::ReadEngine;
        };
        if *looked_at < self.quiet_until {
            return IssuerAction::ReadEngine;
        }
        let loading = state.loading.as_ref() == Some(&wanted.setup);
        if loading && (self.fencing == FencingCheck::Ignored || state.fencing >= epoch) {
            return IssuerAction::Wait;
        }
        IssuerAction::SendOrder(Order {
            fencing: epoch,
            setup: wanted.setup.clone(),
        })
    }

    /// Takes the result of an order that [`OrderIssuer::next`] gave at `sent_at`.
    pub fn order_sent(&mut self, sent_at: MonoMs, now: MonoMs, wanted: u64, ordered: OrderOutcome) {
        self.looked = None;
        match ordered {
            OrderOutcome::Taken => {
                if self.fencing == FencingCheck::Enforced {
                    self.settled = Some(wanted);
                }
            }
            OrderOutcome::NotSent => self.retry_at = now + RETRY_MS,
            OrderOutcome::Unknown => {
                self.uncertain_at = Some(sent_at);
                self.retry_at = now + RETRY_MS;
            }
            OrderOutcome::Refused => {
                self.lose();
                self.retry_at = now + RETRY_MS;
            }
        }
    }

    /// Takes the engine's state, asked for at `asked_at`.
    pub fn engine_read(&mut self, asked_at: MonoMs, now: MonoMs, state: Option<EngineState>) {
        match state {
            Some(state) => self.looked = Some((asked_at, state)),
            None => self.retry_at = now + RETRY_MS,
        }
    }

    fn flights_over(&self, now: MonoMs) -> bool {
        let Some(at) = self.uncertain_at else {
            return true;
        };
        self.fencing == FencingCheck::Enforced || now >= at + LONGEST_FLIGHT_MS
    }

    /// Ends a held lease, so that the next giver need not wait, once no order is on its way.
    fn finish(&mut self, now: MonoMs) -> IssuerAction {
        if self.held.epoch_at(now).is_none() {
            return IssuerAction::Wait;
        }
        if now < self.quiet_until || !self.flights_over(now) {
            if now.since_ms(self.renewed_at) >= LEASE_RENEW_MS {
                return self.renew(now);
            }
            return IssuerAction::Wait;
        }
        let Lease::Own(row, version) = self.lease.clone() else {
            return IssuerAction::Wait;
        };
        let row = LeaseRow {
            renewal: row.renewal + 1,
            ended: true,
            ..row
        };
        self.write(now, row, ExpectedVersion::Version(version), None)
    }

    fn renew(&mut self, now: MonoMs) -> IssuerAction {
        let Lease::Own(row, version) = self.lease.clone() else {
            self.lose();
            return IssuerAction::ReadLease;
        };
        let row = LeaseRow {
            renewal: row.renewal + 1,
            ..row
        };
        self.write(now, row, ExpectedVersion::Version(version), None)
    }

    /// Takes the lease, or a new fencing number for another wanted version.
    fn take(&mut self, now: MonoMs, wanted: &DesiredSetup) -> IssuerAction {
        if !self.flights_over(now) {
            let at = self.uncertain_at.unwrap_or_default();
            self.quiet_until = self.quiet_until.max(at + LONGEST_FLIGHT_MS);
        }
        let over = |row: &LeaseRow| LeaseRow {
            holder: self.me.clone(),
            epoch: row.epoch + 1,
            renewal: row.renewal + 1,
            ended: false,
        };
        let (row, expected) = match &self.lease {
            Lease::Unknown => return IssuerAction::ReadLease,
            Lease::Absent => {
                let first = LeaseRow {
                    holder: self.me.clone(),
                    epoch: 1,
                    renewal: 1,
                    ended: false,
                };
                (first, ExpectedVersion::Absent)
            }
            Lease::Own(row, version) => (over(row), ExpectedVersion::Version(*version)),
            Lease::Foreign(row, version, _) if row.ended => {
                (over(row), ExpectedVersion::Version(*version))
            }
            Lease::Foreign(row, _, watched) => {
                let Some(version) = watched.expired_version(now) else {
                    let read_at = self.read_at.unwrap_or_default();
                    return if now.since_ms(read_at) > LOOK_PERIOD_MS {
                        IssuerAction::ReadLease
                    } else {
                        IssuerAction::Wait
                    };
                };
                let row = over(row);
                self.quiet_due = true;
                (row, ExpectedVersion::Version(version))
            }
        };
        self.write(now, row, expected, Some(wanted.version))
    }

    fn write(
        &mut self,
        now: MonoMs,
        row: LeaseRow,
        expected: ExpectedVersion,
        desired_version: Option<u64>,
    ) -> IssuerAction {
        let write = LeaseWrite {
            row,
            expected,
            desired_version,
        };
        self.pending = Some(Pending {
            write: write.clone(),
            sent_at: now,
        });
        IssuerAction::WriteLease(write)
    }

    /// Takes the lease's row, received at `now`.
    ///
    /// The term of another giver's lease is counted from when the row was received: the renewal
    /// was sent before that, so the holder's own count ends earlier.
    pub fn lease_read(&mut self, now: MonoMs, found: Option<(LeaseRow, u64)>) {
        self.read_at = Some(now);
        let Some((row, version)) = found else {
            self.lease = Lease::Absent;
            return;
        };
        if self.written.iter().flatten().any(|own| *own == row) {
            self.adopt(now, row, version);
            return;
        }
        let watched = match &self.lease {
            Lease::Foreign(_, _, watched) => {
                let mut watched = watched.clone();
                watched.observe(version, now);
                watched
            }
            _ => WatchedLease::new(version, now),
        };
        self.lease = Lease::Foreign(row, version, watched);
    }

    fn adopt(&mut self, now: MonoMs, row: LeaseRow, version: u64) {
        self.start_quiet(now);
        self.lease = Lease::Own(row, version);
    }

    fn start_quiet(&mut self, now: MonoMs) {
        if !std::mem::take(&mut self.quiet_due) || self.fencing == FencingCheck::Enforced {
            return;
        }
        let until = now + LEASE_MARGIN_MS + LONGEST_FLIGHT_MS;
        self.quiet_until = self.quiet_until.max(until);
    }

    /// Takes the result of a write of the lease's row, at `now`.
    pub fn lease_written(&mut self, now: MonoMs, written: LeaseWriteOutcome) {
        let Some(Pending { write, sent_at }) = self.pending.take() else {
            return;
        };
        match written {
            LeaseWriteOutcome::Committed => self.committed(now, sent_at, write),
            LeaseWriteOutcome::Failed => {
                self.lose();
                self.retry_at = now + RETRY_MS;
            }
            LeaseWriteOutcome::Unknown => {
                self.note_written(write.row);
                self.lose();
                self.retry_at = now + RETRY_MS;
            }
        }
    }

    fn committed(&mut self, now: MonoMs, sent_at: MonoMs, write: LeaseWrite) {
        let version = match write.expected {
            ExpectedVersion::Absent => 1,
            ExpectedVersion::Version(version) => version + 1,
        };
        self.note_written(write.row.clone());
        if write.row.ended {
            self.lose();
            return;
        }
        self.held.renewed(write.row.epoch, sent_at);
        self.renewed_at = sent_at;
        if write.desired_version.is_some() {
            self.bound_to = write.desired_version;
        }
        self.adopt(now, write.row, version);
    }

    fn note_written(&mut self, row: LeaseRow) {
        self.written.swap(0, 1);
        self.written[0] = Some(row);
    }

    /// Stops acting; the row is read again before the next write.
    fn lose(&mut self) {
        self.held.lost();
        self.lease = Lease::Unknown;
        self.bound_to = None;
    }
}
