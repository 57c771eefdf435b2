//! How long an engine may be silent before it is given up on. The bounds move with its load and
//! with the pace seen at it.

use crate::replicas::ReplicaLoad;

/// Least bound between two events.
pub const MIN_BOUND_MS: u64 = 2_000;
/// Largest bound.
pub const MAX_BOUND_MS: u64 = 120_000;
/// Time for the first event of an idle engine.
pub const FIRST_EVENT_MS: u64 = 5_000;
/// Bytes of a prompt that an engine reads in a millisecond at least.
pub const PREFILL_BYTES_PER_MS: u64 = 40;
/// Multiple of the mean gap between events that is still taken for life.
const GAP_FACTOR: u64 = 25;
/// Time of one request where none was seen.
const DEFAULT_SERVICE_MS: u64 = 2_000;
/// Multiple of the expected wait that is still taken for life.
const WAIT_FACTOR: u64 = 3;
/// Tokens of an answer where the request does not bound them.
const DEFAULT_TOKENS: u64 = 4_096;
/// Requests in a batch where the engine has not said.
const DEFAULT_SLOTS: u32 = 16;
/// Weight of the newest value in a mean, as a divisor.
const MEAN_SHARE: u64 = 8;

/// Pace of one engine as seen from here.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Pace {
    /// Mean time between events in µs; 0 before the first.
    pub gap_us: u64,
    /// Mean time of a request in ms; 0 before the first.
    pub service_ms: u64,
}

/// The mean moved by one new value.
pub fn moving_average(mean: u64, value: u64) -> u64 {
    if mean == 0 {
        return value.max(1);
    }
    ((mean * (MEAN_SHARE - 1) + value) / MEAN_SHARE).max(1)
}

/// Bound between two events of a stream.
pub fn next_event_bound_ms(pace: Pace) -> u64 {
    (pace.gap_us * GAP_FACTOR / 1_000).clamp(MIN_BOUND_MS, MAX_BOUND_MS)
}

/// Bound for the first event: the requests ahead, the prompt, and a margin.
pub fn first_event_bound_ms(load: &ReplicaLoad, pace: Pace, prompt_bytes: u64) -> u64 {
    let slots = match load.report.slots {
        0 => DEFAULT_SLOTS,
        slots => slots,
    };
    let rounds = u64::from(load.estimate() / slots);
    let service_ms = match pace.service_ms {
        0 => DEFAULT_SERVICE_MS,
        service_ms => service_ms,
    };
    let queue_ms = rounds * service_ms * WAIT_FACTOR;
    let prompt_ms = prompt_bytes / PREFILL_BYTES_PER_MS;
    (FIRST_EVENT_MS + queue_ms + prompt_ms).min(MAX_BOUND_MS)
}

/// Bound for a whole unstreamed answer of at most `max_tokens`.
pub fn full_response_bound_ms(
    load: &ReplicaLoad,
    pace: Pace,
    prompt_bytes: u64,
    max_tokens: Option<u64>,
) -> u64 {
    let first_ms = first_event_bound_ms(load, pace, prompt_bytes);
    if pace.gap_us == 0 {
        return MAX_BOUND_MS;
    }
    let tokens = max_tokens.unwrap_or(DEFAULT_TOKENS);
    let tokens_ms = tokens.saturating_mul(pace.gap_us) / 1_000;
    let answer_ms = tokens_ms.saturating_mul(WAIT_FACTOR);
    first_ms.saturating_add(answer_ms).min(MAX_BOUND_MS)
}
