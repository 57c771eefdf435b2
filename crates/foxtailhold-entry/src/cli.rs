//! Command line of `foxtailhold-entry`, before its values are checked.

use argh::FromArgs;

/// One entry instance of foxtailhold. Every option can be given by its environment variable too;
/// the option goes first. Options without a default must be given.
#[derive(Debug, Default, FromArgs)]
pub struct Cli {
    /// unique name of this instance, at most 64 characters
    /// [env: FOXTAILHOLD_INSTANCE]
    #[argh(option)]
    pub instance: Option<String>,
    /// availability zone of this instance
    /// [env: FOXTAILHOLD_AVAILABILITY_ZONE]
    #[argh(option)]
    pub availability_zone: Option<String>,
    /// IP and port for callers, as they reach it
    /// [env: FOXTAILHOLD_CALLER_ADDRESS]
    #[argh(option)]
    pub caller_address: Option<String>,
    /// IP and port for peers, as they reach it
    /// [env: FOXTAILHOLD_PEER_ADDRESS]
    #[argh(option)]
    pub peer_address: Option<String>,
    /// IP and port for operators, as they reach it
    /// [env: FOXTAILHOLD_OPERATOR_ADDRESS]
    #[argh(option)]
    pub operator_address: Option<String>,
    /// IP and port of the platform
    /// [env: FOXTAILHOLD_PLATFORM_ADDRESS]
    #[argh(option)]
    pub platform_address: Option<String>,
    /// token that operator calls must carry, at least 8 characters; better given by its variable
    /// [env: FOXTAILHOLD_OPERATOR_TOKEN]
    #[argh(option)]
    pub operator_token: Option<String>,
    /// how long callers may keep the list of addresses, in ms, 100 to 60000; default 5000
    /// [env: FOXTAILHOLD_KEEP_FOR_MS]
    #[argh(option)]
    pub keep_for_ms: Option<String>,
    /// how long a planned stop waits for requests in flight, in ms; default 900000
    /// [env: FOXTAILHOLD_STOP_WAIT_MS]
    #[argh(option)]
    pub stop_wait_ms: Option<String>,
    /// batch items in flight from this instance at most, a number, with --batch-policy ordinary;
    /// default 24
    /// [env: FOXTAILHOLD_BATCH_SLOTS]
    #[argh(option)]
    pub batch_slots: Option<String>,
    /// engines that refuse orders with an old fencing number: all, none, or ids with commas between
    /// them; default none
    /// [env: FOXTAILHOLD_CHECKING_ENGINES]
    #[argh(option)]
    pub checking_engines: Option<String>,
    /// age of an ended batch job at which its orphaned result objects are deleted, in ms, 0 to
    /// 604800000; default 900000
    /// [env: FOXTAILHOLD_SWEEP_AFTER_MS]
    #[argh(option)]
    pub sweep_after_ms: Option<String>,
    /// how batch items are sent: steward, off or ordinary; default steward
    /// [env: FOXTAILHOLD_BATCH_POLICY]
    #[argh(option)]
    pub batch_policy: Option<String>,
    /// added to this machine's wall clock, in ms, where it is known to be wrong; default 0
    /// [env: FOXTAILHOLD_WALL_OFFSET_MS]
    #[argh(option)]
    pub wall_offset_ms: Option<String>,
    /// share of an engine's slots that batch may take, in percent, 1 to 100; default 100
    /// [env: FOXTAILHOLD_BATCH_SHARE_PERCENT]
    #[argh(option)]
    pub batch_share_percent: Option<String>,
    /// threads that run the program, a number up to 1024; default 0, one on each core
    /// [env: FOXTAILHOLD_WORKER_THREADS]
    #[argh(option)]
    pub worker_threads: Option<String>,
    /// memory that the process may use, in MB, 64 to 1048576; default 256
    /// [env: FOXTAILHOLD_MEMORY_MB]
    #[argh(option)]
    pub memory_mb: Option<String>,
    /// descriptors that the process may use, a number, 512 to 1048576; default 4096
    /// [env: FOXTAILHOLD_MAX_DESCRIPTORS]
    #[argh(option)]
    pub max_descriptors: Option<String>,
}
