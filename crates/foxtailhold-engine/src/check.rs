//! Validation of the event stream of one request: its identifier, event order and end of stream.
//! This module does no I/O.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::chunk::Chunk;
use crate::error::{EngineError, Result};
use crate::sse::{EventSplitter, RawEvent};

/// The `data` field of the event that ends a complete stream.
pub const DONE: &[u8] = b"[DONE]";
/// The complete event that ends a stream, with its blank line.
pub const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";
/// How many out-of-order events are buffered while an earlier one is missing. One more is an error,
/// so that a lost event neither stalls the stream nor grows the buffer without limit.
pub const MAX_OUT_OF_ORDER_EVENTS: usize = 16;

/// A validated event of a completion stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TokenEvent {
    /// A completion chunk.
    Chunk {
        /// The bytes as received from the engine, including the blank line that ends the event.
        raw: Bytes,
        /// Position in the stream, counted from 1. A resumed stream continues the numbering of the
        /// stream that it replaces.
        ordinal: u64,
        /// Text that this chunk adds to the completion; may be empty.
        text: String,
        /// Whether the chunk has a `finish_reason`, which marks the completion as finished.
        finished: bool,
    },
    /// The `[DONE]` event, which ends the stream.
    Done {
        /// The bytes as received from the engine.
        raw: Bytes,
    },
}

/// Parses the bytes of a stream and returns its events in order and without duplicates.
#[derive(Debug)]
pub struct StreamCheck {
    splitter: EventSplitter,
    expected_id: Box<str>,
    first_ordinal: u64,
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
    /// Creates a check for a stream whose events must carry `expected_id`, see
    /// [`completion_id`](crate::client::completion_id). `next_ordinal` is the ordinal of the first
    /// event: 1, or one more than the last event received before the stream was resumed. An event
    /// before it is an error, as it shows that the engine did not resume.
    pub fn new(expected_id: String, next_ordinal: u64) -> Self {
        StreamCheck {
            splitter: EventSplitter::default(),
            expected_id: expected_id.into_boxed_str(),
            first_ordinal: next_ordinal,
            next_ordinal,
            out_of_order: BTreeMap::new(),
            finished: false,
            ended: false,
        }
    }

    /// Appends received bytes. Fails when the buffered event exceeds
    /// [`MAX_EVENT_BYTES`](crate::sse::MAX_EVENT_BYTES).
    pub fn push(&mut self, bytes: &[u8]) -> Result<()> {
        self.splitter.push(bytes);
        if self.splitter.is_oversized() {
            return Err(malformed("an event is over the limit"));
        }
        Ok(())
    }

    /// Whether [`next_event`](Self::next_event) has returned the `[DONE]` event.
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// Returns the next event in order, or `None` if more bytes are needed. Duplicate events are
    /// skipped, and out-of-order events are buffered until the events before them have arrived.
    pub fn next_event(&mut self) -> Result<Option<TokenEvent>> {
        while !self.ended {
            if let Some(event) = self.out_of_order.remove(&self.next_ordinal) {
                return Ok(Some(self.deliver(event)));
            }
            let Some(raw) = self.splitter.next_event() else {
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
        if id != &*self.expected_id {
            return Err(EngineError::Foreign { found: id.into() });
        }
        let ordinal = ordinal(&event)?;
        if ordinal < self.first_ordinal {
            return Err(EngineError::NotResumed {
                first: self.first_ordinal,
                found: ordinal,
            });
        }
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

/// Checks an unstreamed answer: it must be a JSON completion, carry `expected_id` and be finished.
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
