//! Connections to backend servers; each carries one request at a time.
//!
//! The connection pool of the HTTP library is not used. It cannot tell a request that was never
//! written from one that may have run, and it does not know how long a backend server keeps an idle
//! connection.

use std::collections::{HashMap, VecDeque};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use foxtailhold::ids::BackendId;
use foxtailhold_http::lock::Mutex;
use foxtailhold_http::paced::{MAX_BUFFER_BYTES, PacedStream};
use foxtailhold_http::response_end::{
    self, EndProof, EndWitness, SEND_BUFFER_BYTES, WatchedStream,
};
use http::{HeaderMap, Request, Response, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpSocket, TcpStream};

/// Result of sending a request.
pub type Result<T> = std::result::Result<T, SendFailure>;

/// Time limit for a new connection. Two round trips between availability zones and the handshake
/// take 10 ms at most; a lost SYN packet is retransmitted after one second.
pub const CONNECT_TIMEOUT_MS: u64 = 400;
/// Time for which a process that listens keeps a new connection at least. A forwarder in front of one
/// that has ended needs two round trips to find out.
const KEPT_CONNECTION_MS: u64 = 50;
/// Time for which a refused connection shows that its backend server has ended.
const REFUSAL_TTL_MS: u64 = 10_000;
/// Interval at which the companion of a connection is looked at.
const COMPANION_INTERVAL_MS: u64 = 200;
/// Least time between two checks of a backend server.
const CHECK_INTERVAL_MS: u64 = 500;
/// Idle timeout assumed if the backend server does not state one.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 4_000;
/// Longest stated idle timeout that counts.
const MAX_IDLE_TIMEOUT_S: f64 = 3_600.0;
/// Share of the stated idle timeout after which a connection is no longer used, so that no request
/// crosses its close.
const IDLE_TIMEOUT_SHARE: f64 = 0.6;
/// Requests that may run at most once use an idle connection only after this time. A late second
/// response shows up within it.
const REUSE_DELAY_MS: u64 = 25;

/// Why no response head was received.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SendFailure {
    /// No byte of the request was accepted.
    #[error("the request was not sent to {address}: {detail}")]
    NotSent {
        /// Address of the backend server.
        address: SocketAddr,
        /// Error of the HTTP library.
        detail: String,
    },
    /// The leave to send the request ended before a connection was there.
    #[error("the request may no longer be sent")]
    TooLate,
    /// The response is not HTTP or its head is too large. The request may have run.
    #[error("no valid response head from {address}: {detail}")]
    NotHttp {
        /// Address of the backend server.
        address: SocketAddr,
        /// Error of the HTTP library.
        detail: String,
    },
    /// The request may have run.
    #[error("the connection to {address} failed after sending: {detail}")]
    MayHaveRun {
        /// Address of the backend server.
        address: SocketAddr,
        /// Error of the HTTP library.
        detail: String,
    },
}

/// Terms on which a request is sent.
#[derive(Debug, Clone, Copy)]
pub struct SendTerms {
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Time from which it must not be sent any more; `None` if that is not bounded.
    pub not_after: Option<tokio::time::Instant>,
}

impl SendTerms {
    fn is_over(&self) -> bool {
        let not_after = self.not_after;
        not_after.is_some_and(|until| tokio::time::Instant::now() >= until)
    }
}

/// An open connection.
#[derive(Debug)]
struct Connected {
    sender: SendRequest<Full<Bytes>>,
    witness: EndWitness,
    /// Whether all its responses have stated the identity of their request. A late copy of one that
    /// did not would be taken for the response to another request.
    is_identified: bool,
}

#[derive(Debug)]
struct IdleConnection {
    connected: Connected,
    since: Instant,
    idle_timeout: Duration,
}

impl IdleConnection {
    fn is_usable(&self) -> bool {
        !self.connected.sender.is_closed() && self.since.elapsed() < self.idle_timeout
    }

    /// Whether a request may be sent on it now.
    fn suits(&self, terms: SendTerms) -> bool {
        let delay = Duration::from_millis(REUSE_DELAY_MS);
        terms.is_idempotent || (self.connected.is_identified && self.since.elapsed() >= delay)
    }
}

/// Backend servers whose port refused a connection, and when.
type Refusals = HashMap<BackendId, Instant>;

type IdleConnections = HashMap<BackendId, VecDeque<IdleConnection>>;

/// Idle connections of one process; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct Connections {
    idle: Arc<Mutex<IdleConnections>>,
    refused: Arc<Mutex<Refusals>>,
    /// When a backend server was checked last.
    checked: Arc<Mutex<HashMap<BackendId, Instant>>>,
}

/// A connection that carries a request. It is returned once the response has been read to its end.
#[derive(Debug)]
pub struct BusyConnection {
    connected: Connected,
    backend: BackendId,
    idle_timeout: Duration,
    connections: Connections,
    /// Its companion is kept as long as this is.
    companion: Option<Arc<()>>,
}

impl BusyConnection {
    /// Opens another connection to the backend server while its response is read, and again when the
    /// backend server closes that one. They show whether it lives on after the end of the response.
    pub(crate) fn accompany(&mut self, address: SocketAddr) {
        let (connections, backend) = (self.connections.clone(), self.backend.clone());
        let witness = self.connected.witness.clone();
        let keeper = Arc::new(());
        let is_wanted = Arc::downgrade(&keeper);
        self.companion = Some(keeper);
        tokio::spawn(async move {
            while is_wanted.strong_count() > 0 {
                if !witness.is_accompanied()
                    && let Ok(socket) = connections.open(&backend, address).await
                    && let Err(error) = witness.accompany(socket)
                {
                    log::debug!("no companion of the connection to {address}: {error}");
                }
                tokio::time::sleep(Duration::from_millis(COMPANION_INTERVAL_MS)).await;
            }
            witness.dismiss_companion();
        });
    }

    /// Checks that a response which ended with the connection was not cut off.
    pub(crate) async fn check_end(&self) -> response_end::Result<EndProof> {
        let checked = self.connected.witness.check().await;
        if let Err(error) = &checked {
            log::info!(backend = self.backend.as_str(); "response is not known to be whole: {error}");
        }
        checked
    }

    /// Backend server at the other end.
    pub fn backend(&self) -> &BackendId {
        &self.backend
    }

    /// Records a response that does not state the identity of its request. The connection is kept for
    /// requests that may run more than once.
    pub(crate) fn record_unidentified(&mut self) {
        self.connected.is_identified = false;
    }

    /// Returns the connection for reuse, unless it is closing.
    pub fn put_back(self) {
        if self.connected.sender.is_closed() || self.idle_timeout.is_zero() {
            return;
        }
        let idle = IdleConnection {
            connected: self.connected,
            since: Instant::now(),
            idle_timeout: self.idle_timeout,
        };
        let mut map = self.connections.idle.lock();
        map.entry(self.backend).or_default().push_back(idle);
    }
}

impl Connections {
    /// Closes the idle connections to backend servers that are no longer listed.
    pub fn keep_only(&self, is_known: impl Fn(&BackendId) -> bool) {
        self.idle.lock().retain(|id, _| is_known(id));
        let is_recent = |at: &Instant| at.elapsed() < Duration::from_millis(REFUSAL_TTL_MS);
        self.refused.lock().retain(|_, at| is_recent(at));
        self.checked.lock().retain(|_, at| is_recent(at));
    }

    /// Whether the port of a backend server has refused a connection lately: no process listens there.
    pub fn has_refused(&self, backend: &BackendId) -> bool {
        let refused = self.refused.lock();
        refused
            .get(backend)
            .is_some_and(|at| at.elapsed() < Duration::from_millis(REFUSAL_TTL_MS))
    }

    /// Opens a connection to a backend server in the background and closes it, to learn whether its
    /// port refuses it. Does nothing if the last check was a moment ago.
    pub fn check(&self, backend: &BackendId, address: SocketAddr) {
        let interval = Duration::from_millis(CHECK_INTERVAL_MS);
        {
            let mut checked = self.checked.lock();
            let last = checked.get(backend);
            if last.is_some_and(|at| at.elapsed() < interval) {
                return;
            }
            checked.insert(backend.clone(), Instant::now());
        }
        let (connections, backend) = (self.clone(), backend.clone());
        tokio::spawn(async move {
            let _ = connections.connect(&backend, address).await;
        });
    }

    /// Whether a process may listen at the port of a backend server, which has just ended a
    /// connection: the port does not refuse another one.
    pub async fn is_listening(&self, backend: &BackendId, address: SocketAddr) -> bool {
        match self.open(backend, address).await {
            Ok(_) => true,
            Err(error) => !self.shows_end(backend, address, &error).await,
        }
    }

    /// Like [`Connections::is_listening`], also where a forwarder accepts connections for a process
    /// that has ended: it closes them at once.
    pub async fn keeps_connections(&self, backend: &BackendId, address: SocketAddr) -> bool {
        let mut stream = match self.open(backend, address).await {
            Ok(stream) => stream,
            Err(error) => return !self.shows_end(backend, address, &error).await,
        };
        let kept = Duration::from_millis(KEPT_CONNECTION_MS);
        match tokio::time::timeout(kept, stream.read_u8()).await {
            Err(_) => true,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionReset => {
                !self.shows_end(backend, address, &error).await
            }
            Ok(_) => false,
        }
    }

    /// Whether the failure of a connection shows that its process has ended. The end of a process
    /// resets connections that it has not accepted, and its port refuses the next one. A process that
    /// has no room for more connections resets them, too, but does not refuse any.
    async fn shows_end(&self, backend: &BackendId, address: SocketAddr, error: &io::Error) -> bool {
        match error.kind() {
            ErrorKind::ConnectionRefused => true,
            ErrorKind::ConnectionReset => {
                let next = self.open(backend, address).await;
                next.is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused)
            }
            _ => false,
        }
    }

    async fn connect(&self, backend: &BackendId, address: SocketAddr) -> Result<Connected> {
        let opened = self.open(backend, address).await;
        let stream = opened.map_err(|error| SendFailure::NotSent {
            address,
            detail: error.to_string(),
        })?;
        handshake(stream, address).await
    }

    async fn open(&self, backend: &BackendId, address: SocketAddr) -> io::Result<TcpStream> {
        let wait = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let opened = match tokio::time::timeout(wait, open_socket(address)).await {
            Ok(opened) => opened,
            Err(_) => Err(io::Error::new(
                ErrorKind::TimedOut,
                format!("no connection within {CONNECT_TIMEOUT_MS} ms"),
            )),
        };
        match &opened {
            Ok(_) => drop(self.refused.lock().remove(backend)),
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
                self.refused.lock().insert(backend.clone(), Instant::now());
            }
            Err(_) => {}
        }
        opened
    }

    /// Closes the idle connections to a backend server, after one carried no response in time: the
    /// others may be dead as well, and each would cost a request an attempt.
    pub fn close_idle(&self, backend: &BackendId) {
        self.idle.lock().remove(backend);
    }

    /// Takes an idle connection for a request, rather one that is of no use to others.
    fn take_idle(&self, backend: &BackendId, terms: SendTerms) -> Option<Connected> {
        let mut map = self.idle.lock();
        let all = map.get_mut(backend)?;
        all.retain(IdleConnection::is_usable);
        let suiting = all.iter().enumerate().filter(|(_, idle)| idle.suits(terms));
        let (index, _) = suiting.min_by_key(|(_, idle)| idle.connected.is_identified)?;
        all.remove(index).map(|idle| idle.connected)
    }

    /// Sends the request built by `build_request` once a connection is available, and waits for the
    /// response head. Dropping the future closes the connection.
    pub async fn send(
        &self,
        backend: &BackendId,
        address: SocketAddr,
        terms: SendTerms,
        build_request: impl Fn() -> Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, BusyConnection)> {
        let not_sent = |detail: String| SendFailure::NotSent { address, detail };
        loop {
            let reused = self.take_idle(backend, terms);
            let is_reused = reused.is_some();
            let mut connected = match reused {
                Some(connected) => connected,
                None => self.connect(backend, address).await?,
            };
            let sender = &mut connected.sender;
            if let Err(error) = sender.ready().await {
                if is_reused {
                    continue;
                }
                return Err(not_sent(error.to_string()));
            }
            if terms.is_over() {
                return Err(SendFailure::TooLate);
            }
            match sender.try_send_request(build_request()).await {
                Ok(response) => {
                    let connection = BusyConnection {
                        connected,
                        backend: backend.clone(),
                        idle_timeout: response_idle_timeout(response.headers()),
                        connections: self.clone(),
                        companion: None,
                    };
                    return Ok((response, connection));
                }
                Err(mut error) => match error.take_message() {
                    Some(_) if is_reused => {}
                    Some(_) => return Err(not_sent(error.into_error().to_string())),
                    None => {
                        let error = error.into_error();
                        let detail = error.to_string();
                        return Err(match error.is_parse() {
                            true => SendFailure::NotHttp { address, detail },
                            false => SendFailure::MayHaveRun { address, detail },
                        });
                    }
                },
            }
        }
    }
}

async fn open_socket(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    if let Err(error) = socket.set_send_buffer_size(SEND_BUFFER_BYTES) {
        log::debug!("cannot set the send buffer of the connection to {address}: {error}");
    }
    socket.connect(address).await
}

async fn handshake(stream: TcpStream, address: SocketAddr) -> Result<Connected> {
    let not_sent = |detail: String| SendFailure::NotSent { address, detail };
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY on the connection to {address}: {error}");
    }
    let stream = WatchedStream::from(PacedStream::from(stream));
    let witness = stream.witness().clone();
    let io = TokioIo::new(stream);
    let mut builder = http1::Builder::new();
    let handshake = builder.max_buf_size(MAX_BUFFER_BYTES).handshake(io).await;
    let (sender, connection) = handshake.map_err(|error| not_sent(error.to_string()))?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to {address} ended: {error}");
        }
    });
    Ok(Connected {
        sender,
        witness,
        is_identified: true,
    })
}

/// Time for which the connection may stay idle; zero if it closes after this response.
fn response_idle_timeout(headers: &HeaderMap) -> Duration {
    let connection = headers.get(header::CONNECTION);
    if connection.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close")) {
        return Duration::ZERO;
    }
    let stated = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok());
    let seconds = stated.and_then(|text| {
        let parts = text.split(',').map(str::trim);
        let mut times = parts.filter_map(|part| part.strip_prefix("timeout="));
        times.next()?.trim().parse::<f64>().ok()
    });
    let stated = seconds.filter(|seconds| !seconds.is_nan());
    let stated = stated.map(|seconds| seconds.min(MAX_IDLE_TIMEOUT_S));
    let timeout = stated.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    let timeout = timeout.unwrap_or(Duration::from_millis(DEFAULT_IDLE_TIMEOUT_MS));
    timeout.mul_f64(IDLE_TIMEOUT_SHARE)
}
