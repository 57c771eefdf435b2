//! Policies, arrivals and the upper bound on the sheets that come with the program.

use foxtailhold_experiment::arrivals::{self, RequestKind, rate_factor};
use foxtailhold_experiment::bound::bound;
use foxtailhold_experiment::options::Policy;
use foxtailhold_experiment::sheet::{Sheet, SheetError};
use foxtailhold_experiment::statistics::RunStatistics;
use foxtailhold_experiment::world::{Outage, Scenario};
use test_case::test_case;

const GRANITE_TRAIL: &str = include_str!("../sheets/granite-trail.toml");
const HUON_TRACKS: &str = include_str!("../sheets/huon-tracks.toml");
const LENGTH_US: u64 = 40_000_000;

fn sheet(text: &str) -> Sheet {
    Sheet::try_from(text).unwrap()
}

fn with_scenario<T>(
    sheet: &Sheet,
    seed: u64,
    outage: Option<Outage>,
    simulate: impl Fn(Scenario<'_>) -> T,
) -> T {
    let requests = arrivals::draw(sheet, LENGTH_US, seed);
    simulate(Scenario {
        sheet,
        requests: &requests,
        length_us: LENGTH_US,
        outage,
    })
}

fn simulate(policy: Policy, sheet: &Sheet, seed: u64) -> RunStatistics {
    with_scenario(sheet, seed, None, |scenario| {
        policy.simulate(scenario).unwrap()
    })
}

#[test]
fn arrivals_are_the_same_for_a_seed_and_follow_off_peak_and_peak() {
    let sheet = sheet(GRANITE_TRAIL);
    let all = arrivals::draw(&sheet, LENGTH_US, 5);
    assert_eq!(all, arrivals::draw(&sheet, LENGTH_US, 5));
    assert_ne!(all, arrivals::draw(&sheet, LENGTH_US, 6));
    assert!(all.is_sorted_by_key(|request| request.at_us));
    let online = all
        .iter()
        .filter(|request| request.kind == RequestKind::Online);
    let (mut off_peak, mut peak) = (0.0, 0.0);
    for request in online {
        match rate_factor(&sheet, request.at_us) < 1.0 {
            true => off_peak += 1.0 / 3.8,
            false => peak += 1.0 / 2.8,
        }
    }
    let ratio = peak / off_peak;
    assert!((3.5..6.5).contains(&ratio), "{ratio}, 4.88 by the sheet");
}

#[test_case(GRANITE_TRAIL; "granite trail")]
#[test_case(HUON_TRACKS; "huon tracks")]
fn no_policy_exceeds_the_bound(text: &str) {
    let sheet = sheet(text);
    let outage = Outage {
        at_us: 15_000_000,
        for_us: 1_300_000,
    };
    for seed in 1..4 {
        for outage in [None, Some(outage)] {
            for policy in Policy::ALL {
                with_scenario(&sheet, seed, outage, |scenario| {
                    let (statistics, upper) =
                        (policy.simulate(scenario).unwrap(), bound(&scenario));
                    let name = policy.name();
                    assert!(statistics.online.share() <= upper.online, "{name} {seed}");
                    assert!(statistics.batch.share() <= upper.batch, "{name} {seed}");
                });
            }
        }
    }
}

#[test_case(GRANITE_TRAIL; "granite trail")]
#[test_case(HUON_TRACKS; "huon tracks")]
fn an_allocator_serves_more_in_time_than_independent_instances(text: &str) {
    let sheet = sheet(text);
    let statistics = simulate(Policy::Allocator, &sheet, 1);
    assert!(
        statistics.online.share() > 0.95,
        "{}",
        statistics.online.share()
    );
    assert!(
        statistics.batch.share() > 0.95,
        "{}",
        statistics.batch.share()
    );
    for policy in [Policy::SharedView, Policy::InAnswers, Policy::Alone] {
        let other = simulate(policy, &sheet, 1);
        let better = statistics.online.share() - other.online.share();
        assert!(better > 0.02, "{}: {better}", policy.name());
    }
}

#[test]
fn a_run_is_the_same_each_time() {
    let sheet = sheet(HUON_TRACKS);
    let figures = |statistics: RunStatistics| {
        (
            statistics.online.in_time,
            statistics.batch.in_time,
            statistics.preemptions,
        )
    };
    let first = figures(simulate(Policy::SharedView, &sheet, 2));
    assert_eq!(first, figures(simulate(Policy::SharedView, &sheet, 2)));
}

#[test_case("slots = 8", "slots = 0", "engine.slots"; "no slots")]
#[test_case("instances = 5", "instances = 0", "zones.instances"; "no instances")]
#[test_case("spread = 0.25", "spread = 1.0", "online.spread"; "spread of all")]
#[test_case("ebb = [0.377, 3800]", "ebb = [0.377, 0]", "online.ebb"; "no ebb")]
fn a_sheet_with_a_senseless_number_is_refused(good: &str, bad: &str, field: &str) {
    let error = Sheet::try_from(GRANITE_TRAIL.replacen(good, bad, 1).as_str()).unwrap_err();
    assert!(matches!(error, SheetError::OutOfRange { .. }), "{error}");
    assert!(error.to_string().starts_with(field), "{error}");
}

#[test]
fn a_sheet_with_an_unknown_field_is_refused() {
    let text = format!("colour = 1\n{GRANITE_TRAIL}");
    let error = Sheet::try_from(text.as_str()).unwrap_err();
    assert!(matches!(error, SheetError::Unreadable(_)), "{error}");
}
