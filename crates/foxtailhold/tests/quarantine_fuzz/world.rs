//! A deterministic simulation of instances, backend servers and a network.

use foxtailhold::ids::BackendId;
use foxtailhold::quarantine::{
    CrashId, Fingerprint, InFlightRequest, ProbeOutcome, Quarantine, QuarantineNotice,
    QuarantineStatus,
};
use foxtailhold::suspect::{ProbeNegotiation, SuspectAction};
use foxtailhold::time::MonoMs;

pub const INSTANCES: usize = 4;
pub const BACKENDS: usize = 5;
const COORDINATOR: usize = 0;
const STEP_MS: u64 = 5;
const RESTART_MS: u64 = 250;
const MAX_DELAY_MS: u64 = 60;
/// A request sent later than this after the first crash was sent when all instances knew of the
/// crash.
const KNOWN_MS: u64 = MAX_DELAY_MS + STEP_MS;

/// Largest number of crashes of one crashing request after all instances know of the first: its
/// probe, and one more if an instance that missed the start of the probe sent another request
/// there.
const MAX_KNOWN_CRASHES: u32 = 2;

/// Number of crashing requests, and the time that they run before they crash their backend server.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub crashing_requests: u128,
    pub time_to_crash_ms: u64,
}

#[derive(Debug, Clone, PartialEq)]
enum Stage {
    Routing {
        at: u64,
    },
    ProbeDelay {
        until: u64,
        backend: usize,
        strict: bool,
    },
    Running {
        backend: usize,
        since: u64,
        ends: u64,
        is_strict_probe: Option<bool>,
    },
    Answered,
    Refused,
    GivenUp,
}

#[derive(Debug, Clone)]
struct Attempt {
    instance: usize,
    request: u128,
    stage: Stage,
    negotiation: ProbeNegotiation,
    attempts: u32,
}

enum Message {
    Notice(usize, QuarantineNotice),
    Ended(Fingerprint, BackendId, ProbeOutcome),
}

/// Counts of events, printed at the end of each case if `FOXTAILHOLD_FUZZ_CASES` is set.
#[derive(Debug, Default)]
pub struct Counts {
    steps: u64,
    killer_crashes: u64,
    kills: u64,
    notices: u64,
    duplicates: u64,
    lost: u64,
    probes: u64,
    convictions: u64,
}

pub struct World {
    scenario: Scenario,
    now: u64,
    seed: u64,
    tables: Vec<Quarantine>,
    attempts: Vec<Attempt>,
    started: Vec<u64>,
    down_until: Vec<u64>,
    network: Vec<(u64, Message)>,
    first_crash: [Option<u64>; 2],
    known_crashes: [u32; 2],
    pub counts: Counts,
}

fn id(backend: usize) -> BackendId {
    BackendId::try_from(format!("engine-{backend}").as_str()).unwrap()
}

impl World {
    pub fn new(scenario: Scenario) -> Self {
        World {
            scenario,
            now: 1,
            seed: 7,
            tables: vec![Quarantine::default(); INSTANCES],
            attempts: Vec::new(),
            started: vec![1; BACKENDS],
            down_until: vec![0; BACKENDS],
            network: Vec::new(),
            first_crash: [None; 2],
            known_crashes: [0; 2],
            counts: Counts::default(),
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        let next = self.seed.wrapping_mul(6_364_136_223_846_793_005);
        self.seed = next.wrapping_add(1);
        (self.seed >> 33) % below
    }

    fn mono(&self) -> MonoMs {
        MonoMs(self.now)
    }

    fn is_crashing(&self, request: u128) -> bool {
        request < self.scenario.crashing_requests
    }

    /// Sends a notice to all other instances, to some of them twice. Some instances do not receive
    /// the start of a probe.
    fn broadcast(&mut self, from: usize, notice: &QuarantineNotice) {
        self.counts.notices += 1;
        self.counts.convictions += u64::from(matches!(notice, QuarantineNotice::Convicted { .. }));
        for to in 0..INSTANCES {
            if to == from {
                continue;
            }
            let is_lost =
                matches!(notice, QuarantineNotice::ProbeStarted { .. }) && self.draw(3) == 0;
            let copies = match is_lost {
                true => 0,
                false => 1 + self.draw(2),
            };
            self.counts.lost += u64::from(is_lost);
            self.counts.duplicates += copies.saturating_sub(1);
            for _ in 0..copies {
                let at = self.now + 1 + self.draw(MAX_DELAY_MS);
                self.network.push((at, Message::Notice(to, notice.clone())));
            }
        }
    }

    fn record_own(&mut self, instance: usize, notice: &QuarantineNotice) {
        let now = self.mono();
        if self.tables[instance].on_notice(notice, now) {
            self.broadcast(instance, notice);
        }
    }

    fn deliver(&mut self) {
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.network)
            .into_iter()
            .partition(|(at, _)| *at <= self.now);
        self.network = later;
        let now = self.mono();
        for (_, message) in due {
            match message {
                Message::Notice(to, notice) => {
                    self.tables[to].on_notice(&notice, now);
                }
                Message::Ended(fingerprint, backend, end) => {
                    let notice =
                        self.tables[COORDINATOR].probe_ended(fingerprint, &backend, end, now);
                    if let Some(notice) = notice {
                        self.broadcast(COORDINATOR, &notice);
                    }
                }
            }
        }
    }

    fn ended(&mut self, request: u128, backend: usize, end: ProbeOutcome) {
        let at = self.now + 1 + self.draw(MAX_DELAY_MS);
        let message = Message::Ended(Fingerprint(request), id(backend), end);
        self.network.push((at, message));
    }

    fn crash(&mut self, backend: usize, crashing: Option<(u128, u64)>) {
        if let Some((crashing, sent)) = crashing {
            self.counts.killer_crashes += 1;
            let crashing = crashing as usize;
            let first = *self.first_crash[crashing].get_or_insert(self.now);
            self.known_crashes[crashing] += u32::from(sent > first + KNOWN_MS);
        }
        let crash = CrashId {
            backend: id(backend),
            started_unix_ms: self.started[backend],
        };
        self.started[backend] = self.now;
        self.down_until[backend] = self.now + RESTART_MS;
        let mut flights = vec![Vec::new(); INSTANCES];
        let mut ended = Vec::new();
        let now = self.now;
        for attempt in &mut self.attempts {
            let Stage::Running {
                backend: at,
                since,
                is_strict_probe,
                ..
            } = attempt.stage
            else {
                continue;
            };
            if at != backend {
                continue;
            }
            flights[attempt.instance].push(InFlightRequest {
                fingerprint: Fingerprint(attempt.request),
                age_ms: now - since,
            });
            if is_strict_probe.is_some() {
                ended.push(attempt.request);
            }
            attempt.attempts += 1;
            attempt.stage = match attempt.attempts {
                0..3 => Stage::Routing { at: now + 10 },
                _ => Stage::GivenUp,
            };
        }
        for (instance, flights) in flights.into_iter().enumerate() {
            if !flights.is_empty() {
                let crash = crash.clone();
                self.record_own(instance, &QuarantineNotice::Crashed { crash, flights });
            }
        }
        for request in ended {
            self.ended(request, backend, ProbeOutcome::Crashed);
        }
    }

    fn live(&self) -> Vec<usize> {
        let is_up = |backend: &usize| self.down_until[*backend] <= self.now;
        (0..BACKENDS).filter(is_up).collect()
    }

    fn run_at(&self, backend: usize, request: u128, is_strict_probe: Option<bool>) -> Stage {
        let runs_ms = 30 + (request as u64 * 37) % 200;
        Stage::Running {
            backend,
            since: self.now,
            ends: self.now + runs_ms,
            is_strict_probe,
        }
    }

    fn send_unsuspected(&mut self, instance: usize, request: u128) -> Stage {
        let table = &self.tables[instance];
        let under_probe: Vec<_> = table.probed_backends().cloned().collect();
        let mut free = self.live();
        free.retain(|backend| !under_probe.contains(&id(*backend)));
        if free.is_empty() {
            return Stage::Routing { at: self.now + 20 };
        }
        let backend = free[self.draw(free.len() as u64) as usize];
        self.run_at(backend, request, None)
    }

    fn request_probe(&mut self, index: usize) -> Stage {
        let Attempt {
            instance, request, ..
        } = self.attempts[index];
        let live = self.live();
        let ids: Vec<_> = live.iter().map(|backend| id(*backend)).collect();
        let (now, fingerprint) = (self.mono(), Fingerprint(request));
        let answer = self.tables[COORDINATOR].request_probe(fingerprint, &ids, now);
        match self.attempts[index]
            .negotiation
            .handle_response(answer, now)
        {
            SuspectAction::Probe {
                backend,
                strict,
                quiet_ms,
            } => {
                self.counts.probes += 1;
                let index = ids.iter().position(|id| *id == backend).unwrap();
                self.broadcast(
                    COORDINATOR,
                    &QuarantineNotice::ProbeStarted {
                        fingerprint,
                        backend,
                    },
                );
                Stage::ProbeDelay {
                    until: self.now + quiet_ms,
                    backend: live[index],
                    strict,
                }
            }
            SuspectAction::Refuse { .. } => Stage::Refused,
            SuspectAction::Send => self.send_unsuspected(instance, request),
            SuspectAction::Retry { after_ms } => Stage::Routing {
                at: self.now + after_ms,
            },
        }
    }

    fn route(&mut self, index: usize) {
        let Attempt {
            instance, request, ..
        } = self.attempts[index];
        let status = self.tables[instance].status(Fingerprint(request), self.mono());
        self.attempts[index].stage = match status {
            QuarantineStatus::Convicted { .. } => Stage::Refused,
            QuarantineStatus::Clear => self.send_unsuspected(instance, request),
            QuarantineStatus::Suspect => self.request_probe(index),
        };
    }

    fn advance(&mut self, index: usize) {
        let Attempt { request, stage, .. } = self.attempts[index].clone();
        match stage {
            Stage::Routing { at } if at <= self.now => self.route(index),
            Stage::ProbeDelay {
                until,
                backend,
                strict,
            } if until <= self.now => {
                if self.down_until[backend] > self.now {
                    self.ended(request, backend, ProbeOutcome::Unknown);
                    self.attempts[index].stage = Stage::Routing { at: self.now + 20 };
                    return;
                }
                self.attempts[index].stage = self.run_at(backend, request, Some(strict));
            }
            Stage::Running {
                backend,
                since,
                ends,
                is_strict_probe,
            } => {
                let is_crashing = self.is_crashing(request);
                if is_crashing && self.now >= since + self.scenario.time_to_crash_ms {
                    self.crash(backend, Some((request, since)));
                    return;
                }
                if is_crashing || self.now < ends {
                    return;
                }
                self.attempts[index].stage = Stage::Answered;
                if is_strict_probe.is_some() {
                    self.ended(request, backend, ProbeOutcome::Survived);
                }
            }
            _ => {}
        }
    }

    pub fn advance_time(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(STEP_MS) {
            self.now += STEP_MS;
            self.counts.steps += 1;
            self.deliver();
            let now = self.mono();
            for instance in 0..INSTANCES {
                for notice in self.tables[instance].tick(now) {
                    self.broadcast(instance, &notice);
                }
            }
            for index in 0..self.attempts.len() {
                self.advance(index);
            }
        }
    }

    pub fn submit(&mut self, instance: usize, request: u128) {
        self.attempts.push(Attempt {
            instance,
            request,
            stage: Stage::Routing { at: self.now },
            negotiation: ProbeNegotiation::default(),
            attempts: 0,
        });
    }

    pub fn kill(&mut self, backend: usize) {
        let is_probed = |attempt: &Attempt| match attempt.stage {
            Stage::ProbeDelay { backend: at, .. } => at == backend,
            Stage::Running {
                backend: at,
                is_strict_probe,
                ..
            } => at == backend && is_strict_probe.is_some(),
            _ => false,
        };
        if self.down_until[backend] > self.now || self.attempts.iter().any(is_probed) {
            return;
        }
        self.counts.kills += 1;
        self.crash(backend, None);
    }

    pub fn check(&self) {
        let single = self.scenario.crashing_requests == 1 && self.counts.kills == 0;
        for attempt in &self.attempts {
            if self.is_crashing(attempt.request) {
                continue;
            }
            let stage = &attempt.stage;
            assert_ne!(
                *stage,
                Stage::Refused,
                "an innocent request was convicted: {attempt:?}"
            );
            assert!(
                !single || *stage != Stage::GivenUp,
                "not answered: {attempt:?}"
            );
        }
        for (crashing, crashes) in self.known_crashes.iter().enumerate() {
            assert!(
                *crashes <= MAX_KNOWN_CRASHES,
                "{crashing} caused {crashes} crashes after all instances knew of the first"
            );
        }
    }

    /// Checks that no request is held back for ever.
    pub fn check_ended(&self) {
        for attempt in &self.attempts {
            let ended = matches!(
                attempt.stage,
                Stage::Answered | Stage::Refused | Stage::GivenUp
            );
            assert!(ended, "held back: {attempt:?}");
        }
    }
}
