//! Request handling of one instance, for callers and operators.

pub mod batches;
pub mod contract_change;
pub mod dispatch;
pub mod files;
pub mod idempotency;
pub mod infer;
pub mod operator;
pub mod orders;
pub mod outgoing;
pub mod part_check;
pub mod results;
pub mod rows;
pub mod sending;
pub mod service_call;
pub mod stream;

use std::sync::Arc;
use std::time::Duration;

use foxtailhold::contract::Contract;
use foxtailhold::contract_sync::ListingState;
use foxtailhold::ids::{FileId, JobId, RequestId, TargetName};
use foxtailhold::membership::{Member, MemberState};
use foxtailhold::refusal::{Refusal, RefusalReason, Result};
use foxtailhold::replicas::BackendKind;
use foxtailhold::time::MonoMs;
use foxtailhold::timeline::TimelineEvent;
use foxtailhold_caller::error_body;
use foxtailhold_caller::gateway::{
    BatchObject, BatchRequest, Entries, EntriesQuery, EntryAddress, FileObject, Gateway, Inference,
    InferenceAnswer, PlainCall, RequestContext, RequestKind, Whole,
};
use foxtailhold_platform::{Platform, PlatformError};
use rand::seq::SliceRandom;
use sha2::{Digest, Sha256};

use crate::actors::limits;
use crate::limits::{AdmittedRequest, Decision, LimitCheck};
use crate::metrics::{AnswerLabels, CodeLabel, KindLabel};
use crate::shared::Shared;

/// `Retry-After` of a refusal because the platform's store did not answer.
pub const STORE_RETRY_AFTER_MS: u64 = 2_000;
/// How long a customer's first request on this instance waits for a share of the customer's limits.
pub const FIRST_SHARE_WAIT_MS: u64 = 50;
/// Most characters of a name that no model can have that a refusal shows.
const MAX_SHOWN_CHARS: usize = 80;
/// Tokens charged to a request that sets no maximum.
pub const DEFAULT_CHARGED_TOKENS: u64 = 256;

/// Implements the caller and operator gateways on the state of one instance.
#[derive(Debug)]
pub struct EntryGateway<P>(pub Shared<P>);

impl<P> Clone for EntryGateway<P> {
    fn clone(&self) -> Self {
        EntryGateway(self.0.clone())
    }
}

/// Logs a failed store call and returns the refusal for it: a read without an answer, or a write
/// that had no effect.
pub(crate) fn store_unavailable(error: &PlatformError) -> Refusal {
    log::warn!("request refused: store call failed: {error}");
    Refusal::not_run(RefusalReason::StoreUnavailable).retry_after_ms(STORE_RETRY_AFTER_MS)
}

/// Refuses what neither the contracts nor the fleet list allow, for `reason`. Copies that are too old may
/// lack the change that allows it.
pub(crate) fn refuse_unknown<P: Platform>(shared: &Shared<P>, reason: RefusalReason) -> Refusal {
    let now = shared.clock.mono();
    let leases = [shared.contract_sync.load().lease(), shared.fleet_lease()];
    match leases
        .iter()
        .all(|lease| lease.is_some_and(|lease| lease.covers(now)))
    {
        true => Refusal::not_run(reason),
        false => {
            Refusal::not_run(RefusalReason::StoreUnavailable).retry_after_ms(STORE_RETRY_AFTER_MS)
        }
    }
}

/// SHA-256 digest in lower-case hex.
pub(crate) fn hex_digest(bytes: &[u8]) -> String {
    format!("{:x}", Sha256::digest(bytes))
}

/// The best listing state among the live members; only members in that state are listed to callers.
/// `None` if no live member is at least connected to the store or to most other instances.
fn best_listing(members: &[Member]) -> Option<ListingState> {
    let alive = members.iter().filter(|m| m.state == MemberState::Alive);
    let best = alive.map(|member| member.listing).max()?;
    (best >= ListingState::Behind).then_some(best)
}

impl<P: Platform> EntryGateway<P> {
    /// Admits a request under its customer's limits.
    ///
    /// `tokens` are charged now and corrected when the answer has ended.
    pub(crate) async fn admit(
        &self,
        context: &RequestContext,
        tokens: u64,
    ) -> Result<AdmittedRequest> {
        let shared = &self.0;
        let admitted = self.within_limits(&context.contract, tokens as f64).await?;
        shared.timeline.note(TimelineEvent::Accepted {
            request: context.id.clone(),
            customer: context.contract.customer.clone(),
        });
        Ok(admitted)
    }

    /// Admits a request to a model under its customer's limits, and waits until the model has a
    /// slot for it.
    pub(crate) async fn admit_inference(
        &self,
        request: &Inference,
        deadline: Option<MonoMs>,
    ) -> Result<AdmittedRequest> {
        let context = &request.context;
        let charged = request.max_tokens.unwrap_or(DEFAULT_CHARGED_TOKENS);
        let mut admitted = self.admit(context, charged).await?;
        let admission = &self.0.admission;
        let slot = admission.acquire(&request.model, &context.contract, deadline);
        admitted.attach_slot(slot.await?);
        Ok(admitted)
    }

    /// Checks the customer's limits. If this instance holds no share yet, it first requests
    /// one from the customer's limit coordinator.
    async fn within_limits(&self, contract: &Contract, tokens: f64) -> Result<AdmittedRequest> {
        let shared = &self.0;
        let customer = &contract.customer;
        let mut attempt = LimitCheck::First;
        loop {
            let now = shared.clock.mono();
            let mut answered = match shared.limits.decide(contract, tokens, attempt, now) {
                Decision::Admitted(admitted) => return Ok(admitted),
                Decision::Refused(refusal) => return Err(refusal),
                Decision::Pause { after_ms } => {
                    tokio::time::sleep(Duration::from_millis(after_ms)).await;
                    attempt = LimitCheck::Paused;
                    continue;
                }
                Decision::Wait(answered) => answered,
            };
            if attempt == LimitCheck::First {
                attempt = LimitCheck::Again;
            }
            limits::request_shares_now(shared, customer);
            let wait = Duration::from_millis(FIRST_SHARE_WAIT_MS);
            let _ = tokio::time::timeout(wait, answered.changed()).await;
            shared
                .limits
                .use_fallback_share(customer, shared.clock.mono());
        }
    }
}

impl<P: Platform> Gateway for EntryGateway<P> {
    type Stream = stream::EntryStream<P>;
    type Upload = files::EntryUpload<P>;
    type Download = files::EntryDownload<P>;

    fn entries(&self, query: &EntriesQuery) -> Entries {
        let members = self.0.members.load();
        let listing = best_listing(&members);
        let mut entries = Vec::new();
        for member in members.iter() {
            if member.state != MemberState::Alive || Some(member.listing) != listing {
                continue;
            }
            entries.push(EntryAddress {
                instance: member.id.clone(),
                address: member.caller_address,
                availability_zone: member.availability_zone.clone(),
            });
        }
        entries.shuffle(&mut rand::rng());
        if let Some(zone) = &query.availability_zone {
            entries.sort_by_key(|entry| entry.availability_zone != *zone);
        }
        Entries {
            entries,
            keep_for_ms: self.0.settings.keep_for_ms,
        }
    }

    fn contract_of(&self, api_key: &str) -> Result<Arc<Contract>> {
        let contracts = self.0.contracts.load();
        let known = contracts.by_api_key(api_key).cloned();
        known.ok_or_else(|| refuse_unknown(&self.0, RefusalReason::Unauthorized))
    }

    fn check_model(&self, contract: &Contract, name: &str) -> Result<()> {
        let unknown = |_| {
            let name = name.chars().take(MAX_SHOWN_CHARS).collect();
            Refusal::not_run(RefusalReason::UnknownTarget { name })
        };
        let model = TargetName::try_from(name).map_err(unknown)?;
        infer::check_model(&self.0, contract, &model)
    }

    fn request_id(&self) -> RequestId {
        self.0.request_id()
    }

    fn digest(&self, body: &[u8]) -> String {
        hex_digest(body)
    }

    fn models(&self, contract: &Contract) -> Vec<TargetName> {
        let mut models = self.0.backends.load().targets(BackendKind::Engine);
        models.retain(|model| Contract::allows(&contract.models, model.as_str()));
        models
    }

    async fn infer(&self, request: Inference) -> Result<InferenceAnswer<Self::Stream>> {
        infer::run(self, request).await
    }

    async fn call_service(&self, call: PlainCall) -> Result<Whole> {
        service_call::run(self, call).await
    }

    fn upload(&self, context: &RequestContext) -> Result<Self::Upload> {
        files::EntryUpload::new(&self.0, &context.contract.customer)
    }

    async fn file(&self, contract: &Contract, id: &FileId) -> Result<FileObject> {
        files::describe(&self.0, contract, id).await
    }

    async fn files(
        &self,
        contract: &Contract,
        after: &str,
        limit: usize,
    ) -> Result<Vec<FileObject>> {
        files::list(&self.0, contract, after, limit).await
    }

    async fn delete_file(&self, contract: &Contract, id: &FileId) -> Result<()> {
        files::delete(&self.0, contract, id).await
    }

    async fn download(&self, contract: &Contract, id: &FileId) -> Result<Self::Download> {
        files::open(&self.0, contract, id).await
    }

    async fn create_batch(&self, request: BatchRequest) -> Result<BatchObject> {
        batches::create(&self.0, request).await
    }

    async fn batch(&self, contract: &Contract, job: &JobId) -> Result<BatchObject> {
        batches::describe(&self.0, contract, job).await
    }

    async fn batches(
        &self,
        contract: &Contract,
        after: &str,
        limit: usize,
    ) -> Result<Vec<BatchObject>> {
        batches::list(&self.0, contract, after, limit).await
    }

    async fn cancel_batch(&self, contract: &Contract, job: &JobId) -> Result<BatchObject> {
        batches::cancel(&self.0, contract, job).await
    }

    fn record_answer(&self, kind: RequestKind, refusal: Option<&Refusal>, wait: Duration) {
        let metrics = &self.0.metrics;
        let kind = kind.as_str();
        let outcome = refusal.map_or("ok", error_body::code);
        let labels = AnswerLabels { kind, outcome };
        metrics.answers.get_or_create(&labels).inc();
        let histogram = metrics.answer_seconds.get_or_create(&KindLabel { kind });
        histogram.observe(wait.as_secs_f64());
    }

    fn streamed(&self, first: bool, wait: Duration) {
        let metrics = &self.0.metrics;
        let histogram = match first {
            true => &metrics.first_token_seconds,
            false => &metrics.between_tokens_seconds,
        };
        histogram.observe(wait.as_secs_f64());
    }

    fn refused(&self, request: &RequestId, refusal: &Refusal) {
        let code = error_body::code(refusal);
        log::debug!(request:% = request, code; "refused: {refusal}");
        self.0
            .metrics
            .refusals
            .get_or_create(&CodeLabel { code })
            .inc();
        self.0.timeline.note(TimelineEvent::Refused {
            request: request.clone(),
            code: code.to_owned(),
        });
    }
}
