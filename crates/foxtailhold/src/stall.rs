//! Time limits after which a silent engine is given up. They adapt to its load and to the latencies
//! observed at it.

use crate::replicas::ReplicaLoad;

/// Least time limit between two events.
pub const MIN_BOUND_MS: u64 = 2_000;
/// Largest time limit.
pub const MAX_BOUND_MS: u64 = 120_000;
/// Time allowed for the first event of an idle engine.
pub const FIRST_EVENT_MS: u64 = 5_000;
/// Prompt bytes that an engine reads per millisecond at least.
pub const PREFILL_BYTES_PER_MS: u64 = 40;
/// Multiple of the mean gap between events up to which a stream counts as alive.
const GAP_FACTOR: u64 = 25;
/// Duration of a request where none was observed.
const DEFAULT_SERVICE_MS: u64 = 2_000;
/// Multiple of the expected wait up to which an engine counts as alive.
const WAIT_FACTOR: u64 = 3;
/// Tokens of a response where the request sets no maximum.
const DEFAULT_TOKENS: u64 = 4_096;
/// Slots of an engine that has not reported them.
const DEFAULT_SLOTS: u32 = 16;
/// Weight of the newest value in a moving average, as a divisor.
const MEAN_DIVISOR: u64 = 8;

/// Latencies of one engine as observed by this instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineLatency {
    /// Mean time between events in µs; 0 before the first.
    pub gap_us: u64,
    /// Mean duration of a request in ms; 0 before the first.
    pub service_ms: u64,
}

/// The moving average after one more value; 0 stands for no value so far.
pub fn moving_average(mean: u64, value: u64) -> u64 {
    if mean == 0 {
        return value.max(1);
    }
    ((mean * (MEAN_DIVISOR - 1) + value) / MEAN_DIVISOR).max(1)
}

/// Time limit between two events of a stream.
pub fn next_event_bound_ms(latency: EngineLatency) -> u64 {
    (latency.gap_us * GAP_FACTOR / 1_000).clamp(MIN_BOUND_MS, MAX_BOUND_MS)
}

/// Time limit for the first event: the requests ahead, the prompt, and a margin.
pub fn first_event_bound_ms(load: &ReplicaLoad, latency: EngineLatency, prompt_bytes: u64) -> u64 {
    let slots = match load.report.slots {
        0 => DEFAULT_SLOTS,
        slots => slots,
    };
    let rounds = u64::from(load.estimate() / slots);
    let service_ms = match latency.service_ms {
        0 => DEFAULT_SERVICE_MS,
        service_ms => service_ms,
    };
    let queue_ms = rounds * service_ms * WAIT_FACTOR;
    let prompt_ms = prompt_bytes / PREFILL_BYTES_PER_MS;
    (FIRST_EVENT_MS + queue_ms + prompt_ms).min(MAX_BOUND_MS)
}

/// Time limit for a whole unstreamed response of at most `max_tokens`.
pub fn full_response_bound_ms(
    load: &ReplicaLoad,
    latency: EngineLatency,
    prompt_bytes: u64,
    max_tokens: Option<u64>,
) -> u64 {
    let first_ms = first_event_bound_ms(load, latency, prompt_bytes);
    if latency.gap_us == 0 {
        return MAX_BOUND_MS;
    }
    let tokens = max_tokens.unwrap_or(DEFAULT_TOKENS);
    let tokens_ms = tokens.saturating_mul(latency.gap_us) / 1_000;
    let answer_ms = tokens_ms.saturating_mul(WAIT_FACTOR);
    first_ms.saturating_add(answer_ms).min(MAX_BOUND_MS)
}
