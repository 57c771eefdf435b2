//! Gauges that are read from the instance's state on each scrape.

use foxtailhold::membership::MemberState;
use foxtailhold_platform::Platform;

use crate::metrics::{BackendLabel, StateLabel};
use crate::shared::Shared;

const STATES: [(MemberState, &str); 4] = [
    (MemberState::Alive, "alive"),
    (MemberState::Suspect, "suspect"),
    (MemberState::Leaving, "leaving"),
    (MemberState::Dead, "dead"),
];

/// Updates the gauges and returns all metrics in the OpenMetrics text format.
pub fn encode<P: Platform>(shared: &Shared<P>) -> String {
    set_members(shared);
    set_backends(shared);
    let now = shared.clock.mono();
    let gauges = &shared.metrics.gauges;
    let sync = shared.contract_sync.load();
    if let Some(age_ms) = sync.status(now).confirmed_age_ms {
        gauges
            .contracts_age_seconds
            .set(f64::from(age_ms) / 1_000.0);
    }
    let epoch = shared.lease_epoch();
    gauges.lease_valid.set(epoch.is_some().into());
    if let Some(epoch) = epoch {
        gauges.lease_epoch.set(epoch as i64);
    }
    gauges.stopping.set(shared.is_stopping().into());
    let traffic = shared.peers.traffic();
    let (sent, received) = (traffic.sent_bytes(), traffic.received_bytes());
    gauges.peer_sent_bytes.inner().store(sent, RELAXED);
    gauges.peer_received_bytes.inner().store(received, RELAXED);
    let dropped = shared.timeline.dropped();
    gauges.timeline_dropped.inner().store(dropped, RELAXED);
    shared.metrics.encode()
}

const RELAXED: std::sync::atomic::Ordering = std::sync::atomic::Ordering::Relaxed;

fn set_members<P: Platform>(shared: &Shared<P>) {
    let members = shared.members.load();
    for (state, name) in STATES {
        let count = members
            .iter()
            .filter(|member| member.state == state)
            .count();
        let gauge = &shared.metrics.gauges.instances;
        let label = StateLabel { state: name };
        gauge.get_or_create(&label).set(count as i64);
    }
}

fn set_backends<P: Platform>(shared: &Shared<P>) {
    let gauges = &shared.metrics.gauges;
    let families = [
        &gauges.backend_running,
        &gauges.backend_waiting,
        &gauges.backend_in_flight,
    ];
    for family in families {
        family.clear();
    }
    for server in &shared.backends.load().servers {
        let load = server.load();
        let counts = [load.report.running, load.report.waiting, load.in_flight];
        let backend = server.backend.id.to_string();
        let label = BackendLabel { backend };
        for (family, count) in families.into_iter().zip(counts) {
            family.get_or_create(&label).set(count.into());
        }
    }
}
