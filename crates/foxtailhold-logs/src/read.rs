//! Reading the lines of many processes back, in one order, and finding those about one identifier.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufRead};

use foxtailhold::ids::InstanceId;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Lines about a backend server or instance count as related this long before and after the lines
/// about the identifier itself: longer than any route's attempts are apart.
const RELATED_WINDOW_MS: u64 = 5_000;
/// Fields that name what decided a line's outcome and is worth following. Some hold several names
/// with commas between them.
const RELATED_FIELDS: [&str; 6] = ["backend", "lost", "missed", "tried", "from", "to"];

/// A line as a process wrote it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogLine {
    /// When, in milliseconds since the Unix epoch by the process's clock.
    pub at_ms: u64,
    /// Level.
    pub level: String,
    /// The process.
    pub instance: InstanceId,
    /// Where in the program.
    #[serde(default)]
    pub target: String,
    /// What happened.
    pub message: String,
    /// With what.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub fields: BTreeMap<String, Value>,
}

impl LogLine {
    /// Whether a field holds this identifier, alone or among others, or the process has it.
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

/// Lines of all processes.
#[derive(Debug, Clone, Default, Serialize)]
pub struct LogBook {
    /// In the order of their times; those of one process in the order written.
    pub lines: Vec<LogLine>,
    /// Lines that are no log lines.
    pub unreadable: u64,
    /// Lines that processes left out to stay within their bound.
    pub left_out: u64,
}

impl LogBook {
    /// Reads one process's lines, or those of several.
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
                self.left_out += counts.sum::<u64>();
            }
            self.lines.push(line);
        }
    }

    /// Brings the lines of all processes into one order.
    pub fn sort(&mut self) {
        self.lines.sort_by_key(|line| line.at_ms);
    }

    /// Keeps the lines about an identifier.
    pub fn keep_of(&mut self, id: &str) {
        self.lines.retain(|line| line.names(id));
    }

    /// Keeps the lines about an identifier, and those from the same seconds about the backend servers
    /// and instances that they name, where these are not about another request or item.
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
            let is_of_another = ["request", "item", "job"]
                .iter()
                .any(|name| line.fields.contains_key(*name));
            let is_related = related_period.contains(&line.at_ms)
                && !is_of_another
                && names.iter().any(|name| line.names(name));
            line.names(id) || is_related
        });
    }
}
