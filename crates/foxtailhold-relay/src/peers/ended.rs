//! Tells other instances which batch jobs were ended here, and asks them the same.

use std::net::SocketAddr;
use std::time::Duration;

use foxtailhold::ids::{InstanceId, JobId};
use foxtailhold::time::MonoMs;

use super::{PeerMessage, Peers, ToldEnds};
use crate::ended_jobs::EndedJobs;

/// Interval at which a question is repeated to those who have not answered.
const REPEAT_MS: u64 = 60;
/// Times that a question is sent.
const MAX_SENDS: u32 = 3;

impl Peers {
    /// Ends of batch jobs as instances tell each other.
    pub fn ended(&self) -> &EndedJobs {
        &self.inner.ended
    }

    /// Records that a job was ended by a call at this instance, and tells its owner.
    pub(crate) fn record_end(&self, job: &JobId, owner: &InstanceId) {
        self.inner.ended.record_own(job);
        self.tell_end(job, owner);
    }

    /// Tells another instance that the end of a job was asked for here.
    pub(crate) fn tell_end(&self, job: &JobId, to: &InstanceId) {
        let Some(address) = self.members().address(to) else {
            return;
        };
        let ends = ToldEnds {
            round: None,
            jobs: vec![job.clone()],
        };
        self.send(address, &PeerMessage::Ended(ends));
    }

    pub(super) fn tell_ended(&self, to: SocketAddr, round: u64) {
        let ends = ToldEnds {
            round: Some(round),
            jobs: self.inner.ended.own(),
        };
        self.send(to, &PeerMessage::Ended(ends));
    }

    pub(super) fn record_ended(&self, from: SocketAddr, ends: ToldEnds) {
        let Some(round) = ends.round else {
            self.inner.ended.record_handed_on(ends.jobs);
            return;
        };
        self.inner.ended.record_told(ends.jobs);
        self.inner.ended.record_answer(round, from);
    }

    /// Asks all other instances for the jobs that were ended at them. Returns whether all ends that were
    /// acknowledged before the call are known then.
    pub(crate) async fn ask_ended(&self) -> bool {
        let now = self.now();
        let Some(members) = self.live_others(now) else {
            return false;
        };
        let round = self.inner.ended.ask(now, &members);
        for _ in 0..MAX_SENDS {
            for address in self.inner.ended.waiting() {
                self.send(address, &PeerMessage::AskEnded { round });
            }
            let answered = self.inner.ended.wait_complete(now);
            let limit = Duration::from_millis(REPEAT_MS);
            if tokio::time::timeout(limit, answered).await.is_ok() {
                return true;
            }
        }
        false
    }

    /// Addresses of the other instances that are alive; `None` if this one is cut off from all of them.
    fn live_others(&self, now: MonoMs) -> Option<Vec<SocketAddr>> {
        let mut members = self.members();
        let view = members.live_view(now);
        if !view.hears_others() && members.other_members().next().is_some() {
            return None;
        }
        let others = members.other_members();
        let live = others.filter(|member| view.is_live(&member.instance));
        Some(live.map(|member| member.peer_address).collect())
    }
}
