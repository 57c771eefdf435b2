//! Items of a job whose owner has not learned of its cancellation, and of jobs that nobody cancels.

mod batch_sim;

use batch_sim::world::{NODES, World, job};
use foxtailhold::lease::{ACT_BOUND_MS, LEASE_TERM_MS};
use test_case::test_case;

const STEP_MS: u64 = 250;

/// All instances, with the job owned by the returned one.
fn owned_job() -> (World, usize) {
    let mut world = World::default();
    world.submit(0);
    for _ in 0..20 {
        step(&mut world);
        let mut nodes = 0..NODES;
        if let Some(owner) = nodes.find(|index| world.may_start_items(*index, &job(0))) {
            return (world, owner);
        }
    }
    panic!("nobody owns the job");
}

/// Runs all instances and their calls for a while; no item ends meanwhile.
fn step(world: &mut World) {
    world.now_ms += STEP_MS;
    for index in 0..NODES {
        world.tick(index);
    }
    for index in (0..world.calls.len()).rev() {
        world.answer(index);
    }
}

/// Cancels the job without telling its owner.
fn cancel_unheard(world: &mut World, owner: usize) {
    world.cancel((owner + 1) % NODES, 0);
    while world.peer_messages().is_empty() {
        for index in (0..world.calls.len()).rev() {
            world.answer(index);
        }
    }
    world.lose_peer_message(0);
}

/// Guards against an owner that goes on with a cancelled job for as long as it renews its lease,
/// because the message was lost and the open jobs can't be read. The oracle looks at each step.
#[test_case(0; "scans fail from the cancellation on")]
#[test_case(2_000; "scans fail from before it")]
fn items_of_a_cancelled_job_do_not_start_while_its_owner_reads_no_open_jobs(before_ms: u64) {
    let (mut world, owner) = owned_job();
    world.refuses_scans = true;
    for _ in 0..before_ms / STEP_MS {
        step(&mut world);
    }
    cancel_unheard(&mut world, owner);
    let mut started_ms = 0;
    for _ in 0..4 * LEASE_TERM_MS / STEP_MS {
        step(&mut world);
        if world.may_start_items(owner, &job(0)) {
            started_ms = world.now_ms - world.cancelled_at_ms[&job(0)];
        }
    }
    assert!(started_ms < ACT_BOUND_MS);
    assert!(world.nodes[owner].runs.contains_key(&job(0)));
    world.refuses_scans = false;
    world.heal_and_check();
}

/// Guards against starts that stay stopped after the open jobs can be read again, and against an
/// execution that loses its job or its results meanwhile.
#[test]
fn items_start_again_once_the_open_jobs_are_read_again() {
    let (mut world, owner) = owned_job();
    let run = world.nodes[owner].runs[&job(0)].number;
    world.refuses_scans = true;
    for _ in 0..4 * LEASE_TERM_MS / STEP_MS {
        step(&mut world);
    }
    world.refuses_scans = false;
    for _ in 0..2 {
        step(&mut world);
    }
    assert!(world.may_start_items(owner, &job(0)));
    assert_eq!(world.nodes[owner].runs[&job(0)].number, run);
    world.heal_and_check();
}
