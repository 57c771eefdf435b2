//! Connections that are read in turns, so that a peer that sends without end does not keep its thread
//! from other connections.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use http::Uri;
use hyper_util::client::legacy::connect::{Connected, Connection, HttpConnector};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf, Take};
use tokio::net::TcpStream;
use tower_service::Service;

/// Largest head of a message, and largest buffer of a connection in each direction.
pub const MAX_BUFFER_BYTES: usize = 64 << 10;
/// Bytes that are read from a connection before other tasks get their turn.
const TURN_BYTES: u64 = 16 << 10;

/// A TCP connection that is read in turns.
#[derive(Debug)]
pub struct PacedStream {
    /// Its limit is what is left of this turn.
    stream: Take<TcpStream>,
}

impl From<TcpStream> for PacedStream {
    fn from(stream: TcpStream) -> Self {
        PacedStream {
            stream: stream.take(TURN_BYTES),
        }
    }
}

impl PacedStream {
    fn socket(self: Pin<&mut Self>) -> Pin<&mut TcpStream> {
        Pin::new(self.get_mut().stream.get_mut())
    }
}

impl AsyncRead for PacedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.stream.limit() == 0 {
            self.stream.set_limit(TURN_BYTES);
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if read.is_pending() {
            self.stream.set_limit(TURN_BYTES);
        }
        read
    }
}

impl AsyncWrite for PacedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.socket().poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.socket().poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.get_ref().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.socket().poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.socket().poll_shutdown(context)
    }
}

impl Connection for PacedStream {
    fn connected(&self) -> Connected {
        self.stream.get_ref().connected()
    }
}

type Connecting = <HttpConnector as Service<Uri>>::Future;
type ConnectError = <HttpConnector as Service<Uri>>::Error;

/// Opens connections that are read in turns.
#[derive(Debug, Clone)]
pub(crate) struct PacedConnector(pub(crate) HttpConnector);

/// A connection that is being opened.
pub(crate) struct PacedConnecting(Connecting);

impl Future for PacedConnecting {
    type Output = Result<TokioIo<PacedStream>, ConnectError>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        let connected = ready!(Pin::new(&mut self.0).poll(context));
        Poll::Ready(connected.map(|io| TokioIo::new(PacedStream::from(io.into_inner()))))
    }
}

impl Service<Uri> for PacedConnector {
    type Response = TokioIo<PacedStream>;
    type Error = ConnectError;
    type Future = PacedConnecting;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), ConnectError>> {
        self.0.poll_ready(context)
    }

    fn call(&mut self, uri: Uri) -> PacedConnecting {
        PacedConnecting(self.0.call(uri))
    }
}
