//! Access to the platform's store, through another instance if it cannot be reached directly.
//!
//! The store may reject some machines, or be unreachable for them, while it serves others. A call
//! that gets no answer in time is also made through another live instance, and no call waits for
//! one path alone. Every commit is conditional or idempotent, so a commit that was tried twice is
//! harmless: the second one finds the first.

mod health;
mod hedge;
mod message;
mod observe;

pub use health::StoreHealth;
pub use message::{StoreAnswer, StoreCall};

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use foxtailhold_http::body::{self, AnswerBody, BodyError, RequestTerms};
use foxtailhold_http::client::{Call, HttpClient, Reuse};
use foxtailhold_http::machine::MachineLimits;
use foxtailhold_http::memory::MemoryBudget;
use foxtailhold_http::server::Handler;
use foxtailhold_peer::codec;
use foxtailhold_platform::{
    Changes, Committed, Feed, ObjectStore, PlatformError, Result, RowStore, Snapshot,
};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use rand::seq::IndexedRandom;

use crate::metrics::RelayMetrics;
use crate::peers::Peers;
use crate::store_access::StoreAccess;
use hedge::hedge;
use message::SERVICE;
use observe::CallTimer;

/// HTTP path for calls of other instances.
const STORE_PATH: &str = "/store";
/// Status for a call that the store itself refuses.
const REJECTED: StatusCode = StatusCode::UNPROCESSABLE_ENTITY;
/// Size limit of a call or answer: the largest object, with room.
const MAX_MESSAGE_BYTES: usize = 10 << 20;
/// Longest pause between two parts of a call.
const MAX_CALL_PAUSE_MS: u64 = 1_000;
/// Time limit of a call through another instance, in addition to the wait that the call itself
/// requests.
const PEER_CALL_TIMEOUT_MS: u64 = 1_200;
/// A write that has no response after this time is also tried on the other path. A batch job must be
/// accepted within about 400 ms, and a network partition only shows by silence.
const WRITE_HEDGE_DELAY_MS: u64 = 220;
/// The same for a read, which may take longer when the store is slow.
const READ_HEDGE_DELAY_MS: u64 = 500;
/// A call through another instance that has no response after this time is also sent to a second
/// one.
const PEER_HEDGE_DELAY_MS: u64 = 300;

/// The platform's store with a fallback through other instances.
#[derive(Debug, Clone)]
pub struct SharedStore<S> {
    direct: S,
    health: StoreHealth,
    peers: Peers,
    http: HttpClient,
    metrics: RelayMetrics,
}

/// An answer and the path on which it came.
type Answered = (StoreAnswer, StoreAccess);

/// A call of the change feed.
#[derive(Debug, Clone, Copy)]
pub struct FeedCall<'a> {
    /// Name of the table in the store.
    pub table: &'a str,
    /// Version after which changes are requested.
    pub after: u64,
    /// Time for which the store waits for a change.
    pub wait_ms: u64,
    /// Time limit of the call, in addition to that wait.
    pub margin_ms: u64,
}

impl FeedCall<'_> {
    fn to_call(self) -> StoreCall {
        StoreCall::Follow {
            table: self.table.into(),
            after: self.after,
            wait_ms: self.wait_ms,
        }
    }
}

fn no_answer(timeout_ms: u64) -> PlatformError {
    PlatformError::Unknown {
        service: SERVICE,
        detail: format!("no answer of the store within {timeout_ms} ms"),
    }
}

/// Whether the store was reached: it answered, or refused the call itself.
fn is_reached(answer: &Result<StoreAnswer>) -> bool {
    answer.as_ref().err().is_none_or(PlatformError::is_rejected)
}

fn unexpected_answer() -> PlatformError {
    PlatformError::Malformed {
        service: SERVICE,
        detail: "an answer to another call".into(),
    }
}

impl<S: RowStore + ObjectStore> SharedStore<S> {
    /// Creates the fallback for `direct` through the instances known to `peers`, for a machine with the
    /// default limits.
    pub fn new(direct: S, peers: Peers, metrics: RelayMetrics) -> Self {
        let answer_bytes = MachineLimits::default().answer_bytes();
        SharedStore::with_answer_memory(direct, peers, metrics, answer_bytes)
    }

    /// Like [`SharedStore::new`], but reads answers of other instances of `answer_bytes` at the same
    /// time.
    pub fn with_answer_memory(
        direct: S,
        peers: Peers,
        metrics: RelayMetrics,
        answer_bytes: usize,
    ) -> Self {
        SharedStore {
            direct,
            health: StoreHealth::default(),
            peers,
            http: HttpClient::with_read_budget(Reuse::PooledUntilTimeout, answer_bytes),
            metrics,
        }
    }

    /// Handler for the store calls of other instances, which are read into `memory`.
    pub fn server(&self, memory: MemoryBudget) -> StoreServer<S> {
        StoreServer {
            memory,
            direct: self.direct.clone(),
            health: self.health.clone(),
            metrics: self.metrics.clone(),
        }
    }

    /// Peer addresses of up to `count` other live instances, in random order.
    pub fn random_peers(&self, count: usize) -> Vec<SocketAddr> {
        let now = self.peers.now();
        let members = self.peers.members();
        let live = members.live(now);
        let others = live
            .iter()
            .filter(|member| member.instance != *self.peers.me());
        let all: Vec<SocketAddr> = others.map(|member| member.peer_address).collect();
        let mut rng = rand::rng();
        all.choose_multiple(&mut rng, count).copied().collect()
    }

    async fn direct(&self, call: &StoreCall) -> Result<Answered> {
        let timer = CallTimer::start(&self.metrics, call, StoreAccess::Direct);
        let answer = call.execute(&self.direct).await.into_result();
        timer.close(&answer);
        self.health.record(is_reached(&answer));
        Ok((answer?, StoreAccess::Direct))
    }

    /// Calls the store with a time limit of its own, which may be below that of the store's client.
    async fn direct_within(&self, call: &StoreCall, timeout_ms: u64) -> Result<Answered> {
        let timer = CallTimer::start(&self.metrics, call, StoreAccess::Direct);
        let limit = Duration::from_millis(timeout_ms);
        let answer = match tokio::time::timeout(limit, call.execute(&self.direct)).await {
            Ok(answer) => answer.into_result(),
            Err(_) => {
                self.direct.close_idle_connections();
                Err(no_answer(timeout_ms))
            }
        };
        timer.close(&answer);
        self.health.record(is_reached(&answer));
        Ok((answer?, StoreAccess::Direct))
    }

    async fn through_peer(
        &self,
        address: SocketAddr,
        call: &StoreCall,
        timeout_ms: u64,
    ) -> Result<Answered> {
        let access = StoreAccess::Peer(address);
        let timer = CallTimer::start(&self.metrics, call, access);
        let answer = self.call_peer(address, call, timeout_ms).await;
        timer.close(&answer);
        Ok((answer?, access))
    }

    async fn through_peers(&self, call: &StoreCall) -> Result<Answered> {
        let timeout_ms = PEER_CALL_TIMEOUT_MS + call.wait_ms();
        let mut peers = self.random_peers(2).into_iter();
        let Some(first) = peers.next() else {
            return Err(PlatformError::Unavailable {
                service: SERVICE,
                detail: "no other instance is known".into(),
            });
        };
        let through_first = self.through_peer(first, call, timeout_ms);
        let Some(second) = peers.next() else {
            return through_first.await;
        };
        let through_second = self.through_peer(second, call, timeout_ms);
        let delay_ms = PEER_HEDGE_DELAY_MS + call.wait_ms();
        hedge(through_first, through_second, delay_ms).await
    }

    async fn call_peer(
        &self,
        address: SocketAddr,
        call: &StoreCall,
        timeout_ms: u64,
    ) -> Result<StoreAnswer> {
        let malformed = |detail: String| PlatformError::Malformed {
            service: SERVICE,
            detail,
        };
        let bytes = codec::encode(call).map_err(|error| malformed(error.to_string()))?;
        let http_call = Call {
            timeout_ms,
            limit_bytes: MAX_MESSAGE_BYTES,
            ..Call::new(Method::POST, address, STORE_PATH)
        };
        let answered = self
            .http
            .call_bytes(&http_call, bytes, "application/octet-stream");
        let (status, bytes) = answered
            .await
            .map_err(|error| PlatformError::from_send(SERVICE, &error))?;
        if status == REJECTED {
            let detail = String::from_utf8_lossy(&bytes).into_owned();
            return StoreAnswer::Rejected(detail).into_result();
        }
        if status != StatusCode::OK {
            return Err(PlatformError::Unavailable {
                service: SERVICE,
                detail: format!("{address} answered {status}"),
            });
        }
        let answer: StoreAnswer =
            codec::decode(&bytes).map_err(|error| malformed(error.to_string()))?;
        answer.into_result()
    }

    /// Makes a call on the path that worked last, and on the other one as well if there is no answer
    /// in time.
    async fn call(&self, call: StoreCall) -> Result<Answered> {
        let hedge_delay_ms = match call {
            StoreCall::Commit(_) | StoreCall::Put(..) => WRITE_HEDGE_DELAY_MS,
            _ => READ_HEDGE_DELAY_MS + call.wait_ms(),
        };
        let (direct, through_peers) = (self.direct(&call), self.through_peers(&call));
        match self.health.is_unreachable() {
            true => hedge(through_peers, direct, hedge_delay_ms).await,
            false => hedge(direct, through_peers, hedge_delay_ms).await,
        }
    }
}

impl<S: RowStore + ObjectStore> SharedStore<S> {
    /// Reads a whole table, and tells how the answer came.
    pub async fn read_table(&self, table: &str) -> Result<(Snapshot, StoreAccess)> {
        self.read_range(table, "", "", "").await
    }

    async fn read_range(
        &self,
        table: &str,
        part: &str,
        from: &str,
        to: &str,
    ) -> Result<(Snapshot, StoreAccess)> {
        let call = StoreCall::Read {
            table: table.into(),
            part: part.into(),
            from: from.into(),
            to: to.into(),
        };
        match self.call(call).await? {
            (StoreAnswer::Read(snapshot), access) => Ok((snapshot, access)),
            _ => Err(unexpected_answer()),
        }
    }

    /// Waits for changes of a table, only on the path given by `access`.
    pub async fn follow_by(&self, access: StoreAccess, feed_call: &FeedCall<'_>) -> Result<Feed> {
        let call = feed_call.to_call();
        let timeout_ms = feed_call.wait_ms + feed_call.margin_ms;
        let answer = match access {
            StoreAccess::Direct => self.direct_within(&call, timeout_ms).await,
            StoreAccess::Peer(address) => self.through_peer(address, &call, timeout_ms).await,
        };
        match answer?.0 {
            StoreAnswer::Followed(feed) => Ok(feed),
            _ => Err(unexpected_answer()),
        }
    }
}

impl<S: RowStore + ObjectStore> RowStore for SharedStore<S> {
    async fn commit(&self, changes: &Changes) -> Result<Committed> {
        match self.call(StoreCall::Commit(changes.clone())).await {
            Ok((StoreAnswer::Committed(committed), _)) => Ok(committed),
            Ok(_) => Err(unexpected_answer()),
            Err(PlatformError::Rejected { detail, .. }) => Ok(Committed::Refused(detail)),
            Err(error) => Err(error),
        }
    }

    async fn read(&self, table: &str, part: &str, from: &str, to: &str) -> Result<Snapshot> {
        Ok(self.read_range(table, part, from, to).await?.0)
    }

    async fn follow(&self, table: &str, after: u64, wait_ms: u64) -> Result<Feed> {
        let call = StoreCall::Follow {
            table: table.into(),
            after,
            wait_ms,
        };
        match self.call(call).await?.0 {
            StoreAnswer::Followed(feed) => Ok(feed),
            _ => Err(unexpected_answer()),
        }
    }
}

impl<S: RowStore + ObjectStore> ObjectStore for SharedStore<S> {
    async fn put_object(&self, name: &str, bytes: Bytes) -> Result<()> {
        match self.call(StoreCall::Put(name.into(), bytes)).await?.0 {
            StoreAnswer::Written => Ok(()),
            _ => Err(unexpected_answer()),
        }
    }

    async fn get_object(&self, name: &str) -> Result<Option<Bytes>> {
        match self.call(StoreCall::Get(name.into())).await?.0 {
            StoreAnswer::Object(object) => Ok(object),
            _ => Err(unexpected_answer()),
        }
    }

    async fn delete_object(&self, name: &str) -> Result<()> {
        match self.call(StoreCall::Delete(name.into())).await?.0 {
            StoreAnswer::Written => Ok(()),
            _ => Err(unexpected_answer()),
        }
    }

    async fn list_objects(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<String>> {
        self.direct.list_objects(prefix, after, limit).await
    }
}

/// Serves store calls of other instances while this one reaches the store.
#[derive(Debug, Clone)]
pub struct StoreServer<S> {
    memory: MemoryBudget,
    direct: S,
    health: StoreHealth,
    metrics: RelayMetrics,
}

impl<S: RowStore + ObjectStore> StoreServer<S> {
    async fn answer(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        self.metrics.work().peer_store_call();
        if self.health.is_unreachable() {
            return body::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        let (head, mut incoming) = request.into_parts();
        let terms = RequestTerms::new(
            MAX_MESSAGE_BYTES,
            MAX_CALL_PAUSE_MS,
            &self.memory,
            &head.extensions,
        );
        let call: StoreCall = match body::read_request(&mut incoming, &terms).await {
            Ok(bytes) => match codec::decode(&bytes) {
                Ok(call) => call,
                Err(error) => {
                    log::warn!("cannot decode store call of another instance: {error}");
                    return body::empty(StatusCode::BAD_REQUEST);
                }
            },
            Err(error @ (BodyError::NoMemory(_) | BodyError::Evicted)) => {
                log::info!("store call of another instance refused: {error}");
                return body::empty(StatusCode::SERVICE_UNAVAILABLE);
            }
            Err(error) => {
                log::debug!("store call of another instance truncated: {error}");
                return body::empty(StatusCode::BAD_REQUEST);
            }
        };
        let answer = call.execute(&self.direct).await;
        if let StoreAnswer::Rejected(detail) = answer {
            let mut response = Response::new(body::whole(detail));
            *response.status_mut() = REJECTED;
            return response;
        }
        match codec::encode(&answer) {
            Ok(bytes) => Response::new(body::whole(bytes)),
            Err(error) => {
                log::error!("cannot encode store answer for another instance: {error}");
                body::empty(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }
}

impl<S: RowStore + ObjectStore> Handler for StoreServer<S> {
    async fn handle(
        &self,
        _remote: SocketAddr,
        request: Request<Incoming>,
    ) -> Response<AnswerBody> {
        self.answer(request).await
    }
}
