//! Checked options of `foxtail`.

use std::net::SocketAddr;
use std::path::PathBuf;

use foxtailhold::ids::{BackendId, CustomerId, IdError, TargetName};
use foxtailhold::orders::{EngineSetup, Role};
use miette::Diagnostic;
use thiserror::Error;

use crate::cli::{
    Cli, ContractSubcommand, RawCommand, RawOrderCommand, RawOrderSubcommand, TimelineCommand,
};

/// Environment variable with the operator address.
pub const INSTANCE_VARIABLE: &str = "FOXTAIL_INSTANCE";
/// Environment variable with the operator token.
pub const TOKEN_VARIABLE: &str = "FOXTAIL_TOKEN";

/// Result of checking the command line.
pub type Result<T> = std::result::Result<T, OptionsError>;

/// What is wrong with the command line.
#[derive(Debug, Error, Diagnostic)]
pub enum OptionsError {
    /// An option is missing.
    #[error("--{option} is missing")]
    #[diagnostic(help("give --{option} or set {variable}"))]
    Missing {
        /// The option.
        option: &'static str,
        /// Its environment variable.
        variable: &'static str,
    },
    /// The address is wrong.
    #[error("--instance is {text:?}, it must be an IP address and a port such as 127.0.0.1:7102")]
    BadAddress {
        /// The text given.
        text: String,
    },
    /// The role is wrong.
    #[error("--role is {text:?}, it must be mixed, online or batch")]
    BadRole {
        /// The text given.
        text: String,
    },
    /// Related lines of nothing, or of no files.
    #[error("--related needs --of and log files")]
    RelatedWithoutTarget,
    /// The customer is wrong.
    #[error(transparent)]
    BadCustomer(#[from] IdError),
}

/// What to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Show one contract.
    GetContract(CustomerId),
    /// Set a contract.
    SetContract {
        /// The document's file.
        file: PathBuf,
        /// The version replaced; asked for where not given.
        expected_version: Option<u64>,
    },
    /// Remove a contract.
    RemoveContract {
        /// Whose.
        customer: CustomerId,
        /// The version removed; asked for where not given.
        expected_version: Option<u64>,
    },
    /// List contracts.
    ListContracts,
    /// List instances.
    Instances,
    /// List backend servers.
    Backends,
    /// List jobs.
    Jobs,
    /// Wanted states of engines.
    Order(OrderCommand),
    /// Show the time line, of one request, job, customer or instance where given.
    Timeline {
        /// Identifier that an event must have.
        of: Option<String>,
    },
}

/// Lines to show of log files.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogQuery {
    /// The files; `-` is the standard input.
    pub files: Vec<PathBuf>,
    /// Identifier that a line must name.
    pub of: Option<String>,
    /// Whether lines about what these lines name are shown too.
    pub related: bool,
}

/// How an instance is reached.
#[derive(Debug, Clone)]
pub struct Access {
    /// Operator address of an instance.
    pub instance: SocketAddr,
    /// Operator token.
    pub token: String,
}

/// What is to be done, and where.
#[derive(Debug, Clone)]
pub enum Task {
    /// At instances.
    Instances(Access, Command),
    /// With log files.
    Logs(LogQuery),
}

/// Checked options.
#[derive(Debug, Clone)]
pub struct Options {
    /// Whether to print JSON.
    pub json: bool,
    /// What to do.
    pub task: Task,
}

fn flag_or_env(
    value: Option<String>,
    option: &'static str,
    variable: &'static str,
) -> Result<String> {
    value
        .or_else(|| std::env::var(variable).ok())
        .ok_or(OptionsError::Missing { option, variable })
}

impl TryFrom<Cli> for Options {
    type Error = OptionsError;

    fn try_from(cli: Cli) -> Result<Self> {
        let json = cli.json;
        let task = match cli.command {
            RawCommand::Timeline(timeline) if !timeline.files.is_empty() => {
                Task::Logs(LogQuery::try_from(timeline)?)
            }
            command => {
                let access = Access::from_flags(cli.instance, cli.token)?;
                Task::Instances(access, Command::try_from(command)?)
            }
        };
        Ok(Options { json, task })
    }
}

impl Access {
    fn from_flags(instance: Option<String>, token: Option<String>) -> Result<Self> {
        let instance = flag_or_env(instance, "instance", INSTANCE_VARIABLE)?;
        let instance = instance
            .parse()
            .map_err(|_| OptionsError::BadAddress { text: instance })?;
        let token = flag_or_env(token, "token", TOKEN_VARIABLE)?;
        Ok(Access { instance, token })
    }
}

impl TryFrom<TimelineCommand> for LogQuery {
    type Error = OptionsError;

    fn try_from(raw: TimelineCommand) -> Result<Self> {
        if raw.related && raw.of.is_none() {
            return Err(OptionsError::RelatedWithoutTarget);
        }
        Ok(LogQuery {
            files: raw.files.into_iter().map(PathBuf::from).collect(),
            of: raw.of,
            related: raw.related,
        })
    }
}

impl TryFrom<RawCommand> for Command {
    type Error = OptionsError;

    fn try_from(raw: RawCommand) -> Result<Self> {
        Ok(match raw {
            RawCommand::Contract(contract) => match contract.command {
                ContractSubcommand::Get(get) => {
                    Command::GetContract(CustomerId::try_from(get.customer.as_str())?)
                }
                ContractSubcommand::Set(set) => Command::SetContract {
                    file: set.file.into(),
                    expected_version: set.expected_version,
                },
                ContractSubcommand::Remove(remove) => Command::RemoveContract {
                    customer: CustomerId::try_from(remove.customer.as_str())?,
                    expected_version: remove.expected_version,
                },
                ContractSubcommand::List(_) => Command::ListContracts,
            },
            RawCommand::Instances(_) => Command::Instances,
            RawCommand::Backends(_) => Command::Backends,
            RawCommand::Jobs(_) => Command::Jobs,
            RawCommand::Order(order) => Command::Order(OrderCommand::try_from(order)?),
            RawCommand::Timeline(timeline) if timeline.related => {
                return Err(OptionsError::RelatedWithoutTarget);
            }
            RawCommand::Timeline(timeline) => Command::Timeline { of: timeline.of },
        })
    }
}

/// What to do with wanted states, checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderCommand {
    /// Set one.
    Set(BackendId, EngineSetup),
    /// List all.
    List,
}

fn role(text: &str) -> Result<Role> {
    match text {
        "mixed" => Ok(Role::Mixed),
        "online" => Ok(Role::Online),
        "batch" => Ok(Role::Batch),
        _ => Err(OptionsError::BadRole {
            text: text.to_owned(),
        }),
    }
}

impl TryFrom<RawOrderCommand> for OrderCommand {
    type Error = OptionsError;

    fn try_from(raw: RawOrderCommand) -> Result<Self> {
        let RawOrderSubcommand::Set(set) = raw.command else {
            return Ok(OrderCommand::List);
        };
        let backend = BackendId::try_from(set.backend.as_str())?;
        let setup = EngineSetup {
            model: TargetName::try_from(set.model.as_str())?,
            version: set.version,
            adapters: set.adapter,
            role: role(&set.role)?,
        };
        Ok(OrderCommand::Set(backend, setup))
    }
}
