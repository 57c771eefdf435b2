//! Groups of parts that are suspected, found in the crash evidence against parts.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::ids::TargetName;
use crate::part_crash::{LostRequest, PartCrash};
use crate::prompt_parts::PartId;
use crate::quarantine::{CrashId, Fingerprint, PROBATION_MS};
use crate::stream_origins::StreamOrigin;

/// Crashes in a row under one part, each under a request that was sent after the crash before.
pub const MIN_CRASH_SEQUENCE: usize = 3;
/// Crashes under one part of which only two have to follow one another. Requests that are sent side
/// by side crash many backend servers before the next ones are sent.
pub const MIN_CRASHES: usize = 4;
/// Crashes under a part without the request that stands in most of them. A request that crashes
/// backend servers by itself is refused by its fingerprint, and says nothing against its parts.
pub const MIN_OTHER_CRASHES: usize = 1;
/// Crashes in a row under a part that had been seen in complete responses shortly before.
pub const MIN_PROVEN_SEQUENCE: usize = 5;
/// Crashes under a part that has not run, beside parts that have, from which on its requests run one
/// at a time, even if the crashes did not follow one another.
pub const MIN_UNPROVEN_CRASHES: usize = 5;
/// Time after such crashes within which other instances say which parts they have seen to run.
const PROOF_DELAY_MS: u64 = 500;
/// Time for which a crash without a group tells that backend servers crash of another cause as well.
const OTHER_CAUSE_MS: u64 = 10_000;
/// Crashes within this time count as one in a row: the clocks of instances differ, and backend
/// servers that are lost together are noticed one after the other.
const MIN_CRASH_GAP_MS: u64 = 25;
/// Duration of the refusal after the limit and after the crash of each probe. The first ones are
/// short, because many requests and items may share a part that is innocent. After the last probe no
/// caller waits for the end.
pub const PART_REFUSAL_MS: [u64; 3] = [3_000, 20_000, 86_400_000];
/// Longest refusal of a request that is owed whatever happens, such as a batch item, after the limit
/// and after the crash of each probe. The last one includes the delays of its probe.
pub const OWED_REFUSAL_MS: [u64; 3] = [3_000, 6_000, 10_000];
/// A probe that has run for longer is lost by another cause: a guilty part crashes its backend server
/// as soon as that begins to respond.
const MAX_PROBE_RUN_MS: u64 = 2_000;

/// Longest refusal after `probes` that crashed their backend server.
pub(crate) fn owed_refusal_ms(probes: usize) -> u64 {
    OWED_REFUSAL_MS[probes.min(OWED_REFUSAL_MS.len() - 1)]
}

/// Parts that crash backend servers together, as far as is known. Requests that hold all of them are
/// refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectedGroup {
    /// The parts, ascending.
    pub parts: Vec<PartId>,
    /// The crashes that the group explains.
    pub crashes: BTreeSet<CrashId>,
    /// Number of probes that crashed their backend server.
    pub probes: usize,
    /// When the refusal ends, in Unix ms.
    pub refused_until_unix_ms: u64,
    /// When it ends for a request that was lost in a crash before, in Unix ms.
    pub repeats_refused_until_unix_ms: u64,
    /// Time of the last of these crashes, in Unix ms.
    pub last_crash_unix_ms: u64,
    /// Crashes in which that request with the group was lost which was lost least often.
    pub least_losses: usize,
    /// From when on requests with the group run only as probes, in Unix ms.
    pub held_from_unix_ms: u64,
    /// Whether each part was seen in a complete response.
    pub has_run: bool,
}

impl SuspectedGroup {
    /// Whether one group holds the other.
    fn is_related_to(&self, other: &SuspectedGroup) -> bool {
        let holds = |one: &[PartId], other: &[PartId]| other.iter().all(|part| one.contains(part));
        holds(&self.parts, &other.parts) || holds(&other.parts, &self.parts)
    }

    pub(crate) fn expires_unix_ms(&self) -> u64 {
        let until = self.repeats_refused_until_unix_ms;
        until
            .max(self.refused_until_unix_ms)
            .saturating_add(PROBATION_MS)
    }
}

/// Requests with one part that were lost in one crash.
#[derive(Debug, Clone)]
struct LostWithPart<'a> {
    crash: &'a CrashId,
    at_unix_ms: u64,
    /// Whether parts are known that ran before the crash.
    has_proven: bool,
    requests: Vec<&'a LostRequest>,
}

/// Largest number of these crashes of which each came under a request that was sent after the one
/// before. `lost` is ordered by time.
fn sequence_length(lost: &[LostWithPart<'_>]) -> usize {
    let mut length = 0;
    let mut last_unix_ms = 0;
    for crash in lost {
        let begun = crash.requests.iter().map(|request| request.begun_unix_ms);
        let is_later = crash.at_unix_ms >= last_unix_ms + MIN_CRASH_GAP_MS;
        if is_later && begun.max().is_some_and(|begun| begun >= last_unix_ms) {
            length += 1;
            last_unix_ms = crash.at_unix_ms;
        }
    }
    length
}

/// Largest number of these crashes in which one and the same request was lost.
fn most_of_one_request(lost: &[LostWithPart<'_>]) -> usize {
    let mut crashes: HashMap<Fingerprint, usize> = HashMap::new();
    for crash in lost {
        let requests: BTreeSet<Fingerprint> =
            crash.requests.iter().map(|lost| lost.request).collect();
        for request in requests {
            *crashes.entry(request).or_default() += 1;
        }
    }
    crashes.into_values().max().unwrap_or(0)
}

/// What is known of a part.
#[derive(Debug, Clone, Copy)]
struct PartHistory {
    /// Whether it was seen in a complete response shortly before a crash.
    is_proven: bool,
    /// Whether it was seen in any complete response.
    has_run: bool,
}

/// Whether crashes came under requests that were sent after earlier ones.
fn is_repeated(lost: &[LostWithPart<'_>]) -> bool {
    let (crashes, sequence) = (lost.len(), sequence_length(lost));
    sequence >= MIN_CRASH_SEQUENCE || (sequence >= 2 && crashes >= MIN_CRASHES)
}

fn is_suspected(lost: &[LostWithPart<'_>], part: PartHistory) -> bool {
    if part.is_proven && sequence_length(lost) < MIN_PROVEN_SEQUENCE {
        return false;
    }
    let beside_proven = lost.iter().filter(|lost| lost.has_proven).count();
    let is_unproven = !part.has_run && beside_proven >= MIN_UNPROVEN_CRASHES;
    let is_enough = is_repeated(lost) || is_unproven;
    is_enough && lost.len() - most_of_one_request(lost) >= MIN_OTHER_CRASHES
}

/// Finds the groups that are suspected at a service.
pub(crate) struct GroupFinder<'a> {
    pub(crate) crashes: &'a BTreeMap<CrashId, PartCrash>,
    pub(crate) service: &'a TargetName,
    /// Software versions that have been replaced.
    pub(crate) replaced: BTreeSet<StreamOrigin>,
}

impl GroupFinder<'_> {
    /// Finds the groups.
    ///
    /// Each part that nothing acquits is suspected on its own account: at first a sound part may
    /// explain more crashes than the guilty one beside it, until all instances have reported. Parts
    /// that are acquitted of other crashes are suspected only of crashes that no group explains.
    pub(crate) fn find(&self) -> Vec<SuspectedGroup> {
        let mut groups = self.find_parts();
        self.set_refusals(&mut groups);
        groups
    }

    /// The groups and their crashes.
    fn find_parts(&self) -> Vec<SuspectedGroup> {
        let (proven, acquitted) = (self.proven(), self.acquitted());
        let history = |part: &PartId| PartHistory {
            is_proven: proven.contains(part),
            has_run: acquitted.contains(part),
        };
        let mut by_part = self.lost_by_part();
        by_part.retain(|part, lost| is_suspected(lost, history(part)));
        let unacquitted = by_part.iter().filter(|(part, _)| !acquitted.contains(part));
        let found: BTreeSet<Vec<PartId>> = unacquitted
            .map(|(part, lost)| self.companions(*part, lost, |part| acquitted.contains(&part)))
            .collect();
        let mut groups: Vec<SuspectedGroup> =
            found.into_iter().map(|parts| self.suspect(parts)).collect();
        let mut explained: BTreeSet<CrashId> = BTreeSet::new();
        explained.extend(
            groups
                .iter()
                .flat_map(|group| group.crashes.iter().cloned()),
        );
        loop {
            for lost in by_part.values_mut() {
                lost.retain(|lost| !explained.contains(lost.crash));
            }
            let candidates = by_part
                .iter()
                .filter(|(part, lost)| is_suspected(lost, history(part)));
            let found = candidates.map(|(part, lost)| {
                (
                    lost.len(),
                    std::cmp::Reverse(self.companions(*part, lost, |_| false)),
                )
            });
            let Some((_, std::cmp::Reverse(parts))) = found.max() else {
                return groups;
            };
            let group = self.suspect(parts);
            explained.extend(group.crashes.iter().cloned());
            groups.push(group);
        }
    }

    /// The crashes that each part is not acquitted of, by time.
    fn lost_by_part(&self) -> BTreeMap<PartId, Vec<LostWithPart<'_>>> {
        let crashes = self.crashes.iter();
        let mut by_time: Vec<_> = crashes.filter(|(_, crash)| !crash.is_refuted).collect();
        by_time.sort_by_key(|(_, crash)| crash.at_unix_ms);
        let mut by_part: BTreeMap<PartId, Vec<LostWithPart<'_>>> = BTreeMap::new();
        for (id, crash) in by_time {
            let parts = crash.lost.iter().flat_map(|lost| lost.parts.as_slice());
            let parts: BTreeSet<PartId> = parts.copied().collect();
            for part in parts {
                if crash.is_acquitted(part, self.service) {
                    continue;
                }
                let holds = |lost: &&LostRequest| lost.parts.contains(part);
                by_part.entry(part).or_default().push(LostWithPart {
                    crash: id,
                    at_unix_ms: crash.at_unix_ms,
                    has_proven: !crash.proven.is_empty(),
                    requests: crash.lost.iter().filter(holds).collect(),
                });
            }
        }
        by_part
    }

    /// Parts of lost requests that were not seen in any complete response.
    pub(crate) fn unproven(&self) -> BTreeSet<PartId> {
        let acquitted = self.acquitted();
        let lost = self.crashes.values().flat_map(|crash| &crash.lost);
        let parts = lost.flat_map(|lost| lost.parts.as_slice()).copied();
        parts.filter(|part| !acquitted.contains(part)).collect()
    }

    /// Parts that are acquitted of any crash, or were seen to run shortly before one.
    fn acquitted(&self) -> BTreeSet<PartId> {
        let all = self.crashes.values().flat_map(|crash| &crash.acquitted);
        let here = all.filter(|acquittal| acquittal.service == *self.service);
        let mut acquitted = self.proven();
        acquitted.extend(here.map(|acquittal| acquittal.part));
        acquitted
    }

    /// Parts that were seen to run shortly before a crash.
    fn proven(&self) -> BTreeSet<PartId> {
        let all = self.crashes.values().flat_map(|crash| &crash.proven);
        all.copied().collect()
    }

    /// Parts that one request holds beside `part` in each of its crashes, and the part itself.
    fn companions(
        &self,
        part: PartId,
        lost: &[LostWithPart<'_>],
        is_sound: impl Fn(PartId) -> bool,
    ) -> Vec<PartId> {
        let beside = |crash: &LostWithPart<'_>| -> BTreeSet<PartId> {
            let record = &self.crashes[crash.crash];
            let parts = crash.requests.iter().flat_map(|lost| lost.parts.as_slice());
            let parts = parts.copied().filter(|part| !is_sound(*part));
            parts
                .filter(|part| !record.is_acquitted(*part, self.service))
                .collect()
        };
        let mut common = lost.first().map(beside).unwrap_or_default();
        for crash in lost {
            let parts = beside(crash);
            common.retain(|part| parts.contains(part));
        }
        common.remove(&part);
        let mut group = vec![part];
        let mut holders: Vec<_> = lost.iter().map(|crash| crash.requests.clone()).collect();
        for part in common {
            let mut narrowed = holders.clone();
            for requests in &mut narrowed {
                requests.retain(|lost| lost.parts.contains(part));
            }
            if narrowed.iter().all(|requests| !requests.is_empty()) {
                holders = narrowed;
                group.push(part);
            }
        }
        group.sort_unstable();
        group
    }

    fn suspect(&self, parts: Vec<PartId>) -> SuspectedGroup {
        let is_explained = |(_, crash): &(&CrashId, &PartCrash)| {
            let is_acquitted = |part: &PartId| crash.is_acquitted(*part, self.service);
            crash.has_lost(&parts) && !parts.iter().any(is_acquitted)
        };
        let explained = self.crashes.iter().filter(is_explained);
        SuspectedGroup {
            crashes: explained.map(|(id, _)| id.clone()).collect(),
            probes: 0,
            refused_until_unix_ms: 0,
            repeats_refused_until_unix_ms: 0,
            last_crash_unix_ms: 0,
            least_losses: 0,
            held_from_unix_ms: 0,
            has_run: false,
            parts,
        }
    }

    /// Sets the refusal of each group, the likeliest first. A crash that a likelier group explains is
    /// not counted as a probe. If the group was seen to run, nor is one with a part that was not, which
    /// is likelier to be the cause, and one while backend servers crash without the group as well.
    fn set_refusals(&self, groups: &mut [SuspectedGroup]) {
        let acquitted = self.acquitted();
        let losses = match groups.is_empty() {
            true => HashMap::new(),
            false => self.losses(),
        };
        groups.sort_by_cached_key(|group| (self.longest_run_ms(group), group.parts.clone()));
        for rank in 0..groups.len() {
            let (likelier, rest) = groups.split_at_mut(rank);
            let Some(group) = rest.first_mut() else {
                return;
            };
            let is_explained = |id: &CrashId| {
                let mut others = likelier.iter().filter(|other| !other.is_related_to(group));
                others.any(|other| other.crashes.contains(id))
            };
            let has_run = group.parts.iter().all(|part| acquitted.contains(part));
            let holds_unproven = |crash: &PartCrash| {
                let mut parts = crash.lost.iter().flat_map(|lost| lost.parts.as_slice());
                parts.any(|part| !acquitted.contains(part) && !group.parts.contains(part))
            };
            let records = || group.crashes.iter().map(|id| (id, &self.crashes[id]));
            let is_probe = |(id, crash): &(&CrashId, &PartCrash)| {
                let is_probe = |lost: &LostRequest| {
                    let run_ms = crash.at_unix_ms.saturating_sub(lost.begun_unix_ms);
                    let is_short = run_ms <= MAX_PROBE_RUN_MS;
                    lost.is_probe && is_short && lost.parts.contains_all(&group.parts)
                };
                crash.lost.iter().any(is_probe) && !is_explained(id)
            };
            let probes = || records().filter(is_probe);
            let is_unfair = |crash: &PartCrash| {
                holds_unproven(crash) || self.has_crash_without(&group.parts, crash.at_unix_ms)
            };
            // A request that was lost before may crash backend servers by itself, which says less about
            // its parts than the crash of a request that was never lost.
            let is_first_loss =
                |(id, crash): &(&CrashId, &PartCrash)| self.has_first_loss(id, crash);
            let has_first_loss = probes().any(|probe| is_first_loss(&probe));
            let unfair = probes().filter(|(_, crash)| is_unfair(crash)).count();
            let probes = probes().count();
            let last_unix_ms = records().map(|(_, crash)| crash.at_unix_ms).max();
            let mut origins = records().filter_map(|(_, crash)| crash.origin.as_ref());
            // The version that replaced it may be sound, which a probe shows.
            let is_replaced = origins.all(|origin| self.replaced.contains(origin));
            // The probe of a part that was seen to run may have met a crash of another cause.
            let counted = match has_run {
                true => (probes - unfair).saturating_sub(1),
                false => probes,
            };
            let is_repeated = is_repeated(&self.lost_with(group));
            let refused_ms = |counted: usize| match is_replaced || !is_repeated {
                true => 0,
                false => PART_REFUSAL_MS[counted.min(PART_REFUSAL_MS.len() - 1)],
            };
            let of_others = if has_first_loss { counted } else { 0 };
            group.has_run = has_run;
            group.held_from_unix_ms = match is_repeated {
                true => 0,
                false => last_unix_ms.unwrap_or(0).saturating_add(PROOF_DELAY_MS),
            };
            group.probes = probes;
            group.last_crash_unix_ms = last_unix_ms.unwrap_or(0);
            group.least_losses = self.least_losses(group, &losses);
            let ends_after = |refused_ms| last_unix_ms.unwrap_or(0).saturating_add(refused_ms);
            group.refused_until_unix_ms = ends_after(refused_ms(of_others));
            group.repeats_refused_until_unix_ms = ends_after(refused_ms(counted));
        }
    }

    /// Number of crashes in which each request was lost.
    fn losses(&self) -> HashMap<Fingerprint, usize> {
        let mut losses = HashMap::new();
        for crash in self.crashes.values().filter(|crash| !crash.is_refuted) {
            let requests: BTreeSet<Fingerprint> =
                crash.lost.iter().map(|lost| lost.request).collect();
            for request in requests {
                *losses.entry(request).or_default() += 1;
            }
        }
        losses
    }

    fn least_losses(&self, group: &SuspectedGroup, losses: &HashMap<Fingerprint, usize>) -> usize {
        let records = group.crashes.iter().map(|id| &self.crashes[id]);
        let lost = records.flat_map(|crash| &crash.lost);
        let holders = lost.filter(|lost| lost.parts.contains_all(&group.parts));
        let losses = holders.filter_map(|lost| losses.get(&lost.request).copied());
        losses.min().unwrap_or(0)
    }

    /// Whether a probe that was lost in a crash was the request's first attempt to be lost.
    fn has_first_loss(&self, id: &CrashId, crash: &PartCrash) -> bool {
        let mut probes = crash.lost.iter().filter(|lost| lost.is_probe);
        probes.any(|probe| {
            let mut earlier = self.crashes.iter().filter(|(other, record)| {
                *other != id && record.at_unix_ms < crash.at_unix_ms && !record.is_refuted
            });
            earlier.all(|(_, record)| !record.has_lost_request(probe.request))
        })
    }

    /// Whether a backend server of the service crashed without a request with the group shortly before.
    fn has_crash_without(&self, group: &[PartId], before_unix_ms: u64) -> bool {
        let since_unix_ms = before_unix_ms.saturating_sub(OTHER_CAUSE_MS);
        self.crashes.values().any(|crash| {
            let is_here = crash
                .origin
                .as_ref()
                .is_some_and(|origin| origin.service == *self.service);
            let is_recent = (since_unix_ms..before_unix_ms).contains(&crash.at_unix_ms);
            is_here && is_recent && !crash.is_refuted && !crash.has_lost(group)
        })
    }

    /// The crashes of a group, by time.
    fn lost_with<'a>(&'a self, group: &'a SuspectedGroup) -> Vec<LostWithPart<'a>> {
        let lost = group.crashes.iter().map(|id| {
            let record = &self.crashes[id];
            let holds = |lost: &&LostRequest| lost.parts.contains_all(&group.parts);
            LostWithPart {
                crash: id,
                at_unix_ms: record.at_unix_ms,
                has_proven: !record.proven.is_empty(),
                requests: record.lost.iter().filter(holds).collect(),
            }
        });
        let mut lost: Vec<_> = lost.collect();
        lost.sort_by_key(|lost| lost.at_unix_ms);
        lost
    }

    /// Longest time in ms from the start of a request with the group to the next crash under it. It is
    /// short for a guilty group: its requests crash a backend server soon after they are sent.
    fn longest_run_ms(&self, group: &SuspectedGroup) -> u64 {
        let records = group.crashes.iter().map(|id| &self.crashes[id]);
        let ages = records.map(|crash| {
            let holders = crash.lost.iter();
            let holders = holders.filter(|lost| lost.parts.contains_all(&group.parts));
            let ages = holders.map(|lost| crash.at_unix_ms.saturating_sub(lost.begun_unix_ms));
            ages.min().unwrap_or(0)
        });
        ages.max().unwrap_or(0)
    }
}
