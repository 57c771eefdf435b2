//! Tells other instances which batch jobs were ended here, and asks them the same.

use std::net::SocketAddr;
use std::time::Duration;

use foxtailhold::end_rounds::{AskedMember, EndAnswer};
use foxtailhold::ids::{InstanceId, JobId};
use foxtailhold::time::MonoMs;

use super::{PeerMessage, Peers, ToldEnds};
use crate::ended_jobs::EndedJobs;
use crate::tables::FollowedTable;

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
        let now = self.now();
        self.inner.ended.record_own(job, now);
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
            covers_ms: 0,
            is_store_away: false,
        };
        self.send(address, &PeerMessage::Ended(ends));
    }

    pub(super) fn tell_ended(&self, to: SocketAddr, round: u64) {
        let (jobs, covers_ms) = self.inner.ended.own(self.now());
        let ends = ToldEnds {
            round: Some(round),
            jobs,
            covers_ms,
            is_store_away: self.inner.tables.outage(FollowedTable::Jobs).is_some(),
        };
        self.send(to, &PeerMessage::Ended(ends));
    }

    pub(super) fn record_ended(&self, from: SocketAddr, ends: ToldEnds) {
        let Some(round) = ends.round else {
            self.inner.ended.record_handed_on(ends.jobs);
            return;
        };
        self.inner.ended.record_told(ends.jobs);
        let answer = EndAnswer {
            covers_ms: ends.covers_ms,
            is_store_away: ends.is_store_away,
        };
        self.inner.ended.record_answer(round, from, answer);
    }

    /// Asks all other instances for the jobs that were ended at them. Returns whether all ends that were
    /// acknowledged before the call are known then; `known_as_of` is the moment up to which they are now.
    pub(crate) async fn ask_ended(&self, known_as_of: MonoMs) -> bool {
        let now = self.now();
        let Some(members) = self.asked_members(now, known_as_of) else {
            return false;
        };
        let round = self.inner.ended.ask(now, known_as_of, &members);
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

    /// Notes which other instances are down, so that it is known since when.
    pub(super) fn note_down(&self, now: MonoMs) {
        let mut members = self.members();
        let view = members.live_view(now);
        let others: Vec<InstanceId> = members
            .other_members()
            .map(|member| member.instance.clone())
            .collect();
        for instance in others {
            members.down_ms_in(&view, &instance);
        }
    }

    /// The other instances that may have ended a job since `known_as_of`; `None` if this one is cut off
    /// from all of them.
    fn asked_members(
        &self,
        now: MonoMs,
        known_as_of: MonoMs,
    ) -> Option<Vec<AskedMember<SocketAddr>>> {
        let mut members = self.members();
        let view = members.live_view(now);
        let others: Vec<(InstanceId, SocketAddr)> = members
            .other_members()
            .map(|member| (member.instance.clone(), member.peer_address))
            .collect();
        if !others.is_empty() && !view.hears_others() {
            return None;
        }
        let mut asked = Vec::new();
        for (instance, address) in others {
            let down_ms = members.down_ms_in(&view, &instance);
            if down_ms.is_some_and(|down_ms| MonoMs(now.0.saturating_sub(down_ms)) < known_as_of) {
                continue;
            }
            asked.push(AskedMember {
                member: address,
                is_alive: down_ms.is_none(),
            });
        }
        Some(asked)
    }
}
