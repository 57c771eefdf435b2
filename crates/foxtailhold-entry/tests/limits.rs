//! Bursts far below a customer's limits are admitted after a short pause, and not refused because
//! the first share of the limits has only just arrived.

use foxtailhold::contract::Contract;
use foxtailhold::ids::InstanceId;
use foxtailhold::limits::{Credit, FULL_SHARE_PPM, Share, ShareGrant};
use foxtailhold::time::{MonoMs, WallMs};
use foxtailhold_entry::limits::{Decision, LimitCheck, Limits};

const NOW: MonoMs = MonoMs(100_000);

fn contract() -> Contract {
    let text = "customer = \"granite-trail\"\napi_keys = [\"granite-trail-key\"]\n\
                requests_per_s = 10000.0\n";
    Contract::try_from(text).unwrap()
}

/// Limits of an instance that has just received its first share, with no request credit saved up.
fn with_first_share(contract: &Contract) -> Limits {
    let me = InstanceId::try_from("entry-0").unwrap();
    let limits = Limits::new(me.clone(), NOW, WallMs(NOW.0));
    limits.set_members(vec![me], 2, NOW);
    let first = limits.decide(contract, 1.0, LimitCheck::First, NOW);
    assert!(matches!(first, Decision::Wait(_)), "{first:?}");
    let request = limits.due_request(&contract.customer, NOW).unwrap();
    let tenth = FULL_SHARE_PPM / 10;
    let grant = ShareGrant {
        customer: contract.customer.clone(),
        number: request.number,
        share: Share {
            requests_ppm: tenth,
            tokens_ppm: tenth,
            slots: 100,
        },
        credit: Credit {
            requests: 0.0,
            tokens: 1_000.0,
        },
        renew_soon: false,
        rising: false,
    };
    limits.apply_grants(&[request], &[grant], NOW);
    limits
}

#[test]
fn requests_that_come_at_once_with_a_first_share_wait_for_a_moment_in_place_of_a_refusal() {
    let contract = contract();
    let limits = with_first_share(&contract);
    let first = limits.decide(&contract, 1.0, LimitCheck::Again, NOW);
    assert!(matches!(first, Decision::Admitted(_)), "{first:?}");
    let second = limits.decide(&contract, 1.0, LimitCheck::Again, NOW);
    let Decision::Pause { after_ms } = second else {
        panic!("{second:?}");
    };
    let later = NOW + after_ms;
    let second = limits.decide(&contract, 1.0, LimitCheck::Paused, later);
    assert!(matches!(second, Decision::Admitted(_)), "{second:?}");
}

#[test]
fn a_request_pauses_once() {
    let contract = contract();
    let limits = with_first_share(&contract);
    let first = limits.decide(&contract, 1.0, LimitCheck::Again, NOW);
    assert!(matches!(first, Decision::Admitted(_)), "{first:?}");
    let second = limits.decide(&contract, 1.0, LimitCheck::Paused, NOW);
    assert!(matches!(second, Decision::Refused(_)), "{second:?}");
}
