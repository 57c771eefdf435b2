//! Checks of one request's events: identifier, ordinal, end. No I/O.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::chunk::Chunk;
use crate::error::{EngineError, Result};
use crate::sse::{EventCutter, RawEvent};

/// Data of the event that ends a stream.
pub const DONE: &[u8] = b"[DONE]";
/// The event that ends a stream.
pub const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";
/// Events held while an earlier one is due.
pub const MAX_OUT_OF_ORDER_EVENTS: usize = 16;

/// One event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TokenEvent {
    /// A chunk.
    Chunk {
        /// The event as received, with its blank line.
        raw: Bytes,
        /// Its position, from 1; for a resumed stream it goes on where the last one ended.
        ordinal: u64,
        /// The text it adds.
        text: String,
        /// Whether it carries the reason why the answer is finished.
        finished: bool,
    },
    /// The last event.
    Done {
        /// The event as received.
        raw: Bytes,
    },
}

/// Takes the bytes of a stream and gives its events in order, each once.
#[derive(Debug)]
pub struct StreamCheck {
    cutter: EventCutter,
    expected_id: String,
    next_ordinal: u64,
    out_of_order: BTreeMap<u64, TokenEvent>,
    finished: bool,
    ended: bool,
}

fn malformed(detail: impl ToString) -> EngineError {
    let detail = detail.to_string();
    EngineError::Malformed { detail }
}

impl StreamCheck {
    /// A stream of the request that the engine knows as `expected_id`; its next event has
    /// `next_ordinal`.
    pub fn new(expected_id: String, next_ordinal: u64) -> Self {
        StreamCheck {
            cutter: EventCutter::default(),
            expected_id,
            next_ordinal,
            out_of_order: BTreeMap::new(),
            finished: false,
            ended: false,
        }
    }

    /// Takes the next bytes in.
    pub fn push(&mut self, bytes: &[u8]) -> Result<()> {
        self.cutter.push(bytes);
        if self.cutter.is_oversized() {
            return Err(malformed("an event is over the limit"));
        }
        Ok(())
    }

    /// Whether the last event was given.
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// The next event in order, `None` where more bytes are needed. An event received before is
    /// passed over; an early one is held until its turn.
    pub fn next_event(&mut self) -> Result<Option<TokenEvent>> {
        while !self.ended {
            if let Some(event) = self.out_of_order.remove(&self.next_ordinal) {
                return Ok(Some(self.deliver(event)));
            }
            let Some(raw) = self.cutter.next_event() else {
                break;
            };
            if let Some(event) = self.check(raw)? {
                return Ok(Some(self.deliver(event)));
            }
        }
        Ok(None)
    }

    fn deliver(&mut self, event: TokenEvent) -> TokenEvent {
        match &event {
            TokenEvent::Chunk { finished, .. } => {
                self.next_ordinal += 1;
                self.finished |= finished;
            }
            TokenEvent::Done { .. } => self.ended = true,
        }
        event
    }

    fn check(&mut self, event: RawEvent) -> Result<Option<TokenEvent>> {
        let Some(data) = event.field("data") else {
            return Ok(None);
        };
        if data == DONE {
            return self.check_done(event.raw).map(Some);
        }
        let chunk: Chunk<'_> = serde_json::from_slice(data).map_err(malformed)?;
        if let Some(detail) = chunk.error {
            let detail = detail.into_owned();
            return Err(EngineError::InStream { detail });
        }
        let id = chunk.id.as_deref().unwrap_or_default();
        if id != self.expected_id {
            return Err(EngineError::Foreign { found: id.into() });
        }
        let ordinal = ordinal(&event)?;
        if ordinal < self.next_ordinal {
            return Ok(None);
        }
        let token = TokenEvent::Chunk {
            ordinal,
            text: chunk.choice.text.as_deref().unwrap_or_default().to_owned(),
            finished: chunk.choice.finished,
            raw: event.raw,
        };
        if ordinal == self.next_ordinal {
            return Ok(Some(token));
        }
        if self.out_of_order.len() >= MAX_OUT_OF_ORDER_EVENTS {
            return Err(self.gap(ordinal));
        }
        self.out_of_order.entry(ordinal).or_insert(token);
        Ok(None)
    }

    fn check_done(&self, raw: Bytes) -> Result<TokenEvent> {
        if let Some(ordinal) = self.out_of_order.keys().next() {
            return Err(self.gap(*ordinal));
        }
        if !self.finished {
            return Err(EngineError::Unfinished);
        }
        Ok(TokenEvent::Done { raw })
    }

    fn gap(&self, found: u64) -> EngineError {
        EngineError::Gap {
            expected: self.next_ordinal,
            found,
        }
    }
}

fn ordinal(event: &RawEvent) -> Result<u64> {
    event
        .field("id")
        .and_then(|value| std::str::from_utf8(value).ok())
        .and_then(|text| text.parse::<u64>().ok())
        .ok_or_else(|| malformed("an event has no ordinal"))
}

/// Checks an answer that came in one piece: readable, of this request, finished.
pub fn check_unstreamed(expected_id: &str, body: &[u8]) -> Result<()> {
    let answer: Chunk<'_> = serde_json::from_slice(body).map_err(malformed)?;
    let id = answer.id.as_deref().unwrap_or_default();
    if id != expected_id {
        return Err(EngineError::Foreign { found: id.into() });
    }
    if !answer.choice.finished {
        return Err(EngineError::Unfinished);
    }
    Ok(())
}
