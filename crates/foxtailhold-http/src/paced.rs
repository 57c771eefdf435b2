//! Connections that are read in turns, so that a peer that sends without end does not keep its thread
//! from other connections.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf, Take};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};

use crate::connections::ConnectionState;

/// Largest head of a message, and largest buffer of a connection in each direction.
pub const MAX_BUFFER_BYTES: usize = 64 << 10;
/// Bytes that are read from a connection before other tasks get their turn. All new connections have
/// their first turn at once, so it is small.
const TURN_BYTES: u64 = 8 << 10;

/// Gives further turns to connections that have used up theirs, one at a time in the order in which
/// they ask. All other tasks run between two of them, however many connections ask.
#[derive(Debug, Clone)]
pub(crate) struct Turns {
    asking: mpsc::UnboundedSender<oneshot::Sender<()>>,
}

impl Turns {
    /// Starts to give turns, until the last connection has ended.
    pub(crate) fn start() -> Self {
        let (asking, mut asked) = mpsc::unbounded_channel::<oneshot::Sender<()>>();
        tokio::spawn(async move {
            while let Some(turn) = asked.recv().await {
                // A connection that has ended needs no turn.
                if turn.send(()).is_ok() {
                    tokio::task::yield_now().await;
                }
            }
        });
        Turns { asking }
    }

    fn ask(&self) -> oneshot::Receiver<()> {
        let (turn, next_turn) = oneshot::channel();
        // If nobody gives turns any more, the receiver ends at once.
        let _ = self.asking.send(turn);
        next_turn
    }
}

/// A TCP connection that is read in turns.
#[derive(Debug)]
pub struct PacedStream {
    /// Its limit is what is left of this turn.
    stream: Take<TcpStream>,
    /// Gives the next turn; `None` if it begins once all tasks that are ready have run.
    turns: Option<Turns>,
    /// The next turn, which has been asked for.
    next_turn: Option<oneshot::Receiver<()>>,
    /// What is known of the connection; `None` if it is not limited.
    state: Option<Arc<ConnectionState>>,
}

impl From<TcpStream> for PacedStream {
    fn from(stream: TcpStream) -> Self {
        PacedStream {
            stream: stream.take(TURN_BYTES),
            turns: None,
            next_turn: None,
            state: None,
        }
    }
}

impl PacedStream {
    /// A connection that takes turns with all others of `turns`, and records in `state` what it does.
    pub(crate) fn with_turns(stream: TcpStream, turns: Turns, state: Arc<ConnectionState>) -> Self {
        PacedStream {
            turns: Some(turns),
            state: Some(state),
            ..PacedStream::from(stream)
        }
    }

    /// Waits for the next turn.
    fn poll_turn(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let Some(turns) = &self.turns else {
            self.stream.set_limit(TURN_BYTES);
            context.waker().wake_by_ref();
            return Poll::Pending;
        };
        let next_turn = self.next_turn.get_or_insert_with(|| turns.ask());
        let polled = Pin::new(next_turn).poll(context);
        if let Some(state) = &self.state {
            state.set_waits_for_turn(polled.is_pending());
        }
        // An error means that nobody gives turns any more.
        let _ = ready!(polled);
        self.next_turn = None;
        self.stream.set_limit(TURN_BYTES);
        Poll::Ready(())
    }

    /// The connection without its turns.
    pub(crate) fn tcp(&self) -> &TcpStream {
        self.stream.get_ref()
    }

    fn socket(&mut self) -> Pin<&mut TcpStream> {
        Pin::new(self.stream.get_mut())
    }

    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        if let Some(state) = &self.state {
            state.writer().record(written.is_pending());
        }
    }
}

impl AsyncRead for PacedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.stream.limit() == 0 {
            ready!(self.poll_turn(context));
        }
        let filled_bytes = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if read.is_pending() {
            self.stream.set_limit(TURN_BYTES);
        }
        let count = buffer.filled().len() - filled_bytes;
        if let Some(state) = &self.state
            && !state.record_read(count)
        {
            return Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()));
        }
        read
    }
}

impl AsyncWrite for PacedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = self.socket().poll_write(context, bytes);
        self.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = self.socket().poll_write_vectored(context, parts);
        self.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.get_ref().is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.socket().poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.socket().poll_shutdown(context)
    }
}
