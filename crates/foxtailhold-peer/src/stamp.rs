//! Clock readings that travel with messages, so that the time line orders causes before their
//! effects.

use foxtailhold::timeline::HlcTime;
use http::{HeaderMap, HeaderName, HeaderValue};

/// Header of messages and answers with a reading of the sender's hybrid logical clock.
pub const HLC: HeaderName = HeaderName::from_static("foxtailhold-hlc");

/// The hybrid logical clock of a process, as message senders use it.
pub trait MessageClock: Clone + Send + Sync + 'static {
    /// Reading to send with a message; `None` sends none.
    fn stamp(&self) -> Option<HlcTime>;

    /// Receives the reading that came with an answer.
    fn receive(&self, at: HlcTime);
}

/// A clock without readings, for processes without a time line.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoClock;

impl MessageClock for NoClock {
    fn stamp(&self) -> Option<HlcTime> {
        None
    }

    fn receive(&self, _at: HlcTime) {}
}

/// Writes a reading into the headers.
pub(crate) fn write(headers: &mut HeaderMap, at: Option<HlcTime>) {
    let value = at.and_then(|at| HeaderValue::try_from(at.to_string()).ok());
    if let Some(value) = value {
        headers.insert(HLC, value);
    }
}

/// Parses the reading in the headers; a malformed one counts as none.
pub(crate) fn read(headers: &HeaderMap) -> Option<HlcTime> {
    headers.get(HLC)?.to_str().ok()?.parse().ok()
}
