//! Logging as JSON lines, and reading these lines back.

mod read;
mod sink;

pub use read::{LogBook, LogLine};
pub use sink::{DroppedLines, LinePriority, LineQueue, LineSink};

use std::collections::BTreeMap;
use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use env_logger::{Builder, Env};
use foxtailhold::ids::InstanceId;
use log::kv::{Key, Value, VisitSource};
use log::{Level, Record};
use serde::Serialize;

/// Message of the line that reports how many lines were dropped. [`LogBook`] recognizes the line by
/// this text, also in logs of instances that run another version.
const DROPPED_LINES_MESSAGE: &str = "lines left out";

#[derive(Serialize)]
struct Line<'a> {
    at_ms: u128,
    level: &'a str,
    instance: &'a str,
    target: &'a str,
    message: String,
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    fields: Fields,
}

type Fields = BTreeMap<String, serde_json::Value>;

/// Collects the key-value pairs of a log record as JSON.
struct FieldCollector(Fields);

impl<'kvs> VisitSource<'kvs> for FieldCollector {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let value = serde_json::to_value(&value).unwrap_or_else(|_| value.to_string().into());
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

fn fields(record: &Record<'_>) -> Fields {
    let mut field_collector = FieldCollector(Fields::new());
    if record.key_values().visit(&mut field_collector).is_err() {
        field_collector.0.clear();
    }
    field_collector.0
}

/// Destination of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// Standard output, with a rate limit. A reader that stops reading does not block the process.
    Stdout {
        /// Rate limit; the bytes of one second may be written in a burst.
        bytes_per_s: u64,
    },
    /// Standard error, unbuffered and without a rate limit.
    Stderr,
}

/// Handle for flushing the log at the end of the process.
#[derive(Debug, Default)]
pub struct Logs(Option<LineSink>);

impl Logs {
    /// Waits a short time until buffered lines have been written.
    pub fn close(self) {
        if let Some(sink) = self.0 {
            sink.close();
        }
    }
}

fn now_ms() -> u128 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |duration| duration.as_millis())
}

fn encode(line: &Line<'_>) -> serde_json::Result<Vec<u8>> {
    let mut bytes = serde_json::to_vec(line)?;
    bytes.push(b'\n');
    Ok(bytes)
}

fn line(instance: &InstanceId, record: &Record<'_>) -> serde_json::Result<Vec<u8>> {
    encode(&Line {
        at_ms: now_ms(),
        level: record.level().as_str(),
        instance: instance.as_str(),
        target: record.target(),
        message: record.args().to_string(),
        fields: fields(record),
    })
}

/// Builds the line that reports dropped lines; empty if it cannot be encoded as JSON.
fn summary(instance: &InstanceId, dropped: DroppedLines) -> Vec<u8> {
    let counts = [
        ("ordinary", dropped.ordinary),
        ("failures", dropped.failures),
    ];
    let counts = counts.map(|(name, count)| (name.to_owned(), count.into()));
    let line = Line {
        at_ms: now_ms(),
        level: Level::Warn.as_str(),
        instance: instance.as_str(),
        target: module_path!(),
        message: DROPPED_LINES_MESSAGE.to_owned(),
        fields: counts.into(),
    };
    encode(&line).unwrap_or_default()
}

/// Starts logging. The level is taken from `RUST_LOG`, with `info` as the default.
pub fn init(instance: &InstanceId, output: Output) -> std::io::Result<Logs> {
    let sink = match output {
        Output::Stderr => None,
        Output::Stdout { bytes_per_s } => {
            let instance_id = instance.clone();
            let summary_line = move |dropped| summary(&instance_id, dropped);
            Some(LineSink::start(
                std::io::stdout(),
                bytes_per_s,
                summary_line,
            )?)
        }
    };
    let (instance, lines) = (instance.clone(), sink.clone());
    let mut builder = Builder::from_env(Env::default().default_filter_or("info"));
    builder.format(move |buffer, record| {
        let line = line(&instance, record)?;
        let Some(sink) = &lines else {
            return buffer.write_all(&line);
        };
        let priority = match record.level() {
            Level::Error | Level::Warn => LinePriority::Failure,
            _ => LinePriority::Ordinary,
        };
        sink.push(priority, line);
        Ok(())
    });
    if builder.try_init().is_err() {
        log::debug!("logging was started before");
    }
    Ok(Logs(sink))
}
