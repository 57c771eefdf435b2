//! Description of a deployment: engines, online requests, batch jobs and message latencies.

use foxtailhold::ids::{AvailabilityZone, IdError};
use miette::Diagnostic;
use serde::Deserialize;
use thiserror::Error;

/// Result of reading a sheet.
pub type Result<T> = std::result::Result<T, SheetError>;

/// Errors of reading a sheet.
#[derive(Debug, Error, Diagnostic)]
pub enum SheetError {
    /// The text is not valid TOML, or has unknown or missing fields.
    #[error("the sheet cannot be read: {0}")]
    Unreadable(#[from] toml::de::Error),
    /// The value of a field is out of range.
    #[error("{field} must be {rule}")]
    OutOfRange {
        /// Path of the field.
        field: &'static str,
        /// Description of the allowed range.
        rule: &'static str,
    },
    /// The name of an availability zone is not valid.
    #[error(transparent)]
    Zone(#[from] IdError),
}

/// Speed and size of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineShape {
    /// Maximum number of requests in the running batch.
    pub slots: usize,
    /// Maximum number of requests that wait in the engine before it rejects more.
    pub queue: usize,
    /// Fixed time of a step in microseconds.
    pub step_us: u64,
    /// Time added to a step by each running request, in microseconds.
    pub step_per_request_us: u64,
    /// Prompt tokens read per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Time to the first token in addition to reading the prompt, in microseconds.
    pub first_token_us: u64,
    /// Number of tokens in one event of a stream.
    pub tokens_per_event: u64,
}

impl EngineShape {
    /// Time of a step with all slots in use, for an engine of this speed factor, in microseconds.
    pub fn full_step_us(&self, speed: f64) -> f64 {
        let step_us = self.step_us + self.slots as u64 * self.step_per_request_us;
        step_us as f64 * speed
    }
}

/// Instances, engines and arrival rates of one availability zone.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneSheet {
    /// Name of the availability zone.
    pub name: String,
    /// Number of instances.
    pub instances: usize,
    /// Factor of the step time of each engine: 1 is the time of the shape, 2 is half as fast.
    pub engines: Vec<f64>,
    /// Mean arrival rate of online requests.
    pub online_per_s: f64,
    /// Mean arrival rate of batch jobs.
    pub jobs_per_s: f64,
}

/// Sizes, objectives and rates of online requests.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OnlineSheet {
    /// Mean length of the prompt in tokens.
    pub prompt_tokens: f64,
    /// Mean number of events of an answer.
    pub events: f64,
    /// Standard deviation of both, as a share of the mean.
    pub spread: f64,
    /// Objective for the time to the first event, in milliseconds.
    pub objective_ms: u64,
    /// Time after which the caller gives up.
    pub patience_ms: u64,
    /// Longest acceptable pause between events.
    pub pause_ms: u64,
    /// Number of times that a caller retries a refused request.
    pub retries: u32,
    /// Off-peak phase: factor of the mean rate, and duration in milliseconds.
    #[serde(rename = "ebb")]
    pub off_peak: (f64, u64),
    /// Peak phase: factor of the mean rate, and duration in milliseconds.
    #[serde(rename = "flood")]
    pub peak: (f64, u64),
}

/// Sizes and deadline of batch jobs.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BatchSheet {
    /// Mean number of items of a job.
    pub items: f64,
    /// Mean length of an item's prompt in tokens.
    pub prompt_tokens: f64,
    /// Mean number of events of an item.
    pub events: f64,
    /// Standard deviation of all three, as a share of the mean.
    pub spread: f64,
    /// Time from the arrival of a job to its deadline.
    pub due_ms: u64,
}

/// One-way latencies of messages.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Distances {
    /// Within an availability zone.
    pub in_zone_us: u64,
    /// Between two availability zones.
    pub cross_zone_us: u64,
}

/// A deployment as read from a sheet.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sheet {
    /// Name of the deployment, used in reports and file names.
    pub name: String,
    /// Shape of all engines.
    pub engine: EngineShape,
    /// Availability zones.
    pub zones: Vec<ZoneSheet>,
    /// Online requests.
    pub online: OnlineSheet,
    /// Batch jobs.
    pub batch: BatchSheet,
    /// Message latencies.
    pub distances: Distances,
}

/// Location of an engine or instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Site {
    /// Index of its availability zone.
    pub zone: usize,
    /// Speed factor of an engine; 1 for instances.
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

    /// All engines, in the order of their availability zones.
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

    /// All instances, in the order of their availability zones.
    pub fn instances(&self) -> Vec<Site> {
        let mut instances = Vec::new();
        for (zone, sheet) in self.zones.iter().enumerate() {
            let site = Site { zone, speed: 1.0 };
            instances.extend(std::iter::repeat_n(site, sheet.instances));
        }
        instances
    }

    /// One-way latency of a message between two sites, in microseconds.
    pub fn latency_us(&self, a: Site, b: Site) -> u64 {
        match a.zone == b.zone {
            true => self.distances.in_zone_us,
            false => self.distances.cross_zone_us,
        }
    }
}
