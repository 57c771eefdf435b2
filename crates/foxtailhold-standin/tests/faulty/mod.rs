//! An HTTP server that answers with a selected fault.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Longer than any client waits.
const SILENCE: Duration = Duration::from_secs(60);

/// The fault that the server shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Answers correctly.
    None,
    /// No socket listens on the address.
    Refused,
    /// The connection is closed before the request was read.
    ResetBefore,
    /// The request takes effect, and the connection is closed without an answer.
    AnswerLost,
    /// The connection is closed within the body of the answer.
    ResetAfter,
    /// No byte of an answer is sent.
    SlowHead,
    /// The body of the answer stalls.
    SlowBody,
    /// The answer is not HTTP.
    NotHttp,
    /// The body of the answer cannot be decoded.
    BadBody,
    /// The answer has this status.
    Status(u16),
    /// The body of the answer is larger than this many MiB.
    OversizedMib(usize),
}

/// The server.
#[derive(Clone)]
pub struct FaultyServer {
    pub address: SocketAddr,
    fault: Arc<Mutex<Fault>>,
    effects: Arc<AtomicUsize>,
}

impl FaultyServer {
    /// Starts a server whose correct answer is `body`.
    pub async fn start(fault: Fault, body: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let faulty = FaultyServer {
            address: listener.local_addr().unwrap(),
            fault: Arc::new(Mutex::new(fault)),
            effects: Arc::default(),
        };
        if fault != Fault::Refused {
            tokio::spawn(faulty.clone().accept(listener, body));
        }
        faulty
    }

    /// Changes the fault of all later requests.
    pub fn set(&self, fault: Fault) {
        *self.fault.lock().unwrap() = fault;
    }

    /// Number of requests that were read completely.
    pub fn effects(&self) -> usize {
        self.effects.load(Ordering::SeqCst)
    }

    async fn accept(self, listener: TcpListener, body: &'static str) {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(self.clone().serve(stream, body));
        }
    }

    async fn serve(self, mut stream: TcpStream, body: &'static str) {
        loop {
            if *self.fault.lock().unwrap() == Fault::ResetBefore {
                let _ = stream.read_u8().await;
                return;
            }
            if !read_request(&mut stream).await {
                return;
            }
            self.effects.fetch_add(1, Ordering::SeqCst);
            let fault = *self.fault.lock().unwrap();
            if !answer(&mut stream, fault, body).await {
                return;
            }
        }
    }
}

async fn read_request(stream: &mut TcpStream) -> bool {
    let mut seen = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&seen).to_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.split("content-length: ").nth(1);
            let length = length.and_then(|rest| rest.lines().next());
            let length: usize = length.map_or(0, |text| text.parse().unwrap());
            if body.len() >= length {
                return true;
            }
        }
        let mut part = [0; 4_096];
        match stream.read(&mut part).await {
            Ok(count) if count > 0 => seen.extend_from_slice(&part[..count]),
            _ => return false,
        }
    }
}

fn head(status: u16, length: usize) -> String {
    format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n\r\n")
}

/// Sends an answer; returns whether the connection stays open.
async fn answer(stream: &mut TcpStream, fault: Fault, body: &str) -> bool {
    let text = match fault {
        Fault::None => head(200, body.len()) + body,
        Fault::Status(status) => head(status, 2) + "{}",
        Fault::BadBody => head(200, 4) + "oops",
        Fault::NotHttp => "oops\r\n\r\n".into(),
        Fault::ResetAfter | Fault::SlowBody => head(200, 1_000) + "{",
        Fault::OversizedMib(mib) => head(200, (mib + 1) << 20),
        Fault::SlowHead => {
            tokio::time::sleep(SILENCE).await;
            return false;
        }
        Fault::AnswerLost | Fault::Refused | Fault::ResetBefore => return false,
    };
    if stream.write_all(text.as_bytes()).await.is_err() {
        return false;
    }
    match fault {
        Fault::SlowBody => {
            tokio::time::sleep(SILENCE).await;
            false
        }
        Fault::OversizedMib(mib) => {
            let part = vec![b' '; 1 << 20];
            for _ in 0..=mib {
                if stream.write_all(&part).await.is_err() {
                    break;
                }
            }
            false
        }
        Fault::ResetAfter | Fault::NotHttp => false,
        _ => true,
    }
}
