//! Which owners of jobs are down, and who takes over from them.

use std::collections::{HashMap, HashSet};

use foxtailhold::ids::{InstanceId, JobId};
use foxtailhold::rendezvous;
use foxtailhold::time::MonoMs;

use crate::peers::Members;

/// Time after which an owner that is down loses its jobs. It is longer than a usual restart of the
/// connection between instances and far shorter than the slack of an item.
const OWNER_TIMEOUT_MS: u64 = 1_200;

/// The same for an instance that receives no message from any other: it may itself be the isolated
/// one, so it waits longer.
const OWNER_TIMEOUT_ISOLATED_MS: u64 = 3_600;

/// Interval between the turns of the candidates that take over the jobs of a lost owner. The first
/// one takes over at once; the others do if it has not, whoever they take for the first one.
const TURN_MS: u64 = 600;
/// Turns of this interval; after them turns come faster, up to the last one.
const MAX_TURNS: u64 = 6;
const LATE_TURN_MS: u64 = 25;
const MAX_LATE_MS: u64 = 3_000;

/// Time from the turn of the first candidate to the one of the candidate at `rank`.
pub(crate) fn turn_ms(rank: usize) -> u64 {
    let rank = rank as u64;
    let late_ms = rank.saturating_sub(MAX_TURNS) * LATE_TURN_MS;
    rank.min(MAX_TURNS) * TURN_MS + late_ms.min(MAX_LATE_MS)
}

/// An owner that is down, as this instance sees it.
#[derive(Debug, Clone, Copy)]
struct DownOwner {
    down_ms: u64,
    /// Time for which it has to be down before the first candidate takes over.
    timeout_ms: u64,
}

/// The owner of a job, if it is down.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostOwner {
    /// The owner.
    pub owner: InstanceId,
    /// For how long this instance has not heard from it.
    pub down_ms: u64,
    /// Number of candidates that come before this instance.
    pub rank: usize,
    /// Number of instances that can take over.
    pub candidates: usize,
    /// Time for which the owner has to be down before this instance takes over.
    pub takeover_after_ms: u64,
}

impl LostOwner {
    /// Whether it is this instance's turn to take over.
    pub fn is_due(&self) -> bool {
        self.down_ms >= self.takeover_after_ms
    }
}

/// The owners that are down at one moment and the candidates for their jobs. It is made once for all
/// open jobs, because its cost grows with the number of instances.
#[derive(Debug)]
pub struct Succession {
    me: InstanceId,
    down: HashMap<InstanceId, DownOwner>,
    candidates: Vec<InstanceId>,
    is_candidate: bool,
}

impl Succession {
    /// Finds out which of `owners` are down. It must be called regularly because it notes when an
    /// instance goes down.
    pub fn new(members: &mut Members, now: MonoMs, owners: HashSet<&InstanceId>) -> Self {
        let view = members.live_view(now);
        let timeout_ms = match view.hears_others() {
            true => OWNER_TIMEOUT_MS,
            false => OWNER_TIMEOUT_ISOLATED_MS,
        };
        let mut down = HashMap::new();
        for owner in owners {
            let Some(down_ms) = members.down_ms_in(&view, owner) else {
                continue;
            };
            let is_replaced = members.is_replaced(owner);
            if down_ms < timeout_ms && !is_replaced {
                continue;
            }
            // A replaced owner is lost at once.
            let timeout_ms = if is_replaced { 0 } else { timeout_ms };
            let down_owner = DownOwner {
                down_ms,
                timeout_ms,
            };
            down.insert(owner.clone(), down_owner);
        }
        let candidates = match down.is_empty() {
            true => Vec::new(),
            false => members.not_down_in(&view, timeout_ms),
        };
        let me = members.me().clone();
        Succession {
            is_candidate: candidates.contains(&me),
            me,
            down,
            candidates,
        }
    }

    /// The owner of a job, if it is down.
    pub fn lost_owner(&self, id: &JobId, owner: &InstanceId) -> Option<LostOwner> {
        let down = self.down.get(owner)?;
        let rank = match self.is_candidate {
            true => rendezvous::rank(&self.candidates, id.as_str().as_bytes(), &self.me),
            false => self.candidates.len(),
        };
        Some(LostOwner {
            owner: owner.clone(),
            down_ms: down.down_ms,
            rank,
            candidates: self.candidates.len(),
            takeover_after_ms: down.timeout_ms + turn_ms(rank),
        })
    }
}
