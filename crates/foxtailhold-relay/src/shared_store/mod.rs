//! Access to the platform's store, through another instance if it cannot be reached directly.
//!
//! The store may reject some machines, or be unreachable for them, while it serves others. An
//! instance that cannot reach it sends its calls through a live instance. Every commit is
//! conditional or idempotent, so a commit that was tried twice is harmless: the second one finds
//! the first.

mod health;
mod message;
mod observe;

pub use health::StoreHealth;
pub use message::{StoreAnswer, StoreCall};
pub use observe::StoreAccess;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use foxtailhold_http::body::{self, AnswerBody};
use foxtailhold_http::client::{Call, HttpClient, Reuse};
use foxtailhold_http::server::Handler;
use foxtailhold_peer::codec;
use foxtailhold_platform::{
    Changes, Committed, Feed, ObjectStore, PlatformError, Result, RowStore, Snapshot,
};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use rand::seq::IndexedRandom;
use tokio::time::Instant;

use crate::metrics::RelayMetrics;
use crate::peers::Peers;
use message::SERVICE;
use observe::CallTimer;

/// HTTP path for calls of other instances.
const STORE_PATH: &str = "/store";
/// Size limit of a call or answer: the largest object, with room.
const MAX_MESSAGE_BYTES: usize = 10 << 20;
/// Time limit of a call through another instance, in addition to the wait that the call itself
/// requests.
const PEER_CALL_TIMEOUT_MS: u64 = 1_200;
/// A commit without a response after this time is also tried through another instance. A batch job
/// must be accepted within about 400 ms, and a network partition only shows by silence.
const HEDGE_DELAY_MS: u64 = 220;
/// Delay before each probe of an unreachable store, and time limit of the probe. A store that is
/// back is found within their sum, and even a slow one answers within the limit.
const PROBE_DELAY_AND_TIMEOUT_MS: (u64, u64) = (250, 450);
/// Number of instances tried for one call.
const MAX_PEERS: usize = 2;

/// The platform's store with a fallback through other instances.
#[derive(Debug, Clone)]
pub struct SharedStore<S> {
    direct: S,
    health: StoreHealth,
    peers: Peers,
    http: HttpClient,
    metrics: RelayMetrics,
}

/// An answer and the way on which it came.
type Answered = (StoreAnswer, StoreAccess);

fn unexpected_answer() -> PlatformError {
    PlatformError::Malformed {
        service: SERVICE,
        detail: "an answer to another call".into(),
    }
}

impl<S: RowStore + ObjectStore> SharedStore<S> {
    /// Creates the fallback for `direct` through the instances known to `peers`.
    pub fn new(direct: S, peers: Peers, metrics: RelayMetrics) -> Self {
        SharedStore {
            direct,
            health: StoreHealth::default(),
            peers,
            http: HttpClient::new(Reuse::Pooled),
            metrics,
        }
    }

    /// Handler for the store calls of other instances.
    pub fn server(&self) -> StoreServer<S> {
        StoreServer {
            direct: self.direct.clone(),
            health: self.health.clone(),
        }
    }

    /// Probes the store whenever it is unreachable, until it answers again.
    pub async fn probe(self, table: &'static str) {
        loop {
            self.health.wait_until_unreachable().await;
            tokio::time::sleep(Duration::from_millis(PROBE_DELAY_AND_TIMEOUT_MS.0)).await;
            let reading = self.direct.read(table, "", "~", "~~");
            let response =
                tokio::time::timeout(Duration::from_millis(PROBE_DELAY_AND_TIMEOUT_MS.1), reading)
                    .await;
            self.health.record(matches!(response, Ok(Ok(_))));
        }
    }

    fn random_peers(&self) -> Vec<SocketAddr> {
        let now = self.peers.now();
        let members = self.peers.members();
        let live = members.live(now);
        let others = live
            .iter()
            .filter(|member| member.instance != *self.peers.me());
        let all: Vec<SocketAddr> = others.map(|member| member.peer_address).collect();
        let mut rng = rand::rng();
        all.choose_multiple(&mut rng, MAX_PEERS).copied().collect()
    }

    async fn direct(&self, call: &StoreCall) -> Result<Answered> {
        let timer = CallTimer::start(&self.metrics, call, StoreAccess::Direct);
        let answer = call.execute(&self.direct).await.into_result();
        timer.close(&answer);
        self.health.record(answer.is_ok());
        Ok((answer?, StoreAccess::Direct))
    }

    async fn call_through_peer(&self, call: &StoreCall) -> Result<Answered> {
        let mut last = PlatformError::Unavailable {
            service: SERVICE,
            detail: "no other instance is known".into(),
        };
        for address in self.random_peers() {
            let access = StoreAccess::Peer(address);
            let timer = CallTimer::start(&self.metrics, call, access);
            let answer = self.call_peer(address, call).await;
            timer.close(&answer);
            match answer {
                Ok(answer) => return Ok((answer, access)),
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    async fn call_peer(&self, address: SocketAddr, call: &StoreCall) -> Result<StoreAnswer> {
        let malformed = |detail: String| PlatformError::Malformed {
            service: SERVICE,
            detail,
        };
        let bytes = codec::encode(call).map_err(|error| malformed(error.to_string()))?;
        let http_call = Call {
            timeout_ms: PEER_CALL_TIMEOUT_MS + call.wait_ms(),
            limit_bytes: MAX_MESSAGE_BYTES,
            ..Call::new(Method::POST, address, STORE_PATH)
        };
        let answered = self
            .http
            .call_bytes(&http_call, bytes, "application/octet-stream");
        let (status, bytes) = answered
            .await
            .map_err(|error| PlatformError::from_send(SERVICE, &error))?;
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

    async fn call(&self, call: StoreCall) -> Result<Answered> {
        if self.health.is_unreachable() {
            return self.call_through_peer(&call).await;
        }
        match self.direct(&call).await {
            Ok(answer) => Ok(answer),
            // A failed wait for changes first reports the failure to the follower of the table.
            Err(error) if matches!(call, StoreCall::Follow { .. }) => Err(error),
            Err(error) => self.retry_through_peer(&call, error).await,
        }
    }

    /// Makes a call through another instance after the direct call failed. If both fail, the error
    /// states that the call may have taken effect if that holds for either.
    async fn retry_through_peer(&self, call: &StoreCall, first: PlatformError) -> Result<Answered> {
        match self.call_through_peer(call).await {
            Ok(answer) => Ok(answer),
            Err(second) if !first.may_have_taken_effect() && second.may_have_taken_effect() => {
                Err(second)
            }
            Err(_) => Err(first),
        }
    }

    /// Also tries another instance if the direct call is slow. The first success is returned.
    async fn hedged(&self, call: StoreCall) -> Result<Answered> {
        if self.health.is_unreachable() {
            return self.call_through_peer(&call).await;
        }
        let started = Instant::now();
        let direct = self.direct(&call);
        tokio::pin!(direct);
        let hedge = tokio::time::sleep_until(started + Duration::from_millis(HEDGE_DELAY_MS));
        let first = tokio::select! {
            answer = &mut direct => Some(answer),
            () = hedge => None,
        };
        match first {
            Some(Ok(answer)) => return Ok(answer),
            Some(Err(error)) => return self.retry_through_peer(&call, error).await,
            None => {}
        }
        let through_peer = self.call_through_peer(&call);
        tokio::pin!(through_peer);
        tokio::select! {
            answer = &mut direct => match answer {
                Ok(answer) => Ok(answer),
                Err(error) => through_peer.await.map_err(|_| error),
            },
            answer = &mut through_peer => match answer {
                Ok(answer) => Ok(answer),
                Err(_) => direct.await,
            },
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

    /// Waits for changes of a table, and tells how the answer came.
    pub async fn follow_table(
        &self,
        table: &str,
        after: u64,
        wait_ms: u64,
    ) -> Result<(Feed, StoreAccess)> {
        let call = StoreCall::Follow {
            table: table.into(),
            after,
            wait_ms,
        };
        match self.call(call).await? {
            (StoreAnswer::Followed(feed), access) => Ok((feed, access)),
            _ => Err(unexpected_answer()),
        }
    }
}

impl<S: RowStore + ObjectStore> RowStore for SharedStore<S> {
    async fn commit(&self, changes: &Changes) -> Result<Committed> {
        match self.hedged(StoreCall::Commit(changes.clone())).await?.0 {
            StoreAnswer::Committed(committed) => Ok(committed),
            _ => Err(unexpected_answer()),
        }
    }

    async fn read(&self, table: &str, part: &str, from: &str, to: &str) -> Result<Snapshot> {
        Ok(self.read_range(table, part, from, to).await?.0)
    }

    async fn follow(&self, table: &str, after: u64, wait_ms: u64) -> Result<Feed> {
        Ok(self.follow_table(table, after, wait_ms).await?.0)
    }
}

impl<S: RowStore + ObjectStore> ObjectStore for SharedStore<S> {
    async fn put_object(&self, name: &str, bytes: Bytes) -> Result<()> {
        match self.hedged(StoreCall::Put(name.into(), bytes)).await?.0 {
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
    direct: S,
    health: StoreHealth,
}

impl<S: RowStore + ObjectStore> StoreServer<S> {
    async fn answer(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        if self.health.is_unreachable() {
            return body::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        let call: StoreCall = match body::read_whole(request.into_body(), MAX_MESSAGE_BYTES).await {
            Ok(bytes) => match codec::decode(&bytes) {
                Ok(call) => call,
                Err(error) => {
                    log::warn!("cannot decode store call of another instance: {error}");
                    return body::empty(StatusCode::BAD_REQUEST);
                }
            },
            Err(error) => {
                log::debug!("store call of another instance truncated: {error}");
                return body::empty(StatusCode::BAD_REQUEST);
            }
        };
        let answer = call.execute(&self.direct).await;
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
