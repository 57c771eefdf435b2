//! Messages between instances: the client against faulty peers, and the server against malformed
//! messages.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use foxtailhold::contract_registry::ContractSyncData;
use foxtailhold::timeline::HlcTime;
use foxtailhold_peer::codec::{MAX_MESSAGE_BYTES, encode};
use foxtailhold_peer::{PeerAnswer, PeerClient, PeerError, PeerHandler, PeerRequest, PeerServer};
use h2::Reason;
use http::{Request, Response};
use test_case::test_case;
use tokio::net::{TcpListener, TcpStream};

const TIMEOUT_MS: u64 = 2_000;
const MESSAGE: PeerRequest = PeerRequest::ContractsAfter { number: 3 };

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    Closed,
    NotH2,
    Silent,
    ResetBefore,
    ResetAfter,
    BadBody,
    Status,
    Oversized,
}

#[derive(Clone)]
struct Peer {
    address: SocketAddr,
    fault: Arc<Mutex<Fault>>,
}

impl Peer {
    async fn start(fault: Fault) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let fault = Arc::new(Mutex::new(fault));
        let peer = Peer { address, fault };
        let serving = peer.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::spawn(serving.clone().serve(stream));
            }
        });
        peer
    }

    fn fault(&self) -> Fault {
        *self.fault.lock().unwrap()
    }

    async fn serve(self, mut stream: TcpStream) {
        stream.set_nodelay(true).unwrap();
        match self.fault() {
            Fault::Closed => return,
            Fault::NotH2 => {
                let _ = tokio::io::AsyncWriteExt::write_all(&mut stream, b"oops\r\n\r\n").await;
                return;
            }
            _ => {}
        }
        let mut connection = h2::server::handshake(stream).await.unwrap();
        while let Some(Ok((request, mut respond))) = connection.accept().await {
            let mut response = Response::new(());
            match self.fault() {
                Fault::ResetBefore => respond.send_reset(Reason::INTERNAL_ERROR),
                Fault::Silent => std::mem::forget((request, respond)),
                fault => {
                    if fault == Fault::Status {
                        *response.status_mut() = http::StatusCode::SERVICE_UNAVAILABLE;
                    }
                    let mut body = respond.send_response(response, false).unwrap();
                    match fault {
                        Fault::ResetAfter => {
                            body.send_data(Bytes::from_static(b"\0"), false).unwrap();
                            body.send_reset(Reason::INTERNAL_ERROR);
                        }
                        Fault::BadBody => {
                            body.send_data(Bytes::from_static(b"\xff\xff\xff"), true)
                                .unwrap();
                        }
                        Fault::Oversized => {
                            let bytes = vec![0; MAX_MESSAGE_BYTES + 1];
                            body.send_data(bytes.into(), true).unwrap();
                        }
                        _ => {
                            let answer = encode(&PeerAnswer::Done).unwrap();
                            body.send_data(answer, true).unwrap();
                        }
                    }
                }
            }
        }
    }
}

#[test_case(Fault::Closed, |e| matches!(e, PeerError::Protocol(_)); "connection closed")]
#[test_case(Fault::NotH2, |e| matches!(e, PeerError::Protocol(_)); "not h2")]
#[test_case(Fault::Silent, |e| matches!(e, PeerError::TimedOut { .. }); "silent")]
#[test_case(Fault::ResetBefore, |e| matches!(e, PeerError::Protocol(_)); "reset before the answer")]
#[test_case(Fault::ResetAfter, |e| matches!(e, PeerError::Protocol(_)); "reset within the answer")]
#[test_case(Fault::BadBody, |e| matches!(e, PeerError::Decode(_)); "malformed")]
#[test_case(Fault::Status, |e| matches!(e, PeerError::Status { status: 503 }); "status")]
#[test_case(Fault::Oversized, |e| matches!(e, PeerError::TooLarge { .. }); "oversized")]
#[tokio::test]
async fn faulty_peer_is_an_error_in_time_and_is_asked_anew(
    fault: Fault,
    expected: fn(&PeerError) -> bool,
) {
    let peer = Peer::start(fault).await;
    let client: PeerClient = PeerClient::default();
    let start = Instant::now();
    let error = client.call(peer.address, &MESSAGE, TIMEOUT_MS).await;
    let error = error.unwrap_err();
    assert!(expected(&error), "{error:?}");
    assert!(start.elapsed() < Duration::from_secs(20));
    *peer.fault.lock().unwrap() = Fault::None;
    let answer = client.call(peer.address, &MESSAGE, TIMEOUT_MS).await;
    assert!(matches!(answer, Ok(PeerAnswer::Done)), "{answer:?}");
}

#[tokio::test]
async fn peer_that_is_gone_got_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let client: PeerClient = PeerClient::default();
    let error = client
        .call(address, &MESSAGE, TIMEOUT_MS)
        .await
        .unwrap_err();
    assert!(matches!(error, PeerError::Connect { .. }), "{error:?}");
}

/// Answers every message with no changes and records the clock stamps it receives.
#[derive(Clone, Default)]
struct Handler {
    received: Arc<Mutex<Vec<HlcTime>>>,
}

impl PeerHandler for Handler {
    async fn handle(&self, _: PeerRequest) -> PeerAnswer {
        PeerAnswer::Contracts(ContractSyncData::Changes(Vec::new()))
    }

    fn receive(&self, at: HlcTime) {
        self.received.lock().unwrap().push(at);
    }
}

/// Sends one message with a clock stamp; returns the status, or `None` if the server reset the
/// stream.
async fn send(address: SocketAddr, body: Bytes, stamp: &str) -> Option<u16> {
    let stream = TcpStream::connect(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    let (sender, connection) = h2::client::handshake(stream).await.unwrap();
    tokio::spawn(connection);
    let request = Request::post("http://x/peer").header("foxtailhold-hlc", stamp);
    let mut sender = sender.ready().await.unwrap();
    let (response, mut stream) = sender
        .send_request(request.body(()).unwrap(), false)
        .unwrap();
    stream.send_data(body, true).unwrap();
    let response = tokio::time::timeout(Duration::from_secs(20), response);
    Some(response.await.unwrap().ok()?.status().as_u16())
}

#[test_case(Bytes::from_static(b""), Some(400); "empty")]
#[test_case(Bytes::from_static(b"\xff\xff\xff"), Some(400); "malformed")]
#[test_case(vec![0; MAX_MESSAGE_BYTES + 1].into(), None; "oversized")]
#[tokio::test]
async fn bad_message_is_refused_and_the_next_one_is_answered(body: Bytes, status: Option<u16>) {
    let handler = Handler::default();
    let any = "127.0.0.1:0".parse().unwrap();
    let (listener, address) = PeerServer::listen(any).await.unwrap();
    let server = PeerServer::start(listener, address, handler.clone());
    assert_eq!(send(address, body, "5.1").await, status);
    for (stamp, good) in [
        ("7.2", true),
        ("seven", false),
        ("7.", false),
        ("-1.0", false),
    ] {
        let before = handler.received.lock().unwrap().len();
        let body = encode(&MESSAGE).unwrap();
        assert_eq!(send(address, body, stamp).await, Some(200), "{stamp}");
        let received = handler.received.lock().unwrap().len() - before;
        assert_eq!(received, usize::from(good), "{stamp}");
    }
    let last = *handler.received.lock().unwrap().last().unwrap();
    assert_eq!(last.to_string(), "7.2");
    let client: PeerClient = PeerClient::default();
    let answer = client.call(address, &MESSAGE, TIMEOUT_MS).await;
    assert!(matches!(answer, Ok(PeerAnswer::Contracts(_))), "{answer:?}");
    server.close().await;
}
