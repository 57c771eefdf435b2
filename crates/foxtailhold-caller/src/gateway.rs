//! The interface between the caller API and the rest of the system.

use std::future::Future;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use foxtailhold::batch::JobStatus;
use foxtailhold::contract::Contract;
use foxtailhold::ids::{
    AvailabilityZone, FileId, IdempotencyKey, InstanceId, JobId, RequestId, TargetName,
};
use foxtailhold::refusal::{Refusal, Result};
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use serde::Serialize;

/// The caller of a request, and the conditions set in the request's headers.
#[derive(Debug, Clone)]
pub struct RequestContext {
    /// Request identifier, assigned by this instance.
    pub id: RequestId,
    /// Contract of the customer that the API key belongs to.
    pub contract: Arc<Contract>,
    /// Value of the `idempotency-key` header, if sent.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Whether the request must run at most once (`foxtailhold-repeat: never`).
    pub never_repeat: bool,
    /// How long the caller waits for the answer (`foxtailhold-deadline-ms`). `None` means that the
    /// header is missing.
    pub deadline_ms: Option<u64>,
}

/// An inference request.
#[derive(Debug, Clone)]
pub struct Inference {
    /// The caller, and the conditions set in the headers.
    pub context: RequestContext,
    /// `/v1/chat/completions` or `/v1/completions`.
    pub path: &'static str,
    /// The model named in the body.
    pub model: TargetName,
    /// Whether the caller requested a streamed answer.
    pub streamed: bool,
    /// Maximum number of tokens to generate, if the body sets one.
    pub max_tokens: Option<u64>,
    /// The JSON body as sent by the caller.
    pub body: Bytes,
}

/// A call to a plain service.
#[derive(Debug, Clone)]
pub struct PlainCall {
    /// The caller, and the conditions set in the headers.
    pub context: RequestContext,
    /// Name of the service.
    pub service: TargetName,
    /// HTTP method, passed through.
    pub method: Method,
    /// Path and query at the service, with a leading slash.
    pub path_and_query: String,
    /// Headers to pass to the service, without connection headers and credentials.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// An unstreamed answer.
#[derive(Debug, Clone)]
pub struct Whole {
    /// HTTP status.
    pub status: StatusCode,
    /// Content type, if the backend server sent one.
    pub content_type: Option<HeaderValue>,
    /// Body.
    pub body: Bytes,
}

/// The answer to an inference request. `S` is the event stream.
#[derive(Debug)]
pub enum InferenceAnswer<S> {
    /// An unstreamed answer.
    Whole(Whole),
    /// A stream of server-sent events.
    Stream(S),
}

/// A source of server-sent events.
pub trait EventSource: Send + 'static {
    /// Returns the next event, including the blank line that ends it, or `None` after the last
    /// event. An error ends the stream.
    fn next(&mut self) -> impl Future<Output = Option<Result<Bytes>>> + Send;
}

/// One instance that a caller may send requests to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EntryAddress {
    /// Instance identifier.
    pub instance: InstanceId,
    /// Address where it accepts requests of callers.
    pub address: SocketAddr,
    /// Its availability zone.
    pub availability_zone: AvailabilityZone,
}

/// The instances that a caller may send requests to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Entries {
    /// The instances, in the order in which the caller should try them.
    pub entries: Vec<EntryAddress>,
    /// How long the caller may cache this list.
    pub keep_for_ms: u64,
}

/// Properties of the caller that requests the list of instances.
#[derive(Debug, Clone)]
pub struct EntriesQuery {
    /// Availability zone given in the request, if any.
    pub availability_zone: Option<AvailabilityZone>,
    /// Remote IP address of the connection.
    pub remote: IpAddr,
}

/// A file that a caller uploaded or a batch job wrote, as callers see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FileObject {
    /// File identifier.
    pub id: FileId,
    /// Size in bytes.
    pub bytes: u64,
    /// Creation time in seconds since the Unix epoch.
    pub created_at: u64,
    /// File name; for an upload, the name that the caller gave.
    pub filename: String,
    /// `batch` or `batch_output`.
    pub purpose: String,
}

/// A request to create a batch job.
#[derive(Debug, Clone)]
pub struct BatchRequest {
    /// The caller, and the conditions set in the headers.
    pub context: RequestContext,
    /// The input.
    pub input_file: FileId,
    /// Endpoint of every item.
    pub endpoint: String,
    /// Requested completion window in seconds, if given.
    pub window_s: Option<u64>,
    /// The caller's metadata.
    pub metadata: serde_json::Value,
    /// Digest of the request body, see [`Gateway::digest`].
    pub digest: String,
}

/// A batch job as callers see it.
#[derive(Debug, Clone, PartialEq)]
pub struct BatchObject {
    /// Job identifier.
    pub job: JobId,
    /// Endpoint of every item.
    pub endpoint: String,
    /// Current status.
    pub status: JobStatus,
    /// The input.
    pub input_file: FileId,
    /// File with the answers. `None` until the job has ended, and if no item was answered.
    pub output_file: Option<FileId>,
    /// File with the failed items. `None` until the job has ended, and if no item failed.
    pub error_file: Option<FileId>,
    /// When the job was accepted, in milliseconds since the Unix epoch.
    pub created_wall_ms: u64,
    /// Deadline of the job, in milliseconds since the Unix epoch.
    pub deadline_wall_ms: u64,
    /// When the job ended, in milliseconds since the Unix epoch; `None` while it is open.
    pub ended_wall_ms: Option<u64>,
    /// Total number of items.
    pub items: u64,
    /// Number of items with an answer.
    pub completed: u64,
    /// Number of failed items.
    pub failed: u64,
    /// The caller's metadata.
    pub metadata: serde_json::Value,
}

/// An upload in progress. The content is passed on in parts, so that a large file is never held in
/// memory as a whole.
pub trait Upload: Send {
    /// Appends bytes to the file.
    fn push(&mut self, bytes: &[u8]) -> impl Future<Output = Result<()>> + Send;

    /// Bytes that have been appended and are not stored yet.
    fn held_bytes(&self) -> usize;

    /// Stores the remaining bytes and makes the file readable.
    fn close(
        self,
        filename: String,
        purpose: String,
    ) -> impl Future<Output = Result<FileObject>> + Send;
}

/// A download in progress. The content is read in parts.
pub trait Download: Send + 'static {
    /// Returns the next part of the content, or `None` at the end of the file.
    fn next(&mut self) -> impl Future<Output = Option<Result<Bytes>>> + Send;
}

/// Kind of a request in metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// List of instances to use.
    Entries,
    /// Chat and text completions.
    Inference,
    /// Lists of models.
    Models,
    /// Uploaded files and batch output.
    Files,
    /// Batch jobs.
    Batches,
    /// Calls to plain services.
    Service,
    /// The path is not part of the API.
    Unknown,
}

impl RequestKind {
    /// Value of the metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            RequestKind::Entries => "entries",
            RequestKind::Inference => "inference",
            RequestKind::Models => "models",
            RequestKind::Files => "files",
            RequestKind::Batches => "batches",
            RequestKind::Service => "service",
            RequestKind::Unknown => "unknown",
        }
    }
}

/// Processes the requests that the caller API has parsed and validated.
pub trait Gateway: Clone + Send + Sync + 'static {
    /// Event stream of a streamed answer.
    type Stream: EventSource;
    /// An upload in progress.
    type Upload: Upload;
    /// A download in progress.
    type Download: Download;

    /// Returns the instances that the caller may send requests to.
    fn entries(&self, query: &EntriesQuery) -> Entries;

    /// Returns the contract that an API key belongs to.
    ///
    /// # Errors
    ///
    /// `Unauthorized` if there is none, `StoreUnavailable` with a time to retry while that is not known.
    fn contract_of(&self, api_key: &str) -> Result<Arc<Contract>>;

    /// Checks that a model is served and allowed by the contract.
    ///
    /// # Errors
    ///
    /// `UnknownTarget` if it is not, `StoreUnavailable` with a time to retry while that is not known.
    fn check_model(&self, contract: &Contract, name: &str) -> Result<()>;

    /// Returns a new unique request identifier.
    fn request_id(&self) -> RequestId;

    /// Computes the digest of a body. It distinguishes a retry from a different request with the
    /// same idempotency key.
    fn digest(&self, body: &[u8]) -> String;

    /// Returns the models that are currently served and allowed by the contract.
    fn models(&self, contract: &Contract) -> Vec<TargetName>;

    /// Runs an inference request.
    fn infer(
        &self,
        request: Inference,
    ) -> impl Future<Output = Result<InferenceAnswer<Self::Stream>>> + Send;

    /// Calls a plain service.
    fn call_service(&self, call: PlainCall) -> impl Future<Output = Result<Whole>> + Send;

    /// Starts an upload.
    fn upload(&self, context: &RequestContext) -> Result<Self::Upload>;

    /// Returns the metadata of a file.
    fn file(
        &self,
        contract: &Contract,
        id: &FileId,
    ) -> impl Future<Output = Result<FileObject>> + Send;

    /// Lists at most `limit` uploaded files of the customer whose identifiers are greater than
    /// `after`, ordered by identifier.
    fn files(
        &self,
        contract: &Contract,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<FileObject>>> + Send;

    /// Deletes an uploaded file. Batch jobs that were already accepted with it still run.
    fn delete_file(
        &self,
        contract: &Contract,
        id: &FileId,
    ) -> impl Future<Output = Result<()>> + Send;

    /// Starts the download of a file.
    fn download(
        &self,
        contract: &Contract,
        id: &FileId,
    ) -> impl Future<Output = Result<Self::Download>> + Send;

    /// Creates a batch job, or returns the job that was created before with the same idempotency
    /// key.
    fn create_batch(
        &self,
        request: BatchRequest,
    ) -> impl Future<Output = Result<BatchObject>> + Send;

    /// Returns a batch job.
    fn batch(
        &self,
        contract: &Contract,
        job: &JobId,
    ) -> impl Future<Output = Result<BatchObject>> + Send;

    /// Lists at most `limit` batch jobs of the customer whose identifiers are greater than `after`,
    /// ordered by identifier.
    fn batches(
        &self,
        contract: &Contract,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<BatchObject>>> + Send;

    /// Cancels a batch job.
    fn cancel_batch(
        &self,
        contract: &Contract,
        job: &JobId,
    ) -> impl Future<Output = Result<BatchObject>> + Send;

    /// Records a refusal that is about to be sent to the caller.
    fn refused(&self, request: &RequestId, refusal: &Refusal);

    /// Records, for metrics, that the response head is ready `wait` after the request head was
    /// received.
    fn record_answer(&self, kind: RequestKind, refusal: Option<&Refusal>, wait: Duration);

    /// Records, for metrics, that a stream event was sent to its caller. `wait` is the time since
    /// the previous event, or since the start of the request for the first event.
    fn streamed(&self, first: bool, wait: Duration);
}
