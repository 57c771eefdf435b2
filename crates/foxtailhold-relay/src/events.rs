//! Events of a stream, whole and in order.

use std::time::Duration;

use foxtailhold_engine::sse::{EventCutter, RawEvent};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::connections::InUse;

/// What comes next in a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// A whole event.
    Event(RawEvent),
    /// The stream is complete.
    End,
    /// The connection ended before the stream did.
    Closed,
    /// An event is missing or comes twice, or is too large.
    Broken,
    /// Nothing came for too long.
    Silent,
}

/// Reads the events of one answer.
#[derive(Debug)]
pub struct EventReader {
    body: Incoming,
    in_use: InUse,
    cutter: EventCutter,
    last_id: Option<u64>,
}

impl EventReader {
    /// Reads an answer that goes on after the event `after`, if given.
    pub fn new(body: Incoming, in_use: InUse, after: Option<u64>) -> Self {
        EventReader {
            body,
            in_use,
            cutter: EventCutter::default(),
            last_id: after,
        }
    }

    /// Identifier of the last event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// The next step, at most `patience_ms` from now and not after `until`.
    pub async fn next(&mut self, patience_ms: u64, until: Instant) -> Step {
        let limit = until.min(Instant::now() + Duration::from_millis(patience_ms));
        loop {
            if let Some(event) = self.cutter.next_event() {
                return self.checked(event);
            }
            if self.cutter.is_oversized() {
                return Step::Broken;
            }
            let frame = match tokio::time::timeout_at(limit, self.body.frame()).await {
                Err(_) => return Step::Silent,
                Ok(None) if self.cutter.pending_bytes() > 0 => return Step::Closed,
                Ok(None) => return Step::End,
                Ok(Some(Err(error))) => {
                    log::debug!("a stream broke off: {error}");
                    return Step::Closed;
                }
                Ok(Some(Ok(frame))) => frame,
            };
            if let Some(data) = frame.data_ref() {
                self.cutter.push(data);
            }
        }
    }

    fn checked(&mut self, event: RawEvent) -> Step {
        let Some(id) = event_id(&event) else {
            return Step::Event(event);
        };
        if self.last_id.is_some_and(|last| id != last + 1) {
            log::warn!("event {id} came after {:?}", self.last_id);
            return Step::Broken;
        }
        self.last_id = Some(id);
        Step::Event(event)
    }

    /// Keeps the connection after the end of the stream.
    pub fn close(self) {
        self.in_use.put_back();
    }
}

/// The identifier of an event.
pub fn event_id(event: &RawEvent) -> Option<u64> {
    let text = std::str::from_utf8(event.field("id")?).ok()?;
    text.trim().parse().ok()
}

/// Appends the data lines of an event, separated by line feeds.
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
