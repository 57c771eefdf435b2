//! Grants of a limit coordinator while responses may be lost or grants of an earlier coordinator
//! may still be valid. Guards against shares that add up to more than the limit.

mod common;

use common::shares::{INSTANCES, LIMITS, customer, instance};
use foxtailhold::limits::{
    Credit, Demand, FULL_SHARE_PPM, LEASE_MS, LimitCoordinator, LimitDecision, MembershipViews,
    Share, ShareGrant, ShareHolder, ShareRequest,
};
use foxtailhold::time::MonoMs;
use test_case::test_case;

const NOW: MonoMs = MonoMs(100_000);

struct Coordinator {
    coordinator: LimitCoordinator,
    views: MembershipViews,
    number: u64,
}

impl Coordinator {
    /// The customer's coordinator among all instances.
    fn new() -> Self {
        let mut views = None;
        for index in 0..INSTANCES {
            let mut view = MembershipViews::new(instance(index), MonoMs(0));
            view.set((0..INSTANCES).map(instance).collect(), 0, MonoMs(0));
            if view.is_coordinator(&customer()) {
                views = Some(view);
            }
        }
        Coordinator {
            coordinator: LimitCoordinator::default(),
            views: views.unwrap(),
            number: 0,
        }
    }

    /// Sends a share request of an instance that could use the whole limit and holds `held`; `None`
    /// returns the share.
    fn request_share(
        &mut self,
        from: usize,
        held: Option<Share>,
        at: MonoMs,
    ) -> Option<ShareGrant> {
        self.number += 1;
        let demand = Demand {
            requests_per_s: LIMITS.requests_per_s,
            tokens_per_s: LIMITS.tokens_per_s,
            slots: LIMITS.slots,
            in_flight: 0,
        };
        let request = ShareRequest {
            customer: customer(),
            number: self.number,
            held: held.unwrap_or_default(),
            demand: held.map(|_| demand),
            returned: Credit::default(),
        };
        let from = instance(from);
        self.coordinator
            .handle_request(&from, &request, &LIMITS, &self.views, at)
    }

    fn share(&mut self, from: usize, held: Share, at: MonoMs) -> Share {
        self.request_share(from, Some(held), at).unwrap().share
    }
}

#[test]
fn a_share_that_shrinks_is_counted_whole_until_its_holder_renews() {
    let mut coordinator = Coordinator::new();
    let nothing = Share::default();
    let large = coordinator.share(0, nothing, NOW);
    let small = coordinator.share(1, nothing, NOW);
    let shrunk = coordinator.share(0, large, NOW + 1_000);
    assert!(shrunk.requests_ppm < large.requests_ppm);
    let held = coordinator.share(1, small, NOW + 1_001);
    assert!(held.requests_ppm <= FULL_SHARE_PPM - large.requests_ppm);
    coordinator.share(0, shrunk, NOW + 1_002);
    let grown = coordinator.share(1, held, NOW + 1_003);
    assert!(grown.requests_ppm > held.requests_ppm);
    assert!(grown.requests_ppm <= FULL_SHARE_PPM - shrunk.requests_ppm);
}

#[test_case(LEASE_MS - 1, false; "before the lease ends")]
#[test_case(LEASE_MS, true; "when the lease has ended")]
fn a_lost_holders_share_is_free_after_its_lease(after_ms: u64, free: bool) {
    let mut coordinator = Coordinator::new();
    let large = coordinator.share(0, Share::default(), NOW);
    let share = coordinator.share(1, Share::default(), NOW + after_ms);
    assert_eq!(
        share.requests_ppm > FULL_SHARE_PPM - large.requests_ppm,
        free
    );
}

#[test]
fn accumulated_credit_is_granted_once() {
    let mut coordinator = Coordinator::new();
    let mut granted = 0.0;
    for _ in 0..20 {
        let grant = coordinator
            .request_share(0, Some(Share::default()), NOW)
            .unwrap();
        granted += grant.credit.requests;
        coordinator.request_share(0, None, NOW);
    }
    assert!(granted <= LIMITS.burst_requests + 1e-6, "{granted}");
}

#[test]
fn an_outdated_request_is_not_answered() {
    let mut coordinator = Coordinator::new();
    coordinator.share(0, Share::default(), NOW);
    coordinator.number = 0;
    assert_eq!(
        coordinator.request_share(0, Some(Share::default()), NOW),
        None
    );
}

#[test]
fn while_an_earlier_coordinator_may_have_granted_newcomers_get_only_their_part() {
    let mut coordinator = Coordinator::new();
    let me = (0..INSTANCES).find(|index| {
        let mut views = MembershipViews::new(instance(*index), MonoMs(0));
        views.set((0..INSTANCES).map(instance).collect(), 0, MonoMs(0));
        views.is_coordinator(&customer())
    });
    let me = me.unwrap();
    let others: Vec<usize> = (0..INSTANCES).filter(|index| *index != me).collect();
    let without_me = others.iter().map(|index| instance(*index)).collect();
    coordinator.views.set(without_me, INSTANCES as u32, NOW);
    assert_eq!(
        coordinator.request_share(others[0], Some(Share::default()), NOW),
        None
    );
    let all = (0..INSTANCES).map(instance).collect();
    coordinator.views.set(all, INSTANCES as u32, NOW + 1);

    let part = FULL_SHARE_PPM / INSTANCES as u32;
    let newcomer = coordinator.share(others[0], Share::default(), NOW + 2);
    assert_eq!(newcomer.requests_ppm, part);
    let claimed = Share {
        requests_ppm: FULL_SHARE_PPM / 2,
        tokens_ppm: part + 1,
        slots: LIMITS.slots / 2,
    };
    assert_eq!(coordinator.share(others[1], claimed, NOW + 3), claimed);
    let last = coordinator.share(others[2], Share::default(), NOW + 4);
    assert_eq!(last.requests_ppm, part);
    let later = NOW + LEASE_MS + 1;
    let grown = coordinator.share(others[0], newcomer, later);
    assert!(grown.requests_ppm >= newcomer.requests_ppm);
}

#[test]
fn a_first_request_is_admitted_on_a_share_without_credit() {
    let mut holder = ShareHolder::new(NOW);
    let count = INSTANCES as u32;
    assert_eq!(holder.admit(&LIMITS, count, 1.0, NOW), LimitDecision::Wait);
    let request = holder.due_request(&customer(), &LIMITS, 1, NOW).unwrap();
    let grant = ShareGrant {
        customer: customer(),
        number: request.number,
        share: Share::part(&LIMITS, 1, 16),
        credit: Credit {
            requests: 0.0,
            tokens: 1.0,
        },
        renew_soon: true,
        rising: false,
    };
    holder.granted(&LIMITS, &grant, NOW);
    assert_eq!(
        holder.admit(&LIMITS, count, 1.0, NOW),
        LimitDecision::Admitted
    );
    let second = holder.admit(&LIMITS, count, 1.0, NOW);
    assert!(matches!(second, LimitDecision::Over { .. }), "{second:?}");
}

#[test]
fn a_budget_that_shrinks_cuts_no_holder_below_its_part() {
    let mut coordinator = Coordinator::new();
    let large = coordinator.share(0, Share::default(), NOW);
    let small = coordinator.share(1, Share::default(), NOW);
    let me = (0..INSTANCES).map(instance);
    coordinator
        .views
        .set(me.collect(), 2 * INSTANCES as u32, NOW + 1);
    let kept = coordinator.share(1, small, NOW + 2);
    assert_eq!(kept, small);
    let reduced = coordinator.share(0, large, NOW + 3);
    assert!(reduced.requests_ppm < large.requests_ppm);
    assert!(reduced.requests_ppm + kept.requests_ppm <= FULL_SHARE_PPM / 2);
}
