//! Requests that crash backend servers.
//!
//! A crash makes suspects of all requests in flight there. A suspect is sent again only in a trial:
//! no other suspect runs on that backend server, and no instance sends new requests there. If the
//! backend server crashes again the suspect is convicted, unless another request that was sent
//! there during the trial may be the cause; a doubt counts once. A suspect that survives its trial is cleared.
//!
//! Every instance keeps the same table from the notices that all of them send to each other. Trials
//! are granted by one instance, the home of [`PROBES_KEY`] by rendezvous hashing. Two homes for a
//! moment, or a lost notice, cost further trials.

use std::collections::HashMap;
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::ids::{BackendId, CustomerId};
use crate::time::MonoMs;

/// Key whose home grants trials.
pub const PROBES_KEY: &[u8] = b"crash-trials";
/// A suspect nobody asks for is forgotten after this time.
pub const SUSPECT_TTL_MS: u64 = 120_000;
/// How long a conviction lasts.
pub const CONVICTED_MS: u64 = 600_000;
/// After its conviction a request stays suspect for this time.
pub const PROBATION_MS: u64 = 3_600_000;
/// Time to hear from all instances what they had in flight at a crash.
pub const GATHER_MS: u64 = 300;
/// A trial whose end is not reported gives way to another one.
pub const TRIAL_MS: u64 = 30_000;
/// Time between the grant of a trial and its request. All instances hear of the grant meanwhile and
/// send nothing more there, and what is there already has shown that it does not crash the engine.
pub const PROBE_DELAY_MS: u64 = 200;
/// When to ask again for a trial.
pub const WAIT_MS: u64 = 40;
/// Suspects and convictions kept.
pub const MAX_ENTRIES: usize = 8_192;

/// What tells a request from others: its customer and body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// The fingerprint of a customer's request.
    pub fn of(customer: &CustomerId, body: &[u8]) -> Self {
        let mut hash = Xxh3::new();
        hash.update(customer.as_str().as_bytes());
        hash.update(b"\n");
        hash.update(body);
        Fingerprint(hash.digest128())
    }

    /// The fingerprint of an opaque request: the host stands for the customer.
    pub fn of_opaque(host: &str, target: &str, body: &[u8]) -> Self {
        let mut hash = Xxh3::new();
        for part in [host, target] {
            hash.update(part.as_bytes());
            hash.update(b"\n");
        }
        hash.update(body);
        Fingerprint(hash.digest128())
    }
}

impl FromStr for Fingerprint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Fingerprint)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// A request in flight at a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlightRequest {
    /// The request.
    pub fingerprint: Fingerprint,
    /// How long ago it was sent.
    pub age_ms: u64,
}

/// One crash. The same crash has the same value at all instances.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashId {
    /// The backend server.
    pub backend: BackendId,
    /// When the process that crashed had started, in ms since the Unix epoch by its own clock; 0
    /// where its load report did not say.
    pub started_unix_ms: u64,
}

/// What instances tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineNotice {
    /// A backend server crashed with these requests of one instance in flight.
    Crashed {
        /// Which crash.
        crash: CrashId,
        /// The requests.
        flights: Vec<InFlightRequest>,
    },
    /// A suspect is tried.
    ProbeStarted {
        /// The suspect.
        fingerprint: Fingerprint,
        /// Where.
        backend: BackendId,
    },
    /// A trial ended without a verdict.
    Inconclusive {
        /// The suspect.
        fingerprint: Fingerprint,
    },
    /// A suspect survived its trial.
    Cleared {
        /// The request.
        fingerprint: Fingerprint,
    },
    /// A suspect crashed the backend server of its trial.
    Convicted {
        /// The request.
        fingerprint: Fingerprint,
        /// How long the conviction lasts.
        left_ms: u64,
    },
}

/// How a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// Nothing is held against it.
    Clear,
    /// It is sent only in a trial.
    Suspect,
    /// It is refused.
    Convicted {
        /// How long.
        left_ms: u64,
    },
}

/// Answer to an instance that asks to send a suspect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProbeResponse {
    /// Send it there, alone of its kind.
    Granted {
        /// Where.
        backend: BackendId,
        /// Whether the trial lasts until the request's end, not only until its first event.
        strict: bool,
        /// How long to wait before it is sent.
        quiet_ms: u64,
    },
    /// Ask again.
    Wait {
        /// When.
        after_ms: u64,
    },
    /// It is not a suspect here.
    Clear,
    /// It is convicted.
    Convicted {
        /// How long.
        left_ms: u64,
    },
}

/// How a trial ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProbeOutcome {
    /// The backend server lived on.
    Survived,
    /// The backend server crashed.
    Crashed,
    /// The request was not sent or was cut for another reason.
    Unknown,
}

#[derive(Debug, Clone)]
struct Suspect {
    last_crash: Option<CrashId>,
    strict: bool,
    doubted: bool,
    expires: MonoMs,
}

#[derive(Debug, Clone)]
struct Trial {
    backend: BackendId,
    since: MonoMs,
    crashed_at: Option<MonoMs>,
}

#[derive(Debug, Clone)]
struct Seen {
    backend: BackendId,
    fingerprint: Fingerprint,
    sent_at: MonoMs,
    at: MonoMs,
}

/// The table of one instance.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspect>,
    convicted: HashMap<Fingerprint, MonoMs>,
    cleared: HashMap<Fingerprint, MonoMs>,
    trials: HashMap<Fingerprint, Trial>,
    seen: Vec<Seen>,
}

fn drop_oldest<T>(map: &mut HashMap<Fingerprint, T>, expires: impl Fn(&T) -> MonoMs) {
    if map.len() <= MAX_ENTRIES {
        return;
    }
    let oldest = map.iter().min_by_key(|(_, value)| expires(value));
    if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
        map.remove(&fingerprint);
    }
}

impl Quarantine {
    /// How a request stands.
    pub fn status(&self, fingerprint: Fingerprint, now: MonoMs) -> QuarantineStatus {
        if let Some(until) = self.convicted.get(&fingerprint)
            && *until > now
        {
            let left_ms = until.since_ms(now);
            return QuarantineStatus::Convicted { left_ms };
        }
        match self.suspects.contains_key(&fingerprint) {
            true => QuarantineStatus::Suspect,
            false => QuarantineStatus::Clear,
        }
    }

    /// All requests that do not stand clear.
    pub fn standings(&self, now: MonoMs) -> HashMap<Fingerprint, QuarantineStatus> {
        let known = self.suspects.keys().chain(self.convicted.keys());
        known
            .map(|fingerprint| (*fingerprint, self.status(*fingerprint, now)))
            .collect()
    }

    /// Backend servers where a trial runs.
    pub fn probed_backends(&self) -> impl Iterator<Item = &BackendId> {
        self.trials.values().map(|trial| &trial.backend)
    }

    /// What an instance that has just started needs to know.
    pub fn snapshot(&self, now: MonoMs) -> Vec<QuarantineNotice> {
        let mut notices = Vec::new();
        for (fingerprint, until) in &self.convicted {
            notices.push(QuarantineNotice::Convicted {
                fingerprint: *fingerprint,
                left_ms: until.since_ms(now),
            });
        }
        for (fingerprint, suspect) in &self.suspects {
            let Some(crash) = suspect.last_crash.clone() else {
                continue;
            };
            let flight = InFlightRequest {
                fingerprint: *fingerprint,
                age_ms: SUSPECT_TTL_MS,
            };
            notices.push(QuarantineNotice::Crashed {
                crash,
                flights: vec![flight],
            });
        }
        for (fingerprint, trial) in &self.trials {
            notices.push(QuarantineNotice::ProbeStarted {
                fingerprint: *fingerprint,
                backend: trial.backend.clone(),
            });
        }
        notices
    }

    /// Takes a notice in, an own one too. Returns whether anything changed.
    pub fn on_notice(&mut self, notice: &QuarantineNotice, now: MonoMs) -> bool {
        match notice {
            QuarantineNotice::Crashed { crash, flights } => self.crashed(crash, flights, now),
            QuarantineNotice::ProbeStarted {
                fingerprint,
                backend,
            } => self.trial_begun(*fingerprint, backend, now),
            QuarantineNotice::Inconclusive { fingerprint } => {
                self.trials.remove(fingerprint).is_some()
            }
            QuarantineNotice::Cleared { fingerprint } => self.clear(*fingerprint, now),
            QuarantineNotice::Convicted {
                fingerprint,
                left_ms,
            } => self.convict(*fingerprint, *left_ms, now),
        }
    }

    fn crashed(&mut self, crash: &CrashId, flights: &[InFlightRequest], now: MonoMs) -> bool {
        let mut changed = false;
        for flight in flights {
            let fingerprint = flight.fingerprint;
            self.seen.push(Seen {
                backend: crash.backend.clone(),
                fingerprint,
                sent_at: MonoMs(now.0.saturating_sub(flight.age_ms)),
                at: now,
            });
            let strict = self.cleared.contains_key(&fingerprint);
            let suspect = self.suspects.entry(fingerprint);
            let suspect = suspect.or_insert_with(|| Suspect {
                last_crash: None,
                strict,
                doubted: false,
                expires: now,
            });
            changed |= suspect.last_crash.as_ref() != Some(crash);
            suspect.last_crash = Some(crash.clone());
            suspect.expires = suspect.expires.max(now + SUSPECT_TTL_MS);
        }
        drop_oldest(&mut self.suspects, |suspect| suspect.expires);
        changed
    }

    fn trial_begun(&mut self, fingerprint: Fingerprint, backend: &BackendId, now: MonoMs) -> bool {
        let trial = Trial {
            backend: backend.clone(),
            since: now,
            crashed_at: None,
        };
        self.trials.insert(fingerprint, trial);
        true
    }

    fn clear(&mut self, fingerprint: Fingerprint, now: MonoMs) -> bool {
        self.trials.remove(&fingerprint);
        self.cleared.insert(fingerprint, now + SUSPECT_TTL_MS);
        drop_oldest(&mut self.cleared, |until| *until);
        self.suspects.remove(&fingerprint).is_some()
    }

    fn convict(&mut self, fingerprint: Fingerprint, left_ms: u64, now: MonoMs) -> bool {
        self.trials.remove(&fingerprint);
        let until = now + left_ms.min(CONVICTED_MS);
        self.convicted.insert(fingerprint, until);
        drop_oldest(&mut self.convicted, |until| *until);
        let suspect = self.suspects.entry(fingerprint).or_insert(Suspect {
            last_crash: None,
            strict: false,
            doubted: false,
            expires: now,
        });
        suspect.expires = until + PROBATION_MS;
        true
    }

    /// At the home: an instance asks to send a suspect to one of `backends`, best first.
    pub fn ask(
        &mut self,
        fingerprint: Fingerprint,
        backends: &[BackendId],
        now: MonoMs,
    ) -> ProbeResponse {
        match self.status(fingerprint, now) {
            QuarantineStatus::Clear => return ProbeResponse::Clear,
            QuarantineStatus::Convicted { left_ms } => return ProbeResponse::Convicted { left_ms },
            QuarantineStatus::Suspect => {}
        }
        let wait = ProbeResponse::Wait { after_ms: WAIT_MS };
        if self.trials.contains_key(&fingerprint) {
            return wait;
        }
        for backend in backends {
            if self.probed_backends().any(|taken| taken == backend) {
                continue;
            }
            self.trial_begun(fingerprint, backend, now);
            let suspect = self.suspects.get(&fingerprint);
            return ProbeResponse::Granted {
                backend: backend.clone(),
                strict: suspect.is_some_and(|suspect| suspect.strict),
                quiet_ms: PROBE_DELAY_MS,
            };
        }
        wait
    }

    /// At the home: a trial ended. Returns the notice to send, where there is one at once.
    pub fn probe_ended(
        &mut self,
        fingerprint: Fingerprint,
        backend: &BackendId,
        end: ProbeOutcome,
        now: MonoMs,
    ) -> Option<QuarantineNotice> {
        let trial = self.trials.get_mut(&fingerprint)?;
        if trial.backend != *backend {
            return None;
        }
        let notice = match end {
            ProbeOutcome::Crashed => {
                trial.crashed_at.get_or_insert(now);
                return None;
            }
            ProbeOutcome::Survived => QuarantineNotice::Cleared { fingerprint },
            ProbeOutcome::Unknown => QuarantineNotice::Inconclusive { fingerprint },
        };
        self.on_notice(&notice, now);
        Some(notice)
    }

    /// Forgets what has expired and gives the verdicts that are due.
    pub fn tick(&mut self, now: MonoMs) -> Vec<QuarantineNotice> {
        self.suspects.retain(|_, suspect| suspect.expires > now);
        self.convicted.retain(|_, until| *until > now);
        self.cleared.retain(|_, until| *until > now);
        self.trials
            .retain(|_, trial| trial.crashed_at.is_some() || trial.since + TRIAL_MS > now);
        let mut notices = Vec::new();
        for (fingerprint, trial) in &self.trials {
            let due = trial.crashed_at.is_some_and(|at| at + GATHER_MS <= now);
            if !due {
                continue;
            }
            let is_doubtful = self.is_doubtful(*fingerprint, trial);
            let suspect = self.suspects.get_mut(fingerprint);
            let doubted = suspect.map(|s| std::mem::replace(&mut s.doubted, is_doubtful));
            notices.push(verdict(*fingerprint, is_doubtful && doubted == Some(false)));
        }
        for notice in &notices {
            self.on_notice(notice, now);
        }
        self.seen.retain(|seen| seen.at + TRIAL_MS > now);
        notices
    }

    /// Whether another request was sent to the backend server of a trial while it ran.
    fn is_doubtful(&self, fingerprint: Fingerprint, trial: &Trial) -> bool {
        for seen in &self.seen {
            let other = seen.fingerprint != fingerprint && seen.backend == trial.backend;
            if other && seen.at >= trial.since && seen.sent_at >= trial.since + PROBE_DELAY_MS / 2 {
                return true;
            }
        }
        false
    }
}

fn verdict(fingerprint: Fingerprint, is_open: bool) -> QuarantineNotice {
    if is_open {
        return QuarantineNotice::Inconclusive { fingerprint };
    }
    QuarantineNotice::Convicted {
        fingerprint,
        left_ms: CONVICTED_MS,
    }
}
