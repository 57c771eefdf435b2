//! Logs as JSON lines on standard error.

use std::collections::BTreeMap;
use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use env_logger::{Builder, Env};
use foxtailhold::ids::InstanceId;
use log::Record;
use log::kv::{Key, Value, VisitSource};
use serde::Serialize;

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

/// Starts logging at the level in `RUST_LOG`, `info` where it is not set.
pub fn init(instance: &InstanceId) {
    let instance = instance.clone();
    let mut builder = Builder::from_env(Env::default().default_filter_or("info"));
    builder.target(env_logger::Target::Stdout);
    builder.format(move |buffer, record| {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let line = Line {
            at_ms: since.map_or(0, |duration| duration.as_millis()),
            level: record.level().as_str(),
            instance: instance.as_str(),
            target: record.target(),
            message: record.args().to_string(),
            fields: fields(record),
        };
        serde_json::to_writer(&mut *buffer, &line)?;
        buffer.write_all(b"\n")
    });
    if builder.try_init().is_err() {
        log::debug!("logging was started before");
    }
}
