//! The instances among which limit coordinators are chosen, and recent changes of this set.

use crate::ids::{CustomerId, InstanceId};
use crate::limits::LEASE_MS;
use crate::rendezvous;
use crate::time::MonoMs;

#[derive(Debug, Clone)]
struct PastView {
    members: Vec<InstanceId>,
    ended_at: MonoMs,
}

/// The live instances as seen by one instance, with the member sets of the last lease period.
#[derive(Debug, Clone)]
pub struct MembershipViews {
    me: InstanceId,
    started_at: MonoMs,
    members: Vec<InstanceId>,
    listed: u32,
    past: Vec<PastView>,
}

impl MembershipViews {
    /// The view of an instance that has just started and knows only itself.
    pub fn new(me: InstanceId, now: MonoMs) -> Self {
        MembershipViews {
            members: vec![me.clone()],
            me,
            started_at: now,
            listed: 1,
            past: Vec::new(),
        }
    }

    /// Sets the live members. `listed` is the number of all instances, including unreachable ones.
    pub fn set(&mut self, mut members: Vec<InstanceId>, listed: u32, now: MonoMs) {
        members.sort();
        self.listed = listed.max(members.len() as u32).max(1);
        self.past
            .retain(|view| now.since_ms(view.ended_at) < LEASE_MS);
        if members == self.members {
            return;
        }
        let members = std::mem::replace(&mut self.members, members);
        let ended_at = now;
        self.past.push(PastView { members, ended_at });
    }

    /// Number of live and reachable instances.
    pub fn live(&self) -> u32 {
        self.members.len() as u32
    }

    /// Number of all instances, including unreachable ones.
    pub fn listed(&self) -> u32 {
        self.listed
    }

    /// The limit coordinator of a customer.
    pub fn coordinator(&self, customer: &CustomerId) -> Option<&InstanceId> {
        rendezvous::select(&self.members, customer.as_str().as_bytes())
    }

    /// Whether `id` is this instance.
    pub fn is_me(&self, id: &InstanceId) -> bool {
        *id == self.me
    }

    /// Whether this instance is the limit coordinator of a customer.
    pub fn is_coordinator(&self, customer: &CustomerId) -> bool {
        self.coordinator(customer) == Some(&self.me)
    }

    /// Time until which grants of another coordinator for the customer may be valid.
    pub fn foreign_grants_until(&self, customer: &CustomerId) -> MonoMs {
        let mut until = self.started_at + LEASE_MS;
        let key = customer.as_str().as_bytes();
        for view in &self.past {
            if rendezvous::select(&view.members, key) != Some(&self.me) {
                until = until.max(view.ended_at + LEASE_MS);
            }
        }
        until
    }
}
