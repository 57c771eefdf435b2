//! State machine that issues the orders to one engine. At most one action is outstanding at a time.

use crate::idempotency::ExpectedVersion;
use crate::ids::InstanceId;
use crate::lease::{HeldLease, LEASE_MARGIN_MS, LEASE_RENEW_MS, WatchedLease};
use crate::lease_row::LeaseRow;
use crate::orders::{
    DesiredSetup, EngineState, FencingCheck, LeaseWriteOutcome, MAX_ORDER_DELAY_MS, Order,
    OrderOutcome, POLL_PERIOD_MS, RETRY_DELAY_MS, SETTLED_POLL_PERIOD_MS,
};
use crate::time::MonoMs;

/// Next action of an issuer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IssuerAction {
    /// Do nothing for now.
    Wait,
    /// Read the lease row, then call [`OrderIssuer::lease_read`].
    ReadLease,
    /// Write the lease row, then call [`OrderIssuer::lease_written`].
    WriteLease(LeaseWrite),
    /// Read the engine's state, then call [`OrderIssuer::engine_read`].
    ReadEngine,
    /// Send an order without delay, then call [`OrderIssuer::order_sent`].
    SendOrder(Order),
}

/// A conditional write of the lease row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseWrite {
    /// The row to write.
    pub row: LeaseRow,
    /// Precondition on the current lease row.
    pub expected: ExpectedVersion,
    /// For a new fencing number: the version that the row with the desired setup must have.
    pub desired_version: Option<u64>,
}

/// What the issuer knows of the lease row.
#[derive(Debug, Clone)]
enum LeaseView {
    Unknown,
    Absent,
    /// Written by this issuer. The version is current unless another issuer has taken over.
    Own(LeaseRow, u64),
    Other(LeaseRow, u64, WatchedLease),
}

/// A write of the lease row in flight.
#[derive(Debug, Clone)]
struct PendingWrite {
    write: LeaseWrite,
    sent_at: MonoMs,
}

/// Brings one engine to its desired setup.
#[derive(Debug, Clone)]
pub struct OrderIssuer {
    me: InstanceId,
    fencing: FencingCheck,
    lease: LeaseView,
    held: HeldLease,
    renewed_at: MonoMs,
    pending_write: Option<PendingWrite>,
    /// The last two rows that this issuer wrote or tried to write. After a lost response only these
    /// count as its own, so that a restarted process does not adopt the lease of its
    /// predecessor.
    own_rows: [Option<LeaseRow>; 2],
    /// Version of the desired setup for which the current fencing number was acquired.
    fenced_version: Option<u64>,
    /// Version of the desired setup that is known to be settled: last seen in effect, or accepted
    /// by an engine that checks fencing numbers.
    settled_version: Option<u64>,
    /// Set when a lease that was not ended is taken over: orders of the previous issuer may still
    /// arrive.
    quiet_period_due: bool,
    quiet_until: MonoMs,
    /// Time at which the last order with an unknown outcome was sent.
    unconfirmed_order_at: Option<MonoMs>,
    engine_state: Option<(MonoMs, EngineState)>,
    lease_read_at: Option<MonoMs>,
    retry_at: MonoMs,
}

impl OrderIssuer {
    /// Creates an issuer that has read neither the engine nor the lease.
    pub fn new(me: InstanceId, fencing: FencingCheck) -> Self {
        OrderIssuer {
            me,
            fencing,
            lease: LeaseView::Unknown,
            held: HeldLease::default(),
            renewed_at: MonoMs::default(),
            pending_write: None,
            own_rows: [None, None],
            fenced_version: None,
            settled_version: None,
            quiet_period_due: false,
            quiet_until: MonoMs::default(),
            unconfirmed_order_at: None,
            engine_state: None,
            lease_read_at: None,
            retry_at: MonoMs::default(),
        }
    }

    /// Whether this issuer holds the lease at `now`.
    pub fn holds(&self, now: MonoMs) -> bool {
        self.held.epoch_at(now).is_some()
    }

    /// Decides the action at `now`. `desired` is `None` if this instance must not issue orders.
    pub fn next(&mut self, now: MonoMs, desired: Option<&DesiredSetup>) -> IssuerAction {
        let Some(desired) = desired else {
            return self.end_lease(now);
        };
        if now < self.retry_at {
            return IssuerAction::Wait;
        }
        let Some((state_read_at, state)) = &self.engine_state else {
            return IssuerAction::ReadEngine;
        };
        let state_age_ms = now.since_ms(*state_read_at);
        if self.is_settled(desired, state) {
            self.settled_version = Some(desired.version);
            if state_age_ms > SETTLED_POLL_PERIOD_MS {
                return IssuerAction::ReadEngine;
            }
            return self.end_lease(now);
        }
        if state_age_ms > POLL_PERIOD_MS {
            return IssuerAction::ReadEngine;
        }
        let Some(epoch) = self.held.epoch_at(now) else {
            return self.acquire(now, desired);
        };
        if self.fenced_version != Some(desired.version) {
            return self.acquire(now, desired);
        }
        if now.since_ms(self.renewed_at) >= LEASE_RENEW_MS {
            return self.renew(now);
        }
        self.next_order(now, epoch, desired)
    }

    /// Whether the desired setup is in effect and will stay. An engine that checks fencing numbers
    /// counts as settled only after it has accepted an order for this version, because that order
    /// also fences delayed orders of earlier issuers.
    fn is_settled(&self, desired: &DesiredSetup, state: &EngineState) -> bool {
        if state.in_effect.as_ref() != Some(&desired.setup) || state.loading.is_some() {
            return false;
        }
        self.fencing == FencingCheck::Ignored || self.settled_version == Some(desired.version)
    }

    fn next_order(&mut self, now: MonoMs, epoch: u64, desired: &DesiredSetup) -> IssuerAction {
        if now < self.quiet_until {
            return IssuerAction::Wait;
        }
        let Some((state_read_at, state)) = &self.engine_state else {
            return IssuerAction::ReadEngine;
        };
        if *state_read_at < self.quiet_until {
            return IssuerAction::ReadEngine;
        }
        let loading = state.loading.as_ref() == Some(&desired.setup);
        if loading && (self.fencing == FencingCheck::Ignored || state.fencing >= epoch) {
            return IssuerAction::Wait;
        }
        IssuerAction::SendOrder(Order {
            fencing: epoch,
            setup: desired.setup.clone(),
        })
    }

    /// Processes the outcome of an order that [`OrderIssuer::next`] returned at `sent_at`, for the
    /// version `desired_version` of the desired setup.
    pub fn order_sent(
        &mut self,
        sent_at: MonoMs,
        now: MonoMs,
        desired_version: u64,
        outcome: OrderOutcome,
    ) {
        self.engine_state = None;
        match outcome {
            OrderOutcome::Taken => {
                if self.fencing == FencingCheck::Enforced {
                    self.settled_version = Some(desired_version);
                }
            }
            OrderOutcome::NotSent => self.retry_at = now + RETRY_DELAY_MS,
            OrderOutcome::Unknown => {
                self.unconfirmed_order_at = Some(sent_at);
                self.retry_at = now + RETRY_DELAY_MS;
            }
            OrderOutcome::Refused => {
                self.drop_lease();
                self.retry_at = now + RETRY_DELAY_MS;
            }
        }
    }

    /// Processes the engine's state, requested at `sent_at`; `None` if the read failed.
    pub fn engine_read(&mut self, sent_at: MonoMs, now: MonoMs, state: Option<EngineState>) {
        match state {
            Some(state) => self.engine_state = Some((sent_at, state)),
            None => self.retry_at = now + RETRY_DELAY_MS,
        }
    }

    fn no_order_in_flight(&self, now: MonoMs) -> bool {
        let Some(at) = self.unconfirmed_order_at else {
            return true;
        };
        self.fencing == FencingCheck::Enforced || now >= at + MAX_ORDER_DELAY_MS
    }

    /// Ends a held lease once no order is in flight, so that the next issuer does not have to wait.
    fn end_lease(&mut self, now: MonoMs) -> IssuerAction {
        if self.held.epoch_at(now).is_none() {
            return IssuerAction::Wait;
        }
        if now < self.quiet_until || !self.no_order_in_flight(now) {
            if now.since_ms(self.renewed_at) >= LEASE_RENEW_MS {
                return self.renew(now);
            }
            return IssuerAction::Wait;
        }
        let LeaseView::Own(row, version) = self.lease.clone() else {
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
        let LeaseView::Own(row, version) = self.lease.clone() else {
            self.drop_lease();
            return IssuerAction::ReadLease;
        };
        let row = LeaseRow {
            renewal: row.renewal + 1,
            ..row
        };
        self.write(now, row, ExpectedVersion::Version(version), None)
    }

    /// Acquires the lease, or a new fencing number for another version of the desired setup.
    fn acquire(&mut self, now: MonoMs, desired: &DesiredSetup) -> IssuerAction {
        if !self.no_order_in_flight(now) {
            let at = self.unconfirmed_order_at.unwrap_or_default();
            self.quiet_until = self.quiet_until.max(at + MAX_ORDER_DELAY_MS);
        }
        let next_row = |row: &LeaseRow| LeaseRow {
            holder: self.me.clone(),
            epoch: row.epoch + 1,
            renewal: row.renewal + 1,
            ended: false,
        };
        let (row, expected) = match &self.lease {
            LeaseView::Unknown => return IssuerAction::ReadLease,
            LeaseView::Absent => {
                let first = LeaseRow {
                    holder: self.me.clone(),
                    epoch: 1,
                    renewal: 1,
                    ended: false,
                };
                (first, ExpectedVersion::Absent)
            }
            LeaseView::Own(row, version) => (next_row(row), ExpectedVersion::Version(*version)),
            LeaseView::Other(row, version, _) if row.ended => {
                (next_row(row), ExpectedVersion::Version(*version))
            }
            LeaseView::Other(row, _, watched) => {
                let Some(version) = watched.expired_version(now) else {
                    let lease_read_at = self.lease_read_at.unwrap_or_default();
                    return if now.since_ms(lease_read_at) > POLL_PERIOD_MS {
                        IssuerAction::ReadLease
                    } else {
                        IssuerAction::Wait
                    };
                };
                let row = next_row(row);
                self.quiet_period_due = true;
                (row, ExpectedVersion::Version(version))
            }
        };
        self.write(now, row, expected, Some(desired.version))
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
        self.pending_write = Some(PendingWrite {
            write: write.clone(),
            sent_at: now,
        });
        IssuerAction::WriteLease(write)
    }

    /// Processes the lease row, received at `now`; `None` if there is none.
    ///
    /// The term of another issuer's lease is counted from when the row was received. The holder
    /// counts from before it sent the renewal, so its own count ends earlier.
    pub fn lease_read(&mut self, now: MonoMs, found: Option<(LeaseRow, u64)>) {
        self.lease_read_at = Some(now);
        let Some((row, version)) = found else {
            self.lease = LeaseView::Absent;
            return;
        };
        if self.own_rows.iter().flatten().any(|own| *own == row) {
            self.adopt_lease(now, row, version);
            return;
        }
        let watched = match &self.lease {
            LeaseView::Other(_, _, watched) => {
                let mut watched = watched.clone();
                watched.observe(version, now);
                watched
            }
            _ => WatchedLease::new(version, now),
        };
        self.lease = LeaseView::Other(row, version, watched);
    }

    fn adopt_lease(&mut self, now: MonoMs, row: LeaseRow, version: u64) {
        self.start_quiet_period(now);
        self.lease = LeaseView::Own(row, version);
    }

    fn start_quiet_period(&mut self, now: MonoMs) {
        if !std::mem::take(&mut self.quiet_period_due) || self.fencing == FencingCheck::Enforced {
            return;
        }
        let until = now + LEASE_MARGIN_MS + MAX_ORDER_DELAY_MS;
        self.quiet_until = self.quiet_until.max(until);
    }

    /// Processes the outcome of a write of the lease row, received at `now`.
    pub fn lease_written(&mut self, now: MonoMs, outcome: LeaseWriteOutcome) {
        let Some(PendingWrite { write, sent_at }) = self.pending_write.take() else {
            return;
        };
        match outcome {
            LeaseWriteOutcome::Committed => self.lease_committed(now, sent_at, write),
            LeaseWriteOutcome::Failed => {
                self.drop_lease();
                self.retry_at = now + RETRY_DELAY_MS;
            }
            LeaseWriteOutcome::Unknown => {
                self.remember_own_row(write.row);
                self.drop_lease();
                self.retry_at = now + RETRY_DELAY_MS;
            }
        }
    }

    fn lease_committed(&mut self, now: MonoMs, sent_at: MonoMs, write: LeaseWrite) {
        let version = match write.expected {
            ExpectedVersion::Absent => 1,
            ExpectedVersion::Version(version) => version + 1,
        };
        self.remember_own_row(write.row.clone());
        if write.row.ended {
            self.drop_lease();
            return;
        }
        self.held.record_renewal(write.row.epoch, sent_at);
        self.renewed_at = sent_at;
        if write.desired_version.is_some() {
            self.fenced_version = write.desired_version;
        }
        self.adopt_lease(now, write.row, version);
    }

    fn remember_own_row(&mut self, row: LeaseRow) {
        self.own_rows.swap(0, 1);
        self.own_rows[0] = Some(row);
    }

    /// Stops issuing orders. The lease row is read again before the next write.
    fn drop_lease(&mut self) {
        self.held.give_up();
        self.lease = LeaseView::Unknown;
        self.fenced_version = None;
    }
}
