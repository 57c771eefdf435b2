//! Stand-in for a backend server that streams events at a steady pace and may crash. Each start has a
//! new identity.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use foxtailhold_http::body::{self, AnswerBody, AnswerSender};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::Result;
use crate::record::Record;
use crate::store::Store;

/// Requests that run at once.
pub const SLOTS: usize = 8;
/// Requests that wait beside them before others are rejected.
const QUEUE: usize = 24;
/// Time from the request to the first event.
const FIRST_EVENT_MS: u64 = 70;
/// Time from a request that crashes the server to the crash, and from there to the next start.
const DEADLY_MS: u64 = 120;
const DEADLY_DOWN_MS: u64 = 3_000;
/// Time from a crash until the entry of that start has lapsed: three heartbeats.
const LAPSE_MS: u64 = 3_600;
/// Paths of a plain service, and its time for a request.
const STATUS_PATH: &str = "/status/";
const STATUS_MS: u64 = 15;
/// Limit of a request.
const MAX_REQUEST_BYTES: usize = 16 << 20;

/// What a backend server sends.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    /// Time between two events.
    pub event_ms: u64,
    /// Bytes of the data of one event.
    pub event_bytes: usize,
}

/// A request that runs.
#[derive(Debug, Clone)]
struct Run {
    item: String,
    begun: Instant,
}

#[derive(Debug, Default)]
struct State {
    starts: u64,
    /// Items that crash the server when they run.
    deadly: Vec<String>,
    down_ms: u64,
    runs: Vec<Run>,
}

/// A backend server; clones share its state.
#[derive(Debug, Clone)]
pub struct Replica {
    name: String,
    service: &'static str,
    version: &'static str,
    pace: Pace,
    store: Store,
    record: Record,
    state: Arc<Mutex<State>>,
    crash: Arc<Notify>,
}

/// Removes a run when it is dropped.
struct RunGuard(Replica, Run);

impl Drop for RunGuard {
    fn drop(&mut self) {
        let is_other = |run: &Run| run.item != self.1.item || run.begun != self.1.begun;
        self.0.state().runs.retain(is_other);
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default()
}

/// The data of an event of an item, as written by a service at a software version.
pub fn event_data(
    (service, version): (&str, &str),
    item: &str,
    event: u64,
    event_bytes: usize,
) -> String {
    let mut data = format!("event {event} of {item} by {service} {version} ");
    while data.len() < event_bytes {
        data.push('x');
    }
    data
}

/// The whole output of an item at a service and software version.
pub fn whole_text(author: (&str, &str), item: &str, events: u64, event_bytes: usize) -> String {
    let all = (1..=events).map(|event| event_data(author, item, event, event_bytes));
    all.collect::<Vec<_>>().join("\n")
}

impl Replica {
    /// Starts a backend server of `service` with software `version` and lists it in the store.
    pub async fn start(
        name: &str,
        (service, version): (&'static str, &'static str),
        pace: Pace,
        store: &Store,
        record: &Record,
    ) -> Result<Replica> {
        let replica = Replica {
            name: name.to_owned(),
            service,
            version,
            pace,
            store: store.clone(),
            record: record.clone(),
            state: Arc::default(),
            crash: Arc::default(),
        };
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        tokio::spawn(replica.clone().serve_across_crashes(listener, address));
        Ok(replica)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Identity of the current start.
    pub fn id(&self) -> String {
        format!("{}-{}", self.name, self.state().starts)
    }

    /// Number of requests that run now.
    pub fn running(&self) -> usize {
        self.state().runs.len()
    }

    /// How long an item has been running here; `None` if it does not.
    pub fn running_for(&self, item: &str) -> Option<Duration> {
        let state = self.state();
        let run = state.runs.iter().find(|run| run.item == item)?;
        Some(run.begun.elapsed())
    }

    /// Sets the items that crash the server when they run.
    pub fn set_deadly(&self, items: &[String]) {
        self.state().deadly = items.to_vec();
    }

    /// Ends all connections and starts again after `down_ms`.
    pub fn crash(&self, down_ms: u64) {
        let runs = {
            let mut state = self.state();
            state.down_ms = down_ms;
            std::mem::take(&mut state.runs)
        };
        let items: Vec<String> = runs.into_iter().map(|run| run.item).collect();
        self.record
            .line(format!("{} crashes under {}", self.id(), items.join(" ")));
        self.crash.notify_one();
    }

    fn list(&self, address: SocketAddr) {
        let entry = json!({
            "Service": self.service, "Address": address.to_string(), "Zone": "concord-hall",
            "Version": self.version, "Slots": SLOTS, "State": "ready", "ColdLeftMs": 0, "Seq": 1,
        });
        self.store.put("servers", &self.id(), &entry);
    }

    async fn serve_across_crashes(self, listener: TcpListener, address: SocketAddr) {
        let mut listener = Some(listener);
        loop {
            let Some(current) = listener.take() else {
                match TcpListener::bind(address).await {
                    Ok(next) => listener = Some(next),
                    Err(error) => {
                        self.record
                            .line(format!("{} cannot listen: {error}", self.name));
                        sleep(Duration::from_millis(50)).await;
                    }
                }
                continue;
            };
            self.state().starts += 1;
            self.list(address);
            let mut connections = JoinSet::new();
            tokio::select! {
                () = self.accept(&current, &mut connections) => {}
                () = self.crash.notified() => {}
            }
            drop(current);
            connections.shutdown().await;
            self.state().runs.clear();
            let (store, former) = (self.store.clone(), self.id());
            tokio::spawn(async move {
                sleep(Duration::from_millis(LAPSE_MS)).await;
                store.remove("servers", &former);
            });
            let down_ms = self.state().down_ms;
            sleep(Duration::from_millis(down_ms)).await;
        }
    }

    async fn accept(&self, listener: &TcpListener, connections: &mut JoinSet<()>) {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    self.record
                        .line(format!("{} cannot accept: {error}", self.name));
                    continue;
                }
            };
            if let Err(error) = stream.set_nodelay(true) {
                self.record.line(format!("{}: {error}", self.name));
            }
            let replica = self.clone();
            connections.spawn(async move {
                let service = service_fn(|request| {
                    let replica = replica.clone();
                    async move { Ok::<_, Infallible>(replica.respond(request).await) }
                });
                // A client may end its connection at any time.
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    }

    async fn crash_under(self, item: String) {
        sleep(Duration::from_millis(DEADLY_MS)).await;
        if self.running_for(&item).is_some() {
            self.crash(DEADLY_DOWN_MS);
        }
    }

    fn not_run(&self, status: StatusCode) -> Response<AnswerBody> {
        let mut response = body::empty(status);
        let headers = response.headers_mut();
        headers.insert("Not-Executed", HeaderValue::from_static("1"));
        response
    }

    async fn send_events(self, sender: AnswerSender, run: Run, (after, events): (u64, u64)) {
        let (id, item) = (self.id(), run.item.clone());
        let _guard = RunGuard(self.clone(), run);
        sleep(Duration::from_millis(FIRST_EVENT_MS)).await;
        for event in after + 1..=events {
            let author = (self.service, self.version);
            let data = event_data(author, &item, event, self.pace.event_bytes);
            let bytes = Bytes::from(format!("id: {event}\ndata: {data}\n\n"));
            if !sender.send(bytes).await {
                self.record
                    .line(format!("{id} ends its run of {item} before event {event}"));
                return;
            }
            sleep(Duration::from_millis(self.pace.event_ms)).await;
        }
        self.record
            .line(format!("{id} has run {item} to its end, event {events}"));
        sender.finish();
    }

    /// Answers a request of a plain service.
    async fn status(&self, request: &str, id: &str) -> Response<AnswerBody> {
        self.record.line(format!("{id} runs {request}"));
        sleep(Duration::from_millis(STATUS_MS)).await;
        let mut response = Response::new(body::whole(format!("status of {request}")));
        sign(response.headers_mut(), request, id);
        response
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let (head, incoming) = request.into_parts();
        let id = self.id();
        if let Err(error) = body::read_whole(incoming, MAX_REQUEST_BYTES).await {
            self.record
                .line(format!("{id} cannot read a request: {error}"));
            return body::empty(StatusCode::BAD_REQUEST);
        }
        if head.uri.path() == "/health" {
            return body::empty(StatusCode::OK);
        }
        let item = text(&head.headers, "attempt-id").to_owned();
        let expected = text(&head.headers, "expect-instance");
        if !expected.is_empty() && expected != id {
            return body::empty(StatusCode::MISDIRECTED_REQUEST);
        }
        if self.running() >= SLOTS + QUEUE {
            return self.not_run(StatusCode::SERVICE_UNAVAILABLE);
        }
        if head.uri.path().starts_with(STATUS_PATH) {
            return self.status(&item, &id).await;
        }
        let after = text(&head.headers, "last-event-id").parse().unwrap_or(0);
        let usage = text(&head.headers, "token-usage");
        let events = usage.split(',').nth(1).and_then(|count| count.parse().ok());
        let Some(events) = events.filter(|_| !item.is_empty()) else {
            return self.not_run(StatusCode::BAD_REQUEST);
        };
        self.record
            .line(format!("{id} runs {item} after event {after}"));
        let run = Run {
            item: item.clone(),
            begun: Instant::now(),
        };
        let is_deadly = {
            let mut state = self.state();
            state.runs.push(run.clone());
            state.deadly.contains(&item)
        };
        if is_deadly {
            tokio::spawn(self.clone().crash_under(item.clone()));
        }
        let (sender, stream) = body::streamed();
        tokio::spawn(self.clone().send_events(sender, run, (after, events)));
        let mut response = Response::new(stream);
        let headers = response.headers_mut();
        headers.insert(
            "Content-Type",
            HeaderValue::from_static("text/event-stream"),
        );
        sign(headers, &item, &id);
        response
    }
}

fn sign(headers: &mut HeaderMap, request: &str, id: &str) {
    for (name, value) in [("Attempt-Id", request), ("Response-Signature", id)] {
        if let Ok(value) = HeaderValue::try_from(value) {
            headers.insert(name, value);
        }
    }
}
