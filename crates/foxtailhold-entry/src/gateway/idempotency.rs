//! Requests that must not be repeated: claim, send once, store the answer.

pub mod table;

use std::net::SocketAddr;
use std::time::Duration;

use foxtailhold::ids::{RequestId, TargetName};
use foxtailhold::once::{ClaimRefusal, ClaimStep, Claimer, HeldClaim};
use foxtailhold::refusal::{Ran, Refusal, RefusalReason, Result};
use foxtailhold::replicas::BackendKind;
use foxtailhold::time::MonoMs;
use foxtailhold::timeline::Event;
use foxtailhold_caller::gateway::{Inference, PlainCall, RequestContext, Whole};
use foxtailhold_http::client::{Reuse, SendError};
use foxtailhold_platform::Platform;
use foxtailhold_service::{ServiceAnswer, ServiceCall, ServiceError};
use http::HeaderValue;

use crate::gateway::dispatch::{self, BACKEND_RETRY_AFTER_MS, DEFAULT_WAIT_MS, MAX_ATTEMPTS};
use crate::gateway::{STORE_RETRY_AFTER_MS, hex_digest};
use crate::shared::Shared;
use crate::tables;

/// When to ask again for the answer of a request that another attempt started.
const ANSWER_RETRY_AFTER_MS: u64 = 1_000;

/// One attempt at a request that must not be repeated.
struct Attempt {
    id: RequestId,
    key: String,
    digest: String,
    kind: BackendKind,
    target: TargetName,
    call: ServiceCall,
    started_at: MonoMs,
    deadline_ms: Option<u64>,
}

fn attempt<P: Platform>(
    shared: &Shared<P>,
    context: &RequestContext,
    kind: BackendKind,
    target: &TargetName,
    call: ServiceCall,
    digest: String,
) -> Result<Attempt> {
    let Some(key) = &context.idempotency_key else {
        return Err(Refusal::invalid("an idempotency key is missing"));
    };
    Ok(Attempt {
        id: context.id.clone(),
        key: tables::once_key(&context.contract.customer, key),
        digest,
        kind,
        target: target.clone(),
        call,
        started_at: shared.clock.mono(),
        deadline_ms: context.deadline_ms,
    })
}

/// Runs an attempt to its end, also when the caller goes away: a resend then gets the answer.
async fn run<P: Platform>(shared: &Shared<P>, attempt: Attempt) -> Result<Whole> {
    let task = tokio::spawn(claim_and_send(shared.clone(), attempt));
    match task.await {
        Ok(answer) => answer,
        Err(error) => {
            log::error!("an attempt at a request that must not be repeated ended: {error}");
            Err(Refusal::not_run(RefusalReason::AlreadyStarted).with_ran(Ran::MayHaveRun))
        }
    }
}

async fn claim_and_send<P: Platform>(shared: Shared<P>, attempt: Attempt) -> Result<Whole> {
    let claimer = Claimer::new(shared.unique(), attempt.digest.clone());
    match table::claim(&shared, &attempt.key, claimer).await {
        ClaimStep::Held(held) => send_held(&shared, attempt, held).await,
        ClaimStep::Answer(row, answer) => table::restore(&shared, &attempt.key, &row, answer).await,
        ClaimStep::Refuse(why, release) => {
            if let Some(release) = release {
                table::release_later(&shared, attempt.key, release);
            }
            Err(refusal(why))
        }
        ClaimStep::Write(_) => Err(refusal(ClaimRefusal::StoreUnavailable)),
    }
}

fn refusal(why: ClaimRefusal) -> Refusal {
    match why {
        ClaimRefusal::MayHaveRun => Refusal::not_run(RefusalReason::AlreadyStarted)
            .with_ran(Ran::MayHaveRun)
            .retry_after_ms(ANSWER_RETRY_AFTER_MS),
        ClaimRefusal::OtherRequest => Refusal::not_run(RefusalReason::Conflict {
            detail: "the idempotency key was used with another request".into(),
        }),
        ClaimRefusal::StoreUnavailable => {
            Refusal::not_run(RefusalReason::StoreUnavailable).retry_after_ms(STORE_RETRY_AFTER_MS)
        }
    }
}

async fn send_held<P: Platform>(
    shared: &Shared<P>,
    attempt: Attempt,
    held: HeldClaim,
) -> Result<Whole> {
    match send_once(shared, &attempt, &held).await {
        Ok(answer) => {
            table::store(shared, attempt.key, held, &answer).await;
            Ok(answer)
        }
        Err(refusal) => {
            if refusal.ran == Ran::NotRun {
                table::release_later(shared, attempt.key, held.not_sent());
            }
            Err(refusal)
        }
    }
}

/// Sends a call on a connection of its own. Only a refused connection, which proves that no byte
/// was sent, lets it go to another backend server.
async fn send_once<P: Platform>(
    shared: &Shared<P>,
    attempt: &Attempt,
    held: &HeldClaim,
) -> Result<Whole> {
    let target = &attempt.target;
    let mut tried = Vec::new();
    let mut last = RefusalReason::NoBackend {
        target: target.clone(),
    };
    let mut call = attempt.call.clone();
    while tried.len() < MAX_ATTEMPTS {
        let Some(server) = dispatch::choose(shared, attempt.kind, target, &call.body, &tried)
        else {
            break;
        };
        call.timeout_ms = remaining_ms(attempt, shared.clock.mono())?;
        if !held.may_send(shared.clock.mono(), shared.clock.wall()) {
            last = RefusalReason::StoreUnavailable;
            break;
        }
        let _in_flight = server.start_request();
        shared.timeline.note(Event::Sent {
            request: attempt.id.clone(),
            backend: server.backend.id.clone(),
        });
        let address = server.backend.address;
        let failed = match call_fresh(shared, address, &call).await {
            Ok(answer) => {
                server.record_success();
                shared.timeline.note(Event::Answered {
                    request: attempt.id.clone(),
                });
                return Ok(Whole {
                    status: answer.status,
                    content_type: answer.content_type,
                    body: answer.body,
                });
            }
            Err(error) => error,
        };
        server.record_failure(shared.clock.mono());
        tried.push(server.backend.id.clone());
        last = backend_failed(target, &failed);
        if !failed.is_not_sent() {
            return Err(Refusal::not_run(last).with_ran(Ran::MayHaveRun));
        }
    }
    Err(Refusal::not_run(last).retry_after_ms(BACKEND_RETRY_AFTER_MS))
}

/// One call on its own connection; the limit holds for the whole answer.
async fn call_fresh<P: Platform>(
    shared: &Shared<P>,
    address: SocketAddr,
    call: &ServiceCall,
) -> std::result::Result<ServiceAnswer, ServiceError> {
    let timeout_ms = call.timeout_ms;
    let answer = shared.services.call(address, call, Reuse::Fresh);
    match tokio::time::timeout(Duration::from_millis(timeout_ms), answer).await {
        Ok(answer) => answer,
        Err(_) => Err(ServiceError::Send(SendError::TimedOut {
            address,
            timeout_ms,
        })),
    }
}

/// What is left of the caller's deadline.
fn remaining_ms(attempt: &Attempt, now: MonoMs) -> Result<u64> {
    let Some(deadline_ms) = attempt.deadline_ms else {
        return Ok(DEFAULT_WAIT_MS);
    };
    let left_ms = deadline_ms.saturating_sub(now.since_ms(attempt.started_at));
    if left_ms == 0 {
        return Err(Refusal::not_run(RefusalReason::DeadlinePassed {
            deadline_ms,
        }));
    }
    Ok(left_ms)
}

/// The reason of a refusal after a failed call.
pub(crate) fn backend_failed(target: &TargetName, error: &ServiceError) -> RefusalReason {
    RefusalReason::BackendFailed {
        target: target.clone(),
        detail: error.to_string(),
    }
}

/// Runs a call of a plain service at most once.
pub async fn call_service<P: Platform>(shared: &Shared<P>, call: PlainCall) -> Result<Whole> {
    let mut identity = format!("{} {} ", call.method, call.path_and_query).into_bytes();
    identity.extend_from_slice(call.service.as_str().as_bytes());
    identity.push(b' ');
    identity.extend_from_slice(&call.body);
    let outgoing = ServiceCall {
        method: call.method,
        path_and_query: call.path_and_query,
        headers: call.headers,
        body: call.body,
        timeout_ms: DEFAULT_WAIT_MS,
    };
    let digest = hex_digest(&identity);
    let kind = BackendKind::Service;
    let attempt = attempt(shared, &call.context, kind, &call.service, outgoing, digest)?;
    run(shared, attempt).await
}

/// Runs an unstreamed request to a model at most once.
pub async fn infer<P: Platform>(shared: &Shared<P>, request: &Inference) -> Result<Whole> {
    let context = &request.context;
    let mut headers = http::HeaderMap::new();
    let json = HeaderValue::from_static("application/json");
    headers.insert(http::header::CONTENT_TYPE, json);
    if let Ok(id) = HeaderValue::try_from(context.id.as_str()) {
        headers.insert(foxtailhold_engine::client::REQUEST_ID_HEADER, id);
    }
    let outgoing = ServiceCall {
        method: http::Method::POST,
        path_and_query: request.path.to_owned(),
        headers,
        body: request.body.clone(),
        timeout_ms: DEFAULT_WAIT_MS,
    };
    let mut identity = request.path.as_bytes().to_vec();
    identity.push(b' ');
    identity.extend_from_slice(&request.body);
    let digest = hex_digest(&identity);
    let kind = BackendKind::Engine;
    let attempt = attempt(shared, context, kind, &request.model, outgoing, digest)?;
    run(shared, attempt).await
}
