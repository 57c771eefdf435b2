//! The claim row and the stored answer on the platform.

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

/// Upper limit of background writes in this process. Above it a claim is left in the table, which
/// is always safe.
const MAX_BACKGROUND_WRITES: usize = 4_096;
/// Upper limit of the backoff between two attempts at a background write.
const MAX_BACKOFF_S: u64 = 30;
/// Attempts at a background write, which take about an hour together.
const MAX_BACKGROUND_ATTEMPTS: u32 = 128;

static BACKGROUND_WRITES: Semaphore = Semaphore::const_new(MAX_BACKGROUND_WRITES);

fn expect(expected: ExpectedVersion) -> Expect {
    match expected {
        ExpectedVersion::Absent => Expect::Absent,
        ExpectedVersion::Version(version) => Expect::Version(version),
    }
}

/// Reads a claim row. `None` if it cannot be read; the caller treats that like a store without an
/// answer.
fn read_claim(row: &Row) -> Option<FoundClaim> {
    let version = row.version;
    match row.read::<ClaimRow>() {
        Ok(row) => Some(FoundClaim { version, row }),
        Err(error) => {
            log::error!("row of table {} cannot be read: {error}", tables::ONCE);
            None
        }
    }
}

/// Writes a claim row if the table still holds the expected version.
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
        }) => match read_claim(&current) {
            Some(found) => WriteOutcome::Conflict(Some(found)),
            None => WriteOutcome::NoEffect,
        },
        Err(error) => {
            log::warn!("claim not written: {error}");
            if error.may_have_taken_effect() {
                WriteOutcome::Unknown
            } else {
                WriteOutcome::NoEffect
            }
        }
    }
}

/// Writes the claim until it is held, answered from the store, or refused.
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

fn backoff(attempt: u32) -> Duration {
    Duration::from_secs((1 << attempt.min(5)).min(MAX_BACKOFF_S))
}

/// Releases a claim in the background, retrying through a long outage of the store.
pub fn release_later<P: Platform>(shared: &Shared<P>, key: String, release: ClaimRelease) {
    let Ok(permit) = BACKGROUND_WRITES.try_acquire() else {
        log::warn!("claim not released: too many background writes; it stays until the sweep");
        return;
    };
    let shared = shared.clone();
    tokio::spawn(async move {
        let _permit = permit;
        let mut step = release.start();
        for attempt in 0..MAX_BACKGROUND_ATTEMPTS {
            step = release_step(&shared, &key, &release, &step).await;
            if step == ReleaseStep::Done {
                return;
            }
            if attempt > 1 {
                tokio::time::sleep(backoff(attempt)).await;
            }
        }
        log::warn!("claim not released after all attempts; it stays until the sweep");
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
                log::warn!("claim not released in time; it stays until the sweep");
                return ReleaseStep::Done;
            };
            release.handle_write(write(shared, key, *expected, &row).await)
        }
        ReleaseStep::Read => match shared.platform.get(tables::ONCE, key).await {
            Ok(None) => release.handle_read(None),
            Ok(Some(row)) => match read_claim(&row) {
                Some(found) => release.handle_read(Some(&found)),
                None => ReleaseStep::Done,
            },
            Err(_) => release.start(),
        },
    }
}

fn stored_answer(answer: &Whole) -> StoredAnswer {
    let content_type = answer.content_type.as_ref();
    let content_type = content_type.and_then(|value| value.to_str().ok());
    StoredAnswer {
        status: answer.status.as_u16(),
        content_type: content_type.map(str::to_owned),
        body: StoredBody::of(&answer.body),
    }
}

/// An answer that is being stored.
struct AnswerWrite {
    key: String,
    row: ClaimRow,
    expected: ExpectedVersion,
    large_body: Option<bytes::Bytes>,
}

impl AnswerWrite {
    /// One attempt. A large body is stored first, so that a row never names an object that does not
    /// exist.
    async fn write<P: Platform>(&mut self, shared: &Shared<P>) -> WriteOutcome {
        if let Some(body) = &self.large_body {
            let name = tables::once_object(&self.key, &self.row.claim_id);
            if let Err(error) = shared.platform.put_object(&name, body.clone()).await {
                log::warn!("body of an answer not stored: {error}");
                return WriteOutcome::Unknown;
            }
            self.large_body = None;
        }
        write(shared, &self.key, self.expected, &self.row).await
    }
}

/// Stores the full response for resends: one attempt now, more in the background. Until it is
/// stored, resends are refused because the request may have run.
pub async fn store<P: Platform>(shared: &Shared<P>, key: String, held: HeldClaim, answer: &Whole) {
    let stored_answer = stored_answer(answer);
    let large_body = (stored_answer.body == StoredBody::Object).then(|| answer.body.clone());
    let (row, expected) = held.into_answered_row(stored_answer, shared.clock.wall());
    let mut answer_write = AnswerWrite {
        key,
        row,
        expected,
        large_body,
    };
    if is_final(&answer_write.write(shared).await) {
        return;
    }
    let Ok(permit) = BACKGROUND_WRITES.try_acquire() else {
        log::warn!("answer not stored: too many background writes; resends will be refused");
        return;
    };
    let shared = shared.clone();
    tokio::spawn(async move {
        let _permit = permit;
        for attempt in 0..MAX_BACKGROUND_ATTEMPTS {
            tokio::time::sleep(backoff(attempt)).await;
            if is_final(&answer_write.write(&shared).await) {
                return;
            }
        }
        log::warn!("answer not stored after all attempts; resends will be refused");
    });
}

fn is_final(written: &WriteOutcome) -> bool {
    matches!(written, WriteOutcome::Committed | WriteOutcome::Conflict(_))
}

/// Restores a stored answer for a resend.
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
                Ok(None) => return Err(refused_after_run(RefusalReason::AlreadyStarted)),
                Err(error) => {
                    log::warn!("stored answer cannot be read: {error}");
                    let refusal = refused_after_run(RefusalReason::StoreUnavailable);
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

fn refused_after_run(reason: RefusalReason) -> Refusal {
    Refusal::not_run(reason).with_ran(ExecutionStatus::Ran)
}
