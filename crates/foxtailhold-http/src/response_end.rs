//! Whether a response that ends with its connection is whole.
//!
//! Such a response has no length, so a connection that fails looks like its end. Two things show that it
//! is not whole: the server ended it before the request was written, or it reset the connection after
//! that. A server that answers a long request early and then fails does either.
//!
//! The end of the server's process also ends the connection, and its next start may listen at the same
//! address under the same name. So a second connection is opened while the response is read, the
//! companion. If the first one is still open once the companion is, both lead to the same process; if the
//! companion is open after the end of the first one, that process lived on and has ended its response
//! itself. A companion that was reset says nothing, as a server that has no room for it does that, too.

use std::io;
use std::net::TcpStream;
use std::os::fd::AsFd;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use http::HeaderMap;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

use crate::lock::Mutex;
use crate::paced::PacedStream;

/// Result of checking the end of a response.
pub type Result<T> = std::result::Result<T, UnprovedEnd>;

/// Buffer of the operating system for requests that are being written. It is small, so that little of a
/// request counts as written that its server has not read.
pub const SEND_BUFFER_BYTES: u32 = 128 << 10;
/// A request of this size may lie unread at a server that has ended its response.
const LONG_REQUEST_BYTES: usize = 16 << 10;
/// Time for which the connection of a long request is watched for a reset after the end of the response.
const RESET_WAIT_MS: u64 = 100;
/// Interval between two looks at it.
const RESET_CHECK_INTERVAL_MS: u64 = 10;
/// Time after the end of a response after which the end of the server's process has closed the companion
/// as well.
const COMPANION_WAIT_MS: u64 = 50;
/// Age of a companion that the server keeps. One beyond its limit of connections is reset at once.
const MIN_COMPANION_AGE_MS: u64 = 50;

/// Why a response that ended with its connection is not known to be whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum UnprovedEnd {
    /// The response ended while the request was being written.
    #[error("the response ended before its request was written")]
    UnwrittenRequest,
    /// The connection was reset after the end of the response.
    #[error("the connection was reset after the end of the response")]
    Reset,
    /// The server closed the companion, too.
    #[error("the server closed another connection as well")]
    ServerEnded,
}

/// What is known of a response that ended with its connection and is not known to be cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndProof {
    /// The process of the server lived on.
    LivedOn,
    /// There was no time to show that.
    None,
}

/// How the end of a response body is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseEnd {
    /// By its length or its last chunk.
    Stated,
    /// By the end of its connection, which is also what a crash looks like.
    WithConnection,
}

impl From<&HeaderMap> for ResponseEnd {
    fn from(headers: &HeaderMap) -> Self {
        let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
        let is_stated = match codings.next_back() {
            Some(value) => {
                let last = value.as_bytes().rsplit(|byte| *byte == b',').next();
                last.is_some_and(|coding| coding.trim_ascii().eq_ignore_ascii_case(b"chunked"))
            }
            None => headers.contains_key(CONTENT_LENGTH),
        };
        match is_stated {
            true => ResponseEnd::Stated,
            false => ResponseEnd::WithConnection,
        }
    }
}

/// How the receiving direction of a connection ended.
#[derive(Debug, Clone)]
enum ObservedEnd {
    UnwrittenRequest,
    /// The request was written. The socket stays open until the end is judged, if that takes time.
    Written(Option<Arc<TcpStream>>),
    Reset,
}

/// Another connection to the same address.
#[derive(Debug)]
struct Companion {
    socket: TcpStream,
    opened_at: Instant,
    /// Whether it leads to the process that sends the response.
    is_anchored: bool,
    /// Whether it was open while the response had not ended. A young one may lead to another process.
    is_seen: bool,
    /// When it was found closed though the response had not ended.
    closed_at: Option<Instant>,
    /// Whether the server has reset it, as it does for lack of room. The end of a process closes the
    /// connections that it has accepted in order.
    is_reset: bool,
    /// Whether it replaces an anchored one, and the process has not shown itself since.
    is_replacement: bool,
}

impl Companion {
    fn is_open(&mut self) -> bool {
        let peeked = peek(&self.socket);
        self.is_reset |= peeked == Peeked::Reset;
        peeked == Peeked::Quiet
    }

    fn is_kept(&self) -> bool {
        self.opened_at.elapsed() >= Duration::from_millis(MIN_COMPANION_AGE_MS)
    }
}

/// What the end of a connection tells about the response that it carried; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct EndWitness {
    observed: Arc<Mutex<Option<ObservedEnd>>>,
    companion: Arc<Mutex<Option<Companion>>>,
}

impl EndWitness {
    /// Keeps another connection to the same address until the response is judged. An earlier one is
    /// closed.
    pub fn accompany(&self, socket: tokio::net::TcpStream) -> io::Result<()> {
        let socket = socket.into_std()?;
        let mut companion = self.companion.lock();
        let had_anchor = |earlier: &mut Companion| {
            !earlier.is_reset && (earlier.is_anchored || earlier.is_replacement)
        };
        let is_replacement = companion.as_mut().is_some_and(had_anchor);
        *companion = Some(Companion {
            socket,
            opened_at: Instant::now(),
            is_anchored: false,
            is_seen: false,
            closed_at: None,
            is_reset: false,
            is_replacement,
        });
        Ok(())
    }

    /// Whether the companion is still open. Servers close connections that carry nothing for some time.
    pub fn is_accompanied(&self) -> bool {
        self.companion
            .lock()
            .as_mut()
            .is_some_and(Companion::is_open)
    }

    /// Closes the companion of a response that has been judged.
    pub fn dismiss_companion(&self) {
        *self.companion.lock() = None;
    }

    /// Checks the end of a response that ended with the connection. This takes [`RESET_WAIT_MS`] after
    /// a long request, and [`COMPANION_WAIT_MS`] with a companion.
    pub async fn check(&self) -> Result<EndProof> {
        self.check_connection().await?;
        match &*self.companion.lock() {
            Some(companion) if companion.is_seen => {}
            Some(companion) if companion.is_replacement => return Err(UnprovedEnd::ServerEnded),
            _ => return Ok(EndProof::None),
        }
        tokio::time::sleep(Duration::from_millis(COMPANION_WAIT_MS)).await;
        let mut slot = self.companion.lock();
        let Some(companion) = slot.as_mut() else {
            return Err(UnprovedEnd::ServerEnded);
        };
        let is_open = companion.is_open();
        match companion {
            Companion { is_reset: true, .. } => Ok(EndProof::None),
            Companion { is_seen: true, .. } if is_open => Ok(match companion.is_anchored {
                true => EndProof::LivedOn,
                false => EndProof::None,
            }),
            _ => Err(UnprovedEnd::ServerEnded),
        }
    }

    async fn check_connection(&self) -> Result<()> {
        let until = Instant::now() + Duration::from_millis(RESET_WAIT_MS);
        loop {
            let observed = self.observed.lock().clone();
            let socket = match observed {
                None | Some(ObservedEnd::Written(None)) => return Ok(()),
                Some(ObservedEnd::UnwrittenRequest) => return Err(UnprovedEnd::UnwrittenRequest),
                Some(ObservedEnd::Reset) => return Err(UnprovedEnd::Reset),
                Some(ObservedEnd::Written(Some(socket))) => socket,
            };
            if has_failed(socket.take_error()) {
                self.set(ObservedEnd::Reset);
                return Err(UnprovedEnd::Reset);
            }
            if Instant::now() >= until {
                self.set(ObservedEnd::Written(None));
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(RESET_CHECK_INTERVAL_MS)).await;
        }
    }

    fn set(&self, observed: ObservedEnd) {
        *self.observed.lock() = Some(observed);
    }

    /// Looks at the companion while the connection is open and has nothing to be read, so that the
    /// process that sends the response is there. A companion that is open leads to that process. The
    /// end of a process closes its connections one after the other, so one that is closed was closed by
    /// a process that lives on only if the response has not ended [`COMPANION_WAIT_MS`] later.
    fn anchor(&self, stream: &PacedStream) {
        let mut slot = self.companion.lock();
        let Some(companion) = slot.as_mut() else {
            return;
        };
        // The runtime may not have looked at the socket for a while.
        let socket = stream.tcp().as_fd().try_clone_to_owned();
        match socket.map(|socket| peek(&TcpStream::from(socket))) {
            Ok(Peeked::Quiet) => {}
            Ok(Peeked::Reset) => return self.set(ObservedEnd::Reset),
            _ => return,
        }
        if !companion.is_open() {
            let closed_at = *companion.closed_at.get_or_insert_with(Instant::now);
            if closed_at.elapsed() >= Duration::from_millis(COMPANION_WAIT_MS) {
                *slot = None;
            }
            return;
        }
        companion.is_replacement = false;
        companion.is_seen = true;
        companion.is_anchored |= companion.is_kept();
    }

    fn is_watching(&self) -> bool {
        matches!(*self.observed.lock(), Some(ObservedEnd::Written(Some(_))))
    }
}

/// What a socket that does not block has to be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Peeked {
    /// Nothing, and it is open.
    Quiet,
    /// Its reset, which is told only once.
    Reset,
    /// Data or its end.
    Other,
}

fn peek(socket: &TcpStream) -> Peeked {
    match socket.peek(&mut [0]) {
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Peeked::Quiet,
        Err(error) if error.kind() == io::ErrorKind::ConnectionReset => Peeked::Reset,
        _ => Peeked::Other,
    }
}

fn has_failed(error: io::Result<Option<io::Error>>) -> bool {
    !matches!(error, Ok(None))
}

/// A connection to a server that observes its own end. Each request has its body in one buffer, which
/// the HTTP library hands over together with the head; it flushes the connection once nothing of either
/// is left to write.
#[derive(Debug)]
pub struct WatchedStream {
    stream: PacedStream,
    witness: EndWitness,
    /// Whether the request has bytes that are not written yet.
    is_writing: bool,
    /// Bytes of the current request that have been written.
    request_bytes: usize,
    /// Whether something was received since the request began.
    has_received: bool,
}

impl From<PacedStream> for WatchedStream {
    fn from(stream: PacedStream) -> Self {
        WatchedStream {
            stream,
            witness: EndWitness::default(),
            is_writing: false,
            request_bytes: 0,
            has_received: false,
        }
    }
}

impl WatchedStream {
    /// What the end of this connection will tell.
    pub fn witness(&self) -> &EndWitness {
        &self.witness
    }

    /// The connection itself.
    pub(crate) fn get_ref(&self) -> &PacedStream {
        &self.stream
    }

    fn begin_write(&mut self) {
        if self.has_received && !self.is_writing {
            self.request_bytes = 0;
            self.has_received = false;
        }
        self.is_writing = true;
    }

    fn observe_end(&self) {
        // An error is told only once.
        if self.witness.observed.lock().is_some() {
            return;
        }
        let observed = if self.is_writing {
            ObservedEnd::UnwrittenRequest
        } else if has_failed(self.stream.tcp().take_error()) {
            ObservedEnd::Reset
        } else if self.request_bytes < LONG_REQUEST_BYTES {
            ObservedEnd::Written(None)
        } else {
            let socket = self.stream.tcp().as_fd().try_clone_to_owned();
            ObservedEnd::Written(socket.ok().map(|socket| Arc::new(TcpStream::from(socket))))
        };
        self.witness.set(observed);
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        match Pin::new(&mut self.stream).poll_read(context, buffer) {
            Poll::Pending => {
                self.witness.anchor(&self.stream);
                return Poll::Pending;
            }
            Poll::Ready(read) => read?,
        }
        if buffer.filled().len() > before {
            self.has_received = true;
        } else if buffer.remaining() > 0 {
            self.observe_end();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.begin_write();
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
        self.request_bytes += written;
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.begin_write();
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, parts))?;
        self.request_bytes += written;
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.is_writing = false;
        Poll::Ready(Ok(()))
    }

    /// Leaves a socket that is watched open: once both directions have ended, a reset is not seen.
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.witness.is_watching() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
