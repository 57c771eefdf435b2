//! Receives messages from peers.

use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use foxtailhold::timeline::HlcTime;
use h2::RecvStream;
use h2::server::SendResponse;
use http::{Request, Response, StatusCode};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};

use crate::codec;
use crate::error::{PeerError, Result};
use crate::message::{PeerAnswer, PeerRequest};
use crate::stamp;

/// Handles the messages of peers.
pub trait PeerHandler: Clone + Send + Sync + 'static {
    /// Handles one message and returns the answer.
    fn handle(&self, request: PeerRequest) -> impl Future<Output = PeerAnswer> + Send;

    /// Clock reading to send with an answer; `None` sends none.
    fn stamp(&self) -> Option<HlcTime> {
        None
    }

    /// Receives the clock reading that came with a message, before the message is handled.
    fn receive(&self, _at: HlcTime) {}
}

/// A server for peers.
#[derive(Debug)]
pub struct PeerServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl PeerServer {
    /// Binds the address on which peers connect; returns the listener and the bound address.
    pub async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr)> {
        let bind_error = |source| PeerError::Bind { address, source };
        let listener = TcpListener::bind(address).await.map_err(bind_error)?;
        let local = listener.local_addr().map_err(bind_error)?;
        Ok((listener, local))
    }

    /// Starts to serve on a bound listener.
    pub fn start<H: PeerHandler>(listener: TcpListener, address: SocketAddr, handler: H) -> Self {
        let task = tokio::spawn(accept_loop(listener, handler));
        PeerServer { address, task }
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops at once; messages in flight are dropped.
    pub async fn close(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

async fn accept_loop<H: PeerHandler>(listener: TcpListener, handler: H) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((stream, remote)) = listener.accept().await else {
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            continue;
        };
        let handler = handler.clone();
        connections.spawn(async move {
            if let Err(error) = serve(stream, handler).await {
                log::debug!("peer connection from {remote} ended: {error}");
            }
        });
    }
}

async fn serve<H: PeerHandler>(stream: TcpStream, handler: H) -> Result<()> {
    let _ = stream.set_nodelay(true);
    let mut connection = h2::server::handshake(stream).await?;
    while let Some(accepted) = connection.accept().await {
        let (request, respond) = accepted?;
        let handler = handler.clone();
        tokio::spawn(async move {
            if let Err(error) = answer(request, respond, handler).await {
                log::debug!("peer message not handled: {error}");
            }
        });
    }
    Ok(())
}

async fn answer<H: PeerHandler>(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    handler: H,
) -> Result<()> {
    let received = stamp::read(request.headers());
    let body = codec::read_body(request.into_body()).await?;
    if let Some(at) = received {
        handler.receive(at);
    }
    let mut response = Response::new(());
    let message: PeerRequest = match codec::decode(&body) {
        Ok(message) => message,
        Err(error) => {
            *response.status_mut() = StatusCode::BAD_REQUEST;
            respond.send_response(response, true)?;
            return Err(error);
        }
    };
    let bytes = codec::encode(&handler.handle(message).await)?;
    stamp::write(response.headers_mut(), handler.stamp());
    respond
        .send_response(response, false)?
        .send_data(bytes, true)?;
    Ok(())
}
