//! The claim's row and the stored answer at the platform.

use std::time::Duration;

use foxtailhold::idempotency::{
    ClaimAttempt, ClaimRelease, ClaimRow, ClaimStep, ExpectedVersion, FoundClaim, HeldClaim,
    ReleaseStep, StoredAnswer, StoredBody, WriteOutcome,
};
use foxtailhold::refusal::{ExecutionStatus, Refusal, RefusalReason, Result};
use foxtailhold_caller::gateway::Whole;
use foxtailhold_platform::{Expect, Operation, Platform, Row, Transacted};
use http::{HeaderValue, StatusCode};
use tokio::sync::Semaphore;

use crate::gateway::STORE_RETRY_AFTER_MS;
use crate::shared::Shared;
use crate::tables;

/// Background writes of this process at most; over it a claim is left, which is always safe.
const MAX_BACKGROUND_WRITES: usize = 4_096;
/// Longest pause between two tries of a background write.
const MAX_PAUSE_S: u64 = 30;
/// Tries of a background write: about an hour.
const BACKGROUND_TRIES: u32 = 128;

static BACKGROUND_WRITES: Semaphore = Semaphore::const_new(MAX_BACKGROUND_WRITES);

fn expect(expected: ExpectedVersion) -> Expect {
    match expected {
        ExpectedVersion::Absent => Expect::Absent,
        ExpectedVersion::Version(version) => Expect::Version(version),
    }
}

/// Reads a row; one that cannot be read is reported as a store that gave no answer.
fn found(row: &Row) -> Option<FoundClaim> {
    let version = row.version;
    match row.read::<ClaimRow>() {
        Ok(row) => Some(FoundClaim { version, row }),
        Err(error) => {
            log::error!("a row of table {} cannot be read: {error}", tables::ONCE);
            None
        }
    }
}

/// Writes a claim's row.
pub async fn write<P: Platform>(
    shared: &Shared<P>,
    key: &str,
    expected: ExpectedVersion,
    row: &ClaimRow,
) -> WriteOutcome {
    let put = Operation::put(tables::ONCE, key, expect(expected), row);
    match shared.platform.transact(&[put]).await {
        Ok(Transacted::Committed) => WriteOutcome::Committed,
        Ok(Transacted::Conflict { current: None, .. }) => WriteOutcome::Conflict(None),
        Ok(Transacted::Conflict {
            current: Some(current),
            ..
        }) => match found(&current) {
            Some(found) => WriteOutcome::Conflict(Some(found)),
            None => WriteOutcome::NoEffect,
        },
        Err(error) => {
            log::warn!("a claim could not be written: {error}");
            if error.may_have_taken_effect() {
                WriteOutcome::Unknown
            } else {
                WriteOutcome::NoEffect
            }
        }
    }
}

/// Writes the claim until it is decided.
pub async fn claim<P: Platform>(shared: &Shared<P>, key: &str, claimer: ClaimAttempt) -> ClaimStep {
    let mut claimer = claimer;
    loop {
        let expected = claimer.expected();
        let row = claimer.row(shared.clock.mono(), shared.clock.wall());
        let written = write(shared, key, expected, row).await;
        claimer = match claimer.handle_write(written) {
            ClaimStep::Write(next) => next,
            decided => return decided,
        };
    }
}

fn pause(attempt: u32) -> Duration {
    Duration::from_secs((1 << attempt.min(5)).min(MAX_PAUSE_S))
}

/// Releases a claim in the background, also through a long outage of the store.
pub fn release_later<P: Platform>(shared: &Shared<P>, key: String, release: ClaimRelease) {
    let Ok(permit) = BACKGROUND_WRITES.try_acquire() else {
        log::warn!("too many claims wait to be released; one is left");
        return;
    };
    let shared = shared.clone();
    tokio::spawn(async move {
        let _permit = permit;
        let mut step = release.start();
        for attempt in 0..BACKGROUND_TRIES {
            step = release_step(&shared, &key, &release, &step).await;
            if step == ReleaseStep::Done {
                return;
            }
            if attempt > 1 {
                tokio::time::sleep(pause(attempt)).await;
            }
        }
        log::warn!("a claim could not be released and is left");
    });
}

async fn release_step<P: Platform>(
    shared: &Shared<P>,
    key: &str,
    release: &ClaimRelease,
    step: &ReleaseStep,
) -> ReleaseStep {
    match step {
        ReleaseStep::Done => ReleaseStep::Done,
        ReleaseStep::Write(expected) => {
            let Some(row) = release.row(shared.clock.mono(), shared.clock.wall()) else {
                log::warn!("a claim could not be released in time and is left");
                return ReleaseStep::Done;
            };
            release.handle_write(write(shared, key, *expected, &row).await)
        }
        ReleaseStep::Read => match shared.platform.get(tables::ONCE, key).await {
            Ok(None) => release.handle_read(None),
            Ok(Some(row)) => match found(&row) {
                Some(found) => release.handle_read(Some(&found)),
                None => ReleaseStep::Done,
            },
            Err(_) => release.start(),
        },
    }
}

fn stored(answer: &Whole) -> StoredAnswer {
    let content_type = answer.content_type.as_ref();
    let content_type = content_type.and_then(|value| value.to_str().ok());
    StoredAnswer {
        status: answer.status.as_u16(),
        content_type: content_type.map(str::to_owned),
        body: StoredBody::of(&answer.body),
    }
}

/// One answer on its way into the store.
struct Storing {
    key: String,
    row: ClaimRow,
    expected: ExpectedVersion,
    large: Option<bytes::Bytes>,
}

impl Storing {
    /// One try. A large body goes first, so that a row never names an object that is not there.
    async fn write<P: Platform>(&mut self, shared: &Shared<P>) -> WriteOutcome {
        if let Some(body) = &self.large {
            let name = tables::once_object(&self.key, &self.row.claim_id);
            if let Err(error) = shared.platform.put_object(&name, body.clone()).await {
                log::warn!("the body of an answer could not be stored: {error}");
                return WriteOutcome::Unknown;
            }
            self.large = None;
        }
        write(shared, &self.key, self.expected, &self.row).await
    }
}

/// Stores the whole answer for resends: one try now, more in the background. Until it is stored,
/// resends are told that the request may have run.
pub async fn store<P: Platform>(shared: &Shared<P>, key: String, held: HeldClaim, answer: &Whole) {
    let stored = stored(answer);
    let large = (stored.body == StoredBody::Object).then(|| answer.body.clone());
    let (row, expected) = held.answered(stored, shared.clock.wall());
    let mut storing = Storing {
        key,
        row,
        expected,
        large,
    };
    if is_final(&storing.write(shared).await) {
        return;
    }
    let Ok(permit) = BACKGROUND_WRITES.try_acquire() else {
        log::warn!("too many answers wait to be stored; one is left");
        return;
    };
    let shared = shared.clone();
    tokio::spawn(async move {
        let _permit = permit;
        for attempt in 0..BACKGROUND_TRIES {
            tokio::time::sleep(pause(attempt)).await;
            if is_final(&storing.write(&shared).await) {
                return;
            }
        }
        log::warn!("the answer of a request that must not be repeated was not stored");
    });
}

fn is_final(written: &WriteOutcome) -> bool {
    matches!(written, WriteOutcome::Committed | WriteOutcome::Conflict(_))
}

/// Gives a stored answer again.
pub async fn restore<P: Platform>(
    shared: &Shared<P>,
    key: &str,
    row: &ClaimRow,
    answer: StoredAnswer,
) -> Result<Whole> {
    let body = match answer.body {
        StoredBody::Text(text) => text.into(),
        StoredBody::Object => {
            let name = tables::once_object(key, &row.claim_id);
            match shared.platform.get_object(&name).await {
                Ok(Some(body)) => body,
                Ok(None) => return Err(ran(RefusalReason::AlreadyStarted)),
                Err(error) => {
                    log::warn!("a stored answer could not be read: {error}");
                    let refusal = ran(RefusalReason::StoreUnavailable);
                    return Err(refusal.retry_after_ms(STORE_RETRY_AFTER_MS));
                }
            }
        }
    };
    let content_type = answer.content_type.as_deref();
    Ok(Whole {
        status: StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK),
        content_type: content_type.and_then(|text| HeaderValue::try_from(text).ok()),
        body,
    })
}

fn ran(reason: RefusalReason) -> Refusal {
    Refusal::not_run(reason).with_ran(ExecutionStatus::Ran)
}
