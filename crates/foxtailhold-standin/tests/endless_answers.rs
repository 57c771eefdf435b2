//! Engines and plain services in trouble that send bytes without end. The clients of the OpenAI form
//! give up in time and within the memory of an instance.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use foxtailhold::ids::RequestId;
use foxtailhold_engine::client::{EngineAnswer, EngineClient, EngineRequest};
use foxtailhold_http::client::Reuse;
use foxtailhold_service::{ServiceCall, ServiceClient};
use http::{HeaderMap, Method};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Target for the memory of an instance (docs/CAPACITY.md).
const INSTANCE_MEMORY_MB: u64 = 128;
const CALLS: usize = 24;
const TIMEOUT_MS: u64 = 1_500;
/// The first bytes of an answer and the piece that follows without end.
const ANSWERS: [(&str, &str); 5] = [
    ("HTTP/1.1 200 OK\r\nX-Long: ", "xxxxxxxxxxxxxxxx"),
    ("HTTP/1.1 200 OK\r\n", "X-Header: value\r\n"),
    ("", "no HTTP at all\r\n"),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "10\r\nxxxxxxxxxxxxxxxx\r\n",
    ),
    ("HTTP/1.1 200 OK\r\n\r\n", "xxxxxxxxxxxxxxxx"),
];

async fn answer_endlessly(mut stream: TcpStream, head: &str, piece: &str) {
    let mut request = [0; 4 << 10];
    let pieces = piece.repeat(1_000);
    if stream.read(&mut request).await.is_err() || stream.write_all(head.as_bytes()).await.is_err()
    {
        return;
    }
    while stream.write_all(pieces.as_bytes()).await.is_ok() {}
}

async fn start_server(head: &'static str, piece: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(answer_endlessly(stream, head, piece));
        }
    });
    address
}

fn peak_memory_mb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = peak.unwrap().trim().trim_end_matches(" kB");
    kilobytes.parse::<u64>().unwrap() / 1_024
}

/// Returns whether the engine's answer or stream fails.
async fn engine_fails(client: EngineClient, address: SocketAddr, streamed: bool) -> bool {
    let id = RequestId::try_from("request").unwrap();
    let request = EngineRequest {
        id: &id,
        path: "/v1/completions",
        body: &Bytes::from_static(b"{}"),
        streamed,
        resume: None,
        timeout_ms: TIMEOUT_MS,
        not_after: None,
    };
    match client.send(address, &request).await {
        Ok(EngineAnswer::Stream(mut stream)) => {
            let next = tokio::time::timeout(Duration::from_millis(TIMEOUT_MS), stream.next());
            !matches!(next.await, Ok(Ok(Some(_))))
        }
        Ok(EngineAnswer::Whole(_)) => false,
        Err(_) => true,
    }
}

async fn service_fails(client: ServiceClient, address: SocketAddr) -> bool {
    let call = ServiceCall {
        method: Method::GET,
        path_and_query: "/".into(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        timeout_ms: TIMEOUT_MS,
    };
    client.call(address, &call, Reuse::Pooled).await.is_err()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_answers_end_in_time_and_within_the_memory_of_an_instance() {
    for (head, piece) in ANSWERS {
        let address = start_server(head, piece).await;
        let (engines, services) = (EngineClient::default(), ServiceClient::default());
        let mut calls = Vec::new();
        for number in 0..CALLS {
            let engine = engine_fails(engines.clone(), address, number % 2 == 0);
            calls.push(tokio::spawn(engine));
            calls.push(tokio::spawn(service_fails(services.clone(), address)));
        }
        let load = tokio::join!(engines.load(address), services.load(address));
        assert!(load.0.is_err() && load.1.is_err());
        let ended = async {
            for call in calls {
                assert!(call.await.unwrap(), "an answer without end was accepted");
            }
        };
        let limit = Duration::from_millis(2 * TIMEOUT_MS + 1_000);
        tokio::time::timeout(limit, ended).await.unwrap();
        println!("{head:.20?}: peak memory {} MB", peak_memory_mb());
    }
    assert!(peak_memory_mb() <= INSTANCE_MEMORY_MB);
}
