//! Splits a byte stream into server-sent events (WHATWG HTML, section 9.2).
//!
//! Events are split off the receive buffer without copying.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// A complete event that has not been parsed yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawEvent {
    /// The bytes as received, including the blank line that ends the event.
    pub raw: Bytes,
}

impl RawEvent {
    /// Returns the value of the first line with the field name `field`, without the leading space,
    /// or `None` if there is no such line.
    pub fn field(&self, field: &str) -> Option<&[u8]> {
        self.fields(field).next()
    }

    /// Returns the values of all lines with the field name `field`, without their leading space.
    pub fn fields(&self, field: &str) -> impl Iterator<Item = &[u8]> {
        let lines = self.raw.split(|byte| *byte == b'\n');
        lines.filter_map(move |line| {
            let value = line.strip_prefix(field.as_bytes())?.strip_prefix(b":")?;
            let value = value.strip_suffix(b"\r").unwrap_or(value);
            Some(value.strip_prefix(b" ").unwrap_or(value))
        })
    }
}

/// Incremental splitter: collects received bytes and returns complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    scanned_bytes: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether more than [`MAX_EVENT_BYTES`] are buffered.
    pub fn is_oversized(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Number of buffered bytes that have not been returned as events.
    pub fn pending_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the next complete event, or `None` if more bytes are needed.
    pub fn next_event(&mut self) -> Option<RawEvent> {
        let start = self.scanned_bytes.saturating_sub(3);
        let Some(end) = event_end(&self.buffer[start..]) else {
            self.scanned_bytes = self.buffer.len();
            return None;
        };
        self.scanned_bytes = 0;
        let raw = self.buffer.split_to(start + end).freeze();
        Some(RawEvent { raw })
    }
}

fn event_end(bytes: &[u8]) -> Option<usize> {
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let rest = &bytes[index + 1..];
        if rest.starts_with(b"\n") {
            return Some(index + 2);
        }
        if rest.starts_with(b"\r\n") {
            return Some(index + 3);
        }
    }
    None
}
