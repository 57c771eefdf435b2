//! Command line options of `foxtailhold-standin`.

use argh::FromArgs;

/// Stand-ins for what surrounds foxtailhold, and commands that use them.
#[derive(Debug, FromArgs)]
pub struct Cli {
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// The subcommands.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Runs a platform stand-in.
    Platform(PlatformCommand),
    /// Runs an engine stand-in.
    Engine(EngineCommand),
    /// Runs a stand-in for a plain service.
    Service(ServiceCommand),
    /// Adds an instance to the platform's fleet list.
    AddInstance(AddInstanceCommand),
    /// Runs the demo with an embedded deployment.
    Demo(DemoCommand),
    /// Measures online and batch load through separate processes.
    Load(LoadCommand),
    /// Measures latency, throughput and memory of one instance.
    Bench(BenchCommand),
    /// Measures the idle cost of instances by the size of the deployment.
    Slopes(SlopesCommand),
}

/// Run the platform's stand-in until SIGTERM.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
pub struct PlatformCommand {
    /// IP and port; default 127.0.0.1:0
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    pub address: String,
    /// lag of the fleet list in ms; default 500
    #[argh(option, default = "500")]
    pub fleet_lag_ms: u64,
    /// weights handed out each second at most; default 4
    #[argh(option, default = "4")]
    pub weights_per_s: u32,
}

/// Run a model engine's stand-in until SIGTERM.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "engine")]
pub struct EngineCommand {
    /// IP and port; default 127.0.0.1:0
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    pub address: String,
    /// identifier in the fleet list
    #[argh(option)]
    pub id: String,
    /// availability zone in the fleet list
    #[argh(option)]
    pub availability_zone: String,
    /// take orders whatever their fencing number
    #[argh(switch)]
    pub ignores_fencing: bool,
    /// model served; default "ranger"
    #[argh(option, default = "String::from(\"ranger\")")]
    pub model: String,
    /// software version in the fleet list; default none
    #[argh(option, default = "String::new()")]
    pub software_version: String,
    /// IP and port of the platform's stand-in
    #[argh(option)]
    pub platform_address: String,
    /// requests in the running batch at most; default 16
    #[argh(option, default = "16")]
    pub slots: usize,
    /// time of a step with an empty batch in µs, 0 for answers at once; default 4000
    #[argh(option, default = "4000")]
    pub step_us: u64,
    /// crash on a prompt that contains this text
    #[argh(option)]
    pub crash_on: Option<String>,
    /// tokens generated for such a prompt before the crash; default 0
    #[argh(option, default = "0")]
    pub crash_after_tokens: u64,
    /// time added to a step by each running request in µs; default 250
    #[argh(option, default = "250")]
    pub step_per_request_us: u64,
    /// requests that may wait; default 256
    #[argh(option, default = "256")]
    pub max_waiting: usize,
}

/// Run a plain service's stand-in until SIGTERM.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "service")]
pub struct ServiceCommand {
    /// IP and port; default 127.0.0.1:0
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    pub address: String,
    /// identifier in the fleet list
    #[argh(option)]
    pub id: String,
    /// availability zone in the fleet list
    #[argh(option)]
    pub availability_zone: String,
    /// service served; default "portal"
    #[argh(option, default = "String::from(\"portal\")")]
    pub service: String,
    /// IP and port of the platform's stand-in
    #[argh(option)]
    pub platform_address: String,
}

/// Add an instance to the platform's fleet list.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "add-instance")]
pub struct AddInstanceCommand {
    /// the instance
    #[argh(option)]
    pub id: String,
    /// its IP and port for peers
    #[argh(option)]
    pub peer_address: String,
    /// IP and port of the platform's stand-in
    #[argh(option)]
    pub platform_address: String,
}

/// Run the main job with embedded stand-ins and print a report.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct DemoCommand {
    /// items of the batch job; default 300
    #[argh(option, default = "300")]
    pub items: usize,
}

/// Send a deployment's day through separate processes, once for each batch policy, and print what
/// callers saw. The programs must stand in the directory of this one.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "load")]
pub struct LoadCommand {
    /// granite-trail (default) or huon-tracks
    #[argh(option, default = "String::from(\"granite-trail\")")]
    pub deployment: String,
    /// batch policies with commas between: off, today, steward, ordinary; default off,today
    #[argh(option, default = "String::from(\"off,today\")")]
    pub policies: String,
    /// length of a phase in s; default 10
    #[argh(option, default = "10")]
    pub phase_s: u64,
    /// how often everything is repeated; default 1
    #[argh(option, default = "1")]
    pub rounds: u64,
    /// seed of the arrivals; default 1
    #[argh(option, default = "1")]
    pub seed: u64,
    /// entry instances; default 10
    #[argh(option, default = "10")]
    pub instances: usize,
    /// engines; default 9
    #[argh(option, default = "9")]
    pub engines: usize,
    /// replicas of the plain service; default 3
    #[argh(option, default = "3")]
    pub services: usize,
    /// slots of each engine; default 16
    #[argh(option, default = "16")]
    pub slots: usize,
    /// step of an engine with an empty batch in µs; default 12000
    #[argh(option, default = "12000")]
    pub step_us: u64,
    /// time added to a step by each running request in µs; default 500
    #[argh(option, default = "500")]
    pub step_per_request_us: u64,
    /// also the phases with faults
    #[argh(switch)]
    pub faults: bool,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    /// directory for SVG plots
    #[argh(option)]
    pub plots: Option<String>,
}

/// Measure the speed of one instance against an engine's stand-in. The programs must stand in the
/// directory of this one.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "bench")]
pub struct BenchCommand {
    /// latency, throughput, memory or all; default all
    #[argh(option, default = "String::from(\"all\")")]
    pub part: String,
    /// how often it is repeated; default 1
    #[argh(option, default = "1")]
    pub rounds: u64,
    /// pairs of requests for the latency; default 5000
    #[argh(option, default = "5000")]
    pub requests: usize,
    /// length of a throughput measurement in s; default 5
    #[argh(option, default = "5")]
    pub seconds: u64,
    /// open streams of the second memory measurement; default 9500, since an instance holds two
    /// connections for each stream and the limit of open files is often 20000
    #[argh(option, default = "9500")]
    pub streams: usize,
}

/// Measure what the roles of an instance cost against the numbers of instances, replicas, jobs and
/// customers. The programs must stand in the directory of this one.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "slopes")]
pub struct SlopesCommand {
    /// customers, instances, replicas, jobs or all; default all
    #[argh(option, default = "String::from(\"all\")")]
    pub part: String,
    /// length of a measurement in s; default 10
    #[argh(option, default = "10")]
    pub seconds: u64,
    /// numbers of instances; default 3,6,11,25,50
    #[argh(option, default = "String::from(\"3,6,11,25,50\")")]
    pub instances: String,
    /// numbers of replicas; default 10,100,355,710
    #[argh(option, default = "String::from(\"10,100,355,710\")")]
    pub replicas: String,
    /// numbers of open jobs; default 0,50,200,800
    #[argh(option, default = "String::from(\"0,50,200,800\")")]
    pub jobs: String,
}
