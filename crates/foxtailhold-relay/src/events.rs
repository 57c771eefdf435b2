//! Reads the events of a stream, complete and in order.

use std::time::Duration;

use foxtailhold_engine::sse::{EventSplitter, RawEvent};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;

use foxtailhold_http::response_end::EndProof;

use crate::connections::BusyConnection;
use crate::event_place::{OutOfPlace, OutputPosition, PlacedEvent};
use crate::upstream::ResponseEnd;

/// Result of reading from a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamRead {
    /// The next event.
    Event(PlacedEvent),
    /// Lines without an event, which keep the connection open.
    Comment(RawEvent),
    /// The stream is complete.
    End,
    /// The connection ended in the middle of the stream.
    Closed,
    /// An event is missing, repeated, without a number or too large, or there is none at all.
    Broken,
    /// Nothing was received before the time limit.
    Silent,
}

/// Reads the events of one response.
#[derive(Debug)]
pub struct EventReader {
    body: Incoming,
    end: ResponseEnd,
    /// What the end of the response has shown, if it came with that of the connection.
    proof: EndProof,
    connection: BusyConnection,
    splitter: EventSplitter,
    position: OutputPosition,
}

impl EventReader {
    /// Reads a response with a body that ends like `end`. It continues after the event `after`, or
    /// from the start.
    pub fn new(
        body: Incoming,
        end: ResponseEnd,
        connection: BusyConnection,
        after: Option<u64>,
    ) -> Self {
        EventReader {
            body,
            end,
            proof: EndProof::None,
            connection,
            splitter: EventSplitter::default(),
            position: OutputPosition::after(after),
        }
    }

    /// How the end of the response is told.
    pub fn end(&self) -> ResponseEnd {
        self.end
    }

    /// Whether the response is known to be whole once its end has been read.
    pub fn is_end_proved(&self) -> bool {
        self.end == ResponseEnd::Stated || self.proof == EndProof::LivedOn
    }

    /// Number of the last event; `None` if there is none.
    pub fn last_event(&self) -> Option<u64> {
        self.position.last()
    }

    /// Reads the next event that is no comment, for at most `timeout_ms` and not beyond `deadline`.
    /// A backend server that only sends comments is silent.
    pub async fn read_event(&mut self, timeout_ms: u64, deadline: Instant) -> StreamRead {
        let until = deadline.min(Instant::now() + Duration::from_millis(timeout_ms));
        self.read_event_until(until).await
    }

    /// Reads the next event that is no comment, until `until`.
    pub async fn read_event_until(&mut self, until: Instant) -> StreamRead {
        loop {
            match self.read_until(until).await {
                StreamRead::Comment(_) if Instant::now() < until => {
                    // Comments that come without a pause never let the task wait.
                    tokio::task::consume_budget().await;
                }
                StreamRead::Comment(_) => return StreamRead::Silent,
                read => return read,
            }
        }
    }

    /// Reads the next event or comment until `until`.
    pub async fn read_until(&mut self, until: Instant) -> StreamRead {
        loop {
            if let Some(event) = self.splitter.next_event() {
                return self.check_order(event);
            }
            if self.splitter.is_oversized() {
                return StreamRead::Broken;
            }
            let frame = match tokio::time::timeout_at(until, self.body.frame()).await {
                Err(_) => return StreamRead::Silent,
                Ok(None) if self.splitter.pending_bytes() > 0 => return StreamRead::Closed,
                Ok(None) => return self.check_end().await,
                Ok(Some(Err(error))) => {
                    log::debug!("connection of a stream failed: {error}");
                    return StreamRead::Closed;
                }
                Ok(Some(Ok(frame))) => frame,
            };
            if let Some(data) = frame.data_ref() {
                self.splitter.push(data);
            }
        }
    }

    async fn check_end(&mut self) -> StreamRead {
        if self.position.last().is_none() {
            log::warn!(backend = self.connection.backend().as_str(); "response without an event");
            return StreamRead::Broken;
        }
        if self.end == ResponseEnd::Stated {
            return StreamRead::End;
        }
        match self.connection.check_end().await {
            Ok(proof) => {
                self.proof = proof;
                StreamRead::End
            }
            Err(_) => StreamRead::Closed,
        }
    }

    fn check_order(&mut self, event: RawEvent) -> StreamRead {
        if is_comment(&event) {
            return StreamRead::Comment(event);
        }
        match self.position.place(event) {
            Ok(event) => StreamRead::Event(event),
            Err(OutOfPlace { due, found }) => {
                log::warn!(
                    backend = self.connection.backend().as_str(), due = due, event = found;
                    "event out of place in a response"
                );
                StreamRead::Broken
            }
        }
    }

    /// Returns the connection for reuse after the end of the stream.
    pub fn close(self) {
        self.connection.put_back();
    }
}

/// Whether there is nothing but comments and fields that make no event without data.
fn is_comment(event: &RawEvent) -> bool {
    let mut lines = event.raw.split(|byte| *byte == b'\n');
    lines.all(|line| {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let is_ignored = |name: &&[u8]| line.starts_with(name);
        line.is_empty() || [&b":"[..], b"event:", b"retry:"].iter().any(is_ignored)
    })
}

/// Appends the data of an event to `text`, separated by a line feed. An event without data adds an
/// empty line, so that a text has at least as many lines as events.
pub fn push_data(text: &mut Vec<u8>, event: &RawEvent, is_first: bool) {
    if !is_first {
        text.push(b'\n');
    }
    for (index, value) in event.fields("data").enumerate() {
        if index > 0 {
            text.push(b'\n');
        }
        text.extend_from_slice(value);
    }
}
