//! Simulation of one idempotency key: a table that loses, delays and refuses writes, a service that
//! counts the requests it ran, attempts that are killed and paused between any two steps, and a
//! sweeper.

use std::collections::BTreeMap;

use foxtailhold::idempotency::{
    ClaimAttempt, ClaimRefusal, ClaimRelease, ClaimRow, ClaimStep, ExpectedVersion, FoundClaim,
    HeldClaim, RETENTION_MS, ReleaseStep, StoredAnswer, StoredBody, WriteOutcome, is_expired,
};
use foxtailhold::time::{MonoMs, WallMs};

const MAX_PAUSE_MS: u64 = 5 * RETENTION_MS;

/// What happens to one call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    Answered,
    ResponseLost,
    RequestLost,
    Delayed,
    Refused,
}

/// Response of the service to one send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceResponse {
    Complete,
    Truncated,
    ConnectionRefused,
}

#[derive(Debug, Clone)]
enum Write {
    Put(ExpectedVersion, ClaimRow),
    /// Deletes the row if it still has this version and no other sweep was committed since the
    /// read.
    Sweep {
        fence: u64,
        version: u64,
    },
}

#[derive(Debug)]
enum Stage {
    Claiming(ClaimAttempt),
    Held(HeldClaim),
    /// Has checked at this time that it may send. The attempt may be paused before the send.
    Sending(HeldClaim, u64),
    StoringResponse(HeldClaim),
    Releasing(ClaimRelease, ReleaseStep),
    Ended,
}

#[derive(Debug)]
pub struct Attempt {
    stage: Stage,
    body: u8,
    pub sends: u32,
    pub not_run: bool,
    pub killed: bool,
}

#[derive(Debug, Default)]
pub struct Table {
    row: Option<(u64, ClaimRow)>,
    fence: u64,
    delayed: Vec<Write>,
    pub faults: BTreeMap<String, u64>,
}

impl Table {
    fn apply(&mut self, write: &Write) -> bool {
        match write {
            Write::Put(expected, row) => {
                let version = self.row.as_ref().map(|row| row.0);
                let holds = match expected {
                    ExpectedVersion::Absent => version.is_none(),
                    ExpectedVersion::Version(required) => version == Some(*required),
                };
                if holds {
                    self.row = Some((version.unwrap_or(0) + 1, row.clone()));
                }
                holds
            }
            Write::Sweep { fence, version } => {
                let current = self.row.as_ref().map(|row| row.0);
                let holds = *fence == self.fence && current == Some(*version);
                if holds {
                    self.row = None;
                    self.fence += 1;
                    *self.faults.entry("swept".into()).or_default() += 1;
                }
                holds
            }
        }
    }

    pub fn read(&self) -> Option<FoundClaim> {
        let (version, row) = self.row.clone()?;
        Some(FoundClaim { version, row })
    }

    fn write(&mut self, write: Write, outcome: CallOutcome) -> WriteOutcome {
        *self.faults.entry(format!("{outcome:?}")).or_default() += 1;
        match outcome {
            CallOutcome::Refused => return WriteOutcome::NoEffect,
            CallOutcome::RequestLost => return WriteOutcome::Unknown,
            CallOutcome::Delayed => {
                self.delayed.push(write);
                return WriteOutcome::Unknown;
            }
            CallOutcome::Answered | CallOutcome::ResponseLost => {}
        }
        let applied = self.apply(&write);
        match (outcome, applied) {
            (CallOutcome::ResponseLost, _) => WriteOutcome::Unknown,
            (_, true) => WriteOutcome::Committed,
            (_, false) => WriteOutcome::Conflict(self.read()),
        }
    }

    pub fn apply_delayed(&mut self, index: usize) {
        if self.delayed.is_empty() {
            return;
        }
        let write = self.delayed.remove(index % self.delayed.len());
        *self.faults.entry("applied late".into()).or_default() += 1;
        self.apply(&write);
    }
}

#[derive(Debug, Default)]
pub struct World {
    pub table: Table,
    pub attempts: Vec<Attempt>,
    now_ms: u64,
    /// Times at which the service ran the request.
    pub executed_at_ms: Vec<u64>,
    pub wrong_response: bool,
    sweep: Option<Write>,
    pub steps: u64,
}

fn digest(body: u8) -> String {
    format!("digest-{body}")
}

fn response_of_attempt(index: usize) -> StoredBody {
    StoredBody::Text(format!("response of attempt {index}"))
}

impl World {
    fn clocks(&self) -> (MonoMs, WallMs) {
        (MonoMs(self.now_ms), WallMs(self.now_ms))
    }

    pub fn start(&mut self, body: u8) {
        let id = format!("claim-{}", self.attempts.len());
        let claim_attempt = ClaimAttempt::new(id, digest(body));
        self.attempts.push(Attempt {
            stage: Stage::Claiming(claim_attempt),
            body,
            sends: 0,
            not_run: false,
            killed: false,
        });
    }

    pub fn kill(&mut self, index: usize) {
        let Some(attempt) = self.attempts.get_mut(index) else {
            return;
        };
        if matches!(attempt.stage, Stage::Ended) {
            return;
        }
        attempt.killed = true;
        attempt.stage = Stage::Ended;
        *self.table.faults.entry("killed".into()).or_default() += 1;
    }

    /// Advances the time. The simulation assumes that delayed writes are applied within hours and
    /// that an attempt is paused for at most five days between its last check and its send.
    pub fn advance_time(&mut self, ms: u64) {
        for index in 0..self.attempts.len() {
            let Stage::Sending(_, checked_at) = self.attempts[index].stage else {
                continue;
            };
            if self.now_ms + ms > checked_at + MAX_PAUSE_MS {
                self.step(index, CallOutcome::Answered, ServiceResponse::Truncated);
            }
        }
        if ms > 3_600_000 {
            while !self.table.delayed.is_empty() {
                self.table.apply_delayed(0);
            }
        }
        self.now_ms += ms;
    }

    /// Runs the next half of a sweep, which is the read or the delete of the row read before.
    pub fn sweep(&mut self, outcome: CallOutcome) {
        if let Some(write) = self.sweep.take() {
            self.table.write(write, outcome);
            return;
        }
        let Some(FoundClaim { version, row }) = self.table.read() else {
            return;
        };
        if is_expired(&row, self.clocks().1) {
            let fence = self.table.fence;
            self.sweep = Some(Write::Sweep { fence, version });
        }
    }

    /// Runs the next step of one attempt.
    pub fn step(&mut self, index: usize, outcome: CallOutcome, response: ServiceResponse) {
        self.steps += 1;
        let Some(attempt) = self.attempts.get_mut(index) else {
            return;
        };
        let stage = std::mem::replace(&mut attempt.stage, Stage::Ended);
        let next = match stage {
            Stage::Claiming(claim_attempt) => self.claim(index, claim_attempt, outcome),
            Stage::Held(held) => self.check_send(index, held),
            Stage::Sending(held, _) => self.send(index, held, response),
            Stage::StoringResponse(held) => {
                let answer = StoredAnswer {
                    status: 200,
                    content_type: None,
                    body: response_of_attempt(index),
                };
                let (row, expected) = held.into_answered_row(answer, WallMs(self.now_ms));
                self.table.write(Write::Put(expected, row), outcome);
                Stage::Ended
            }
            Stage::Releasing(release, step) => self.release(release, &step, outcome),
            Stage::Ended => Stage::Ended,
        };
        self.attempts[index].stage = next;
    }

    fn claim(
        &mut self,
        index: usize,
        mut claim_attempt: ClaimAttempt,
        outcome: CallOutcome,
    ) -> Stage {
        let (now, wall) = self.clocks();
        let write = Write::Put(
            claim_attempt.expected(),
            claim_attempt.row(now, wall).clone(),
        );
        match claim_attempt.handle_write(self.table.write(write, outcome)) {
            ClaimStep::Write(claim_attempt) => Stage::Claiming(claim_attempt),
            ClaimStep::Held(held) => Stage::Held(held),
            ClaimStep::Answer(row, answer) => {
                let body = self.attempts[index].body;
                let mut from = (0..self.attempts.len()).filter(|other| {
                    let other_body = self.attempts[*other].body;
                    answer.body == response_of_attempt(*other) && other_body == body
                });
                let sends = from.next().map_or(0, |other| self.attempts[other].sends);
                self.wrong_response |= sends != 1 || row.digest != digest(body);
                Stage::Ended
            }
            ClaimStep::Refuse(refusal, release) => {
                self.attempts[index].not_run = refusal != ClaimRefusal::MayHaveRun;
                match release {
                    Some(release) => {
                        let step = release.start();
                        Stage::Releasing(release, step)
                    }
                    None => Stage::Ended,
                }
            }
        }
    }

    fn check_send(&mut self, index: usize, held: HeldClaim) -> Stage {
        let (now, wall) = self.clocks();
        if held.may_send(now, wall) {
            return Stage::Sending(held, self.now_ms);
        }
        self.release_unsent(index, held)
    }

    fn release_unsent(&mut self, index: usize, held: HeldClaim) -> Stage {
        self.attempts[index].not_run = true;
        let release = held.into_release();
        let step = release.start();
        Stage::Releasing(release, step)
    }

    fn send(&mut self, index: usize, held: HeldClaim, response: ServiceResponse) -> Stage {
        if response == ServiceResponse::ConnectionRefused {
            return self.release_unsent(index, held);
        }
        self.attempts[index].sends += 1;
        self.executed_at_ms.push(self.now_ms);
        if response == ServiceResponse::Truncated {
            return Stage::Ended;
        }
        Stage::StoringResponse(held)
    }

    fn release(
        &mut self,
        release: ClaimRelease,
        step: &ReleaseStep,
        outcome: CallOutcome,
    ) -> Stage {
        let next = match step {
            ReleaseStep::Done => return Stage::Ended,
            ReleaseStep::Read if outcome == CallOutcome::Answered => {
                release.handle_read(self.table.read().as_ref())
            }
            ReleaseStep::Read => release.start(),
            ReleaseStep::Write(expected) => {
                let (now, wall) = self.clocks();
                let Some(row) = release.row(now, wall) else {
                    *self
                        .table
                        .faults
                        .entry("release too late".into())
                        .or_default() += 1;
                    return Stage::Ended;
                };
                let write = Write::Put(*expected, row);
                release.handle_write(self.table.write(write, outcome))
            }
        };
        if next == ReleaseStep::Done {
            return Stage::Ended;
        }
        Stage::Releasing(release, next)
    }

    /// Lets all attempts and delayed writes finish without further faults.
    pub fn finish_without_faults(&mut self) {
        for index in 0..self.attempts.len() {
            for _ in 0..8 {
                self.step(
                    index,
                    CallOutcome::Answered,
                    ServiceResponse::ConnectionRefused,
                );
            }
        }
        while !self.table.delayed.is_empty() {
            self.table.apply_delayed(0);
        }
    }

    /// Starts a new attempt with `body` and returns whether it runs.
    pub fn new_attempt_runs(&mut self, body: u8) -> bool {
        self.start(body);
        let index = self.attempts.len() - 1;
        let before = self.executed_at_ms.len();
        for _ in 0..4 {
            self.step(index, CallOutcome::Answered, ServiceResponse::Complete);
        }
        self.executed_at_ms.len() > before
    }
}
