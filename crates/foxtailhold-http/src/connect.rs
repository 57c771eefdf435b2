//! Connections of clients: read in turns, and observing their end.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use http::Uri;
use hyper_util::client::legacy::connect::{Connected, Connection, HttpConnector};
use hyper_util::rt::TokioIo;
use tower_service::Service;

use crate::paced::PacedStream;
use crate::response_end::WatchedStream;

/// The witness of its end is an extension of each response.
impl Connection for WatchedStream {
    fn connected(&self) -> Connected {
        let connected = self.get_ref().tcp().connected();
        connected.extra(self.witness().clone())
    }
}

type Connecting = <HttpConnector as Service<Uri>>::Future;
type ConnectError = <HttpConnector as Service<Uri>>::Error;

/// Opens connections that are read in turns and observe their end.
#[derive(Debug, Clone)]
pub(crate) struct WatchedConnector(pub(crate) HttpConnector);

/// A connection that is being opened.
pub(crate) struct WatchedConnecting(Connecting);

impl Future for WatchedConnecting {
    type Output = Result<TokioIo<WatchedStream>, ConnectError>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        let connected = ready!(Pin::new(&mut self.0).poll(context));
        Poll::Ready(connected.map(|io| {
            let stream = PacedStream::from(io.into_inner());
            TokioIo::new(WatchedStream::from(stream))
        }))
    }
}

impl Service<Uri> for WatchedConnector {
    type Response = TokioIo<WatchedStream>;
    type Error = ConnectError;
    type Future = WatchedConnecting;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), ConnectError>> {
        self.0.poll_ready(context)
    }

    fn call(&mut self, uri: Uri) -> WatchedConnecting {
        WatchedConnecting(self.0.call(uri))
    }
}
