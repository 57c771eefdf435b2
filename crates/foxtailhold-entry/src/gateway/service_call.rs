//! Calls of plain services.

use foxtailhold::contract::Contract;
use foxtailhold::ids::BackendId;
use foxtailhold::refusal::{ExecutionStatus, Refusal, RefusalReason, Result};
use foxtailhold::replicas::BackendKind;
use foxtailhold::timeline::TimelineEvent;
use foxtailhold_caller::gateway::{PlainCall, Whole};
use foxtailhold_http::client::Reuse;
use foxtailhold_platform::Platform;
use foxtailhold_service::ServiceCall;
use http::Method;
use tokio::time::Instant;

use crate::gateway::dispatch::{self, BACKEND_RETRY_AFTER_MS, DEFAULT_WAIT_MS, MAX_ATTEMPTS};
use crate::gateway::{EntryGateway, idempotency, refuse_unknown};
use crate::shared::Shared;

fn check_service<P: Platform>(shared: &Shared<P>, call: &PlainCall) -> Result<()> {
    let allowed = &call.context.contract.services;
    let name = call.service.as_str();
    let backends = shared.backends.load();
    let serving = backends.serving(BackendKind::Service, &call.service);
    if Contract::allows(allowed, name) && !serving.is_empty() {
        return Ok(());
    }
    let name = name.to_owned();
    Err(refuse_unknown(
        shared,
        RefusalReason::UnknownTarget { name },
    ))
}

/// Admits a call under the customer's limits and sends it.
pub async fn run<P: Platform>(gateway: &EntryGateway<P>, call: PlainCall) -> Result<Whole> {
    let shared = &gateway.0;
    check_service(shared, &call)?;
    let _admitted = gateway.admit(&call.context, 0).await?;
    shared.metrics.service_calls.inc();
    if call.context.never_repeat {
        return idempotency::call_service(shared, call).await;
    }
    send(shared, call).await
}

/// Attempts of one call so far.
struct CallAttempts {
    tried: Vec<BackendId>,
    ran: ExecutionStatus,
    last_reason: RefusalReason,
}

impl CallAttempts {
    fn refusal(self) -> Refusal {
        Refusal::not_run(self.last_reason)
            .with_ran(self.ran)
            .retry_after_ms(BACKEND_RETRY_AFTER_MS)
    }
}

/// Time until the caller's deadline, or [`DEFAULT_WAIT_MS`] without one; `None` if the deadline has
/// passed.
fn time_left_ms(started_at: Instant, deadline_ms: Option<u64>) -> Option<u64> {
    let Some(deadline_ms) = deadline_ms else {
        return Some(DEFAULT_WAIT_MS);
    };
    let left_ms = deadline_ms.saturating_sub(started_at.elapsed().as_millis() as u64);
    (left_ms > 0).then_some(left_ms)
}

/// Whether another attempt is allowed. A call that the service may have run is retried only if its
/// method is safe or idempotent (RFC 9110, section 9.2).
fn may_attempt<P: Platform>(shared: &Shared<P>, method: &Method, attempts: &CallAttempts) -> bool {
    if attempts.tried.is_empty() {
        shared.retries.record_first_attempt();
        return true;
    }
    let exhausted = attempts.tried.len() >= MAX_ATTEMPTS;
    if exhausted || (attempts.ran == ExecutionStatus::MayHaveRun && !method.is_idempotent()) {
        return false;
    }
    if !shared.retries.try_retry(shared.clock.mono()) {
        shared.metrics.retries_refused.inc();
        return false;
    }
    shared.metrics.retries.inc();
    true
}

async fn send<P: Platform>(shared: &Shared<P>, call: PlainCall) -> Result<Whole> {
    let (service, started_at, deadline_ms) =
        (&call.service, Instant::now(), call.context.deadline_ms);
    let mut outgoing = ServiceCall {
        method: call.method,
        path_and_query: call.path_and_query,
        headers: call.headers,
        body: call.body,
        timeout_ms: DEFAULT_WAIT_MS,
    };
    let mut attempts = CallAttempts {
        tried: Vec::new(),
        ran: ExecutionStatus::NotRun,
        last_reason: RefusalReason::NoBackend {
            target: service.clone(),
        },
    };
    while may_attempt(shared, &outgoing.method, &attempts) {
        let Some(left_ms) = time_left_ms(started_at, deadline_ms) else {
            let deadline_ms = deadline_ms.unwrap_or_default();
            attempts.last_reason = RefusalReason::DeadlinePassed { deadline_ms };
            break;
        };
        outgoing.timeout_ms = left_ms;
        let (kind, tried) = (BackendKind::Service, &attempts.tried);
        let Some(server) = dispatch::choose(shared, kind, service, &outgoing.body, tried) else {
            break;
        };
        let _in_flight = server.start_request();
        shared.timeline.note(TimelineEvent::Sent {
            request: call.context.id.clone(),
            backend: server.backend.id.clone(),
        });
        let address = server.backend.address;
        let sent = shared.services.call(address, &outgoing, Reuse::Pooled);
        let error = match sent.await {
            Ok(answer) => {
                server.record_success();
                return Ok(Whole {
                    status: answer.status,
                    content_type: answer.content_type,
                    body: answer.body,
                });
            }
            Err(error) => error,
        };
        server.record_failure(shared.clock.mono());
        attempts.tried.push(server.backend.id.clone());
        attempts.last_reason = idempotency::backend_failed(service, &error);
        if !error.is_not_sent() {
            attempts.ran = ExecutionStatus::MayHaveRun;
        }
    }
    Err(attempts.refusal())
}
