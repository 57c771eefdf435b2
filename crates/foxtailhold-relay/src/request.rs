//! Opaque requests and their results.

use bytes::Bytes;
use foxtailhold::prompt_parts::SharedParts;
use foxtailhold::quarantine::RequestFingerprints;
use foxtailhold::stream_origins::AttemptId;
use foxtailhold_http::body::AnswerBody;
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderValue, Method, Response, header};
use tokio::time::Instant;

/// What crash evidence about a request is kept under.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvidenceKeys {
    /// The same when the request comes again.
    pub fingerprints: RequestFingerprints,
    /// Parts of its prompt that other requests may share.
    pub parts: SharedParts,
    /// Whether it begins with an event that its caller has already. Its response may be short and
    /// then says nothing about its parts, so it is no probe of them.
    pub is_taken_up: bool,
    /// Whether it is owed whatever happens, as a batch item is.
    pub is_owed: bool,
}

/// A request whose body is passed on byte for byte.
#[derive(Debug, Clone)]
pub struct OpaqueRequest {
    /// Identifier, new each time the caller sends the request.
    pub id: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: PathAndQuery,
    /// Headers without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Time for which the caller waits; `None` if it does not say.
    pub caller_timeout_ms: Option<u64>,
    /// Event after which a stream resumes; `None` from the start.
    pub after_event: Option<u64>,
    /// Attempt of the caller that brought the first event of the stream which this one resumes;
    /// `None` if the caller names none.
    pub resumes: Option<AttemptId>,
    /// Parts of its prompt that other requests may share.
    pub parts: SharedParts,
    /// When the head of the request was read.
    pub received: Instant,
}

impl OpaqueRequest {
    /// Hashes of host, path and body, the same when the caller repeats the request through any
    /// instance.
    pub fn fingerprints(&self) -> RequestFingerprints {
        let host = self.headers.get(header::HOST).map(HeaderValue::as_bytes);
        let host = String::from_utf8_lossy(host.unwrap_or_default());
        RequestFingerprints::of_opaque(&host, self.target.as_str(), &self.body)
    }

    /// Time in ms that the caller has left; `None` if it does not say.
    pub fn caller_left_ms(&self) -> Option<u64> {
        let spent_ms = self.received.elapsed().as_millis() as u64;
        self.caller_timeout_ms.map(|ms| ms.saturating_sub(spent_ms))
    }

    /// What crash evidence about the request is kept under.
    pub fn evidence_keys(&self) -> EvidenceKeys {
        EvidenceKeys {
            fingerprints: self.fingerprints(),
            parts: self.parts.clone(),
            is_taken_up: self.after_event.is_some(),
            is_owed: false,
        }
    }
}

/// Why a request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunReason {
    /// It crashes backend servers.
    Crashing,
    /// No backend server accepts new work.
    NoBackend,
    /// A slot would become free too late.
    NoSlot,
    /// Its deadline passed while it waited for a slot.
    Waited,
    /// The backend servers to which it was sent did not accept it.
    NotTaken,
    /// No route matches its host and path.
    NoRoute,
    /// No route known here matches its host and path, and the routes may have changed.
    LateRoutes,
    /// This instance has not yet read the tables needed for serving.
    Starting,
    /// It resumes a stream, and no instance knows at which version that began.
    UnknownVersion,
    /// It resumes a stream, and the store has not confirmed at which version that can have begun.
    UnconfirmedVersion,
    /// It resumes a stream, and no backend server has the version that began it.
    VersionGone,
    /// This instance is about to end.
    Ending,
    /// There is no memory for its body, or for serving it.
    NoMemory,
    /// The rest of its body did not come, and others needed its memory.
    Stalled,
}

impl NotRunReason {
    /// Name in log lines and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            NotRunReason::Crashing => "crashing",
            NotRunReason::NoBackend => "no_backend",
            NotRunReason::NoSlot => "no_place",
            NotRunReason::Waited => "waited",
            NotRunReason::NotTaken => "not_taken",
            NotRunReason::NoRoute => "no_route",
            NotRunReason::LateRoutes => "late_routes",
            NotRunReason::Starting => "starting",
            NotRunReason::UnknownVersion => "unknown_version",
            NotRunReason::UnconfirmedVersion => "unconfirmed_version",
            NotRunReason::VersionGone => "version_gone",
            NotRunReason::Ending => "ending",
            NotRunReason::NoMemory => "no_memory",
            NotRunReason::Stalled => "stalled",
        }
    }
}

/// Why there is no response of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unserved {
    /// The request did not run and will not. The caller may retry it.
    NotRun {
        /// Why it did not run.
        reason: NotRunReason,
        /// Delay after which the caller should retry; `None` if that is of no use.
        retry_after_ms: Option<u64>,
    },
    /// The request may have run.
    MayHaveRun,
    /// The deadline passed, or the instance is about to end, and the request may have run.
    TimedOut,
}

/// Result of relaying an opaque request.
#[derive(Debug)]
pub enum RelayOutcome {
    /// The response of a backend server.
    Served(Response<AnswerBody>),
    /// There is no response of a backend server.
    Unserved(Unserved),
}

/// What a request without an answer waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestStage {
    /// The rest of its body.
    Body,
    /// The store, in a call about batch jobs.
    Store,
    /// Another instance, which may know where its stream began.
    Origin,
    /// A slot.
    Slot,
    /// A backend server.
    Backend,
}

impl RequestStage {
    /// Name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            RequestStage::Body => "body",
            RequestStage::Store => "store",
            RequestStage::Origin => "origin",
            RequestStage::Slot => "slot",
            RequestStage::Backend => "backend",
        }
    }
}

/// A request without an answer. Dropping it before [`UnansweredRequest::close`] leaves a log line:
/// its connection has ended, or its handler has panicked.
#[derive(Debug)]
pub struct UnansweredRequest {
    id: String,
    target: PathAndQuery,
    received: Instant,
    config: u64,
    stage: RequestStage,
    is_answered: bool,
}

impl UnansweredRequest {
    /// A request whose head was read at `received`, under the configuration `config`.
    pub fn new(id: String, target: PathAndQuery, received: Instant, config: u64) -> Self {
        UnansweredRequest {
            id,
            target,
            received,
            config,
            stage: RequestStage::Body,
            is_answered: false,
        }
    }

    /// Records what it waits for from now on.
    pub fn enter(&mut self, stage: RequestStage) {
        self.stage = stage;
    }

    /// What it waits for.
    pub fn stage(&self) -> RequestStage {
        self.stage
    }

    /// Records that there is an answer or a refusal.
    pub fn close(mut self) {
        self.is_answered = true;
    }
}

impl Drop for UnansweredRequest {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        let (id, path, stage) = (self.id.as_str(), self.target.path(), self.stage.as_str());
        let took_ms = self.received.elapsed().as_millis() as u64;
        let config = self.config;
        if std::thread::panicking() {
            log::error!(
                request = id, path = path, stage = stage, took_ms = took_ms, config = config;
                "handler of a request panicked"
            );
            return;
        }
        log::info!(
            request = id, path = path, stage = stage, took_ms = took_ms, config = config;
            "caller disconnected before its answer"
        );
    }
}
