//! Receives messages from peers.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use foxtailhold::timeline::HlcTime;
use foxtailhold_http::connections::{ConnectionLimit, ConnectionState};
use foxtailhold_http::memory::MemoryBudget;
use h2::RecvStream;
use h2::server::SendResponse;
use http::{Request, Response, StatusCode};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};

use crate::codec;
use crate::error::{PeerError, Result};
use crate::message::{PeerAnswer, PeerRequest};
use crate::stamp;

/// Messages that one connection carries at the same time.
const MAX_STREAMS: u32 = 64;

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

    /// Starts to serve on a bound listener, with default limits.
    pub fn start<H: PeerHandler>(listener: TcpListener, address: SocketAddr, handler: H) -> Self {
        PeerServer::start_with_limits(listener, address, handler, ConnectionLimit::default())
    }

    /// Starts to serve on a bound listener.
    pub fn start_with_limits<H: PeerHandler>(
        listener: TcpListener,
        address: SocketAddr,
        handler: H,
        limit: ConnectionLimit,
    ) -> Self {
        let task = tokio::spawn(accept_loop(listener, handler, limit));
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

async fn accept_loop<H: PeerHandler>(listener: TcpListener, handler: H, limit: ConnectionLimit) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((stream, remote)) = listener.accept().await else {
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            continue;
        };
        let Some(slot) = limit.admit().await else {
            log::info!("peer connection from {remote} closed: all places carry messages");
            continue;
        };
        let (handler, memory) = (handler.clone(), limit.memory().clone());
        connections.spawn(async move {
            tokio::select! {
                ended = serve(stream, handler, slot.state(), &memory) => {
                    if let Err(error) = ended {
                        log::debug!("peer connection from {remote} ended: {error}");
                    }
                }
                () = slot.state().evicted() => {
                    log::info!("peer connection from {remote} closed: it made no progress");
                }
            }
        });
    }
}

async fn serve<H: PeerHandler>(
    stream: TcpStream,
    handler: H,
    state: &Arc<ConnectionState>,
    memory: &MemoryBudget,
) -> Result<()> {
    let _ = stream.set_nodelay(true);
    let mut builder = h2::server::Builder::new();
    builder.max_concurrent_streams(MAX_STREAMS);
    let mut connection = builder.handshake(stream).await?;
    while let Some(accepted) = connection.accept().await {
        let (request, respond) = accepted?;
        let (handler, memory) = (handler.clone(), memory.clone());
        let open_request = state.begin_request();
        tokio::spawn(async move {
            let _open_request = open_request;
            if let Err(error) = answer(request, respond, handler, &memory).await {
                log::info!("peer message not handled: {error}");
            }
        });
    }
    Ok(())
}

async fn answer<H: PeerHandler>(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    handler: H,
    memory: &MemoryBudget,
) -> Result<()> {
    let received = stamp::read(request.headers());
    let body = match codec::read_message(request.into_body(), memory).await {
        Ok(body) => body,
        Err(error @ PeerError::NoMemory(_)) => {
            let mut response = Response::new(());
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            respond.send_response(response, true)?;
            return Err(error);
        }
        Err(error) => return Err(error),
    };
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
    drop(body);
    let bytes = codec::encode(&handler.handle(message).await)?;
    stamp::write(response.headers_mut(), handler.stamp());
    respond
        .send_response(response, false)?
        .send_data(bytes, true)?;
    Ok(())
}
