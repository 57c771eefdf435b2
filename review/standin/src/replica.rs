//! Stand-in for a backend server that streams events at a steady pace.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use foxtailhold_http::body::{self, AnswerBody, AnswerSender};
use foxtailhold_http::server::{Handler, Server};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::json;

use crate::Result;
use crate::record::Record;
use crate::store::Store;

/// Requests that run at once.
pub const SLOTS: usize = 8;
/// Requests that wait beside them before others are rejected.
const QUEUE: usize = 24;
/// Time from the request to the first event.
const FIRST_EVENT_MS: u64 = 70;

/// What a backend server sends.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    /// Time between two events.
    pub event_ms: u64,
    /// Bytes of the data of one event.
    pub event_bytes: usize,
}

/// A backend server; clones share its state.
#[derive(Debug, Clone)]
pub struct Replica {
    /// Identity in the platform's list.
    pub id: String,
    pace: Pace,
    record: Record,
    running: Arc<AtomicUsize>,
}

/// A request that runs; dropping it frees its place.
struct Running(Arc<AtomicUsize>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default()
}

/// The data of an event of an item.
pub fn event_data(item: &str, event: u64, event_bytes: usize) -> String {
    let mut data = format!("event {event} of {item} ");
    while data.len() < event_bytes {
        data.push('x');
    }
    data
}

/// The whole output of an item.
pub fn whole_text(item: &str, events: u64, event_bytes: usize) -> String {
    let all = (1..=events).map(|event| event_data(item, event, event_bytes));
    all.collect::<Vec<_>>().join("\n")
}

impl Replica {
    /// Starts a backend server of `service` and lists it in the store.
    pub async fn start(
        id: &str,
        service: &str,
        pace: Pace,
        store: &Store,
        record: &Record,
    ) -> Result<(Replica, Server)> {
        let replica = Replica {
            id: id.to_owned(),
            pace,
            record: record.clone(),
            running: Arc::default(),
        };
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::bind(any_port, replica.clone()).await?;
        let entry = json!({
            "Service": service, "Address": server.address().to_string(), "Zone": "concord-hall",
            "Version": "v1", "Slots": SLOTS, "State": "ready", "ColdLeftMs": 0, "Seq": 1,
        });
        store.put("servers", id, &entry);
        Ok((replica, server))
    }

    /// Number of requests that run now.
    pub fn running(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }

    fn not_run(&self, status: StatusCode) -> Response<AnswerBody> {
        let mut response = body::empty(status);
        let headers = response.headers_mut();
        headers.insert("Not-Executed", HeaderValue::from_static("1"));
        response
    }

    async fn send_events(
        self,
        sender: AnswerSender,
        item: String,
        (after, events): (u64, u64),
        running: Running,
    ) {
        tokio::time::sleep(Duration::from_millis(FIRST_EVENT_MS)).await;
        for event in after + 1..=events {
            let data = event_data(&item, event, self.pace.event_bytes);
            let bytes = Bytes::from(format!("id: {event}\ndata: {data}\n\n"));
            if !sender.send(bytes).await {
                self.record.line(format!(
                    "{} stops {item} before event {event}: connection closed",
                    self.id
                ));
                return;
            }
            tokio::time::sleep(Duration::from_millis(self.pace.event_ms)).await;
        }
        drop(running);
        self.record.line(format!(
            "{} has run {item} to its end, event {events}",
            self.id
        ));
        sender.finish();
    }
}

impl Handler for Replica {
    async fn handle(&self, _: SocketAddr, request: Request<Incoming>) -> Response<AnswerBody> {
        let (head, incoming) = request.into_parts();
        if let Err(error) = body::read_whole(incoming, 16 << 20).await {
            self.record
                .line(format!("{} cannot read a request: {error}", self.id));
            return body::empty(StatusCode::BAD_REQUEST);
        }
        if head.uri.path() == "/health" {
            return body::empty(StatusCode::OK);
        }
        let item = text(&head.headers, "attempt-id").to_owned();
        let expected = text(&head.headers, "expect-instance");
        if !expected.is_empty() && expected != self.id {
            return body::empty(StatusCode::MISDIRECTED_REQUEST);
        }
        if self.running() >= SLOTS + QUEUE {
            return self.not_run(StatusCode::SERVICE_UNAVAILABLE);
        }
        let after = text(&head.headers, "last-event-id").parse().unwrap_or(0);
        let usage = text(&head.headers, "token-usage");
        let events = usage.split(',').nth(1).and_then(|count| count.parse().ok());
        let Some(events) = events.filter(|_| !item.is_empty()) else {
            return self.not_run(StatusCode::BAD_REQUEST);
        };
        self.record
            .line(format!("{} runs {item} after event {after}", self.id));
        self.running.fetch_add(1, Ordering::Relaxed);
        let running = Running(Arc::clone(&self.running));
        let (sender, stream) = body::streamed();
        let run = self
            .clone()
            .send_events(sender, item.clone(), (after, events), running);
        tokio::spawn(run);
        let mut response = Response::new(stream);
        let headers = response.headers_mut();
        headers.insert(
            "Content-Type",
            HeaderValue::from_static("text/event-stream"),
        );
        for (name, value) in [("Attempt-Id", &item), ("Response-Signature", &self.id)] {
            if let Ok(value) = HeaderValue::try_from(value) {
                headers.insert(name, value);
            }
        }
        response
    }
}
