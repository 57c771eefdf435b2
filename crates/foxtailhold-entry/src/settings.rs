//! Settings of one instance, from flags and environment variables, with their checks.

use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use foxtailhold::ids::{AvailabilityZone, IdError, InstanceId};
use foxtailhold::orders::FencingEngines;
use foxtailhold_http::machine::{DEFAULT_MAX_DESCRIPTORS, DEFAULT_MEMORY_MB, MachineLimits};
use miette::Diagnostic;
use thiserror::Error;

use crate::cli::Cli;

/// Default of `keep_for_ms`.
pub const DEFAULT_KEEP_FOR_MS: u64 = 5_000;
/// Default of `stop_wait_ms`.
pub const DEFAULT_STOP_WAIT_MS: u64 = 900_000;
/// Default of `batch_slots`.
pub const DEFAULT_BATCH_SLOTS: u64 = 24;
/// Default of `sweep_after_ms`.
pub const DEFAULT_SWEEP_AFTER_MS: u64 = 900_000;
/// Accepted values of `keep_for_ms`.
const KEEP_FOR_RANGE_MS: RangeInclusive<i64> = 100..=60_000;
/// Accepted values of `stop_wait_ms`.
const STOP_WAIT_RANGE_MS: RangeInclusive<i64> = 0..=3_600_000;
/// Accepted values of `batch_slots`.
const BATCH_SLOTS_RANGE: RangeInclusive<i64> = 1..=100_000;
/// Accepted values of `worker_threads`; 0 starts one thread per core.
const WORKER_THREADS_RANGE: RangeInclusive<i64> = 0..=1_024;
/// Accepted values of `batch_share_percent`.
const PERCENT_RANGE: RangeInclusive<i64> = 1..=100;
/// Accepted values of `sweep_after_ms`.
const SWEEP_AFTER_RANGE_MS: RangeInclusive<i64> = 0..=604_800_000;
/// Accepted values of `memory_mb`.
const MEMORY_RANGE_MB: RangeInclusive<i64> = 64..=1_048_576;
/// Accepted values of `max_descriptors`.
const DESCRIPTORS_RANGE: RangeInclusive<i64> = 512..=1_048_576;
/// Accepted values of `wall_offset_ms`: up to one day in either direction.
const WALL_OFFSET_RANGE_MS: RangeInclusive<i64> = -86_400_000..=86_400_000;
/// Default of `batch_policy`.
pub const DEFAULT_BATCH_POLICY: &str = "steward";
/// Minimum length of the operator token, in bytes.
pub const MIN_TOKEN_BYTES: usize = 8;

/// Maximum length of an instance name, in bytes. A request id contains the name and has to stay
/// within its own limit.
pub const MAX_INSTANCE_BYTES: usize = 64;

/// Result of checking settings.
pub type Result<T> = std::result::Result<T, SettingsError>;

/// Errors in the settings.
#[derive(Debug, Error, Diagnostic)]
pub enum SettingsError {
    /// A required setting is missing.
    #[error("setting --{option} is missing")]
    #[diagnostic(help("give --{option} or set {environment_variable}"))]
    Missing {
        /// Name of the option, without dashes.
        option: &'static str,
        /// Environment variable of the option.
        environment_variable: String,
    },
    /// A setting is not an IP address with a port.
    #[error("setting --{option} is {text:?}, it must be an IP address and a port")]
    #[diagnostic(help("for example 127.0.0.1:7100; port 0 lets the system choose"))]
    BadAddress {
        /// Name of the option, without dashes.
        option: &'static str,
        /// Text that was given.
        text: String,
    },
    /// An unspecified address, such as 0.0.0.0, to which nobody can connect.
    #[error("setting --{option} is {value}, but others must be able to connect to it")]
    #[diagnostic(help("give the IP address by which others reach this instance"))]
    Unspecified {
        /// Name of the option, without dashes.
        option: &'static str,
        /// Address that was given.
        value: SocketAddr,
    },
    /// The platform's address has port 0.
    #[error("setting --{option} is {value}, its port must not be 0")]
    NoPort {
        /// Name of the option, without dashes.
        option: &'static str,
        /// Address that was given.
        value: SocketAddr,
    },
    /// A setting is not a whole number in its range.
    #[error("setting --{option} is {text:?}, it must be a whole number from {least} to {most}")]
    #[diagnostic(help("without the setting its default is used; see --help"))]
    BadNumber {
        /// Name of the option, without dashes.
        option: &'static str,
        /// Text that was given.
        text: String,
        /// Least accepted value.
        least: i64,
        /// Greatest accepted value.
        most: i64,
    },
    /// A setting is not a valid id.
    #[error("setting --{option}: {source}")]
    BadId {
        /// Name of the option, without dashes.
        option: &'static str,
        /// What is wrong with the id.
        source: IdError,
    },
    /// A setting is not one of its choices.
    #[error("setting --{option} is {text:?}, it must be one of {choices}")]
    BadChoice {
        /// Name of the option, without dashes.
        option: &'static str,
        /// Text that was given.
        text: String,
        /// Accepted texts, separated by commas.
        choices: &'static str,
    },
    /// Two settings give the same address.
    #[error("settings --{first} and --{second} are both {value}")]
    #[diagnostic(help("callers, peers and operators each need a port of their own"))]
    SameAddress {
        /// Name of one option.
        first: &'static str,
        /// Name of the other option.
        second: &'static str,
        /// Address that both give.
        value: SocketAddr,
    },
    /// The instance name is too long to be part of request ids.
    #[error(
        "setting --instance has {length_bytes} bytes, it may have at most {MAX_INSTANCE_BYTES}"
    )]
    LongInstance {
        /// Length of the name.
        length_bytes: usize,
    },
    /// The operator token is too short.
    #[error("setting --operator-token has {length_bytes} bytes, it must have at least 8")]
    ShortToken {
        /// Length of the token.
        length_bytes: usize,
    },
    /// The operator token has characters that cannot be sent in a header.
    #[error("setting --operator-token has a character that is not visible ASCII")]
    BadToken,
}

/// How batch items are sent to engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BatchPolicy {
    /// As streams, under the congestion windows of the engines' batch controllers.
    Controlled,
    /// Not at all: jobs are accepted and wait. A baseline for measurements.
    Off,
    /// As ordinary requests to the least loaded engine. A baseline for measurements.
    Ordinary,
}

impl TryFrom<&str> for BatchPolicy {
    type Error = SettingsError;

    fn try_from(text: &str) -> Result<Self> {
        match text {
            "steward" => Ok(BatchPolicy::Controlled),
            "off" => Ok(BatchPolicy::Off),
            "ordinary" => Ok(BatchPolicy::Ordinary),
            _ => Err(SettingsError::BadChoice {
                option: "batch-policy",
                text: text.to_owned(),
                choices: "steward, off, ordinary",
            }),
        }
    }
}

/// Checked settings of one instance.
#[derive(Clone)]
pub struct Settings {
    /// Unique name of the instance.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub availability_zone: AvailabilityZone,
    /// Address for requests of callers; port 0 lets the system choose, and the bound port replaces
    /// it at start.
    pub caller_address: SocketAddr,
    /// Address for messages of peers; port 0 as above.
    pub peer_address: SocketAddr,
    /// Address for calls of operators; port 0 as above.
    pub operator_address: SocketAddr,
    /// Address of the platform.
    pub platform_address: SocketAddr,
    /// Token that operator calls must carry.
    pub operator_token: String,
    /// How long callers may keep the list of addresses.
    pub keep_for_ms: u64,
    /// How long a planned stop waits for requests in flight.
    pub stop_wait_ms: u64,
    /// Maximum number of batch items in flight from this instance, under [`BatchPolicy::Ordinary`].
    pub batch_slots: u64,
    /// Engines that refuse orders with an old fencing number.
    pub checking_engines: FencingEngines,
    /// Age of an ended batch job at which its orphaned result objects are deleted.
    pub sweep_after_ms: u64,
    /// Offset added to the wall clock, for machines whose clock is known to be wrong.
    pub wall_offset_ms: i64,
    /// How batch items are sent to engines.
    pub batch_policy: BatchPolicy,
    /// Share of an engine's slots that batch work may take, under [`BatchPolicy::Controlled`].
    pub batch_share_percent: u64,
    /// Worker threads of the runtime; 0 starts one per core.
    pub worker_threads: u64,
    /// Memory and descriptors that the process may use.
    pub machine_limits: MachineLimits,
}

impl fmt::Debug for Settings {
    /// Omits the operator token, so that it does not get into logs.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut text = formatter.debug_struct("Settings");
        text.field("instance", &self.instance)
            .field("availability_zone", &self.availability_zone)
            .field("caller_address", &self.caller_address)
            .field("peer_address", &self.peer_address)
            .field("operator_address", &self.operator_address)
            .field("platform_address", &self.platform_address)
            .field("keep_for_ms", &self.keep_for_ms)
            .field("stop_wait_ms", &self.stop_wait_ms)
            .field("batch_slots", &self.batch_slots)
            .field("batch_policy", &self.batch_policy)
            .field("batch_share_percent", &self.batch_share_percent)
            .field("wall_offset_ms", &self.wall_offset_ms)
            .field("worker_threads", &self.worker_threads)
            .field("machine_limits", &self.machine_limits)
            .finish_non_exhaustive()
    }
}

struct SettingValue {
    option: &'static str,
    value: Option<String>,
}

impl SettingValue {
    /// Takes the value of the flag, or else of the option's environment variable.
    fn new(option: &'static str, flag: Option<String>) -> Self {
        let value = flag.or_else(|| std::env::var(environment_variable(option)).ok());
        SettingValue { option, value }
    }

    fn text(self) -> Result<String> {
        let option = self.option;
        self.value.ok_or_else(|| SettingsError::Missing {
            option,
            environment_variable: environment_variable(option),
        })
    }

    fn address(self) -> Result<SocketAddr> {
        let option = self.option;
        let text = self.text()?;
        let value: SocketAddr = text
            .parse()
            .map_err(|_| SettingsError::BadAddress { option, text })?;
        if value.ip().is_unspecified() {
            return Err(SettingsError::Unspecified { option, value });
        }
        Ok(value)
    }

    fn number(self, default: i64, range: RangeInclusive<i64>) -> Result<i64> {
        let option = self.option;
        let Some(text) = self.value else {
            return Ok(default);
        };
        match text.parse() {
            Ok(number) if range.contains(&number) => Ok(number),
            _ => Err(SettingsError::BadNumber {
                option,
                text,
                least: *range.start(),
                most: *range.end(),
            }),
        }
    }

    fn checking_engines(self) -> Result<FencingEngines> {
        let option = self.option;
        let text = self.value.unwrap_or_else(|| "none".into());
        FencingEngines::try_from(text.as_str())
            .map_err(|source| SettingsError::BadId { option, source })
    }

    fn count(self, default: u64, range: RangeInclusive<i64>) -> Result<u64> {
        Ok(self.number(default as i64, range)?.unsigned_abs())
    }

    fn id<'a, T>(self, text: &'a str) -> Result<T>
    where
        T: TryFrom<&'a str, Error = IdError>,
    {
        let option = self.option;
        T::try_from(text).map_err(|source| SettingsError::BadId { option, source })
    }
}

fn environment_variable(option: &str) -> String {
    format!("FOXTAILHOLD_{}", option.replace('-', "_").to_uppercase())
}

fn check_distinct(
    first: (&'static str, SocketAddr),
    second: (&'static str, SocketAddr),
) -> Result<()> {
    if first.1 != second.1 || first.1.port() == 0 {
        return Ok(());
    }
    Err(SettingsError::SameAddress {
        first: first.0,
        second: second.0,
        value: first.1,
    })
}

impl TryFrom<Cli> for Settings {
    type Error = SettingsError;

    fn try_from(cli: Cli) -> Result<Self> {
        let instance = SettingValue::new("instance", cli.instance).text()?;
        let zone = SettingValue::new("availability-zone", cli.availability_zone).text()?;
        let token = SettingValue::new("operator-token", cli.operator_token).text()?;
        let caller = SettingValue::new("caller-address", cli.caller_address).address()?;
        let peer = SettingValue::new("peer-address", cli.peer_address).address()?;
        let operator = SettingValue::new("operator-address", cli.operator_address).address()?;
        check_distinct(("caller-address", caller), ("peer-address", peer))?;
        check_distinct(("caller-address", caller), ("operator-address", operator))?;
        check_distinct(("peer-address", peer), ("operator-address", operator))?;
        if instance.len() > MAX_INSTANCE_BYTES {
            let length_bytes = instance.len();
            return Err(SettingsError::LongInstance { length_bytes });
        }
        if !token.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(SettingsError::BadToken);
        }
        if token.len() < MIN_TOKEN_BYTES {
            let length_bytes = token.len();
            return Err(SettingsError::ShortToken { length_bytes });
        }
        let platform = SettingValue::new("platform-address", cli.platform_address).address()?;
        if platform.port() == 0 {
            return Err(SettingsError::NoPort {
                option: "platform-address",
                value: platform,
            });
        }
        for own in [("caller-address", caller), ("peer-address", peer)] {
            check_distinct(own, ("platform-address", platform))?;
        }
        check_distinct(
            ("operator-address", operator),
            ("platform-address", platform),
        )?;
        let keep_for_ms = SettingValue::new("keep-for-ms", cli.keep_for_ms)
            .count(DEFAULT_KEEP_FOR_MS, KEEP_FOR_RANGE_MS)?;
        let stop_wait_ms = SettingValue::new("stop-wait-ms", cli.stop_wait_ms)
            .count(DEFAULT_STOP_WAIT_MS, STOP_WAIT_RANGE_MS)?;
        let batch_policy = SettingValue::new("batch-policy", cli.batch_policy).value;
        let batch_policy = batch_policy.as_deref().unwrap_or(DEFAULT_BATCH_POLICY);
        Ok(Settings {
            instance: SettingValue::new("instance", None).id(&instance)?,
            availability_zone: SettingValue::new("availability-zone", None).id(&zone)?,
            caller_address: caller,
            peer_address: peer,
            operator_address: operator,
            platform_address: platform,
            operator_token: token,
            keep_for_ms,
            stop_wait_ms,
            batch_slots: SettingValue::new("batch-slots", cli.batch_slots)
                .count(DEFAULT_BATCH_SLOTS, BATCH_SLOTS_RANGE)?,
            checking_engines: SettingValue::new("checking-engines", cli.checking_engines)
                .checking_engines()?,
            sweep_after_ms: SettingValue::new("sweep-after-ms", cli.sweep_after_ms)
                .count(DEFAULT_SWEEP_AFTER_MS, SWEEP_AFTER_RANGE_MS)?,
            batch_policy: BatchPolicy::try_from(batch_policy)?,
            wall_offset_ms: SettingValue::new("wall-offset-ms", cli.wall_offset_ms)
                .number(0, WALL_OFFSET_RANGE_MS)?,
            batch_share_percent: SettingValue::new("batch-share-percent", cli.batch_share_percent)
                .count(100, PERCENT_RANGE)?,
            worker_threads: SettingValue::new("worker-threads", cli.worker_threads)
                .count(0, WORKER_THREADS_RANGE)?,
            machine_limits: MachineLimits {
                memory_mb: SettingValue::new("memory-mb", cli.memory_mb)
                    .count(DEFAULT_MEMORY_MB, MEMORY_RANGE_MB)?,
                max_descriptors: SettingValue::new("max-descriptors", cli.max_descriptors)
                    .count(DEFAULT_MAX_DESCRIPTORS, DESCRIPTORS_RANGE)?,
            },
        })
    }
}
