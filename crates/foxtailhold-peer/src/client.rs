//! Sends messages to peers, over one HTTP/2 connection to each of them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use http::Request;
use parking_lot::Mutex;
use tokio::net::TcpStream;

use crate::codec;
use crate::error::{PeerError, Result};
use crate::message::{PeerAnswer, PeerRequest};
use crate::stamp::{self, MessageClock, NoClock};
use crate::traffic::Traffic;

/// HTTP path of all messages.
pub const MESSAGE_PATH: &str = "/peer";

/// Client for peers. Clones share its connections, one for each peer address.
#[derive(Debug, Clone)]
pub struct PeerClient<C = NoClock> {
    connections: Arc<Mutex<HashMap<SocketAddr, SendRequest<Bytes>>>>,
    clock: C,
    traffic: Arc<Traffic>,
}

impl Default for PeerClient<NoClock> {
    fn default() -> Self {
        PeerClient::new(NoClock)
    }
}

impl<C: MessageClock> PeerClient<C> {
    /// Creates a client that stamps its messages with readings of `clock`.
    pub fn new(clock: C) -> Self {
        PeerClient {
            connections: Arc::default(),
            clock,
            traffic: Arc::default(),
        }
    }

    /// Bytes of messages sent and answers received by this client and its clones.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Sends a message and waits for the answer, for at most `timeout_ms` including the connection.
    /// After an error the connection is dropped, so that the next message opens a new one.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
        timeout_ms: u64,
    ) -> Result<PeerAnswer> {
        let body = codec::encode(request)?;
        let wait = Duration::from_millis(timeout_ms);
        let answer = match tokio::time::timeout(wait, self.exchange(address, body)).await {
            Ok(answer) => answer,
            Err(_) => Err(PeerError::TimedOut {
                address,
                timeout_ms,
            }),
        };
        if answer.is_err() {
            self.drop_connection(address);
        }
        answer
    }

    async fn exchange(&self, address: SocketAddr, body: Bytes) -> Result<PeerAnswer> {
        let connection = self.connection(address).await?;
        let mut ready = connection.ready().await?;
        let mut request = Request::post(format!("http://{address}{MESSAGE_PATH}"))
            .body(())
            .map_err(|_| PeerError::WrongAnswer)?;
        stamp::write(request.headers_mut(), self.clock.stamp());
        let (response, mut stream) = ready.send_request(request, false)?;
        self.traffic.sent(body.len());
        stream.send_data(body, true)?;
        let response = response.await?;
        if let Some(at) = stamp::read(response.headers()) {
            self.clock.receive(at);
        }
        let status = response.status();
        if !status.is_success() {
            return Err(PeerError::Status {
                status: status.as_u16(),
            });
        }
        let body = codec::read_body(response.into_body()).await?;
        self.traffic.received(body.len());
        codec::decode(&body)
    }

    async fn connection(&self, address: SocketAddr) -> Result<SendRequest<Bytes>> {
        if let Some(sender) = self.connections.lock().get(&address) {
            return Ok(sender.clone());
        }
        let connect = |source| PeerError::Connect { address, source };
        let stream = TcpStream::connect(address).await.map_err(connect)?;
        stream.set_nodelay(true).map_err(connect)?;
        let (sender, connection) = h2::client::handshake(stream).await?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to peer {address} ended: {error}");
            }
        });
        self.connections.lock().insert(address, sender.clone());
        Ok(sender)
    }

    fn drop_connection(&self, address: SocketAddr) {
        self.connections.lock().remove(&address);
    }
}
