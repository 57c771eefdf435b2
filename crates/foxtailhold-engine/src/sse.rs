//! Server-sent events (WHATWG HTML, section 9.2), cut out of a byte stream without copying.

use bytes::{Bytes, BytesMut};

/// Largest event accepted.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// One event: its raw bytes with the blank line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawEvent {
    /// The bytes as received.
    pub raw: Bytes,
}

impl RawEvent {
    /// The value of the first line with `field`, without leading space.
    pub fn field(&self, field: &str) -> Option<&[u8]> {
        for line in self.raw.split(|byte| *byte == b'\n') {
            let Some(rest) = line.strip_prefix(field.as_bytes()) else {
                continue;
            };
            let Some(value) = rest.strip_prefix(b":") else {
                continue;
            };
            let value = value.strip_suffix(b"\r").unwrap_or(value);
            return Some(value.strip_prefix(b" ").unwrap_or(value));
        }
        None
    }
}

/// Cuts events out of bytes as they come.
#[derive(Debug, Default)]
pub struct EventCutter {
    buffer: BytesMut,
    scanned_bytes: usize,
}

impl EventCutter {
    /// Takes the next bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether more is buffered than any event may have.
    pub fn is_oversized(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Bytes that do not make a whole event yet.
    pub fn pending_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// The next whole event.
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
