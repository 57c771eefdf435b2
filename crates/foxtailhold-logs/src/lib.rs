//! Logs as JSON lines.

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

/// Message of the line that counts those left out.
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

/// Collects the key-values of a record.
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

/// Where lines go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// Standard output, bounded in bytes a second; a reader that has stopped blocks nobody.
    Stdout {
        /// Bound; a second's bytes may come at once.
        bytes_per_s: u64,
    },
    /// Standard error, as the lines come.
    Stderr,
}

/// Keeps the logger's thread informed of the end of the process.
#[derive(Debug, Default)]
pub struct Logs(Option<LineSink>);

impl Logs {
    /// Writes what still waits.
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

/// The line that stands for those left out; none where it cannot be written as JSON.
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

/// Starts logging at the level in `RUST_LOG`, `info` where it is not set.
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
