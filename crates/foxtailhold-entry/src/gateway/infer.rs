//! Inference requests: admission, dispatch and the form of the answer.

use foxtailhold::contract::Contract;
use foxtailhold::ids::TargetName;
use foxtailhold::quarantine::{Fingerprint, QuarantineStatus};
use foxtailhold::refusal::{Refusal, RefusalReason, Result};
use foxtailhold::replicas::BackendKind;
use foxtailhold::timeline::TimelineEvent;
use foxtailhold_caller::gateway::{Inference, InferenceAnswer, Whole};
use foxtailhold_engine::{EngineAnswer, WholeAnswer};
use foxtailhold_platform::Platform;

use crate::gateway::dispatch::{AttemptHistory, OutgoingRequest};
use crate::gateway::stream::EntryStream;
use crate::gateway::{EntryGateway, idempotency, part_check, refuse_unknown, sending};
use crate::prompt::Prompt;
use crate::shared::Shared;

/// Converts an engine's full response for the caller side.
pub(crate) fn whole(answer: WholeAnswer) -> Whole {
    Whole {
        status: answer.status,
        content_type: answer.content_type,
        body: answer.body,
    }
}

/// Checks that a model is served and allowed by the contract.
pub fn check_model<P: Platform>(
    shared: &Shared<P>,
    contract: &Contract,
    model: &TargetName,
) -> Result<()> {
    let backends = shared.backends.load();
    let serving = backends.serving(BackendKind::Engine, model);
    if Contract::allows(&contract.models, model.as_str()) && !serving.is_empty() {
        return Ok(());
    }
    let name = model.as_str().to_owned();
    Err(refuse_unknown(
        shared,
        RefusalReason::UnknownTarget { name },
    ))
}

fn outgoing<P: Platform>(shared: &Shared<P>, request: &Inference) -> OutgoingRequest {
    let now = shared.clock.mono();
    let deadline_ms = request.context.deadline_ms;
    OutgoingRequest {
        id: request.context.id.clone(),
        path: request.path,
        model: request.model.clone(),
        body: request.body.clone(),
        fingerprint: Fingerprint::of(&request.context.contract.customer, &request.body),
        prompt: Prompt::from(request.body.clone()),
        streamed: request.streamed,
        max_tokens: request.max_tokens,
        deadline: deadline_ms.map(|wait_ms| (now + wait_ms, wait_ms)),
        retry_allowed: !request.context.never_repeat,
        of_job: None,
    }
}

/// Admits an inference request and dispatches it. Returns a full response or a stream that has
/// begun.
pub async fn run<P: Platform>(
    gateway: &EntryGateway<P>,
    request: Inference,
) -> Result<InferenceAnswer<EntryStream<P>>> {
    let shared = &gateway.0;
    check_model(shared, &request.context.contract, &request.model)?;
    let outgoing = outgoing(shared, &request);
    if let QuarantineStatus::Convicted { left_ms } = shared.crash_status(outgoing.fingerprint) {
        return Err(AttemptHistory::default().quarantined(left_ms));
    }
    part_check::check_parts(shared, &outgoing, &AttemptHistory::default())?;
    let deadline = outgoing.deadline.map(|(deadline, _)| deadline);
    let mut admitted = gateway.admit_inference(&request, deadline).await?;
    shared.metrics.inferences.inc();
    if request.context.never_repeat {
        if request.streamed {
            return Err(Refusal::invalid(
                "a request that must not be repeated cannot be streamed; leave `stream` out",
            ));
        }
        let answer = idempotency::infer(shared, &request).await?;
        admitted.count_response_tokens(&answer.body);
        return Ok(InferenceAnswer::Whole(answer));
    }
    let mut attempts = AttemptHistory::default();
    let opened = sending::open(shared, &outgoing, None, &mut attempts).await?;
    if let EngineAnswer::Whole(answer) = opened.answer {
        admitted.count_response_tokens(&answer.body);
        shared.timeline.note(TimelineEvent::Answered {
            request: outgoing.id.clone(),
        });
        return Ok(InferenceAnswer::Whole(whole(answer)));
    }
    let stream = EntryStream::new(shared.clone(), outgoing, attempts, opened, admitted);
    Ok(InferenceAnswer::Stream(stream))
}
