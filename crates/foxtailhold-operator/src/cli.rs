//! Command line of `foxtail` as parsed by argh, before validation.
//!
//! The doc comments of the structs and of their fields are the help texts that `foxtail --help`
//! prints.

use argh::FromArgs;

/// Steer and watch foxtailhold instances.
#[derive(Debug, FromArgs)]
pub struct Cli {
    /// operator address of any instance, IP and port [env: FOXTAIL_INSTANCE]
    #[argh(option, short = 'i')]
    pub instance: Option<String>,
    /// operator token [env: FOXTAIL_TOKEN]
    #[argh(option)]
    pub token: Option<String>,
    /// print JSON instead of tables
    #[argh(switch)]
    pub json: bool,
    /// what to do
    #[argh(subcommand)]
    pub command: RawCommand,
}

/// Subcommands of `foxtail`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum RawCommand {
    /// `foxtail contract`.
    Contract(ContractCommand),
    /// `foxtail instances`.
    Instances(InstancesCommand),
    /// `foxtail backends`.
    Backends(BackendsCommand),
    /// `foxtail jobs`.
    Jobs(JobsCommand),
    /// `foxtail order`.
    Order(RawOrderCommand),
    /// `foxtail timeline`.
    Timeline(TimelineCommand),
}

/// Read and change contracts.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "contract")]
pub struct ContractCommand {
    /// what to do
    #[argh(subcommand)]
    pub command: ContractSubcommand,
}

/// Subcommands of `foxtail contract`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum ContractSubcommand {
    /// `foxtail contract get`.
    Get(GetCommand),
    /// `foxtail contract set`.
    Set(SetCommand),
    /// `foxtail contract list`.
    List(ListCommand),
    /// `foxtail contract remove`.
    Remove(RemoveCommand),
}

/// Show one customer's contract.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
pub struct GetCommand {
    /// customer id
    #[argh(positional)]
    pub customer: String,
}

/// Set a contract from a TOML file.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "set")]
pub struct SetCommand {
    /// path of the TOML document
    #[argh(positional)]
    pub file: String,
    /// version that the change replaces; read from the instance where not given
    #[argh(option)]
    pub expected_version: Option<u64>,
}

/// Remove one customer's contract: its keys stop working on all instances.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "remove")]
pub struct RemoveCommand {
    /// customer id
    #[argh(positional)]
    pub customer: String,
    /// version that is removed; read from the instance where not given
    #[argh(option)]
    pub expected_version: Option<u64>,
}

/// List all contracts.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub struct ListCommand {}

/// List instances with the contract change each has in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "instances")]
pub struct InstancesCommand {}

/// List backend servers.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "backends")]
pub struct BackendsCommand {}

/// List batch jobs that are not finished.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "jobs")]
pub struct JobsCommand {}

/// Merge the events of all instances, or the log lines in files, into one order.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "timeline")]
pub struct TimelineCommand {
    /// show only events of this request, job, customer or instance
    #[argh(option, long = "of")]
    pub id: Option<String>,
    /// with files and --of: show also lines of the same seconds about the backend servers and
    /// instances named
    #[argh(switch)]
    pub related: bool,
    /// files with log lines, - for the standard input; without files the instances are asked
    #[argh(positional)]
    pub files: Vec<String>,
}

/// Wanted states of engines.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "order")]
pub struct RawOrderCommand {
    /// what to do
    #[argh(subcommand)]
    pub command: RawOrderSubcommand,
}

/// Subcommands of `foxtail order`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum RawOrderSubcommand {
    /// `foxtail order set`.
    Set(RawSetOrder),
    /// `foxtail order list`.
    List(RawListOrders),
}

/// Set what an engine has to load and its role.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "set")]
pub struct RawSetOrder {
    /// backend server id of the engine
    #[argh(positional)]
    pub backend: String,
    /// model to load
    #[argh(option)]
    pub model: String,
    /// version of its weights
    #[argh(option)]
    pub version: String,
    /// adapter to load, in order; may be given more than once
    #[argh(option)]
    pub adapter: Vec<String>,
    /// mixed, online or batch; default mixed
    #[argh(option, default = "String::from(\"mixed\")")]
    pub role: String,
}

/// List the wanted states of all engines.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub struct RawListOrders {}
