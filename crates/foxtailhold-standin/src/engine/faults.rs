//! Fault switches and the record of what an engine ran.

use serde::{Deserialize, Serialize};

/// Which faults are on. `POST /standin/faults` sets all of them at once.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineFaults {
    /// The engine crashes when it admits a prompt that contains this text.
    pub crash_on: Option<String>,
    /// Streams are cut after so many tokens.
    pub cut_after_tokens: Option<u64>,
    /// Every event is sent twice.
    pub duplicate_events: bool,
    /// Events after this ordinal are swapped pairwise.
    pub swap_after_tokens: Option<u64>,
    /// Events carry another request's identifier after so many tokens.
    pub foreign_after_tokens: Option<u64>,
    /// Streams end in `[DONE]` after so many tokens, finished or not.
    pub done_after_tokens: Option<u64>,
    /// An error object comes in place of the event after so many tokens.
    pub error_after_tokens: Option<u64>,
    /// Streams close after the last token, without `[DONE]`.
    pub no_done: bool,
    /// Each event comes again, later, behind the next one.
    pub late_events: bool,
    /// Unstreamed answers carry another request's identifier.
    pub foreign_answers: bool,
    /// The connection breaks in the middle of unstreamed answers.
    pub cut_answers: bool,
    /// Unstreamed answers end in the middle as if they were whole.
    pub short_answers: bool,
    /// No token is generated.
    pub frozen: bool,
    /// New requests are refused and the load report says so.
    pub leaving: bool,
    /// New requests are refused as if the queue were full.
    pub full: bool,
    /// Answers fail with status 500 after the request was admitted.
    pub fail: bool,
}

/// One request in the record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ran {
    /// Its identifier.
    pub request: String,
    /// Its prompt.
    pub prompt: String,
    /// Tokens generated here.
    pub tokens: u64,
    /// Whether it was finished here.
    pub finished: bool,
    /// Whether its client went away first.
    pub cancelled: bool,
    /// When it came, in ms since the Unix epoch.
    #[serde(default)]
    pub came_unix_ms: u64,
    /// When it got a slot.
    #[serde(default)]
    pub admitted_unix_ms: Option<u64>,
    /// When the engine gave it up because its client had gone.
    #[serde(default)]
    pub cancelled_unix_ms: Option<u64>,
}
