//! Estimates how long an online request waits for a slot where backend servers of several software
//! versions share a pool.

use crate::software_version::SoftwareVersion;

/// What the backend servers of one version offer, and the requests that only they can serve.
#[derive(Debug)]
struct VersionSupply<'a> {
    version: &'a SoftwareVersion,
    /// Slots that are free or can be preempted.
    ready: u64,
    /// Slots that the health of the backend servers allows to be in use.
    usable: u64,
    /// Queued requests that wait for this version.
    ahead: u64,
}

impl VersionSupply<'_> {
    /// Ready slots left by the requests that wait for this version.
    fn spare(&self) -> u64 {
        self.ready.saturating_sub(self.ahead)
    }

    /// Requests for this version that wait until a slot is returned.
    fn excess(&self) -> u64 {
        self.ahead.saturating_sub(self.ready)
    }
}

/// Slots of a pool by version, and the queue ahead of one online request.
#[derive(Debug, Default)]
pub(super) struct OnlineSupply<'a> {
    versions: Vec<VersionSupply<'a>>,
    /// Queued requests that any version can serve.
    ahead_of_any: u64,
}

impl<'a> OnlineSupply<'a> {
    /// Adds the slots of one backend server.
    pub(super) fn add_backend(&mut self, version: &'a SoftwareVersion, ready: u64, usable: u64) {
        let known = self.versions.iter_mut().find(|v| v.version == version);
        let Some(known) = known else {
            self.versions.push(VersionSupply {
                version,
                ready,
                usable,
                ahead: 0,
            });
            return;
        };
        known.ready += ready;
        known.usable += usable;
    }

    /// Adds a queued request that goes first. All backend servers have to be added before.
    pub(super) fn add_ahead(&mut self, version: Option<&SoftwareVersion>) {
        let Some(version) = version else {
            self.ahead_of_any += 1;
            return;
        };
        let mut versions = self.versions.iter_mut();
        if let Some(known) = versions.find(|known| known.version == version) {
            known.ahead += 1;
        }
    }

    /// Wait for a slot, as a multiple of the time for which a request holds one: 0 if one is ready,
    /// `None` if no slot is usable.
    pub(super) fn turns_until_free(&self, version: Option<&SoftwareVersion>) -> Option<f64> {
        match version {
            Some(version) => self.turns_at(version),
            None => self.turns_anywhere(),
        }
    }

    fn turns_at(&self, version: &SoftwareVersion) -> Option<f64> {
        let own = self.versions.iter().find(|v| v.version == version)?;
        let others = self.versions.iter().filter(|v| v.version != version);
        let spare_elsewhere: u64 = others.map(VersionSupply::spare).sum();
        let usable: u64 = self.versions.iter().map(|v| v.usable).sum();
        let share = own.usable as f64 / usable.max(1) as f64;
        let shared_ahead = self.ahead_of_any.saturating_sub(spare_elsewhere) as f64 * share;
        let missing = own.ahead as f64 + shared_ahead - own.ready as f64;
        if missing < 0.0 {
            return Some(0.0);
        }
        (own.usable > 0).then(|| (missing + 1.0) / own.usable as f64)
    }

    fn turns_anywhere(&self) -> Option<f64> {
        let spare: u64 = self.versions.iter().map(VersionSupply::spare).sum();
        if self.ahead_of_any < spare {
            return Some(0.0);
        }
        // The returned slots of a version go to the requests that wait for it until they are all
        // served, and to any request from then on. Versions are added in that order, as long as
        // their slots shorten the wait.
        let usable = self.versions.iter().filter(|v| v.usable > 0);
        let mut backlogs: Vec<(f64, f64)> = usable
            .map(|v| (v.excess() as f64, v.usable as f64))
            .collect();
        backlogs.sort_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)));
        let mut turns: Option<f64> = None;
        let mut missing = (self.ahead_of_any - spare + 1) as f64;
        let mut slots = 0.0;
        for (excess, usable) in backlogs {
            missing += excess;
            slots += usable;
            let with_version = missing / slots;
            turns = Some(turns.map_or(with_version, |turns| turns.min(with_version)));
        }
        turns
    }
}
