//! Validated options of `foxtail`.

use std::net::SocketAddr;
use std::path::PathBuf;

use foxtailhold::ids::{BackendId, CustomerId, IdError, TargetName};
use foxtailhold::orders::{EngineSetup, Role};
use miette::Diagnostic;
use thiserror::Error;

use crate::cli::{
    Cli, ContractSubcommand, RawCommand, RawOrderCommand, RawOrderSubcommand, TimelineCommand,
};

/// Environment variable that holds the operator address; used if `--instance` is not given.
pub const INSTANCE_VARIABLE: &str = "FOXTAIL_INSTANCE";
/// Environment variable that holds the operator token; used if `--token` is not given.
pub const TOKEN_VARIABLE: &str = "FOXTAIL_TOKEN";

/// Result of validating the command line.
pub type Result<T> = std::result::Result<T, OptionsError>;

/// Why the command line is invalid.
#[derive(Debug, Error, Diagnostic)]
pub enum OptionsError {
    /// Neither a required option nor its environment variable is set.
    #[error("--{option} is missing")]
    #[diagnostic(help("give --{option} or set {variable}"))]
    Missing {
        /// Name of the option, without dashes.
        option: &'static str,
        /// Environment variable that can replace the option.
        variable: &'static str,
    },
    /// `--instance` is not an IP address with a port.
    #[error("--instance is {text:?}, it must be an IP address and a port such as 127.0.0.1:7102")]
    BadAddress {
        /// Value of the option.
        text: String,
    },
    /// `--role` is unknown.
    #[error("--role is {text:?}, it must be mixed, online or batch")]
    BadRole {
        /// Value of the option.
        text: String,
    },
    /// `--related` was given without `--of` or without log files.
    #[error("--related needs --of and log files")]
    RelatedWithoutTarget,
    /// A customer, backend server or model name is invalid.
    #[error(transparent)]
    BadCustomer(#[from] IdError),
}

/// A command that is run at an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Show the contract of a customer.
    GetContract(CustomerId),
    /// Set a contract from a TOML document.
    SetContract {
        /// Path of the document.
        file: PathBuf,
        /// Version that the change replaces. If `None`, the current version is read from the
        /// instance.
        expected_version: Option<u64>,
    },
    /// Remove a contract.
    RemoveContract {
        /// Customer whose contract is removed.
        customer: CustomerId,
        /// Version that is removed. If `None`, the current version is read from the instance.
        expected_version: Option<u64>,
    },
    /// List contracts.
    ListContracts,
    /// List instances.
    Instances,
    /// List backend servers.
    Backends,
    /// List batch jobs that are not finished.
    Jobs,
    /// Set or list desired states of engines.
    Order(OrderCommand),
    /// Show the timeline, optionally of one request, job, customer or instance.
    Timeline {
        /// Identifier that an event must contain; `None` shows all events.
        id: Option<String>,
    },
}

/// Which lines of which log files to show.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogQuery {
    /// Paths of the files; `-` stands for standard input.
    pub files: Vec<PathBuf>,
    /// Identifier that a line must be about; `None` shows all lines.
    pub id: Option<String>,
    /// Whether to also show lines from about the same time about the backend servers and instances
    /// that are named in the matching lines.
    pub related: bool,
}

/// Address and credentials for an instance.
#[derive(Debug, Clone)]
pub struct Access {
    /// Operator address of an instance.
    pub instance: SocketAddr,
    /// Operator token.
    pub token: String,
}

/// What `foxtail` is to do.
#[derive(Debug, Clone)]
pub enum Task {
    /// Run a command at an instance.
    Instances(Access, Command),
    /// Show lines of log files.
    Logs(LogQuery),
}

/// Validated options.
#[derive(Debug, Clone)]
pub struct Options {
    /// Whether to print JSON instead of tables and text.
    pub json: bool,
    /// The task to run.
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
        if raw.related && raw.id.is_none() {
            return Err(OptionsError::RelatedWithoutTarget);
        }
        Ok(LogQuery {
            files: raw.files.into_iter().map(PathBuf::from).collect(),
            id: raw.id,
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
            RawCommand::Timeline(timeline) => Command::Timeline { id: timeline.id },
        })
    }
}

/// A validated `foxtail order` command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderCommand {
    /// Set the desired state of an engine.
    Set(BackendId, EngineSetup),
    /// List the desired states of all engines.
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
