//! A customer's contract: parses a TOML document and checks each field.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::ids::{CustomerId, IdError, TargetName};

/// Result of parsing or checking a contract.
pub type Result<T> = std::result::Result<T, ContractError>;

/// Shortest API key accepted, in bytes.
pub const MIN_API_KEY_BYTES: usize = 8;

/// Hex digits of a key's digest that are shown to operators.
const DIGEST_SHOWN: usize = 8;

/// SHA-256 of an API key as 64 lower-case hex digits. The key itself is never stored.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ApiKeyDigest(String);

impl ApiKeyDigest {
    /// Computes the digest of a key. Keys are looked up by digest, so that the time of a lookup
    /// reveals nothing about the bytes of a stored key.
    pub fn of(key: &str) -> Self {
        ApiKeyDigest(format!("{:x}", Sha256::digest(key.as_bytes())))
    }

    /// The digest as hex digits.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The first digits of the digest: enough to tell keys apart, too few to verify a guessed key.
    pub fn masked(&self) -> Self {
        let shown = &self.0[..DIGEST_SHOWN.min(self.0.len())];
        ApiKeyDigest(format!("{shown}…"))
    }
}

/// Why a document is not a valid contract.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum ContractError {
    /// The document is not TOML, or a field is unknown, missing or of the wrong type. The message
    /// names line and column.
    #[error("the contract cannot be read: {0}")]
    Syntax(#[from] toml::de::Error),
    /// The name of a customer, model or service is not valid.
    #[error("line {line}: field `{field}`: {source}")]
    Id {
        /// Name of the field.
        field: &'static str,
        /// Line in the document, from 1.
        line: usize,
        /// Why the name is not valid.
        source: IdError,
    },
    /// A value is outside its allowed range.
    #[error("line {line}: field `{field}` is {value}, it must be {wanted}")]
    OutOfRange {
        /// Name of the field.
        field: &'static str,
        /// Line in the document, from 1.
        line: usize,
        /// The value found.
        value: String,
        /// Description of the allowed values.
        wanted: &'static str,
    },
}

/// Priority class of a customer's online requests when they wait for admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// Admitted after the other two classes.
    Low,
    /// The default class.
    Normal,
    /// Admitted first.
    High,
}

/// A contract as written in TOML, before its values are checked.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawContract {
    customer: String,
    api_keys: Vec<String>,
    #[serde(default)]
    models: Vec<String>,
    #[serde(default)]
    services: Vec<String>,
    requests_per_s: f64,
    #[serde(default = "default_burst_requests")]
    burst_requests: u32,
    #[serde(default = "default_concurrent_requests")]
    concurrent_requests: u32,
    #[serde(default = "default_tokens_per_s")]
    tokens_per_s: f64,
    #[serde(default = "default_urgency")]
    urgency: Urgency,
    #[serde(default = "default_batch_window_s")]
    batch_window_s: u64,
    #[serde(default = "default_batch_items_queued")]
    batch_items_queued: u64,
}

fn default_burst_requests() -> u32 {
    20
}

fn default_concurrent_requests() -> u32 {
    64
}

fn default_tokens_per_s() -> f64 {
    10_000.0
}

fn default_urgency() -> Urgency {
    Urgency::Normal
}

fn default_batch_window_s() -> u64 {
    24 * 3600
}

fn default_batch_items_queued() -> u64 {
    1_000_000
}

/// A checked contract. All limits that apply to the customer are derived from it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Contract {
    /// The customer that holds the contract.
    pub customer: CustomerId,
    /// Digests of the API keys that authenticate the customer.
    pub api_keys: Vec<ApiKeyDigest>,
    /// Models that the customer may use; empty means all.
    pub models: Vec<TargetName>,
    /// Plain services that the customer may use; empty means all.
    pub services: Vec<TargetName>,
    /// Sustained rate of online requests, over all instances.
    pub requests_per_s: f64,
    /// Requests that may exceed the rate in one burst.
    pub burst_requests: u32,
    /// Most online requests in flight, over all instances.
    pub concurrent_requests: u32,
    /// Sustained rate of generated tokens, over all instances.
    pub tokens_per_s: f64,
    /// Priority class of the customer's online requests.
    pub urgency: Urgency,
    /// Time from the acceptance of a batch job to its deadline, in seconds.
    pub batch_window_s: u64,
    /// Most batch items that are accepted and not yet finished.
    pub batch_items_queued: u64,
}

/// Finds the lines of fields in a document, for error messages.
struct FieldLines<'a>(&'a str);

impl FieldLines<'_> {
    /// The line in which `field` is set, from 1; 1 if it is not set.
    fn of(&self, field: &str) -> usize {
        for (index, line) in self.0.lines().enumerate() {
            let Some(rest) = line.trim_start().strip_prefix(field) else {
                continue;
            };
            if rest.trim_start().starts_with('=') {
                return index + 1;
            }
        }
        1
    }
}

fn positive(lines: &FieldLines<'_>, field: &'static str, value: f64) -> Result<f64> {
    if value.is_finite() && value > 0.0 {
        return Ok(value);
    }
    Err(ContractError::OutOfRange {
        field,
        line: lines.of(field),
        value: value.to_string(),
        wanted: "a positive number",
    })
}

fn at_least_one<N: Into<u64> + Copy>(
    lines: &FieldLines<'_>,
    field: &'static str,
    value: N,
) -> Result<N> {
    if value.into() >= 1 {
        return Ok(value);
    }
    Err(ContractError::OutOfRange {
        field,
        line: lines.of(field),
        value: value.into().to_string(),
        wanted: "at least 1",
    })
}

fn names(lines: &FieldLines<'_>, field: &'static str, texts: &[String]) -> Result<Vec<TargetName>> {
    let mut checked = Vec::with_capacity(texts.len());
    for text in texts {
        let name = TargetName::try_from(text.as_str()).map_err(|source| ContractError::Id {
            field,
            line: lines.of(field),
            source,
        })?;
        checked.push(name);
    }
    Ok(checked)
}

fn check_keys(lines: &FieldLines<'_>, keys: &[String]) -> Result<()> {
    let line = lines.of("api_keys");
    if keys.is_empty() {
        return Err(ContractError::OutOfRange {
            field: "api_keys",
            line,
            value: "empty".into(),
            wanted: "a list of at least one key",
        });
    }
    for (index, key) in keys.iter().enumerate() {
        if keys[..index].contains(key) {
            return Err(ContractError::OutOfRange {
                field: "api_keys",
                line,
                value: "a list with one key twice".into(),
                wanted: "a list of different keys",
            });
        }
        let printable = key.bytes().all(|byte| byte.is_ascii_graphic());
        if printable && key.len() >= MIN_API_KEY_BYTES {
            continue;
        }
        return Err(ContractError::OutOfRange {
            field: "api_keys",
            line,
            value: format!("a key of {} bytes", key.len()),
            wanted: "keys of at least 8 visible ASCII characters",
        });
    }
    Ok(())
}

impl TryFrom<&str> for Contract {
    type Error = ContractError;

    fn try_from(document: &str) -> Result<Self> {
        let raw: RawContract = toml::from_str(document)?;
        let lines = FieldLines(document);
        let customer =
            CustomerId::try_from(raw.customer.as_str()).map_err(|source| ContractError::Id {
                field: "customer",
                line: lines.of("customer"),
                source,
            })?;
        check_keys(&lines, &raw.api_keys)?;
        Ok(Contract {
            customer,
            models: names(&lines, "models", &raw.models)?,
            services: names(&lines, "services", &raw.services)?,
            requests_per_s: positive(&lines, "requests_per_s", raw.requests_per_s)?,
            burst_requests: at_least_one(&lines, "burst_requests", raw.burst_requests)?,
            concurrent_requests: at_least_one(
                &lines,
                "concurrent_requests",
                raw.concurrent_requests,
            )?,
            tokens_per_s: positive(&lines, "tokens_per_s", raw.tokens_per_s)?,
            urgency: raw.urgency,
            batch_window_s: at_least_one(&lines, "batch_window_s", raw.batch_window_s)?,
            batch_items_queued: at_least_one(&lines, "batch_items_queued", raw.batch_items_queued)?,
            api_keys: raw
                .api_keys
                .iter()
                .map(|key| ApiKeyDigest::of(key))
                .collect(),
        })
    }
}

impl Contract {
    /// Whether `name` is in a contract's list of allowed models or services. An empty list allows
    /// all.
    pub fn allows(allowed: &[TargetName], name: &str) -> bool {
        allowed.is_empty() || allowed.iter().any(|target| target.as_str() == name)
    }
}
