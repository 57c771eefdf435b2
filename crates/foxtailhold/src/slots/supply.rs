//! Estimates how long an online request waits for a slot where backend servers of several software
//! versions share a pool.

use std::cell::RefCell;

use crate::software_version::SoftwareVersion;

/// What the backend servers of one version offer, and the requests that only they can serve.
#[derive(Debug, Clone)]
struct VersionSupply<'a> {
    version: &'a SoftwareVersion,
    /// Slots that are free or can be preempted.
    ready: u64,
    /// Slots that the health of the backend servers allows to be in use.
    usable: u64,
    /// Times in ms after which the usable slots that callers hold are likely to be free.
    returns_ms: Vec<u64>,
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
#[derive(Debug, Clone)]
pub(super) struct OnlineSupply<'a> {
    versions: Vec<VersionSupply<'a>>,
    /// Queued requests that any version can serve.
    ahead_of_any: u64,
    /// Time in ms for which a request is likely to hold a slot.
    held_ms: u64,
    /// Sorted times at which slots of these versions are returned. Many requests ask for the same.
    sorted_returns: RefCell<Vec<(Vec<usize>, Vec<u64>)>>,
}

impl<'a> OnlineSupply<'a> {
    /// A pool without backend servers, in which a request holds a slot for `held_ms`.
    pub(super) fn new(held_ms: u64) -> Self {
        OnlineSupply {
            versions: Vec::new(),
            ahead_of_any: 0,
            held_ms,
            sorted_returns: RefCell::default(),
        }
    }

    /// Adds the slots of one backend server; `returns_ms` are the times after which those that callers
    /// hold are likely to be free.
    pub(super) fn add_backend(
        &mut self,
        version: &'a SoftwareVersion,
        (ready, usable): (u64, u64),
        returns_ms: impl Iterator<Item = u64>,
    ) {
        let known = self.versions.iter().position(|v| v.version == version);
        let known = known.unwrap_or_else(|| {
            self.versions.push(VersionSupply {
                version,
                ready: 0,
                usable: 0,
                returns_ms: Vec::new(),
                ahead: 0,
            });
            self.versions.len() - 1
        });
        let supply = &mut self.versions[known];
        supply.ready += ready;
        supply.usable += usable;
        supply.returns_ms.extend(returns_ms);
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

    /// Time in ms for which a request is likely to hold a slot.
    pub(super) fn held_ms(&self) -> u64 {
        self.held_ms
    }

    /// Slots that may be in use.
    pub(super) fn usable(&self) -> u64 {
        self.versions.iter().map(|v| v.usable).sum()
    }

    /// Time in ms until a slot is likely to be free: 0 if one is ready, `None` if none is usable.
    pub(super) fn wait_ms(&self, version: Option<&SoftwareVersion>) -> Option<u64> {
        match version {
            Some(version) => self.wait_at_ms(version),
            None => self.wait_anywhere_ms(),
        }
    }

    /// Whether a slot is ready for a request.
    pub(super) fn is_ready(&self, version: Option<&SoftwareVersion>) -> bool {
        self.missing(version).is_none()
    }

    /// Slots that have to be returned before that of a request, beside those that versions lack for
    /// themselves; `None` if one is ready.
    fn missing(&self, version: Option<&SoftwareVersion>) -> Option<u64> {
        let Some(version) = version else {
            let spare: u64 = self.versions.iter().map(VersionSupply::spare).sum();
            return self.ahead_of_any.checked_sub(spare);
        };
        let Some(own) = self.versions.iter().find(|v| v.version == version) else {
            return Some(0);
        };
        let others = self.versions.iter().filter(|v| v.version != version);
        let spare_elsewhere: u64 = others.map(VersionSupply::spare).sum();
        let share = own.usable as f64 / self.usable().max(1) as f64;
        let shared_ahead = self.ahead_of_any.saturating_sub(spare_elsewhere) as f64 * share;
        (own.ahead + shared_ahead as u64).checked_sub(own.ready)
    }

    fn wait_at_ms(&self, version: &SoftwareVersion) -> Option<u64> {
        let index = self.versions.iter().position(|v| v.version == version)?;
        let Some(missing) = self.missing(Some(version)) else {
            return Some(0);
        };
        (self.versions[index].usable > 0).then(|| self.return_ms(&[index], missing))
    }

    fn wait_anywhere_ms(&self) -> Option<u64> {
        let Some(mut missing) = self.missing(None) else {
            return Some(0);
        };
        // The returned slots of a version go to the requests that wait for it until they are all
        // served, and to any request from then on. Versions are added in that order, as long as
        // their slots shorten the wait.
        let usable = (0..self.versions.len()).filter(|index| self.versions[*index].usable > 0);
        let mut by_backlog: Vec<usize> = usable.collect();
        by_backlog.sort_by(|a, b| {
            let backlog = |index: &usize| {
                let supply = &self.versions[*index];
                supply.excess() as f64 / supply.usable as f64
            };
            backlog(a).total_cmp(&backlog(b))
        });
        let mut wait_ms: Option<u64> = None;
        for (place, index) in by_backlog.iter().enumerate() {
            missing += self.versions[*index].excess();
            let with_version_ms = self.return_ms(&by_backlog[..=place], missing);
            wait_ms = Some(wait_ms.map_or(with_version_ms, |ms| ms.min(with_version_ms)));
        }
        wait_ms
    }

    /// Time in ms until slots of these versions have been returned once more than `ahead` times.
    fn return_ms(&self, versions: &[usize], ahead: u64) -> u64 {
        let mut known = self.sorted_returns.borrow_mut();
        let place = known.iter().position(|(of, _)| of == versions);
        let place = place.unwrap_or_else(|| {
            known.push((versions.to_vec(), self.sort_returns(versions)));
            known.len() - 1
        });
        let returns_ms = &known[place].1;
        let slots = returns_ms.len() as u64;
        if slots == 0 {
            return self.held_ms;
        }
        returns_ms[(ahead % slots) as usize] + (ahead / slots) * self.held_ms
    }

    fn sort_returns(&self, versions: &[usize]) -> Vec<u64> {
        let mut returns_ms = Vec::new();
        for index in versions {
            let supply = &self.versions[*index];
            returns_ms.extend_from_slice(&supply.returns_ms);
            // Slots that are ready go to the requests ahead, and are returned later.
            returns_ms.extend(std::iter::repeat_n(self.held_ms, supply.ready as usize));
        }
        returns_ms.sort_unstable();
        returns_ms
    }
}
