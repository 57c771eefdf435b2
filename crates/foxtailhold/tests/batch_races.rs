//! Races of the batch state machines that the random sequences of `batch_exactly_once` seldom
//! reach.

mod batch_sim;

use batch_sim::store::{ProcessId, Store};
use batch_sim::world::job;
use foxtailhold::batch::chunk::{ChunkCommit, ChunkCommitResult};
use foxtailhold::batch::chunk_slots::ChunkSlots;
use foxtailhold::batch::claim::{Claim, ClaimView, OwnedJob, WatchedLeases, release};
use foxtailhold::batch::transaction::{TransactionOutcome, Versioned};
use foxtailhold::batch::{ChunkRow, JobRow, JobStatus, OwnerRow};
use foxtailhold::ids::InstanceId;
use foxtailhold::lease::LEASE_TERM_MS;
use foxtailhold::lease_row::LeaseRow;
use foxtailhold::time::{MonoMs, WallMs};
use test_case::test_case;

fn instance(name: &str) -> InstanceId {
    name.try_into().unwrap()
}

fn job_row() -> JobRow {
    JobRow {
        job: job(0),
        customer: "customer".try_into().unwrap(),
        digest: String::new(),
        input_file: "file".try_into().unwrap(),
        endpoint: String::new(),
        chunks: 2,
        items: 2,
        created_wall_ms: 0,
        deadline_wall_ms: 100_000,
        status: JobStatus::InProgress,
        ended_wall_ms: None,
        counts: None,
        metadata: serde_json::Value::Null,
    }
}

fn chunk_row(object: &str) -> ChunkRow {
    ChunkRow {
        object: object.into(),
        completed: 1,
        failed: 0,
        bytes: 1,
    }
}

fn claim(store: &mut Store, process: &ProcessId) -> OwnedJob {
    let view = ClaimView {
        job: store.job.get(&job(0)).cloned(),
        owner: store.owner.get(&job(0)).cloned(),
        ..ClaimView::default()
    };
    let claim = Claim::plan(&process.0, 1, view, &mut WatchedLeases::new()).unwrap();
    let outcome = store.transact(process, claim.transaction());
    claim.close(&outcome).unwrap()
}

/// Guards against a commit of the previous owner that arrives after the job was released and
/// claimed by another instance.
#[test]
fn delayed_commit_fails_after_release_and_claim_by_another_instance() {
    let mut store = Store::default();
    store.accept(&job_row());
    let (first, second) = ((instance("first"), 1), (instance("second"), 1));
    let owned = claim(&mut store, &first);
    let delayed = ChunkCommit::new(&owned, 0, chunk_row("first"));
    store.transact(&first, &release(&owned, &first.0));
    let owned = claim(&mut store, &second);
    let outcome = store.transact(&first, delayed.transaction());
    assert_eq!(
        delayed.handle_outcome(outcome),
        ChunkCommitResult::OwnerChanged
    );
    let commit = ChunkCommit::new(&owned, 0, chunk_row("second"));
    let outcome = store.transact(&second, commit.transaction());
    assert_eq!(commit.handle_outcome(outcome), ChunkCommitResult::Committed);
}

/// Guards against an owner that takes its own committed result for that of another attempt because
/// the response to its first commit was lost.
#[test]
fn resent_commit_recognizes_its_own_result_after_a_lost_response() {
    let mut store = Store::default();
    store.accept(&job_row());
    let process = (instance("first"), 1);
    let owned = claim(&mut store, &process);
    let commit = ChunkCommit::new(&owned, 0, chunk_row("first"));
    assert_eq!(
        commit.handle_outcome(TransactionOutcome::Unknown),
        ChunkCommitResult::Resend
    );
    store.transact(&process, commit.transaction());
    let outcome = store.transact(&process, commit.transaction());
    assert_eq!(commit.handle_outcome(outcome), ChunkCommitResult::Committed);
    let other = ChunkCommit::new(&owned, 0, chunk_row("other"));
    let outcome = store.transact(&process, other.transaction());
    assert_eq!(
        other.handle_outcome(outcome),
        ChunkCommitResult::AlreadyCommitted(chunk_row("first"))
    );
}

/// Guards against a take-over before the lease has expired. The row is renewed for the last time at
/// 1,900 ms, while a read that was sent at 0 is in flight, so the term must not be counted from the
/// time at which the read was sent.
#[test_case(LEASE_TERM_MS + 1, false; "one term after the first read was sent")]
#[test_case(2_000 + LEASE_TERM_MS, false; "one term after the first response")]
#[test_case(2_000 + LEASE_TERM_MS + 1, true; "more than a term after the first response")]
fn slow_read_of_a_lease_does_not_shorten_its_term(second_read_ms: u64, taken: bool) {
    let holder = instance("holder");
    let view = |sent_ms: u64, answered_ms: u64| ClaimView {
        job: Some(Versioned {
            version: 1,
            row: job_row(),
        }),
        owner: Some(Versioned {
            version: 1,
            row: OwnerRow {
                holder: holder.clone(),
                epoch: 1,
                released: false,
            },
        }),
        owner_lease: Some(Versioned {
            version: 7,
            row: LeaseRow {
                holder: holder.clone(),
                epoch: 1,
                renewal: 7,
                ended: false,
            },
        }),
        sent_at: MonoMs(sent_ms),
        received_at: MonoMs(answered_ms),
    };
    let me = instance("watcher");
    let mut watched = WatchedLeases::new();
    assert!(Claim::plan(&me, 1, view(0, 2_000), &mut watched).is_none());
    let second = view(second_read_ms, second_read_ms + 1);
    let claim = Claim::plan(&me, 1, second, &mut watched);
    assert_eq!(claim.is_some(), taken);
}

#[test]
fn chunk_slot_goes_to_the_job_with_the_least_slack() {
    let mut slots = ChunkSlots::new(1);
    assert!(slots.try_acquire(&job(0), 50));
    assert!(!slots.try_acquire(&job(0), 50));
    assert!(!slots.try_acquire(&job(1), 10));
    slots.release();
    assert!(!slots.try_acquire(&job(0), 50));
    assert!(slots.try_acquire(&job(1), 10));
    slots.release();
    assert!(slots.try_acquire(&job(0), 50));
    slots.record_chunk_duration(1_000);
    assert_eq!(slots.slack_ms(10_000, 4, WallMs(1_000)), 5_000);
}
