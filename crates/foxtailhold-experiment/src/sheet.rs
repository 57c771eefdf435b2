//! What a deployment is: engines, callers, batch jobs, distances.

use foxtailhold::ids::{AvailabilityZone, IdError};
use miette::Diagnostic;
use serde::Deserialize;
use thiserror::Error;

/// Result of reading a sheet.
pub type Result<T> = std::result::Result<T, SheetError>;

/// Why a text is no sheet.
#[derive(Debug, Error, Diagnostic)]
pub enum SheetError {
    /// It cannot be read.
    #[error("the sheet cannot be read: {0}")]
    Unreadable(#[from] toml::de::Error),
    /// A number makes no sense.
    #[error("{field} must be {rule}")]
    OutOfRange {
        /// The field.
        field: &'static str,
        /// What is allowed.
        rule: &'static str,
    },
    /// The name of an availability zone is wrong.
    #[error(transparent)]
    Zone(#[from] IdError),
}

/// How fast and how large an engine is.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineShape {
    /// Requests in the running batch at most.
    pub slots: usize,
    /// Requests that may wait in the engine before it refuses.
    pub queue: usize,
    /// Time of a step, without its requests, in microseconds.
    pub step_us: u64,
    /// Time added to a step by each running request, in microseconds.
    pub step_per_request_us: u64,
    /// Prompt tokens read a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Time to a first token beside the reading, in microseconds.
    pub first_token_us: u64,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u64,
}

impl EngineShape {
    /// A full step of an engine of this speed factor, in microseconds.
    pub fn full_step_us(&self, speed: f64) -> f64 {
        let step_us = self.step_us + self.slots as u64 * self.step_per_request_us;
        step_us as f64 * speed
    }
}

/// Engines of one availability zone.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneSheet {
    /// Name.
    pub name: String,
    /// Instances in it.
    pub instances: usize,
    /// Factor of a step's time for each engine in it: 1 is the shape's own time, 2 is half as fast.
    pub engines: Vec<f64>,
    /// Online requests a second that arrive in it, on average.
    pub online_per_s: f64,
    /// Batch jobs a second that arrive in it.
    pub jobs_per_s: f64,
}

/// What people ask.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OnlineSheet {
    /// Mean prompt tokens.
    pub prompt_tokens: f64,
    /// Mean events of an answer.
    pub events: f64,
    /// Standard deviation of both, as a share of the mean.
    pub spread: f64,
    /// First event no later than this, in milliseconds.
    pub objective_ms: u64,
    /// The caller gives up after this time.
    pub patience_ms: u64,
    /// Longest good pause between events.
    pub pause_ms: u64,
    /// Calls again of a refused request.
    pub retries: u32,
    /// Ebb and flood: factors of the mean rate, and how long each lasts.
    #[serde(rename = "ebb")]
    pub off_peak: (f64, u64),
    /// The flood's factor and duration in milliseconds.
    #[serde(rename = "flood")]
    pub peak: (f64, u64),
}

/// Batch jobs.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BatchSheet {
    /// Mean items of a job.
    pub items: f64,
    /// Mean prompt tokens of an item.
    pub prompt_tokens: f64,
    /// Mean events of an item.
    pub events: f64,
    /// Standard deviation of all, as a share of the mean.
    pub spread: f64,
    /// Results are on time this long after the job came, in milliseconds.
    pub due_ms: u64,
}

/// One-way times of messages, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Distances {
    /// Within an availability zone.
    pub in_zone_us: u64,
    /// Between two.
    pub cross_zone_us: u64,
}

/// A deployment.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sheet {
    /// Name.
    pub name: String,
    /// Its engines' shape.
    pub engine: EngineShape,
    /// Its availability zones.
    pub zones: Vec<ZoneSheet>,
    /// Online requests.
    pub online: OnlineSheet,
    /// Batch jobs.
    pub batch: BatchSheet,
    /// Times of messages.
    pub distances: Distances,
}

/// One engine or instance and its place.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Site {
    /// Index of its availability zone.
    pub zone: usize,
    /// An engine's speed factor, 1 for instances.
    pub speed: f64,
}

fn check(holds: bool, field: &'static str, rule: &'static str) -> Result<()> {
    match holds {
        true => Ok(()),
        false => Err(SheetError::OutOfRange { field, rule }),
    }
}

impl TryFrom<&str> for Sheet {
    type Error = SheetError;

    fn try_from(text: &str) -> Result<Self> {
        let sheet: Sheet = toml::from_str(text)?;
        sheet.check()?;
        Ok(sheet)
    }
}

impl Sheet {
    fn check(&self) -> Result<()> {
        let (engine, online, batch) = (&self.engine, &self.online, &self.batch);
        check(engine.slots > 0, "engine.slots", "at least 1")?;
        check(engine.step_us > 0, "engine.step_us", "at least 1")?;
        check(
            engine.tokens_per_event > 0,
            "engine.tokens_per_event",
            "at least 1",
        )?;
        let reads = engine.prefill_tokens_per_ms > 0.0;
        check(reads, "engine.prefill_tokens_per_ms", "above 0")?;
        check(!self.zones.is_empty(), "zones", "at least one")?;
        for zone in &self.zones {
            AvailabilityZone::try_from(zone.name.as_str())?;
            check(zone.instances > 0, "zones.instances", "at least 1")?;
            check(zone.online_per_s >= 0.0, "zones.online_per_s", "0 or more")?;
            check(zone.jobs_per_s >= 0.0, "zones.jobs_per_s", "0 or more")?;
            let fast = zone.engines.iter().all(|speed| *speed > 0.0);
            check(fast, "zones.engines", "factors above 0")?;
        }
        check(
            !self.engines().is_empty(),
            "zones.engines",
            "at least one in all",
        )?;
        check(online.events >= 1.0, "online.events", "at least 1")?;
        check(
            (0.0..1.0).contains(&online.spread),
            "online.spread",
            "from 0 to below 1",
        )?;
        check(
            online.off_peak.1 > 0 && online.peak.1 > 0,
            "online.ebb and flood",
            "above 0 ms",
        )?;
        check(batch.events >= 1.0, "batch.events", "at least 1")?;
        check(batch.items >= 1.0, "batch.items", "at least 1")?;
        check(
            (0.0..1.0).contains(&batch.spread),
            "batch.spread",
            "from 0 to below 1",
        )
    }

    /// All engines.
    pub fn engines(&self) -> Vec<Site> {
        let mut engines = Vec::new();
        for (zone, sheet) in self.zones.iter().enumerate() {
            engines.extend(sheet.engines.iter().map(|speed| Site {
                zone,
                speed: *speed,
            }));
        }
        engines
    }

    /// All instances.
    pub fn instances(&self) -> Vec<Site> {
        let mut instances = Vec::new();
        for (zone, sheet) in self.zones.iter().enumerate() {
            let site = Site { zone, speed: 1.0 };
            instances.extend(std::iter::repeat_n(site, sheet.instances));
        }
        instances
    }

    /// One-way time of a message between availability zones.
    pub fn latency_us(&self, a: Site, b: Site) -> u64 {
        match a.zone == b.zone {
            true => self.distances.in_zone_us,
            false => self.distances.cross_zone_us,
        }
    }
}
