//! Reads the events of a stream, complete and in order.

use std::time::Duration;

use foxtailhold_engine::sse::{EventSplitter, RawEvent};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;

use foxtailhold_http::response_end::EndProof;

use crate::connections::BusyConnection;
use crate::upstream::ResponseEnd;

/// Result of reading from a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamRead {
    /// A complete event.
    Event(RawEvent),
    /// The stream is complete.
    End,
    /// The connection ended in the middle of the stream.
    Closed,
    /// An event is missing, repeated or too large.
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
    last_id: Option<u64>,
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
            last_id: after,
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

    /// Identifier of the last event; `None` if there is none.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Reads the next event that is no comment, for at most `timeout_ms` and not beyond `deadline`.
    /// A backend server that only sends comments is silent.
    pub async fn read_event(&mut self, timeout_ms: u64, deadline: Instant) -> StreamRead {
        let until = deadline.min(Instant::now() + Duration::from_millis(timeout_ms));
        loop {
            match self.read_until(until).await {
                StreamRead::Event(event) if !is_comment(&event) => return StreamRead::Event(event),
                StreamRead::Event(_) if Instant::now() < until => continue,
                StreamRead::Event(_) => return StreamRead::Silent,
                read => return read,
            }
        }
    }

    /// Reads the next event until `until`.
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
        let due = self.last_id.map_or(1, |last| last + 1);
        let id = event_id(&event);
        if id != Some(due) && !is_comment(&event) {
            log::warn!(
                backend = self.connection.backend().as_str(), due = due, event = id;
                "event out of place in a response"
            );
        }
        let Some(id) = id else {
            return StreamRead::Event(event);
        };
        if self.last_id.is_some_and(|last| id != last + 1) {
            return StreamRead::Broken;
        }
        self.last_id = Some(id);
        StreamRead::Event(event)
    }

    /// Returns the connection for reuse after the end of the stream.
    pub fn close(self) {
        self.connection.put_back();
    }
}

fn is_comment(event: &RawEvent) -> bool {
    event.field("id").is_none() && event.field("data").is_none()
}

/// Numeric identifier of an event; `None` if it has none.
pub fn event_id(event: &RawEvent) -> Option<u64> {
    let text = std::str::from_utf8(event.field("id")?).ok()?;
    text.trim().parse().ok()
}

/// Appends the data lines of an event to `text`, separated by line feeds.
pub fn push_data(text: &mut Vec<u8>, event: &RawEvent, is_first: bool) {
    let mut is_first = is_first;
    for line in event.raw.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let Some(value) = line.strip_prefix(b"data:") else {
            continue;
        };
        if !is_first {
            text.push(b'\n');
        }
        is_first = false;
        text.extend_from_slice(value.strip_prefix(b" ").unwrap_or(value));
    }
}
