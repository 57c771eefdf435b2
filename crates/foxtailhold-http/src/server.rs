//! An HTTP server (HTTP/1.1 and HTTP/2) with a graceful stop.

use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, Version, header};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::{http1, http2};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use thiserror::Error;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{Instant, timeout};
use tokio_util::sync::CancellationToken;

use crate::body::{self, AnswerBody};
use crate::connections::{ConnectionLimit, ConnectionSlot, OpenRequest};
use crate::paced::{MAX_BUFFER_BYTES, PacedStream, Turns};

/// Result of starting a server.
pub type Result<T> = std::result::Result<T, ServerError>;

/// Default time limit for the head of a request.
pub const HEADER_READ_TIMEOUT_MS: u64 = 10_000;
/// A closing server still accepts connections until none has come for this time, and then gives the
/// last ones as long to send their request.
const DRAIN_MS: u64 = 100;
/// Upper limit of the time in which a closing server still accepts connections.
const MAX_DRAIN_MS: u64 = 1_000;

/// Start of the HTTP/2 connection preface.
const PREFACE_START: [u8; 4] = *b"PRI ";
/// Interval at which a client's first bytes are checked again, while they are too few to tell the
/// version.
const PEEK_PAUSE_MS: u64 = 5;
/// Buffer of the operating system for bytes that were received on a connection and not yet read. It
/// counts towards the memory of the process on some platforms.
const RECEIVE_BUFFER_BYTES: u32 = 32 << 10;
/// Connections that wait to be accepted, each with what it has sent.
const BACKLOG: u32 = 256;
/// Requests that one connection of HTTP/2 carries at the same time.
const HTTP2_STREAMS: u32 = 32;
/// Bytes of one request, and of all requests of one connection of HTTP/2, that wait to be read.
const HTTP2_STREAM_WINDOW_BYTES: u32 = 64 << 10;
const HTTP2_CONNECTION_WINDOW_BYTES: u32 = 256 << 10;
/// Bytes of one response of HTTP/2 that wait to be written.
const HTTP2_SEND_BUFFER_BYTES: usize = 64 << 10;

/// Why a server could not start.
#[derive(Debug, Error)]
pub enum ServerError {
    /// The address cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Bind {
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Handles requests. It never fails: errors are responses.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Handles one request of the client at `remote`.
    fn handle(
        &self,
        remote: SocketAddr,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<AnswerBody>> + Send;
}

/// A running server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    leaving: CancellationToken,
    stop: CancellationToken,
    task: tokio::task::JoinHandle<()>,
}

/// Terms on which a server accepts connections.
#[derive(Debug, Clone)]
pub struct ServerTerms {
    /// A connection, idle or slow, is closed when no complete request head has come for this time, in
    /// milliseconds. A changed value applies to new connections.
    pub head_timeout_ms: Arc<AtomicU64>,
    /// Connections that the server may have.
    pub connections: ConnectionLimit,
}

impl Default for ServerTerms {
    fn default() -> Self {
        ServerTerms::from(ConnectionLimit::default())
    }
}

impl From<ConnectionLimit> for ServerTerms {
    fn from(connections: ConnectionLimit) -> Self {
        ServerTerms {
            head_timeout_ms: Arc::new(AtomicU64::new(HEADER_READ_TIMEOUT_MS)),
            connections,
        }
    }
}

/// Binds `address`; port 0 lets the system choose.
pub async fn bind(address: SocketAddr) -> Result<TcpListener> {
    listen(address).map_err(|source| ServerError::Bind { address, source })
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    if let Err(error) = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
        log::debug!("cannot set the receive buffer of connections to {address}: {error}");
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

impl Server {
    /// Starts to serve on a bound listener, on the default terms.
    pub fn start<H: Handler>(listener: TcpListener, address: SocketAddr, handler: H) -> Self {
        Server::start_on_terms(listener, address, handler, ServerTerms::default())
    }

    /// Starts to serve on a bound listener.
    pub fn start_on_terms<H: Handler>(
        listener: TcpListener,
        address: SocketAddr,
        handler: H,
        terms: ServerTerms,
    ) -> Self {
        let (leaving, stop) = (CancellationToken::new(), CancellationToken::new());
        let tokens = (leaving.clone(), stop.clone());
        let accepting = accept_loop(listener, handler, tokens, terms);
        let task = tokio::spawn(accepting);
        Server {
            address,
            leaving,
            stop,
            task,
        }
    }

    /// Binds the address and starts to serve, on the default terms.
    pub async fn bind<H: Handler>(address: SocketAddr, handler: H) -> Result<Self> {
        Server::bind_on_terms(address, handler, ServerTerms::default()).await
    }

    /// Binds the address and starts to serve.
    pub async fn bind_on_terms<H: Handler>(
        address: SocketAddr,
        handler: H,
        terms: ServerTerms,
    ) -> Result<Self> {
        let listener = bind(address).await?;
        let address = listener.local_addr().unwrap_or(address);
        Ok(Server::start_on_terms(listener, address, handler, terms))
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Still serves, but closes each HTTP/1 connection with its next response (`connection:
    /// close`), so that none is idle when the server closes. HTTP/2 connections get GOAWAY when the
    /// server closes.
    pub fn end_connections(&self) {
        self.leaving.cancel();
    }

    /// Accepts only the connections that are already waiting, and lets requests in flight finish
    /// for at most `wait_ms`.
    ///
    /// Returns `false` if some did not finish; they are cut off.
    pub async fn close(self, wait_ms: u64) -> bool {
        self.stop.cancel();
        let wait = Duration::from_millis(wait_ms);
        let abort = self.task.abort_handle();
        let finished = tokio::time::timeout(wait, self.task).await.is_ok();
        abort.abort();
        finished
    }
}

/// Connection builders of both HTTP versions.
#[derive(Debug, Clone)]
struct Builders {
    http1: http1::Builder,
    http2: http2::Builder<TokioExecutor>,
}

impl Builders {
    fn new(head_timeout_ms: u64) -> Self {
        let mut http1 = http1::Builder::new();
        http1
            .timer(TokioTimer::new())
            .max_buf_size(MAX_BUFFER_BYTES)
            .header_read_timeout(Duration::from_millis(head_timeout_ms));
        let mut http2 = http2::Builder::new(TokioExecutor::new());
        http2
            .max_concurrent_streams(HTTP2_STREAMS)
            .initial_stream_window_size(HTTP2_STREAM_WINDOW_BYTES)
            .initial_connection_window_size(HTTP2_CONNECTION_WINDOW_BYTES)
            .max_send_buf_size(HTTP2_SEND_BUFFER_BYTES);
        Builders { http1, http2 }
    }
}

async fn accept_loop<H: Handler>(
    listener: TcpListener,
    handler: H,
    (leaving, stop): (CancellationToken, CancellationToken),
    terms: ServerTerms,
) {
    let graceful = GracefulShutdown::new();
    let silent = CancellationToken::new();
    let turns = Turns::start();
    let serve = async |stream, remote| {
        let Some(slot) = terms.connections.admit().await else {
            log::info!("connection from {remote} closed: all places carry requests");
            return;
        };
        let builders = Builders::new(terms.head_timeout_ms.load(Ordering::Relaxed));
        let connection = Connection {
            slot,
            stream,
            remote,
            handler: ClosingHandler(handler.clone(), leaving.clone()),
            watcher: graceful.watcher(),
            turns: turns.clone(),
            silent: silent.clone(),
        };
        tokio::spawn(connection.serve(builders));
    };
    loop {
        let (stream, remote) = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok(accepted) => accepted,
                Err(error) => {
                    log::warn!("connection not accepted, trying again in 10 ms: {error}");
                    tokio::time::sleep(Duration::from_millis(10)).await;
                    continue;
                }
            },
            () = stop.cancelled() => break,
        };
        serve(stream, remote).await;
    }
    leaving.cancel();
    let drain = Duration::from_millis(DRAIN_MS);
    let drain_deadline = Instant::now() + Duration::from_millis(MAX_DRAIN_MS);
    while Instant::now() < drain_deadline {
        let Ok(Ok((stream, remote))) = timeout(drain, listener.accept()).await else {
            break;
        };
        serve(stream, remote).await;
    }
    for (stream, remote) in take_waiting(listener) {
        serve(stream, remote).await;
    }
    tokio::time::sleep(drain).await;
    silent.cancel();
    graceful.shutdown().await;
}

/// Closes a listener. Returns the connections that wait to be accepted, which the system would reset;
/// the runtime may not know of them yet.
fn take_waiting(listener: TcpListener) -> Vec<(TcpStream, SocketAddr)> {
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(error) => {
            log::warn!("connections that wait at a closing listener are lost: {error}");
            return Vec::new();
        }
    };
    let mut waiting = Vec::new();
    while let Ok((stream, remote)) = listener.accept() {
        let is_set = stream.set_nonblocking(true);
        if let Ok(stream) = is_set.and_then(|()| TcpStream::from_std(stream)) {
            waiting.push((stream, remote));
        }
    }
    waiting
}

/// Wraps a handler and lets its responses close the connection once the server is leaving.
#[derive(Debug, Clone)]
struct ClosingHandler<H>(H, CancellationToken);

impl<H: Handler> Handler for ClosingHandler<H> {
    async fn handle(&self, remote: SocketAddr, request: Request<Incoming>) -> Response<AnswerBody> {
        let closes = request.version() <= Version::HTTP_11;
        let mut response = self.0.handle(remote, request).await;
        if closes && self.1.is_cancelled() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }
}

/// A response body with the request that it belongs to.
struct TrackedBody {
    body: AnswerBody,
    _request: OpenRequest,
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = <AnswerBody as Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

struct Connection<H> {
    slot: ConnectionSlot,
    stream: TcpStream,
    remote: SocketAddr,
    handler: H,
    watcher: Watcher,
    /// Turns in which all connections of the server are read.
    turns: Turns,
    /// Cancelled to close the connections that have not sent a byte.
    silent: CancellationToken,
}

impl<H: Handler> Connection<H> {
    async fn serve(self, builders: Builders) {
        let _ = self.stream.set_nodelay(true);
        let wait = Duration::from_millis(HEADER_READ_TIMEOUT_MS);
        let version = tokio::select! {
            biased;
            version = tokio::time::timeout(wait, is_http2(&self.stream)) => version,
            () = self.silent.cancelled() => return,
            () = self.slot.state().evicted() => return,
        };
        let Ok(Ok(is_http2)) = version else {
            return;
        };
        let (remote, handler, mut slot) = (self.remote, self.handler, self.slot);
        if is_http2 && !slot.widen() {
            log::info!("connection from {remote} closed: no place for HTTP/2");
            return;
        }
        let state = Arc::clone(slot.state());
        let service = service_fn(move |mut request: Request<Incoming>| {
            let (handler, state) = (handler.clone(), Arc::clone(&state));
            let open_request = state.begin_request();
            request.extensions_mut().insert(Arc::clone(&state));
            // A connection reserves space for this future as long as it lives. The future is boxed
            // to keep that small, because a stream outlives the future that opened it.
            Box::pin(async move {
                let response = answer(handler, remote, request).await;
                if response.status().is_success() {
                    state.record_success();
                }
                Ok::<_, Infallible>(response.map(|body| TrackedBody {
                    body,
                    _request: open_request,
                }))
            })
        });
        let state = slot.state();
        let stream = PacedStream::with_turns(self.stream, self.turns, Arc::clone(state));
        let io = TokioIo::new(stream);
        let serving = async {
            if is_http2 {
                let connection = builders.http2.serve_connection(io, service);
                self.watcher.watch(connection).await
            } else {
                let connection = builders.http1.serve_connection(io, service);
                self.watcher.watch(connection).await
            }
        };
        let ended = tokio::select! {
            ended = serving => ended,
            () = state.evicted() => {
                log::info!("connection from {remote} closed: it made no progress");
                return;
            }
        };
        match ended {
            Err(error) if !error.is_timeout() => {
                log::info!("connection from {remote} failed: {error}");
            }
            Err(error) => log::debug!("connection from {remote} ended: {error}"),
            Ok(()) => {}
        }
    }
}

/// The response of a handler, or 500 if it panics. Without that the panic would end the connection,
/// and over HTTP/2 all other requests on it.
async fn answer<H: Handler>(
    handler: H,
    remote: SocketAddr,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let mut handling = pin!(handler.handle(remote, request));
    let response = poll_fn(|context| {
        // The future is not polled again after a panic.
        let polled = catch_unwind(AssertUnwindSafe(|| handling.as_mut().poll(context)));
        polled.map_or(Poll::Ready(None), |polled| polled.map(Some))
    });
    let response = response.await;
    response.unwrap_or_else(|| body::empty(StatusCode::INTERNAL_SERVER_ERROR))
}

/// Whether the client starts with the HTTP/2 preface (RFC 9113, section 3.4), which no HTTP/1
/// request starts with. The bytes are only peeked, so the connection needs no second buffer.
async fn is_http2(stream: &TcpStream) -> std::io::Result<bool> {
    let mut start = [0; PREFACE_START.len()];
    loop {
        let length = stream.peek(&mut start).await?;
        let received = &start[..length];
        if length == 0 || !PREFACE_START.starts_with(received) {
            return Ok(false);
        }
        if length == PREFACE_START.len() {
            return Ok(true);
        }
        tokio::time::sleep(Duration::from_millis(PEEK_PAUSE_MS)).await;
    }
}
