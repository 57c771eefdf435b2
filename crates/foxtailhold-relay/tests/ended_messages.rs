//! Messages about the ends of batch jobs between instances of this version and the previous one, and
//! what is kept of them.

use foxtailhold::ids::JobId;
use foxtailhold_platform::{RowKey, VersionedRow};
use foxtailhold_relay::ended_jobs::EndedJobs;
use foxtailhold_relay::jobs::{Job, JobCache};
use foxtailhold_relay::peers::{Datagram, PeerMessage, ToldEnds};
use test_case::test_case;

fn job_id(name: &str) -> JobId {
    JobId::try_from(name).unwrap()
}

fn answer() -> PeerMessage {
    PeerMessage::Ended(ToldEnds {
        round: Some(7),
        jobs: vec![job_id("j1"), job_id("j2")],
    })
}

#[test_case(&PeerMessage::AskEnded { round: 7 }, 15 ; "question")]
#[test_case(&answer(), 16 ; "answer")]
fn the_messages_follow_those_of_the_previous_version(message: &PeerMessage, variant: u8) {
    let bytes = Datagram::encode(message, None).unwrap();
    assert_eq!(bytes[0], variant);
    assert_eq!(Datagram::decode(&bytes).unwrap().message, *message);
}

#[test]
fn an_instance_tells_its_newest_own_ends_in_one_datagram() {
    let ended = EndedJobs::default();
    assert_eq!(ended.own(), Vec::new());
    for number in 0..2_000 {
        ended.record_own(&job_id(&format!("an-identifier-of-usual-length-{number}")));
    }
    let jobs = ended.own();
    assert!(jobs.contains(&job_id("an-identifier-of-usual-length-1999")));
    let message = PeerMessage::Ended(ToldEnds {
        round: Some(7),
        jobs,
    });
    let bytes = Datagram::encode(&message, None).unwrap();
    assert!(bytes.len() < 60_000, "{}", bytes.len());
}

fn row(version: u64, is_ended: bool) -> VersionedRow {
    let job = Job {
        route: "batch".into(),
        host: "records.example".into(),
        path: "/batch/".into(),
        items: vec![("i0".into(), 1)],
        owner: "edge".try_into().unwrap(),
        lost_owners: 0,
        listed: Vec::new(),
        long_results: Vec::new(),
        is_ended,
        accepted_unix_ms: 1,
        due_unix_ms: 2,
        give_up_unix_ms: 3,
        give_up_store_ms: 0,
    };
    VersionedRow {
        key: RowKey::new("jobs", "job/j1"),
        value: Some(serde_json::to_vec(&job).unwrap().into()),
        version,
    }
}

/// Guards against items of a job whose end is known before its row says so.
#[test]
fn a_job_whose_end_was_told_is_not_open_and_is_forgotten_with_its_row() {
    let ended = EndedJobs::default();
    let cache = JobCache::new(ended.clone());
    cache.put_rows(&[row(7, false)]);
    assert_eq!(cache.open().len(), 1);
    ended.record_told(vec![job_id("j1")]);
    assert_eq!(cache.open().len(), 0);
    cache.put_rows(&[row(7, false)]);
    assert!(ended.is_told(&job_id("j1")));
    cache.put_rows(&[row(8, true)]);
    assert!(!ended.is_told(&job_id("j1")));
    assert_eq!(cache.open().len(), 0);
}

/// Guards against items of an ended job whose row arrives after the end was told, and after a change of
/// another job.
#[test]
fn an_end_that_was_told_before_the_job_is_known_is_kept() {
    let ended = EndedJobs::default();
    let cache = JobCache::new(ended.clone());
    ended.record_told(vec![job_id("j1")]);
    let other = VersionedRow {
        key: RowKey::new("jobs", "job/j2"),
        ..row(6, false)
    };
    cache.put_rows(&[other]);
    cache.put_rows(&[row(7, false)]);
    assert!(cache.open().iter().all(|(id, _)| *id != job_id("j1")));
}
