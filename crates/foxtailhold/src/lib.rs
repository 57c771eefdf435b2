//! Decision logic of the foxtailhold serving system, without I/O.
//!
//! The modules are state machines that take the time ([`time::MonoMs`]) and typed messages as
//! arguments. The other crates do the I/O and call these state machines. Tests and fuzzers call
//! them directly.
#![warn(clippy::unwrap_used)]

pub mod absence;
pub mod act_lease;
pub mod admission;
pub mod attempt_counts;
pub mod batch;
pub mod batch_control;
pub mod breaker;
pub mod contract;
pub mod contract_registry;
pub mod contract_sync;
pub mod crash_evidence;
pub mod crash_status;
pub mod crashes;
pub mod end_rounds;
pub mod fingerprint;
pub mod idempotency;
pub mod ids;
pub mod item_backoff;
pub mod item_duration;
pub mod lease;
pub mod lease_row;
pub mod leaving;
pub mod limits;
pub mod membership;
pub mod orders;
pub mod origin_history;
pub mod origin_log;
pub mod outage_return;
pub mod part_crash;
pub mod part_crashes;
mod part_groups;
pub mod prompt_parts;
pub mod quarantine;
pub mod recent_parts;
pub mod recent_table;
pub mod refusal;
pub mod rendezvous;
pub mod replicas;
pub mod retry;
pub mod routes;
pub mod routing;
pub mod slots;
pub mod software_version;
pub mod stall;
pub mod stream_origins;
pub mod suspect;
pub mod time;
pub mod timeline;
pub mod trials;
pub mod turns;
