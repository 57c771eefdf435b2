//! Logs as JSON lines.

mod read;
mod sink;

pub use read::{LogBook, LogLine};
pub use sink::{LeftOut, LineQueue, LineSink, Weight};

use std::collections::BTreeMap;
use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use env_logger::{Builder, Env};
use foxtailhold::ids::InstanceId;
use log::kv::{Key, Value, VisitSource};
use log::{Level, Record};
use serde::Serialize;

/// Message of the line that counts those left out.
const LEFT_OUT: &str = "lines left out";

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
struct Collect(Fields);

impl<'kvs> VisitSource<'kvs> for Collect {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let value = serde_json::to_value(&value).unwrap_or_else(|_| value.to_string().into());
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

fn fields(record: &Record<'_>) -> Fields {
    let mut collect = Collect(Fields::new());
    if record.key_values().visit(&mut collect).is_err() {
        collect.0.clear();
    }
    collect.0
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
fn summary(instance: &InstanceId, left_out: LeftOut) -> Vec<u8> {
    let counts = [
        ("ordinary", left_out.ordinary),
        ("failures", left_out.failures),
    ];
    let counts = counts.map(|(name, count)| (name.to_owned(), count.into()));
    let line = Line {
        at_ms: now_ms(),
        level: Level::Warn.as_str(),
        instance: instance.as_str(),
        target: module_path!(),
        message: LEFT_OUT.to_owned(),
        fields: counts.into(),
    };
    encode(&line).unwrap_or_default()
}

/// Starts logging at the level in `RUST_LOG`, `info` where it is not set.
pub fn init(instance: &InstanceId, output: Output) -> std::io::Result<Logs> {
    let sink = match output {
        Output::Stderr => None,
        Output::Stdout { bytes_per_s } => {
            let named = instance.clone();
            let words = move |left_out| summary(&named, left_out);
            Some(LineSink::start(std::io::stdout(), bytes_per_s, words)?)
        }
    };
    let (instance, lines) = (instance.clone(), sink.clone());
    let mut builder = Builder::from_env(Env::default().default_filter_or("info"));
    builder.format(move |buffer, record| {
        let line = line(&instance, record)?;
        let Some(sink) = &lines else {
            return buffer.write_all(&line);
        };
        let weight = match record.level() {
            Level::Error | Level::Warn => Weight::Failure,
            _ => Weight::Ordinary,
        };
        sink.push(weight, line);
        Ok(())
    });
    if builder.try_init().is_err() {
        log::debug!("logging was started before");
    }
    Ok(Logs(sink))
}
