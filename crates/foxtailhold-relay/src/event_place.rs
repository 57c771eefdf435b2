//! Places of events in an output. Each event states its number and has data, and the events of an
//! output are consecutive from 1. An event that states no number, or another one than is due, belongs
//! nowhere.

use bytes::Bytes;
use foxtailhold_engine::sse::RawEvent;
use thiserror::Error;

/// Result of placing an event.
pub type Result<T> = std::result::Result<T, OutOfPlace>;

/// An event that is not the next one of its output.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("event {found:?} where event {due} is due")]
pub struct OutOfPlace {
    /// Number of the event that is due.
    pub due: u64,
    /// Number of the event that came; `None` if it states none or has no data.
    pub found: Option<u64>,
}

/// An event whose number is the one that was due.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacedEvent {
    number: u64,
    event: RawEvent,
}

impl PlacedEvent {
    /// Number of the event, from 1.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// The event as received.
    pub fn event(&self) -> &RawEvent {
        &self.event
    }

    /// The bytes as received.
    pub fn into_raw(self) -> Bytes {
        self.event.raw
    }
}

/// The end of an output so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct OutputPosition {
    last: u64,
}

impl OutputPosition {
    /// The position after an event; `None` before the first one.
    pub fn after(event: Option<u64>) -> Self {
        OutputPosition {
            last: event.unwrap_or(0),
        }
    }

    /// Number of the last event; `None` before the first one.
    pub fn last(&self) -> Option<u64> {
        Some(self.last).filter(|last| *last > 0)
    }

    /// Places the next event. Fails, and stays where it is, if the event is another one.
    pub fn place(&mut self, event: RawEvent) -> Result<PlacedEvent> {
        let due = self.last.saturating_add(1);
        match stated_number(&event) {
            Some(number) if number == due => {
                self.last = number;
                Ok(PlacedEvent { number, event })
            }
            found => Err(OutOfPlace { due, found }),
        }
    }
}

/// Number that an event states; `None` if it has no data or states no number or, where two events have
/// run together, several.
fn stated_number(event: &RawEvent) -> Option<u64> {
    event.field("data")?;
    let mut stated = event.fields("id");
    let text = std::str::from_utf8(stated.next()?).ok()?.trim();
    let is_number = stated.next().is_none() && text.bytes().all(|byte| byte.is_ascii_digit());
    text.parse().ok().filter(|_| is_number)
}
