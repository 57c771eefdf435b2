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

/// Splits a text into parts of at most `max_bytes` as encoded; one empty part for an empty text.
pub fn split_text(text: &str, max_bytes: usize) -> Vec<&str> {
    let mut parts = Vec::new();
    let (mut start, mut part_bytes) = (0, 0);
    for (at, character) in text.char_indices() {
        let bytes = encoded_bytes(character);
        if part_bytes + bytes > max_bytes {
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

/// How the rows of a result are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ResultForm {
    /// Rows of the usual size, in one transaction with the row of the job if they fit.
    #[default]
    Usual,
    /// Smaller rows, written ahead.
    SmallRows,
}

impl ResultForm {
    /// Size limit of the encoded text in one row.
    pub fn max_text_bytes(self) -> usize {
        match self {
            ResultForm::Usual => MAX_TEXT_BYTES,
            ResultForm::SmallRows => MAX_TEXT_BYTES / 4,
        }
    }
}

/// Results of a job that wait to be listed.
#[derive(Debug)]
pub struct FinishedResults {
    pub waiting: Vec<ListedResult>,
    /// Results that the store has refused in each form.
    refused: Vec<ListedResult>,
    max_per_commit: usize,
    /// Form of the first result that waits.
    form: ResultForm,
}

impl FinishedResults {
    /// Lists at most `max_per_commit` results with one commit.
    pub fn new(max_per_commit: usize) -> Self {
        FinishedResults {
            waiting: Vec::new(),
            refused: Vec::new(),
            max_per_commit,
            form: ResultForm::Usual,
        }
    }

    /// Number of results for the next commit.
    pub fn next_count(&self) -> usize {
        match self.form {
            ResultForm::Usual => self.waiting.len().min(self.max_per_commit),
            ResultForm::SmallRows => self.waiting.len().min(1),
        }
    }

    /// Form of the rows of the next commit.
    pub fn form(&self) -> ResultForm {
        self.form
    }

    /// Puts short results first, which take a caller of the job the least time each.
    pub fn sort(&mut self) {
        self.waiting.sort_by_key(|result| result.text.len());
    }

    /// Records that the first `count` results were listed.
    pub fn remove_listed(&mut self, count: usize) {
        self.waiting.drain(..count);
        self.form = ResultForm::Usual;
    }

    /// Drops the results that `is_listed` knows.
    pub fn drop_listed(&mut self, is_listed: impl Fn(&ListedResult) -> bool) {
        if self.waiting.first().is_some_and(&is_listed) {
            self.form = ResultForm::Usual;
        }
        self.waiting.retain(|result| !is_listed(result));
    }

    /// Records that the store has refused the first `count` results together: fewer are listed at
    /// once, and one that was refused alone is tried in another form, then set aside.
    pub fn record_refusal(&mut self, count: usize) {
        if count > 1 {
            self.max_per_commit = count / 2;
            return;
        }
        if self.form == ResultForm::Usual {
            self.form = ResultForm::SmallRows;
            return;
        }
        self.form = ResultForm::Usual;
        if !self.waiting.is_empty() {
            self.refused.push(self.waiting.remove(0));
        }
    }

    /// Whether results were set aside.
    pub fn has_refused(&self) -> bool {
        !self.refused.is_empty()
    }

    /// Lets the results that were set aside wait to be listed again.
    pub fn retry_refused(&mut self) {
        self.waiting.append(&mut self.refused);
    }

    /// Lists the results that were set aside as given up.
    pub fn give_up_refused(&mut self) {
        for result in self.refused.drain(..) {
            self.waiting.push(ListedResult {
                state: ItemState::GivenUp,
                text: String::new(),
                ..result
            });
        }
    }
}
