//! The platform's store, reached through another instance where it turns this one away.
//!
//! The store may refuse some machines, or be cut off from them, while it serves the others. An
//! instance that has lost it asks a live instance to make its calls. Every commit is conditional or
//! idempotent, so one that was tried twice is harmless: the second try finds the first.

mod health;
mod message;

pub use health::StoreHealth;
pub use message::{StoreAnswer, StoreCall};

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

use crate::peers::Peers;
use message::SERVICE;

/// Path of the calls that other instances make.
const PATH: &str = "/store";
/// Largest call or answer: an object, with room.
const MAX_BYTES: usize = 10 << 20;
/// Limit of a call through another instance, beside the wait that the call itself asks for.
const THROUGH_MS: u64 = 1_200;
/// A commit without an answer for this time is also tried through another instance: a batch job must
/// be accepted within some 400 ms, and a cut shows by silence only.
const HEDGE_MS: u64 = 220;
/// Pause between two tries to reach a lost store, and the time for each: a store that is back is found
/// within their sum, and even a slow one answers within it.
const PROBE_MS: (u64, u64) = (250, 450);
/// Instances asked for one call.
const TRIES: usize = 2;

/// The store with its detour.
#[derive(Debug, Clone)]
pub struct SharedStore<S> {
    direct: S,
    health: StoreHealth,
    peers: Peers,
    http: HttpClient,
}

fn unexpected() -> PlatformError {
    PlatformError::Malformed {
        service: SERVICE,
        detail: "an answer to another call".into(),
    }
}

impl<S: RowStore + ObjectStore> SharedStore<S> {
    /// Over a store and the instances known.
    pub fn new(direct: S, peers: Peers) -> Self {
        SharedStore {
            direct,
            health: StoreHealth::default(),
            peers,
            http: HttpClient::new(Reuse::Pooled),
        }
    }

    /// What answers other instances.
    pub fn server(&self) -> StoreServer<S> {
        StoreServer {
            direct: self.direct.clone(),
            health: self.health.clone(),
        }
    }

    /// Looks for a lost store until it is back, again and again.
    pub async fn probe(self, table: &'static str) {
        loop {
            self.health.wait_lost().await;
            tokio::time::sleep(Duration::from_millis(PROBE_MS.0)).await;
            let looking = self.direct.read(table, "", "~", "~~");
            let found = tokio::time::timeout(Duration::from_millis(PROBE_MS.1), looking).await;
            self.health.note(matches!(found, Ok(Ok(_))));
        }
    }

    fn others(&self) -> Vec<SocketAddr> {
        let now = self.peers.now();
        let members = self.peers.members();
        let live = members.live(now);
        let others = live
            .iter()
            .filter(|member| member.instance != *self.peers.me());
        let all: Vec<SocketAddr> = others.map(|member| member.peer_address).collect();
        let mut rng = rand::rng();
        all.choose_multiple(&mut rng, TRIES).copied().collect()
    }

    async fn direct(&self, call: &StoreCall) -> Result<StoreAnswer> {
        let answer = call.make(&self.direct).await.into_result();
        self.health.note(answer.is_ok());
        answer
    }

    async fn through(&self, call: &StoreCall) -> Result<StoreAnswer> {
        let mut last = PlatformError::Unavailable {
            service: SERVICE,
            detail: "no other instance is known".into(),
        };
        for address in self.others() {
            match self.ask(address, call).await {
                Ok(answer) => return Ok(answer),
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    async fn ask(&self, address: SocketAddr, call: &StoreCall) -> Result<StoreAnswer> {
        let malformed = |detail: String| PlatformError::Malformed {
            service: SERVICE,
            detail,
        };
        let bytes = codec::encode(call).map_err(|error| malformed(error.to_string()))?;
        let http_call = Call {
            timeout_ms: THROUGH_MS + call.wait_ms(),
            limit_bytes: MAX_BYTES,
            ..Call::new(Method::POST, address, PATH)
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

    async fn call(&self, call: StoreCall) -> Result<StoreAnswer> {
        if self.health.is_lost() {
            return self.through(&call).await;
        }
        match self.direct(&call).await {
            Ok(answer) => Ok(answer),
            // A failed wait for changes shows the loss to its follower first.
            Err(error) if matches!(call, StoreCall::Follow { .. }) => Err(error),
            Err(error) => self.after_miss(&call, error).await,
        }
    }

    /// Makes a call through another instance after it has failed here. Where both fail, the error
    /// is one after which the call may have taken effect, if either is.
    async fn after_miss(&self, call: &StoreCall, first: PlatformError) -> Result<StoreAnswer> {
        match self.through(call).await {
            Ok(answer) => Ok(answer),
            Err(second) if !first.may_have_taken_effect() && second.may_have_taken_effect() => {
                Err(second)
            }
            Err(_) => Err(first),
        }
    }

    /// Tries both ways where the direct one is slow; the first answer counts.
    async fn hedged(&self, call: StoreCall) -> Result<StoreAnswer> {
        if self.health.is_lost() {
            return self.through(&call).await;
        }
        let begun = Instant::now();
        let direct = self.direct(&call);
        tokio::pin!(direct);
        let hedge = tokio::time::sleep_until(begun + Duration::from_millis(HEDGE_MS));
        let first = tokio::select! {
            answer = &mut direct => Some(answer),
            () = hedge => None,
        };
        match first {
            Some(Ok(answer)) => return Ok(answer),
            Some(Err(error)) => return self.after_miss(&call, error).await,
            None => {}
        }
        let through = self.through(&call);
        tokio::pin!(through);
        tokio::select! {
            answer = &mut direct => match answer {
                Ok(answer) => Ok(answer),
                Err(error) => through.await.map_err(|_| error),
            },
            answer = &mut through => match answer {
                Ok(answer) => Ok(answer),
                Err(_) => direct.await,
            },
        }
    }
}

impl<S: RowStore + ObjectStore> RowStore for SharedStore<S> {
    async fn commit(&self, changes: &Changes) -> Result<Committed> {
        match self.hedged(StoreCall::Commit(changes.clone())).await? {
            StoreAnswer::Committed(committed) => Ok(committed),
            _ => Err(unexpected()),
        }
    }

    async fn read(&self, table: &str, part: &str, from: &str, to: &str) -> Result<Snapshot> {
        let call = StoreCall::Read {
            table: table.into(),
            part: part.into(),
            from: from.into(),
            to: to.into(),
        };
        match self.call(call).await? {
            StoreAnswer::Read(snapshot) => Ok(snapshot),
            _ => Err(unexpected()),
        }
    }

    async fn follow(&self, table: &str, after: u64, wait_ms: u64) -> Result<Feed> {
        let call = StoreCall::Follow {
            table: table.into(),
            after,
            wait_ms,
        };
        match self.call(call).await? {
            StoreAnswer::Followed(feed) => Ok(feed),
            _ => Err(unexpected()),
        }
    }
}

impl<S: RowStore + ObjectStore> ObjectStore for SharedStore<S> {
    async fn put_object(&self, name: &str, bytes: Bytes) -> Result<()> {
        match self.hedged(StoreCall::Put(name.into(), bytes)).await? {
            StoreAnswer::Written => Ok(()),
            _ => Err(unexpected()),
        }
    }

    async fn get_object(&self, name: &str) -> Result<Option<Bytes>> {
        match self.call(StoreCall::Get(name.into())).await? {
            StoreAnswer::Object(object) => Ok(object),
            _ => Err(unexpected()),
        }
    }

    async fn delete_object(&self, name: &str) -> Result<()> {
        match self.call(StoreCall::Delete(name.into())).await? {
            StoreAnswer::Written => Ok(()),
            _ => Err(unexpected()),
        }
    }

    async fn list_objects(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<String>> {
        self.direct.list_objects(prefix, after, limit).await
    }
}

/// Makes calls for other instances, while this one reaches the store.
#[derive(Debug, Clone)]
pub struct StoreServer<S> {
    direct: S,
    health: StoreHealth,
}

impl<S: RowStore + ObjectStore> StoreServer<S> {
    async fn answer(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        if self.health.is_lost() {
            return body::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        let call: StoreCall = match body::read_whole(request.into_body(), MAX_BYTES).await {
            Ok(bytes) => match codec::decode(&bytes) {
                Ok(call) => call,
                Err(error) => {
                    log::warn!("a call of another instance cannot be read: {error}");
                    return body::empty(StatusCode::BAD_REQUEST);
                }
            },
            Err(error) => {
                log::debug!("a call of another instance ended early: {error}");
                return body::empty(StatusCode::BAD_REQUEST);
            }
        };
        let answer = call.make(&self.direct).await;
        match codec::encode(&answer) {
            Ok(bytes) => Response::new(body::whole(bytes)),
            Err(error) => {
                log::error!("an answer to another instance cannot be written: {error}");
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
