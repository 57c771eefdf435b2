//! The platform client (table, object store, fleet list) against a faulty platform.

mod faulty;

use faulty::{Fault, FaultyServer};
use foxtailhold_platform::{
    Expect, FleetList, HttpPlatform, ObjectStore, Operation, PlatformError, TableService,
};
use test_case::test_case;

/// What an error states about the effect of the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Effect {
    No,
    Unknown,
    Malformed,
}

fn effect(error: &PlatformError) -> Effect {
    match error {
        PlatformError::Unavailable { .. } | PlatformError::Rejected { .. } => Effect::No,
        PlatformError::Unknown { .. } => Effect::Unknown,
        PlatformError::Malformed { .. } => Effect::Malformed,
    }
}

/// The errors of every kind of write and read; `None` for a call that succeeded.
async fn errors(platform: &HttpPlatform) -> [Option<PlatformError>; 7] {
    let put = [Operation::put("table", "key", Expect::Absent, &1)];
    let (transact, put, get, scan, read, list, fleet) = tokio::join!(
        platform.transact(&put),
        platform.put_object("name", "bytes".into()),
        platform.get("table", "key"),
        platform.scan("table", "", "", 9),
        platform.get_object("name"),
        platform.list_objects("", "", 9),
        platform.fleet(),
    );
    [
        transact.err(),
        put.err(),
        get.err(),
        scan.err(),
        read.err(),
        list.err(),
        fleet.err(),
    ]
}

#[test_case(Fault::Refused, Effect::No; "refused")]
#[test_case(Fault::ResetBefore, Effect::Unknown; "reset before the request was read")]
#[test_case(Fault::AnswerLost, Effect::Unknown; "answer lost after it took effect")]
#[test_case(Fault::ResetAfter, Effect::Unknown; "reset within the answer")]
#[test_case(Fault::SlowHead, Effect::Unknown; "no answer")]
#[test_case(Fault::SlowBody, Effect::Unknown; "answer that does not go on")]
#[test_case(Fault::NotHttp, Effect::Unknown; "answer that is not HTTP")]
#[test_case(Fault::OversizedMib(64), Effect::Unknown; "oversized answer")]
#[test_case(Fault::Status(503), Effect::No; "unavailable")]
#[test_case(Fault::Status(429), Effect::No; "over its rate")]
#[test_case(Fault::Status(504), Effect::Unknown; "effect unknown")]
#[test_case(Fault::Status(500), Effect::Malformed; "undocumented status")]
#[tokio::test]
async fn error_says_no_effect_only_when_there_was_none(fault: Fault, expected: Effect) {
    let server = FaultyServer::start(fault, "").await;
    let platform = HttpPlatform::new(server.address);
    for error in errors(&platform).await {
        let error = error.expect("a call was answered");
        assert_eq!(effect(&error), expected, "{error:?}");
        let may_have = error.may_have_taken_effect();
        assert_eq!(may_have, expected != Effect::No, "{error:?}");
    }
}

#[tokio::test]
async fn body_that_cannot_be_read_leaves_the_effect_unknown() {
    let server = FaultyServer::start(Fault::BadBody, "").await;
    let platform = HttpPlatform::new(server.address);
    let [transact, put, get, scan, read, list, fleet] = errors(&platform).await;
    for error in [transact, get, scan, list, fleet] {
        let error = error.expect("a malformed body was accepted");
        assert_eq!(effect(&error), Effect::Malformed, "{error:?}");
        assert!(error.may_have_taken_effect());
    }
    assert!(put.is_none() && read.is_none(), "objects are bytes");
}

#[tokio::test]
async fn client_goes_on_after_each_fault() {
    let server = FaultyServer::start(Fault::None, "[]").await;
    let platform = HttpPlatform::new(server.address);
    for fault in [Fault::ResetBefore, Fault::AnswerLost, Fault::NotHttp] {
        server.set(fault);
        assert!(platform.scan("table", "", "", 9).await.is_err());
        server.set(Fault::None);
        let effects = server.effects();
        assert_eq!(platform.scan("table", "", "", 9).await, Ok(Vec::new()));
        assert_eq!(server.effects(), effects + 1);
    }
}

#[tokio::test]
async fn missing_object_is_no_error() {
    let server = FaultyServer::start(Fault::Status(404), "").await;
    let platform = HttpPlatform::new(server.address);
    assert_eq!(platform.get_object("name").await, Ok(None));
    assert!(platform.get("table", "key").await.is_err());
}
