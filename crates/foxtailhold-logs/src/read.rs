//! Reads the log lines of several processes, merges them by time, and finds the lines about one
//! identifier.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufRead};

use foxtailhold::ids::InstanceId;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Lines about a backend server or instance count as related up to this time before and after the
/// lines about the identifier itself. The time is longer than the interval between two attempts on
/// any route.
const RELATED_WINDOW_MS: u64 = 5_000;
/// Fields that name the backend servers and instances involved in an event. Some hold several
/// names, separated by commas.
const RELATED_FIELDS: [&str; 6] = ["backend", "lost", "missed", "tried", "from", "to"];

/// A log line of one process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogLine {
    /// Time in milliseconds since the Unix epoch, by the clock of the process.
    pub at_ms: u64,
    /// Log level, such as `INFO`.
    pub level: String,
    /// Instance that wrote the line.
    pub instance: InstanceId,
    /// Module that wrote the line; empty if the line has none.
    #[serde(default)]
    pub target: String,
    /// Log message.
    pub message: String,
    /// Structured fields of the line.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub fields: BTreeMap<String, Value>,
}

impl LogLine {
    /// Whether the line is about `id`: the instance has this identifier, or a field contains it,
    /// alone or in a comma-separated list.
    pub fn names(&self, id: &str) -> bool {
        self.instance.as_str() == id || self.fields.values().any(|value| contains_name(value, id))
    }

    fn related(&self) -> impl Iterator<Item = &str> {
        let values = RELATED_FIELDS
            .iter()
            .filter_map(|name| self.fields.get(*name));
        let texts = values.filter_map(Value::as_str);
        texts
            .flat_map(|text| text.split(','))
            .filter(|name| !name.is_empty())
    }
}

fn contains_name(value: &Value, id: &str) -> bool {
    match value.as_str() {
        Some(text) => text.split(',').any(|name| name == id),
        None => false,
    }
}

/// Log lines of several processes.
#[derive(Debug, Clone, Default, Serialize)]
pub struct LogBook {
    /// The lines. After [`sort`](Self::sort) they are in time order, and lines of one process with
    /// the same time keep the order in which they were written.
    pub lines: Vec<LogLine>,
    /// Number of input lines that could not be parsed as log lines.
    pub unreadable: u64,
    /// Number of lines that processes dropped because of their rate limit.
    #[serde(rename = "left_out")]
    pub dropped: u64,
}

impl LogBook {
    /// Appends the lines of one or several processes.
    pub fn read(&mut self, mut input: impl BufRead) -> io::Result<()> {
        let mut bytes = Vec::new();
        loop {
            bytes.clear();
            if input.read_until(b'\n', &mut bytes)? == 0 {
                return Ok(());
            }
            if bytes.trim_ascii().is_empty() {
                continue;
            }
            let Ok(line) = serde_json::from_slice::<LogLine>(&bytes) else {
                self.unreadable += 1;
                continue;
            };
            if line.message == crate::DROPPED_LINES_MESSAGE {
                let counts = line.fields.values().filter_map(Value::as_u64);
                self.dropped += counts.sum::<u64>();
            }
            self.lines.push(line);
        }
    }

    /// Sorts the lines by time.
    pub fn sort(&mut self) {
        self.lines.sort_by_key(|line| line.at_ms);
    }

    /// Keeps only the lines about an identifier.
    pub fn keep_about(&mut self, id: &str) {
        self.lines.retain(|line| line.names(id));
    }

    /// Keeps only the lines about an identifier, and the lines from about the same time that are
    /// about the backend servers and instances named in them, unless these lines are about another
    /// request, item or job.
    pub fn keep_related(&mut self, id: &str) {
        let mut names = BTreeSet::new();
        let mut span: Option<(u64, u64)> = None;
        for line in self.lines.iter().filter(|line| line.names(id)) {
            names.extend(line.related().map(ToOwned::to_owned));
            let (from, to) = span.unwrap_or((line.at_ms, line.at_ms));
            span = Some((from.min(line.at_ms), to.max(line.at_ms)));
        }
        let Some((from, to)) = span else {
            self.lines.clear();
            return;
        };
        let related_period = from.saturating_sub(RELATED_WINDOW_MS)..=to + RELATED_WINDOW_MS;
        self.lines.retain(|line| {
            let is_about_other_work = ["request", "item", "job"]
                .iter()
                .any(|name| line.fields.contains_key(*name));
            let is_related = related_period.contains(&line.at_ms)
                && !is_about_other_work
                && names.iter().any(|name| line.names(name));
            line.names(id) || is_related
        });
    }
}
