//! Connections to backend servers, one request at a time on each.
//!
//! The library's pool is not used: it cannot tell a request that was never written from one that
//! may have run, and it does not know how long a backend server keeps an idle connection.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use foxtailhold::ids::BackendId;
use http::{HeaderMap, Request, Response, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use thiserror::Error;
use tokio::net::TcpStream;

/// Result of sending.
pub type Result<T> = std::result::Result<T, SendFailure>;

/// Time for a new connection: two crossings between availability zones and the handshake take 10 ms
/// at most; a lost opening packet is sent again after a second.
pub const CONNECT_MS: u64 = 400;
/// Idle time that a backend server grants where it does not say.
const USUAL_KEEP_MS: u64 = 4_000;
/// Share of the told idle time that is used, so that no request crosses the close.
const KEEP_SHARE: f64 = 0.6;
/// Requests that may run once at most use a connection only after this rest: a late second answer
/// shows meanwhile.
const REST_MS: u64 = 25;

/// Why there is no head of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SendFailure {
    /// No byte of the request was taken.
    #[error("the request was not sent to {address}: {detail}")]
    NotSent {
        /// The backend server.
        address: SocketAddr,
        /// What the library said.
        detail: String,
    },
    /// It may have run.
    #[error("the connection to {address} failed after sending: {detail}")]
    MayHaveRun {
        /// The backend server.
        address: SocketAddr,
        /// What the library said.
        detail: String,
    },
}

#[derive(Debug)]
struct Idle {
    sender: SendRequest<Full<Bytes>>,
    since: Instant,
    keep: Duration,
}

type IdleMap = HashMap<BackendId, VecDeque<Idle>>;

/// Idle connections of one process.
#[derive(Debug, Clone, Default)]
pub struct Connections {
    idle: Arc<Mutex<IdleMap>>,
}

/// A connection that carries a request; to be returned when the answer has been read to its end.
#[derive(Debug)]
pub struct InUse {
    sender: SendRequest<Full<Bytes>>,
    backend: BackendId,
    keep: Duration,
    connections: Connections,
}

impl InUse {
    /// Keeps the connection for another request.
    pub fn put_back(self) {
        if self.sender.is_closed() || self.keep.is_zero() {
            return;
        }
        let idle = Idle {
            sender: self.sender,
            since: Instant::now(),
            keep: self.keep,
        };
        let mut map = self.connections.idle.lock();
        map.entry(self.backend).or_default().push_back(idle);
    }
}

impl Connections {
    /// Closes the connections to backend servers that are not in use any more.
    pub fn keep_only(&self, is_known: impl Fn(&BackendId) -> bool) {
        self.idle.lock().retain(|id, _| is_known(id));
    }

    fn take(&self, backend: &BackendId, rest_ms: u64) -> Option<SendRequest<Full<Bytes>>> {
        let mut map = self.idle.lock();
        let all = map.get_mut(backend)?;
        all.retain(|idle| !idle.sender.is_closed() && idle.since.elapsed() < idle.keep);
        let oldest = all.front()?;
        if oldest.since.elapsed() < Duration::from_millis(rest_ms) {
            return None;
        }
        all.pop_front().map(|idle| idle.sender)
    }

    /// Sends the request that `written` gives when a connection is there, and waits for the head of its
    /// answer. Dropping the future closes the connection.
    pub async fn send(
        &self,
        backend: &BackendId,
        address: SocketAddr,
        is_idempotent: bool,
        written: impl Fn() -> Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, InUse)> {
        let rest_ms = if is_idempotent { 0 } else { REST_MS };
        let not_sent = |detail: String| SendFailure::NotSent { address, detail };
        loop {
            let kept = self.take(backend, rest_ms);
            let is_kept = kept.is_some();
            let mut sender = match kept {
                Some(sender) => sender,
                None => connect(address).await?,
            };
            if let Err(error) = sender.ready().await {
                if is_kept {
                    continue;
                }
                return Err(not_sent(error.to_string()));
            }
            match sender.try_send_request(written()).await {
                Ok(response) => {
                    let in_use = InUse {
                        sender,
                        backend: backend.clone(),
                        keep: keep_time(response.headers()),
                        connections: self.clone(),
                    };
                    return Ok((response, in_use));
                }
                Err(mut error) => match error.take_message() {
                    Some(_) if is_kept => {}
                    Some(_) => return Err(not_sent(error.into_error().to_string())),
                    None => {
                        let detail = error.into_error().to_string();
                        return Err(SendFailure::MayHaveRun { address, detail });
                    }
                },
            }
        }
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>> {
    let not_sent = |detail: String| SendFailure::NotSent { address, detail };
    let wait = Duration::from_millis(CONNECT_MS);
    let stream = match tokio::time::timeout(wait, TcpStream::connect(address)).await {
        Err(_) => return Err(not_sent(format!("no connection within {CONNECT_MS} ms"))),
        Ok(Err(error)) => return Err(not_sent(error.to_string())),
        Ok(Ok(stream)) => stream,
    };
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("no TCP_NODELAY towards {address}: {error}");
    }
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|error| not_sent(error.to_string()))?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to {address} ended: {error}");
        }
    });
    Ok(sender)
}

/// How long the connection may stay idle; zero where it closes with this answer.
fn keep_time(headers: &HeaderMap) -> Duration {
    let connection = headers.get(header::CONNECTION);
    if connection.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close")) {
        return Duration::ZERO;
    }
    let told = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok());
    let seconds = told.and_then(|text| {
        let parts = text.split(',').map(str::trim);
        let mut times = parts.filter_map(|part| part.strip_prefix("timeout="));
        times.next()?.parse::<u64>().ok()
    });
    let keep_ms = seconds.map_or(USUAL_KEEP_MS, |seconds| seconds * 1_000);
    Duration::from_millis(keep_ms).mul_f64(KEEP_SHARE)
}
