//! Shares the evidence against requests that crash backend servers with other instances.

use std::collections::HashMap;
use std::net::SocketAddr;

use foxtailhold::ids::{BackendId, InstanceId};
use foxtailhold::part_crashes::PartCrash;
use foxtailhold::prompt_parts::PartId;
use foxtailhold::quarantine::CrashId;
use foxtailhold::recent_parts::PROVING_INSTANCES;
use foxtailhold::rendezvous;
use foxtailhold::time::{MonoMs, WallMs};
use rand::seq::IndexedRandom;

use super::{HarmlessProbe, PeerMessage, Peers};
use crate::fleet::{BackendFate, BackendServer};
use crate::part_evidence::PartCrashNews;
use crate::pending_attempts::TrackedAttempt;

/// Evidence that is sent to an instance which reports here for the first time.
const MAX_SHARED_EVIDENCE: usize = 256;
/// Number of reports of an instance that are answered with the evidence, because datagrams may be
/// lost.
const EVIDENCE_SENDS: u32 = 2;
/// Instances to which recent evidence is sent with each report.
const GOSSIP_FANOUT: usize = 2;
/// Age up to which evidence is sent, longer than instances take to start again.
const GOSSIP_AGE_MS: u64 = 15_000;
/// Limit of the evidence that is sent with each report.
const MAX_GOSSIP: usize = 32;
/// Events after which a resumed response speaks for its parts.
const MIN_RESUMED_EVENTS: u64 = 16;
/// Limit of the instances whose reports are counted.
const MAX_COUNTED_INSTANCES: usize = 4_096;

/// Number of reports of each instance that were answered with the evidence.
#[derive(Debug, Default)]
pub(super) struct EvidenceSends(HashMap<InstanceId, u32>);

impl EvidenceSends {
    /// Counts a report; returns whether it is to be answered with the evidence.
    fn count(&mut self, instance: &InstanceId) -> bool {
        if self.0.len() >= MAX_COUNTED_INSTANCES {
            self.0.clear();
        }
        let sends = self.0.entry(instance.clone()).or_default();
        *sends += 1;
        *sends <= EVIDENCE_SENDS
    }
}

impl Peers {
    /// Position of this instance among the live ones in their order for `key`. The first is the one
    /// that a probe belongs to; the others take their turn if no caller asks it.
    pub fn rank(&self, key: &[u8]) -> usize {
        self.rank_of(key).0
    }

    /// Position of this instance among the live ones, as [`Peers::rank`], and their number.
    pub fn rank_of(&self, key: &[u8]) -> (usize, usize) {
        let members = self.members();
        let live = members.live(self.now());
        let instances = live.iter().map(|member| &member.instance);
        (rendezvous::rank(instances, key, self.me()), live.len())
    }

    /// Records a backend server crash under a request and informs the other instances.
    pub fn record_crash(&self, attempt: &TrackedAttempt) {
        let crashes = &self.inner.crashes;
        let crash = attempt.backend.crash_id();
        if let Some(news) = crashes.record_part_crash(attempt, self.wall()) {
            self.broadcast_part_crash(news);
        }
        let now = (self.now(), self.wall());
        for fingerprint in attempt.keys.fingerprints.distinct() {
            let Some(evidence) =
                crashes.record_crash(fingerprint, crash.clone(), attempt.begun_at, now)
            else {
                continue;
            };
            self.broadcast(PeerMessage::CrashEvidence {
                fingerprint,
                evidence,
            });
        }
    }

    /// Merges what another instance knows of a crash. Some instances add what they know of its parts.
    pub(super) fn merge_part_crash(&self, crash: &CrashId, record: &PartCrash) {
        let crashes = &self.inner.crashes;
        let is_new = crashes.merge_part_crash(crash, record);
        if !is_new || record.lost.is_empty() {
            return;
        }
        if self.rank(crash.backend.as_str().as_bytes()) >= PROVING_INSTANCES {
            return;
        }
        if let Some(news) = crashes.add_proven_parts(crash, record) {
            self.broadcast_part_crash(news);
        }
    }

    fn broadcast_part_crash(&self, (crash, record): PartCrashNews) {
        self.broadcast(PeerMessage::PartCrash { crash, record });
    }

    /// Records that a backend server responded to a request that was sent at `begun`, and so did not
    /// crash before that.
    pub fn record_life(&self, backend: &BackendServer, begun: WallMs) {
        let crashes = &self.inner.crashes;
        if crashes.is_empty() {
            return;
        }
        if let Some(news) = crashes.refute_crash(backend, begun, self.now()) {
            self.announce_life(news);
        }
    }

    /// Drops the crashes of starts that have responded later and have no newer start. `fate` says what
    /// became of a start, and `healthy_since` since when the store has answered.
    pub fn refute_crashes(
        &self,
        healthy_since: Option<MonoMs>,
        fate: impl Fn(&BackendId, &CrashId) -> BackendFate,
    ) {
        let crashes = &self.inner.crashes;
        for news in crashes.refute_proved(self.now(), healthy_since, fate) {
            self.announce_life(news);
        }
    }

    fn announce_life(&self, news: PartCrashNews) {
        log::info!(
            backend = news.0.backend.as_str();
            "backend server has lived on, its crash evidence is dropped"
        );
        self.broadcast_part_crash(news);
    }

    /// Removes the evidence that a complete response to an attempt speaks against, and informs the
    /// other instances. That of a resumed attempt says nothing about what came before it, in which the
    /// request may crash backend servers; a long one speaks for the parts, which would have crashed
    /// this one too.
    pub fn record_completion(&self, attempt: &TrackedAttempt) {
        // It may say nothing about crashes at other software versions, which the next probe may show.
        if attempt.is_probe {
            self.inner.crashes.release_probe(&attempt.keys.parts);
        }
        if attempt.is_resumed && attempt.events < MIN_RESUMED_EVENTS {
            return;
        }
        self.inner.crashes.record_parts(attempt, self.wall());
        if !attempt.is_resumed {
            let request = attempt.keys.fingerprints;
            self.inner.crashes.record_request(request, self.wall());
        }
        if self.inner.crashes.is_empty() {
            return;
        }
        for news in self.inner.crashes.acquit_parts(attempt) {
            self.broadcast_part_crash(news);
        }
        if attempt.is_resumed {
            return;
        }
        for fingerprint in attempt.keys.fingerprints.distinct() {
            let removed = self.inner.crashes.completed(fingerprint, attempt.begun);
            let Some(exoneration) = removed else {
                continue;
            };
            log::info!(
                fingerprint:% = fingerprint, before = exoneration.before.len(),
                during = exoneration.during.len();
                "request was seen to run, its crash evidence is dropped"
            );
            self.broadcast(PeerMessage::Exonerated {
                fingerprint,
                exoneration,
            });
        }
    }

    /// Announces a probe of a suspected group, so that no other instance sends one beside it.
    pub fn announce_probe(&self, group: Vec<PartId>) {
        self.broadcast(PeerMessage::ProbeAdmitted { group });
    }

    /// Records that a probe of a suspected group goes on, or has ended, without a crash, and informs the
    /// other instances.
    pub fn record_harmless_probe(&self, group: Vec<PartId>, has_passed: bool) {
        let probe = HarmlessProbe {
            group,
            probe: rand::random(),
            at_unix_ms: self.wall().0,
            has_passed,
        };
        let crashes = &self.inner.crashes;
        crashes.record_harmless_probe(probe.clone(), self.now());
        self.broadcast(PeerMessage::ProbeHarmless(probe));
    }

    /// Sends recent evidence to random instances. It also reaches those that have just started at
    /// their former address and cannot read the tables yet, and replaces lost datagrams.
    pub(super) fn gossip_evidence(&self) {
        if self.inner.crashes.is_empty() {
            return;
        }
        let since = WallMs(self.wall().0.saturating_sub(GOSSIP_AGE_MS));
        let recent = self.inner.crashes.evidence_since(since, MAX_GOSSIP);
        let recent_parts = self.inner.crashes.part_crashes_since(since, MAX_GOSSIP);
        let others = self.members().others();
        for address in others.choose_multiple(&mut rand::rng(), GOSSIP_FANOUT) {
            for (crash, record) in &recent_parts {
                let message = PeerMessage::PartCrash {
                    crash: crash.clone(),
                    record: record.clone(),
                };
                self.send(*address, &message);
            }
            for (fingerprint, evidence) in &recent {
                let message = PeerMessage::CrashEvidence {
                    fingerprint: *fingerprint,
                    evidence: evidence.clone(),
                };
                self.send(*address, &message);
            }
        }
    }

    /// Sends the crash evidence to an instance that has just started. Evidence of a single crash is
    /// not stored, and would be lost when the last instance that saw the crash stops.
    pub(super) fn share_evidence(&self, to: SocketAddr, instance: &InstanceId) {
        if !self.inner.evidence_sends.lock().count(instance) {
            return;
        }
        for (fingerprint, evidence) in self.inner.crashes.newest_evidence(MAX_SHARED_EVIDENCE) {
            let message = PeerMessage::CrashEvidence {
                fingerprint,
                evidence,
            };
            self.send(to, &message);
        }
        let parts = self
            .inner
            .crashes
            .part_crashes_since(WallMs(0), MAX_SHARED_EVIDENCE);
        for (crash, record) in parts {
            self.send(to, &PeerMessage::PartCrash { crash, record });
        }
    }
}
