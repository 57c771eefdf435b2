//! Quarantine of requests that are suspected of crashing backend servers.
//!
//! When a backend server crashes, every request in flight there becomes a suspect. A suspect is
//! only sent again in a probe: no other suspect runs on that backend server, and no instance sends
//! new requests there. If the backend server crashes again, the suspect is convicted, unless
//! another request that was sent there during the probe may be the cause; such a doubt counts once.
//! A suspect that survives its probe is cleared.
//!
//! Every instance builds the same table from the notices that all instances exchange. Probes are
//! granted by one instance, the coordinator of probes, chosen for [`PROBES_KEY`] by rendezvous
//! hashing. Two coordinators at the same time, or a lost notice, only cost additional probes.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

pub use crate::fingerprint::{Fingerprint, RequestFingerprints};
use crate::ids::BackendId;
use crate::time::MonoMs;

/// Rendezvous key that selects the coordinator of probes.
pub const PROBES_KEY: &[u8] = b"crash-trials";
/// A suspect that is not requested again is forgotten after this time.
pub const SUSPECT_TTL_MS: u64 = 120_000;
/// Duration of a conviction.
pub const CONVICTION_MS: u64 = 600_000;
/// After its conviction a request stays a suspect for this time.
pub const PROBATION_MS: u64 = 3_600_000;
/// Time to receive from all instances what they had in flight at a crash.
pub const GATHER_MS: u64 = 300;
/// A probe whose end is not reported is dropped after this time.
pub const PROBE_TIMEOUT_MS: u64 = 30_000;
/// Time between the grant of a probe and its request. Meanwhile all instances learn of the grant
/// and stop sending requests there, and the requests that are already there show that they do not
/// crash the engine.
pub const PROBE_DELAY_MS: u64 = 200;
/// Time after which an instance requests a probe again.
pub const PROBE_RETRY_MS: u64 = 40;
/// Largest number of entries in each table; the entry that expires first is dropped.
pub const MAX_ENTRIES: usize = 8_192;

/// A request in flight at a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlightRequest {
    /// Identifies the request.
    pub fingerprint: Fingerprint,
    /// Time in ms since it was sent.
    pub age_ms: u64,
}

/// One crash of a backend server. The same crash has the same value at all instances.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashId {
    /// The backend server that crashed.
    pub backend: BackendId,
    /// When the process that crashed had started, in ms since the Unix epoch by its own clock; 0 if
    /// its load report did not say.
    pub started_unix_ms: u64,
}

/// A notice that instances exchange to build the same table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineNotice {
    /// A backend server crashed with these requests of one instance in flight.
    Crashed {
        /// Identifies the crash.
        crash: CrashId,
        /// Requests of the sending instance in flight at the crash.
        flights: Vec<InFlightRequest>,
    },
    /// A probe of a suspect was granted.
    ProbeStarted {
        /// The suspect under probe.
        fingerprint: Fingerprint,
        /// The backend server that runs the probe.
        backend: BackendId,
    },
    /// A probe ended without a result.
    Inconclusive {
        /// The suspect that was under probe.
        fingerprint: Fingerprint,
    },
    /// A suspect survived its probe.
    Cleared {
        /// The request that is cleared.
        fingerprint: Fingerprint,
    },
    /// A suspect crashed the backend server of its probe.
    Convicted {
        /// The request that is convicted.
        fingerprint: Fingerprint,
        /// Remaining duration of the conviction in ms.
        left_ms: u64,
    },
}

/// Status of a request in quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// The request is not under suspicion.
    Clear,
    /// The request is only sent in a probe.
    Suspect,
    /// The request is refused.
    Convicted {
        /// Remaining duration of the conviction in ms.
        left_ms: u64,
    },
}

/// Response to an instance that requests a probe of a suspect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProbeResponse {
    /// The suspect may be sent to this backend server; no other suspect runs there.
    Granted {
        /// The backend server for the probe.
        backend: BackendId,
        /// Whether the probe lasts until the end of the request, not only until its first event.
        strict: bool,
        /// Time in ms to wait before the request is sent.
        quiet_ms: u64,
    },
    /// No probe is possible now; the request must be repeated later.
    Wait {
        /// Time in ms after which to request the probe again.
        after_ms: u64,
    },
    /// The coordinator does not suspect the request.
    Clear,
    /// The request is convicted.
    Convicted {
        /// Remaining duration of the conviction in ms.
        left_ms: u64,
    },
}

/// How a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProbeOutcome {
    /// The backend server did not crash.
    Survived,
    /// The backend server crashed.
    Crashed,
    /// The request was not sent, or it was cancelled for another reason.
    Unknown,
}

#[derive(Debug, Clone)]
struct Suspect {
    last_crash: Option<CrashId>,
    strict: bool,
    doubted: bool,
    expires_at: MonoMs,
}

#[derive(Debug, Clone)]
struct Probe {
    backend: BackendId,
    started_at: MonoMs,
    crashed_at: Option<MonoMs>,
}

#[derive(Debug, Clone)]
struct RecentRequest {
    backend: BackendId,
    fingerprint: Fingerprint,
    sent_at: MonoMs,
    recorded_at: MonoMs,
}

/// The quarantine table of one instance.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspect>,
    convicted: HashMap<Fingerprint, MonoMs>,
    cleared: HashMap<Fingerprint, MonoMs>,
    probes: HashMap<Fingerprint, Probe>,
    recent: Vec<RecentRequest>,
}

fn drop_oldest<T>(map: &mut HashMap<Fingerprint, T>, expires_at: impl Fn(&T) -> MonoMs) {
    if map.len() <= MAX_ENTRIES {
        return;
    }
    let oldest = map.iter().min_by_key(|(_, value)| expires_at(value));
    if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
        map.remove(&fingerprint);
    }
}

impl Quarantine {
    /// The status of a request.
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

    /// The status of all requests that are suspected or convicted.
    pub fn statuses(&self, now: MonoMs) -> HashMap<Fingerprint, QuarantineStatus> {
        let fingerprints = self.suspects.keys().chain(self.convicted.keys());
        fingerprints
            .map(|fingerprint| (*fingerprint, self.status(*fingerprint, now)))
            .collect()
    }

    /// Backend servers with a probe in progress.
    pub fn probed_backends(&self) -> impl Iterator<Item = &BackendId> {
        self.probes.values().map(|probe| &probe.backend)
    }

    /// Notices that bring an instance that has just started up to date.
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
        for (fingerprint, probe) in &self.probes {
            notices.push(QuarantineNotice::ProbeStarted {
                fingerprint: *fingerprint,
                backend: probe.backend.clone(),
            });
        }
        notices
    }

    /// Applies a notice, also one of this instance. Returns whether anything changed.
    pub fn on_notice(&mut self, notice: &QuarantineNotice, now: MonoMs) -> bool {
        match notice {
            QuarantineNotice::Crashed { crash, flights } => self.crashed(crash, flights, now),
            QuarantineNotice::ProbeStarted {
                fingerprint,
                backend,
            } => self.start_probe(*fingerprint, backend, now),
            QuarantineNotice::Inconclusive { fingerprint } => {
                self.probes.remove(fingerprint).is_some()
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
            self.recent.push(RecentRequest {
                backend: crash.backend.clone(),
                fingerprint,
                sent_at: MonoMs(now.0.saturating_sub(flight.age_ms)),
                recorded_at: now,
            });
            let strict = self.cleared.contains_key(&fingerprint);
            let suspect = self.suspects.entry(fingerprint);
            let suspect = suspect.or_insert_with(|| Suspect {
                last_crash: None,
                strict,
                doubted: false,
                expires_at: now,
            });
            changed |= suspect.last_crash.as_ref() != Some(crash);
            suspect.last_crash = Some(crash.clone());
            suspect.expires_at = suspect.expires_at.max(now + SUSPECT_TTL_MS);
        }
        drop_oldest(&mut self.suspects, |suspect| suspect.expires_at);
        changed
    }

    fn start_probe(&mut self, fingerprint: Fingerprint, backend: &BackendId, now: MonoMs) -> bool {
        let probe = Probe {
            backend: backend.clone(),
            started_at: now,
            crashed_at: None,
        };
        self.probes.insert(fingerprint, probe);
        true
    }

    fn clear(&mut self, fingerprint: Fingerprint, now: MonoMs) -> bool {
        self.probes.remove(&fingerprint);
        self.cleared.insert(fingerprint, now + SUSPECT_TTL_MS);
        drop_oldest(&mut self.cleared, |until| *until);
        self.suspects.remove(&fingerprint).is_some()
    }

    fn convict(&mut self, fingerprint: Fingerprint, left_ms: u64, now: MonoMs) -> bool {
        self.probes.remove(&fingerprint);
        let until = now + left_ms.min(CONVICTION_MS);
        self.convicted.insert(fingerprint, until);
        drop_oldest(&mut self.convicted, |until| *until);
        let suspect = self.suspects.entry(fingerprint).or_insert(Suspect {
            last_crash: None,
            strict: false,
            doubted: false,
            expires_at: now,
        });
        suspect.expires_at = until + PROBATION_MS;
        true
    }

    /// At the coordinator: handles a request to probe a suspect on one of `backends`, best first.
    pub fn request_probe(
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
        let wait = ProbeResponse::Wait {
            after_ms: PROBE_RETRY_MS,
        };
        if self.probes.contains_key(&fingerprint) {
            return wait;
        }
        for backend in backends {
            if self.probed_backends().any(|taken| taken == backend) {
                continue;
            }
            self.start_probe(fingerprint, backend, now);
            let suspect = self.suspects.get(&fingerprint);
            return ProbeResponse::Granted {
                backend: backend.clone(),
                strict: suspect.is_some_and(|suspect| suspect.strict),
                quiet_ms: PROBE_DELAY_MS,
            };
        }
        wait
    }

    /// At the coordinator: records the end of a probe. Returns the notice to send, if it is known
    /// at once.
    pub fn probe_ended(
        &mut self,
        fingerprint: Fingerprint,
        backend: &BackendId,
        end: ProbeOutcome,
        now: MonoMs,
    ) -> Option<QuarantineNotice> {
        let probe = self.probes.get_mut(&fingerprint)?;
        if probe.backend != *backend {
            return None;
        }
        let notice = match end {
            ProbeOutcome::Crashed => {
                probe.crashed_at.get_or_insert(now);
                return None;
            }
            ProbeOutcome::Survived => QuarantineNotice::Cleared { fingerprint },
            ProbeOutcome::Unknown => QuarantineNotice::Inconclusive { fingerprint },
        };
        self.on_notice(&notice, now);
        Some(notice)
    }

    /// Drops expired entries and returns the notices that are due: for each crashed probe, whether
    /// the request is convicted or the probe was inconclusive.
    pub fn tick(&mut self, now: MonoMs) -> Vec<QuarantineNotice> {
        self.suspects.retain(|_, suspect| suspect.expires_at > now);
        self.convicted.retain(|_, until| *until > now);
        self.cleared.retain(|_, until| *until > now);
        self.probes.retain(|_, probe| {
            probe.crashed_at.is_some() || probe.started_at + PROBE_TIMEOUT_MS > now
        });
        let mut notices = Vec::new();
        for (fingerprint, probe) in &self.probes {
            let due = probe.crashed_at.is_some_and(|at| at + GATHER_MS <= now);
            if !due {
                continue;
            }
            let is_doubtful = self.is_doubtful(*fingerprint, probe);
            let suspect = self.suspects.get_mut(fingerprint);
            let doubted = suspect.map(|s| std::mem::replace(&mut s.doubted, is_doubtful));
            notices.push(probe_result_notice(
                *fingerprint,
                is_doubtful && doubted == Some(false),
            ));
        }
        for notice in &notices {
            self.on_notice(notice, now);
        }
        self.recent
            .retain(|recent| recent.recorded_at + PROBE_TIMEOUT_MS > now);
        notices
    }

    /// Whether another request was sent to the backend server of a probe while the probe ran.
    fn is_doubtful(&self, fingerprint: Fingerprint, probe: &Probe) -> bool {
        for recent in &self.recent {
            let other = recent.fingerprint != fingerprint && recent.backend == probe.backend;
            if other
                && recent.recorded_at >= probe.started_at
                && recent.sent_at >= probe.started_at + PROBE_DELAY_MS / 2
            {
                return true;
            }
        }
        false
    }
}

fn probe_result_notice(fingerprint: Fingerprint, is_inconclusive: bool) -> QuarantineNotice {
    if is_inconclusive {
        return QuarantineNotice::Inconclusive { fingerprint };
    }
    QuarantineNotice::Convicted {
        fingerprint,
        left_ms: CONVICTION_MS,
    }
}
