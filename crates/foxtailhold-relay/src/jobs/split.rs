//! Splits texts into rows of the store and rows into transactions.

use foxtailhold_platform::Changes;

use crate::jobs::{Checkpoint, ItemState, ListedResult};

/// Size limit of the encoded text in one row, below the platform's limit on a row with room for
/// base64 and the other fields.
const MAX_TEXT_BYTES: usize = 40_000;

/// Bytes of a character in a JSON string.
fn encoded_bytes(character: char) -> usize {
    match character {
        '"' | '\\' | '\n' | '\r' | '\t' | '\u{8}' | '\u{c}' => 2,
        control if control < ' ' => 6,
        other => other.len_utf8(),
    }
}

/// Bytes of a text in a JSON string, without its quotes.
pub(super) fn encoded_text_bytes(text: &str) -> usize {
    text.chars().map(encoded_bytes).sum()
}

/// Splits a text into parts that each fit into a row; one empty part for an empty text.
pub fn split_text(text: &str) -> Vec<&str> {
    let mut parts = Vec::new();
    let (mut start, mut part_bytes) = (0, 0);
    for (at, character) in text.char_indices() {
        let bytes = encoded_bytes(character);
        if part_bytes + bytes > MAX_TEXT_BYTES {
            parts.push(&text[start..at]);
            (start, part_bytes) = (at, 0);
        }
        part_bytes += bytes;
    }
    parts.push(&text[start..]);
    parts
}

/// Splits a checkpoint between events into ones that each fit into a row. It ends before an event
/// that does not, and is empty if the events cannot be told apart.
pub fn split_checkpoint(checkpoint: &Checkpoint) -> Vec<Checkpoint> {
    if encoded_text_bytes(&checkpoint.text) <= MAX_TEXT_BYTES {
        return vec![checkpoint.clone()];
    }
    let events: Vec<&str> = checkpoint.text.split('\n').collect();
    if events.len() as u64 != checkpoint.last - checkpoint.after {
        return Vec::new();
    }
    let mut parts: Vec<Checkpoint> = Vec::new();
    let (mut after, mut first, mut part_bytes) = (checkpoint.after, 0, 0);
    let part = |after: u64, events: &[&str]| Checkpoint {
        after,
        last: after + events.len() as u64,
        text: events.join("\n"),
        ..checkpoint.clone()
    };
    for (index, event) in events.iter().enumerate() {
        let bytes = encoded_text_bytes(event) + encoded_bytes('\n');
        if bytes > MAX_TEXT_BYTES {
            if index > first {
                parts.push(part(after, &events[first..index]));
            }
            return parts;
        }
        if part_bytes + bytes > MAX_TEXT_BYTES {
            parts.push(part(after, &events[first..index]));
            after += (index - first) as u64;
            (first, part_bytes) = (index, 0);
        }
        part_bytes += bytes;
    }
    parts.push(part(after, &events[first..]));
    parts
}

/// Groups values into consecutive transactions that the store accepts. Each begins with `conditions`,
/// and `add` adds a value to it.
pub fn pack<T>(
    values: Vec<T>,
    conditions: impl Fn() -> Changes,
    add: impl Fn(&mut Changes, &T),
) -> Vec<Vec<T>> {
    let mut groups: Vec<Vec<T>> = Vec::new();
    let mut changes = conditions();
    for value in values {
        add(&mut changes, &value);
        match groups.last_mut() {
            Some(group) if changes.fits() => group.push(value),
            _ => {
                changes = conditions();
                add(&mut changes, &value);
                groups.push(vec![value]);
            }
        }
    }
    groups
}

/// Results of a job that wait to be listed.
#[derive(Debug)]
pub struct FinishedResults {
    pub waiting: Vec<ListedResult>,
    /// Results that the store does not accept even alone.
    rejected: Vec<ListedResult>,
    max_per_commit: usize,
}

impl FinishedResults {
    /// Lists at most `max_per_commit` results with one commit.
    pub fn new(max_per_commit: usize) -> Self {
        FinishedResults {
            waiting: Vec::new(),
            rejected: Vec::new(),
            max_per_commit,
        }
    }

    /// Number of results for the next commit.
    pub fn next_count(&self) -> usize {
        self.waiting.len().min(self.max_per_commit)
    }

    /// Records that the first `count` results were refused together: fewer are listed at once, and
    /// one that was refused alone is set aside.
    pub fn reject(&mut self, count: usize) {
        if count > 1 {
            self.max_per_commit = count / 2;
            return;
        }
        if !self.waiting.is_empty() {
            self.rejected.push(self.waiting.remove(0));
        }
    }

    /// Whether results were set aside.
    pub fn has_rejected(&self) -> bool {
        !self.rejected.is_empty()
    }

    /// Lists the results that were set aside as given up.
    pub fn give_up_rejected(&mut self) {
        for result in self.rejected.drain(..) {
            self.waiting.push(ListedResult {
                state: ItemState::GivenUp,
                text: String::new(),
                ..result
            });
        }
    }
}
