//! Requests that must not be repeated: claim the idempotency key, send once, store the answer.

pub mod table;

use std::net::SocketAddr;
use std::time::Duration;

use foxtailhold::idempotency::{ClaimAttempt, ClaimRefusal, ClaimStep, HeldClaim};
use foxtailhold::ids::{RequestId, TargetName};
use foxtailhold::refusal::{ExecutionStatus, Refusal, RefusalReason, Result};
use foxtailhold::replicas::BackendKind;
use foxtailhold::time::MonoMs;
use foxtailhold::timeline::TimelineEvent;
use foxtailhold_caller::gateway::{Inference, PlainCall, RequestContext, Whole};
use foxtailhold_http::client::{Reuse, SendError};
use foxtailhold_platform::Platform;
use foxtailhold_service::{ServiceAnswer, ServiceCall, ServiceError};
use http::HeaderValue;

use crate::gateway::dispatch::{self, BACKEND_RETRY_AFTER_MS, DEFAULT_WAIT_MS, MAX_ATTEMPTS};
use crate::gateway::{STORE_RETRY_AFTER_MS, hex_digest};
use crate::shared::Shared;
use crate::tables;

/// `Retry-After` while another send of the same request may be running.
const ANSWER_RETRY_AFTER_MS: u64 = 1_000;

/// One send of a request that must not be repeated.
struct OnceRequest {
    id: RequestId,
    key: String,
    digest: String,
    kind: BackendKind,
    target: TargetName,
    call: ServiceCall,
    started_at: MonoMs,
    deadline_ms: Option<u64>,
}

fn once_request<P: Platform>(
    shared: &Shared<P>,
    context: &RequestContext,
    kind: BackendKind,
    target: &TargetName,
    call: ServiceCall,
    digest: String,
) -> Result<OnceRequest> {
    let Some(key) = &context.idempotency_key else {
        return Err(Refusal::invalid("an idempotency key is missing"));
    };
    Ok(OnceRequest {
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

/// Runs the request in a task of its own, so that it ends even if the caller disconnects: a resend
/// then gets the stored answer.
async fn run<P: Platform>(shared: &Shared<P>, once_request: OnceRequest) -> Result<Whole> {
    let task = tokio::spawn(claim_and_send(shared.clone(), once_request));
    match task.await {
        Ok(answer) => answer,
        Err(error) => {
            log::error!(
                "task of a request that must not be repeated ended without an answer: {error}"
            );
            Err(Refusal::not_run(RefusalReason::AlreadyStarted)
                .with_ran(ExecutionStatus::MayHaveRun))
        }
    }
}

async fn claim_and_send<P: Platform>(
    shared: Shared<P>,
    once_request: OnceRequest,
) -> Result<Whole> {
    let attempt = ClaimAttempt::new(shared.unique(), once_request.digest.clone());
    match table::claim(&shared, &once_request.key, attempt).await {
        ClaimStep::Held(claim) => send_claimed(&shared, once_request, claim).await,
        ClaimStep::Answer(row, answer) => {
            table::restore(&shared, &once_request.key, &row, answer).await
        }
        ClaimStep::Refuse(reason, release) => {
            if let Some(release) = release {
                table::release_later(&shared, once_request.key, release);
            }
            Err(refusal(reason))
        }
        ClaimStep::Write(_) => Err(refusal(ClaimRefusal::StoreUnavailable)),
    }
}

fn refusal(reason: ClaimRefusal) -> Refusal {
    match reason {
        ClaimRefusal::MayHaveRun => Refusal::not_run(RefusalReason::AlreadyStarted)
            .with_ran(ExecutionStatus::MayHaveRun)
            .retry_after_ms(ANSWER_RETRY_AFTER_MS),
        ClaimRefusal::OtherRequest => Refusal::not_run(RefusalReason::Conflict {
            detail: "the idempotency key was used with another request".into(),
        }),
        ClaimRefusal::StoreUnavailable => {
            Refusal::not_run(RefusalReason::StoreUnavailable).retry_after_ms(STORE_RETRY_AFTER_MS)
        }
    }
}

async fn send_claimed<P: Platform>(
    shared: &Shared<P>,
    once_request: OnceRequest,
    claim: HeldClaim,
) -> Result<Whole> {
    match send_once(shared, &once_request, &claim).await {
        Ok(answer) => {
            table::store(shared, once_request.key, claim, &answer).await;
            Ok(answer)
        }
        Err(refusal) => {
            if refusal.ran == ExecutionStatus::NotRun {
                table::release_later(shared, once_request.key, claim.into_release());
            }
            Err(refusal)
        }
    }
}

/// Sends the call on a connection of its own. It goes to another backend server only after a
/// refused connection, which proves that no byte was sent.
async fn send_once<P: Platform>(
    shared: &Shared<P>,
    once_request: &OnceRequest,
    claim: &HeldClaim,
) -> Result<Whole> {
    let target = &once_request.target;
    let mut tried = Vec::new();
    let mut last_reason = RefusalReason::NoBackend {
        target: target.clone(),
    };
    let mut call = once_request.call.clone();
    while tried.len() < MAX_ATTEMPTS {
        let Some(server) = dispatch::choose(shared, once_request.kind, target, &call.body, &tried)
        else {
            break;
        };
        call.timeout_ms = remaining_ms(once_request, shared.clock.mono())?;
        if !claim.may_send(shared.clock.mono(), shared.clock.wall()) {
            last_reason = RefusalReason::StoreUnavailable;
            break;
        }
        let _in_flight = server.start_request();
        shared.timeline.note(TimelineEvent::Sent {
            request: once_request.id.clone(),
            backend: server.backend.id.clone(),
        });
        let address = server.backend.address;
        let error = match call_on_new_connection(shared, address, &call).await {
            Ok(answer) => {
                server.record_success();
                shared.timeline.note(TimelineEvent::Answered {
                    request: once_request.id.clone(),
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
        last_reason = backend_failed(target, &error);
        if !error.is_not_sent() {
            return Err(Refusal::not_run(last_reason).with_ran(ExecutionStatus::MayHaveRun));
        }
    }
    Err(Refusal::not_run(last_reason).retry_after_ms(BACKEND_RETRY_AFTER_MS))
}

/// One call on its own connection; the time limit holds for the full response.
async fn call_on_new_connection<P: Platform>(
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

/// Time until the caller's deadline, or [`DEFAULT_WAIT_MS`] without one. Refuses if the deadline
/// has passed.
fn remaining_ms(once_request: &OnceRequest, now: MonoMs) -> Result<u64> {
    let Some(deadline_ms) = once_request.deadline_ms else {
        return Ok(DEFAULT_WAIT_MS);
    };
    let left_ms = deadline_ms.saturating_sub(now.since_ms(once_request.started_at));
    if left_ms == 0 {
        return Err(Refusal::not_run(RefusalReason::DeadlinePassed {
            deadline_ms,
        }));
    }
    Ok(left_ms)
}

/// Refusal reason for a failed call.
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
    let once_request = once_request(shared, &call.context, kind, &call.service, outgoing, digest)?;
    run(shared, once_request).await
}

/// Runs an inference request that is not streamed at most once.
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
    let once_request = once_request(shared, context, kind, &request.model, outgoing, digest)?;
    run(shared, once_request).await
}
