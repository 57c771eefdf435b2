//! Replicas of one service: whole answers under `/p/`, streams under `/s/` and `/o/`.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::http::{Message, read_message, response};
use crate::record::{Record, random};
use crate::store::Store;

/// Tokens of one event, and bytes of its data.
const EVENT_TOKENS: u64 = 5;
const EVENT_BYTES: usize = 330;
/// Time of one event: 3.27 ms for each of its tokens.
pub const EVENT_TIME: Duration = Duration::from_micros(16_350);
pub const FIRST_EVENT_TIME: Duration = Duration::from_millis(60);
const PLAIN_MS: u64 = 15;
/// Tokens in the memory of a replica.
const KV_CAPACITY: u64 = 110_792;
pub const HEARTBEAT: Duration = Duration::from_millis(1200);
const ZONES: [&str; 3] = ["concord-hall", "nashua-hall", "keene-hall"];

/// The operator's configuration: one engine, one plain service, a route of each kind.
pub fn config_json(version: u64) -> String {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, rest: &str| {
        format!(
            "{{\"Name\":\"{name}\",\"Hostname\":\"a.example\",\"PathPrefix\":\"{prefix}\",\"Kind\":\"{kind}\",\
             \"Service\":\"{service}\",{rest}}}"
        )
    };
    let routes = [
        route(
            "r-stream",
            "/s/",
            "stream",
            "llm",
            "\"TimeoutMs\":5000,\"GoalMs\":300,\"Priority\":0,\"MaxAttempts\":2,\"Sticky\":true,\"Resumable\":true,\"GapTargetMs\":200",
        ),
        route(
            "r-once",
            "/o/",
            "stream",
            "llm",
            "\"TimeoutMs\":5000,\"GoalMs\":300,\"Priority\":0,\"MaxAttempts\":1,\"Sticky\":true,\"Resumable\":false,\"GapTargetMs\":200",
        ),
        route(
            "r-batch",
            "/b/",
            "batch",
            "llm",
            "\"TimeoutMs\":15000,\"GoalMs\":400,\"Priority\":2,\"MaxAttempts\":3,\"DeadlineMs\":18000,\"RetentionS\":60,\"MaxCount\":2200000",
        ),
        route(
            "r-plain",
            "/p/",
            "safe",
            "app",
            "\"TimeoutMs\":1000,\"GoalMs\":100,\"Priority\":2,\"MaxAttempts\":2",
        ),
    ];
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[\
         {{\"Name\":\"llm\",\"HealthPath\":\"/health\",\"MaxConns\":370,\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{{\"Slots\":8}}}},\
         {{\"Name\":\"app\",\"HealthPath\":\"/health\",\"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}

/// Replicas that hand out wrong bytes for some time (`garble`, `extra late`): where the next answer is
/// expected, a second copy of an answer comes first.
pub struct Garble {
    /// Number of the replicas that do.
    pub replicas: usize,
    /// One answer in this many.
    pub one_in: u64,
    pub is_on: AtomicBool,
}

/// Replicas that serve until this is dropped.
pub struct Replicas {
    is_stopped: Arc<AtomicBool>,
}

impl Replicas {
    /// Starts `count` replicas of a service, which register themselves in the store.
    pub fn start(
        store: &Store,
        record: &Record,
        service: &'static str,
        count: usize,
        slots: usize,
        garble: &Arc<Garble>,
    ) -> Replicas {
        let is_stopped = Arc::new(AtomicBool::new(false));
        for number in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
            let address = listener.local_addr().expect("the listener has an address");
            let id = format!("i-{service}{number}");
            beat(
                store.clone(),
                id.clone(),
                service,
                address,
                ZONES[number % 3],
                slots,
                Arc::clone(&is_stopped),
            );
            let record = record.clone();
            let garble = (number < garble.replicas).then(|| Arc::clone(garble));
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let (id, record, garble) = (id.clone(), record.clone(), garble.clone());
                    // The connection has failed: its caller sees it too.
                    thread::spawn(move || serve(stream, &id, &record, garble.as_deref()).is_ok());
                }
            });
        }
        Replicas { is_stopped }
    }
}

impl Drop for Replicas {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::SeqCst);
    }
}

fn beat(
    store: Store,
    id: String,
    service: &'static str,
    address: SocketAddr,
    zone: &'static str,
    slots: usize,
    is_stopped: Arc<AtomicBool>,
) {
    thread::spawn(move || {
        let mut seq = 0;
        while !is_stopped.load(Ordering::SeqCst) {
            seq += 1;
            let entry = format!(
                "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\
                 \"Slots\":{slots},\"State\":\"ready\",\"ColdLeftMs\":0,\"Seq\":{seq}}}"
            );
            store.put("servers", &id, Some(&entry));
            thread::sleep(HEARTBEAT);
        }
    });
}

/// Whether a request is larger than the memory of a replica.
fn is_too_large(request: &Message) -> bool {
    let usage = request.header("token-usage").unwrap_or("").split(',');
    usage
        .filter_map(|text| text.parse::<u64>().ok())
        .sum::<u64>()
        > KV_CAPACITY
}

fn serve(
    stream: TcpStream,
    id: &str,
    record: &Record,
    garble: Option<&Garble>,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    let mut extra: Option<Vec<u8>> = None;
    while let Some(request) = read_message(&mut reader)? {
        let attempt = request.header("attempt-id").unwrap_or("").to_owned();
        if let Some(extra) = extra.take() {
            record.line(&format!(
                "replica: {id} sends an extra answer before that to {attempt}"
            ));
            writer.write_all(&extra)?;
        }
        let expected = request.header("expect-instance");
        let signature = format!("sig.{id}.{attempt}");
        let signed = [
            ("Attempt-Id", attempt.as_str()),
            ("Response-Signature", &signature),
        ];
        let answer = if expected.is_some_and(|expected| expected != id) {
            response("421 Misdirected Request", &[("Instance-Id", id)], b"")
        } else if is_too_large(&request) {
            record.line(&format!("replica: {id} refuses {attempt}"));
            response("503 Service Unavailable", &[("Not-Executed", "1")], b"")
        } else {
            record.line(&format!(
                "replica: {id} runs {attempt} {}",
                request.target()
            ));
            response("200 OK", &signed, &request.body)
        };
        let is_run = answer.starts_with(b"HTTP/1.1 200");
        if is_run && !request.target().starts_with("/p/") {
            stream_events(&mut writer, id, &request)?;
            record.line(&format!("replica: {id} has finished {attempt}"));
        } else {
            thread::sleep(Duration::from_millis(if is_run { PLAIN_MS } else { 0 }));
            writer.write_all(&answer)?;
        }
        let is_garbled = garble.is_some_and(|garble| {
            garble.is_on.load(Ordering::SeqCst) && random() % garble.one_in == 0
        });
        extra = is_garbled.then_some(answer);
    }
    Ok(())
}

impl Garble {
    /// None of the replicas.
    pub fn none() -> Arc<Garble> {
        Garble::of(0, 1)
    }

    /// `replicas` of them, one answer in `one_in`, once it is on.
    pub fn of(replicas: usize, one_in: u64) -> Arc<Garble> {
        let is_on = AtomicBool::new(false);
        Arc::new(Garble {
            replicas,
            one_in,
            is_on,
        })
    }
}

/// Number of events that a request asks for, by its largest number of output tokens.
pub fn event_count(token_usage: &str) -> u64 {
    let tokens: u64 = token_usage
        .rsplit(',')
        .next()
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    tokens / EVENT_TOKENS
}

/// Data of one event: the same in every run.
pub fn event_data(attempt: &str, event: u64) -> String {
    format!("{:-<EVENT_BYTES$}", format!("{attempt}-{event}"))
}

fn stream_events(writer: &mut TcpStream, id: &str, request: &Message) -> std::io::Result<()> {
    let attempt = request.header("attempt-id").unwrap_or("");
    let after: u64 = request
        .header("last-event-id")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    thread::sleep(FIRST_EVENT_TIME);
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: {attempt}\r\n\
         Response-Signature: sig.{id}.{attempt}\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    writer.write_all(head.as_bytes())?;
    for event in after + 1..=event_count(request.header("token-usage").unwrap_or("")) {
        let text = format!("id: {event}\ndata: {}\n\n", event_data(attempt, event));
        writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        thread::sleep(EVENT_TIME);
    }
    writer.write_all(b"0\r\n\r\n")
}
