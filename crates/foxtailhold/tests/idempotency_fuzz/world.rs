//! A small world for one key: a table that loses, delays and refuses writes, a service that counts
//! what it ran, attempts that are killed and paused between any two steps, a sweeper.

use std::collections::BTreeMap;

use foxtailhold::idempotency::{
    ClaimAttempt, ClaimRefusal, ClaimRelease, ClaimRow, ClaimStep, ExpectedVersion, FoundClaim,
    HeldClaim, RETENTION_MS, ReleaseStep, StoredAnswer, StoredBody, WriteOutcome, is_expired,
};
use foxtailhold::time::{MonoMs, WallMs};

const LONGEST_PAUSE_MS: u64 = 5 * RETENTION_MS;

/// What the store does with one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    Answered,
    AnswerLost,
    Lost,
    Delayed,
    Refused,
}

/// How one send ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    Whole,
    Cut,
    ConnectionRefused,
}

#[derive(Debug, Clone)]
enum Write {
    Put(ExpectedVersion, ClaimRow),
    /// Deletes this version, while no other sweep has been committed.
    Sweep {
        fence: u64,
        version: u64,
    },
}

#[derive(Debug)]
enum Stage {
    Claim(ClaimAttempt),
    Held(HeldClaim),
    /// Checked at this time that it may send, and paused: the send itself comes later.
    Sending(HeldClaim, u64),
    Store(HeldClaim),
    Release(ClaimRelease, ReleaseStep),
    Ended,
}

#[derive(Debug)]
pub struct Attempt {
    stage: Stage,
    body: u8,
    pub runs: u32,
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
                    ExpectedVersion::Version(wanted) => version == Some(*wanted),
                };
                if holds {
                    self.row = Some((version.unwrap_or(0) + 1, row.clone()));
                }
                holds
            }
            Write::Sweep { fence, version } => {
                let seen = self.row.as_ref().map(|row| row.0);
                let holds = *fence == self.fence && seen == Some(*version);
                if holds {
                    self.row = None;
                    self.fence += 1;
                    *self.faults.entry("swept".into()).or_default() += 1;
                }
                holds
            }
        }
    }

    pub fn found(&self) -> Option<FoundClaim> {
        let (version, row) = self.row.clone()?;
        Some(FoundClaim { version, row })
    }

    fn write(&mut self, write: Write, fate: Fate) -> WriteOutcome {
        *self.faults.entry(format!("{fate:?}")).or_default() += 1;
        match fate {
            Fate::Refused => return WriteOutcome::NoEffect,
            Fate::Lost => return WriteOutcome::Unknown,
            Fate::Delayed => {
                self.delayed.push(write);
                return WriteOutcome::Unknown;
            }
            Fate::Answered | Fate::AnswerLost => {}
        }
        let applied = self.apply(&write);
        match (fate, applied) {
            (Fate::AnswerLost, _) => WriteOutcome::Unknown,
            (_, true) => WriteOutcome::Committed,
            (_, false) => WriteOutcome::Conflict(self.found()),
        }
    }

    pub fn land(&mut self, index: usize) {
        if self.delayed.is_empty() {
            return;
        }
        let write = self.delayed.remove(index % self.delayed.len());
        *self.faults.entry("landed late".into()).or_default() += 1;
        self.apply(&write);
    }
}

#[derive(Debug, Default)]
pub struct World {
    pub table: Table,
    pub attempts: Vec<Attempt>,
    now_ms: u64,
    /// When the key was run, and by which attempt.
    pub ran_at: Vec<u64>,
    pub wrong_answer: bool,
    sweep: Option<Write>,
    pub steps: u64,
}

fn digest(body: u8) -> String {
    format!("digest-{body}")
}

fn answer_of(index: usize) -> StoredBody {
    StoredBody::Text(format!("answer of attempt {index}"))
}

impl World {
    fn clocks(&self) -> (MonoMs, WallMs) {
        (MonoMs(self.now_ms), WallMs(self.now_ms))
    }

    pub fn start(&mut self, body: u8) {
        let id = format!("claim-{}", self.attempts.len());
        let claimer = ClaimAttempt::new(id, digest(body));
        self.attempts.push(Attempt {
            stage: Stage::Claim(claimer),
            body,
            runs: 0,
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

    /// Time passes. Assumed of the world: late writes land within hours, and an attempt is not
    /// paused for more than five days between its last check and its send.
    pub fn pass(&mut self, ms: u64) {
        for index in 0..self.attempts.len() {
            let Stage::Sending(_, checked_at) = self.attempts[index].stage else {
                continue;
            };
            if self.now_ms + ms > checked_at + LONGEST_PAUSE_MS {
                self.step(index, Fate::Answered, Reply::Cut);
            }
        }
        if ms > 3_600_000 {
            while !self.table.delayed.is_empty() {
                self.table.land(0);
            }
        }
        self.now_ms += ms;
    }

    /// One half of a sweep: read, or delete what was read before.
    pub fn sweep(&mut self, fate: Fate) {
        if let Some(write) = self.sweep.take() {
            self.table.write(write, fate);
            return;
        }
        let Some(FoundClaim { version, row }) = self.table.found() else {
            return;
        };
        if is_expired(&row, self.clocks().1) {
            let fence = self.table.fence;
            self.sweep = Some(Write::Sweep { fence, version });
        }
    }

    /// One step of one attempt.
    pub fn step(&mut self, index: usize, fate: Fate, reply: Reply) {
        self.steps += 1;
        let Some(attempt) = self.attempts.get_mut(index) else {
            return;
        };
        let stage = std::mem::replace(&mut attempt.stage, Stage::Ended);
        let next = match stage {
            Stage::Claim(claimer) => self.claim(index, claimer, fate),
            Stage::Held(held) => self.check_send(index, held),
            Stage::Sending(held, _) => self.send(index, held, reply),
            Stage::Store(held) => {
                let answer = StoredAnswer {
                    status: 200,
                    content_type: None,
                    body: answer_of(index),
                };
                let (row, expected) = held.answered(answer, WallMs(self.now_ms));
                self.table.write(Write::Put(expected, row), fate);
                Stage::Ended
            }
            Stage::Release(release, step) => self.release(release, &step, fate),
            Stage::Ended => Stage::Ended,
        };
        self.attempts[index].stage = next;
    }

    fn claim(&mut self, index: usize, mut claimer: ClaimAttempt, fate: Fate) -> Stage {
        let (now, wall) = self.clocks();
        let write = Write::Put(claimer.expected(), claimer.row(now, wall).clone());
        match claimer.handle_write(self.table.write(write, fate)) {
            ClaimStep::Write(claimer) => Stage::Claim(claimer),
            ClaimStep::Held(held) => Stage::Held(held),
            ClaimStep::Answer(row, answer) => {
                let body = self.attempts[index].body;
                let mut from = (0..self.attempts.len()).filter(|other| {
                    let other_body = self.attempts[*other].body;
                    answer.body == answer_of(*other) && other_body == body
                });
                let runs = from.next().map_or(0, |other| self.attempts[other].runs);
                self.wrong_answer |= runs != 1 || row.digest != digest(body);
                Stage::Ended
            }
            ClaimStep::Refuse(why, release) => {
                self.attempts[index].not_run = why != ClaimRefusal::MayHaveRun;
                match release {
                    Some(release) => {
                        let step = release.start();
                        Stage::Release(release, step)
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
        self.not_sent(index, held)
    }

    fn not_sent(&mut self, index: usize, held: HeldClaim) -> Stage {
        self.attempts[index].not_run = true;
        let release = held.into_release();
        let step = release.start();
        Stage::Release(release, step)
    }

    fn send(&mut self, index: usize, held: HeldClaim, reply: Reply) -> Stage {
        if reply == Reply::ConnectionRefused {
            return self.not_sent(index, held);
        }
        self.attempts[index].runs += 1;
        self.ran_at.push(self.now_ms);
        if reply == Reply::Cut {
            return Stage::Ended;
        }
        Stage::Store(held)
    }

    fn release(&mut self, release: ClaimRelease, step: &ReleaseStep, fate: Fate) -> Stage {
        let next = match step {
            ReleaseStep::Done => return Stage::Ended,
            ReleaseStep::Read if fate == Fate::Answered => {
                release.handle_read(self.table.found().as_ref())
            }
            ReleaseStep::Read => release.start(),
            ReleaseStep::Write(expected) => {
                let (now, wall) = self.clocks();
                let Some(row) = release.row(now, wall) else {
                    *self.table.faults.entry("left".into()).or_default() += 1;
                    return Stage::Ended;
                };
                let write = Write::Put(*expected, row);
                release.handle_write(self.table.write(write, fate))
            }
        };
        if next == ReleaseStep::Done {
            return Stage::Ended;
        }
        Stage::Release(release, next)
    }

    /// Lets everything finish without further faults.
    pub fn drain(&mut self) {
        for index in 0..self.attempts.len() {
            for _ in 0..8 {
                self.step(index, Fate::Answered, Reply::ConnectionRefused);
            }
        }
        while !self.table.delayed.is_empty() {
            self.table.land(0);
        }
    }

    /// Whether a new attempt with `body` would run now.
    pub fn probe_runs(&mut self, body: u8) -> bool {
        self.start(body);
        let index = self.attempts.len() - 1;
        let before = self.ran_at.len();
        for _ in 0..4 {
            self.step(index, Fate::Answered, Reply::Whole);
        }
        self.ran_at.len() > before
    }
}
