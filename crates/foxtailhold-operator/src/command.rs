//! The commands of `foxtail`. Each command returns the text to print.

use std::path::{Path, PathBuf};

use foxtailhold::contract::Contract;
use foxtailhold::ids::{CustomerId, InstanceId};
use foxtailhold::timeline::TimelineEntry;
use miette::Diagnostic;
use serde::Serialize;
use thiserror::Error;

use crate::client::OperatorClient;
use crate::error::OperatorError;
use crate::lines::{self, LinesError};
use crate::options::{Access, Command, Options, Task};
use crate::order;
use crate::output::{Table, json};
use crate::view::{BackendView, ContractView, InstanceView, JobView};

/// Result of a command.
pub type Result<T> = std::result::Result<T, CommandError>;

/// Why a command failed.
#[derive(Debug, Error, Diagnostic)]
pub enum CommandError {
    /// The instance refused the call or cannot be reached.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Operator(#[from] OperatorError),
    /// The contract document cannot be read from its file.
    #[error("cannot read {}: {source}", file.display())]
    Unreadable {
        /// Path of the file.
        file: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// Log files cannot be read.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Lines(#[from] LinesError),
}

/// An instance as listed by the instance that was asked, with the number of the last contract
/// change that the instance itself reports as in force. The number is `None` if it did not answer.
#[derive(Debug, Serialize)]
struct InstanceRow {
    #[serde(flatten)]
    view: InstanceView,
    contracts_number: Option<u64>,
}

/// Runs the task given by the options and returns the text to print.
pub async fn run(options: &Options) -> Result<String> {
    match &options.task {
        Task::Instances(access, command) => run_at_instance(access, command, options.json).await,
        Task::Logs(query) => Ok(lines::run(query, options.json)?),
    }
}

async fn run_at_instance(access: &Access, command: &Command, as_json: bool) -> Result<String> {
    let client = OperatorClient::new(access.instance, &access.token);
    match command {
        Command::GetContract(customer) => {
            let view = client.contract(customer).await?;
            Ok(if as_json {
                json(&view)
            } else {
                contract_text(&view)
            })
        }
        Command::SetContract {
            file,
            expected_version,
        } => set_contract(&client, file, *expected_version, as_json).await,
        Command::RemoveContract {
            customer,
            expected_version,
        } => remove_contract(&client, customer, *expected_version, as_json).await,
        Command::ListContracts => {
            let views = client.contracts().await?;
            Ok(if as_json {
                json(&views)
            } else {
                contract_table(&views)
            })
        }
        Command::Instances => {
            let rows = instance_rows(&client).await?;
            Ok(if as_json {
                json(&rows)
            } else {
                instance_table(&rows)
            })
        }
        Command::Backends => {
            let views = client.backends().await?;
            Ok(if as_json {
                json(&views)
            } else {
                backend_table(&views)
            })
        }
        Command::Jobs => {
            let views = client.jobs().await?;
            Ok(if as_json {
                json(&views)
            } else {
                job_table(&views)
            })
        }
        Command::Order(order) => Ok(order::run(&client, order, as_json).await?),
        Command::Timeline { id } => {
            let merged = timeline(&client, id.as_deref()).await?;
            Ok(if as_json {
                json(&merged)
            } else {
                timeline_text(&merged)
            })
        }
    }
}

async fn set_contract(
    client: &OperatorClient,
    file: &Path,
    expected_version: Option<u64>,
    as_json: bool,
) -> Result<String> {
    let document = std::fs::read_to_string(file).map_err(|source| CommandError::Unreadable {
        file: file.to_owned(),
        source,
    })?;
    let contract = Contract::try_from(document.as_str()).map_err(OperatorError::from)?;
    let expected_version = match expected_version {
        Some(version) => version,
        None => current_version(client, &contract.customer).await?,
    };
    let accepted = client
        .set_contract(&contract.customer, expected_version, &document)
        .await?;
    if as_json {
        return Ok(json(&accepted));
    }
    Ok(format!(
        "contract of {} is at version {} (change {})\n",
        accepted.customer, accepted.version, accepted.number
    ))
}

async fn remove_contract(
    client: &OperatorClient,
    customer: &CustomerId,
    expected_version: Option<u64>,
    as_json: bool,
) -> Result<String> {
    let expected_version = match expected_version {
        Some(version) => version,
        None => client.contract(customer).await?.version,
    };
    let accepted = client.remove_contract(customer, expected_version).await?;
    if as_json {
        return Ok(json(&accepted));
    }
    Ok(format!(
        "contract of {} is removed (version {}, change {})\n",
        accepted.customer, accepted.version, accepted.number
    ))
}

async fn current_version(client: &OperatorClient, customer: &CustomerId) -> Result<u64> {
    match client.contract(customer).await {
        Ok(view) => Ok(view.version),
        Err(OperatorError::NotFound { .. }) => Ok(0),
        Err(error) => Err(error.into()),
    }
}

async fn instance_rows(client: &OperatorClient) -> Result<Vec<InstanceRow>> {
    let known = client.instances().await?;
    let mut rows = Vec::new();
    for view in known.instances {
        let own = client.at(view.operator_address).instances().await;
        let contracts_number = own.ok().map(|own| own.contracts_number);
        rows.push(InstanceRow {
            view,
            contracts_number,
        });
    }
    Ok(rows)
}

/// The events of all instances, merged and sorted by their hybrid logical timestamps.
#[derive(Debug, Default, Serialize)]
struct MergedTimeline {
    entries: Vec<TimelineEntry>,
    /// Instances that did not answer.
    missing: Vec<InstanceId>,
    /// Events that instances dropped because their buffers were full.
    dropped: u64,
}

async fn timeline(client: &OperatorClient, id: Option<&str>) -> Result<MergedTimeline> {
    let mut merged = MergedTimeline::default();
    for view in client.instances().await?.instances {
        let Ok(part) = client.at(view.operator_address).timeline().await else {
            merged.missing.push(view.instance);
            continue;
        };
        merged.entries.extend(part.entries);
        merged.dropped += part.dropped;
    }
    let entries = &mut merged.entries;
    entries.sort_by(|a, b| (a.at, &a.instance).cmp(&(b.at, &b.instance)));
    if let Some(id) = id {
        entries.retain(|entry| entry.has_id(id));
    }
    Ok(merged)
}

fn contract_text(view: &ContractView) -> String {
    let document = toml::to_string_pretty(&view.contract).unwrap_or_default();
    format!(
        "# version {}, change {}\n{document}",
        view.version, view.number
    )
}

fn contract_table(views: &[ContractView]) -> String {
    let mut table = Table::new(&["CUSTOMER", "VERSION", "REQUESTS/S", "CONCURRENT", "URGENCY"]);
    for view in views {
        table.row([
            view.customer.to_string(),
            view.version.to_string(),
            view.contract.requests_per_s.to_string(),
            view.contract.concurrent_requests.to_string(),
            format!("{:?}", view.contract.urgency).to_lowercase(),
        ]);
    }
    table.render()
}

fn instance_table(rows: &[InstanceRow]) -> String {
    let mut table = Table::new(&["INSTANCE", "ZONE", "STATE", "CALLERS", "CONTRACTS"]);
    for row in rows {
        let number = row.contracts_number;
        table.row([
            row.view.instance.to_string(),
            row.view.availability_zone.to_string(),
            format!("{:?}", row.view.state).to_lowercase(),
            row.view.caller_address.to_string(),
            number.map_or_else(|| "no answer".into(), |number| number.to_string()),
        ]);
    }
    table.render()
}

fn backend_table(views: &[BackendView]) -> String {
    let mut table = Table::new(&[
        "BACKEND",
        "ZONE",
        "STATE",
        "RUNNING",
        "WAITING",
        "SET ASIDE",
    ]);
    for view in views {
        table.row([
            view.backend.to_string(),
            view.availability_zone.to_string(),
            format!("{:?}", view.state).to_lowercase(),
            view.running.to_string(),
            view.waiting.to_string(),
            view.set_aside.to_string(),
        ]);
    }
    table.render()
}

fn job_table(views: &[JobView]) -> String {
    let mut table = Table::new(&["JOB", "CUSTOMER", "STATUS", "ITEMS", "CHUNKS", "OWNER"]);
    for view in views {
        let owner = view.owner.as_ref();
        table.row([
            view.job.to_string(),
            view.customer.to_string(),
            view.status.clone(),
            view.items.to_string(),
            format!("{}/{}", view.chunks_done, view.chunks),
            owner.map_or_else(|| "none".into(), ToString::to_string),
        ]);
    }
    table.render()
}

fn event_text(entry: &TimelineEntry) -> String {
    serde_json::to_string(&entry.event).unwrap_or_default()
}

fn timeline_text(merged: &MergedTimeline) -> String {
    let mut text = String::new();
    for instance in &merged.missing {
        text.push_str(&format!("# {instance} did not answer\n"));
    }
    if merged.dropped > 0 {
        text.push_str(&format!("# {} older events are dropped\n", merged.dropped));
    }
    for entry in &merged.entries {
        let at = &entry.at;
        let event = event_text(entry);
        text.push_str(&format!(
            "{}.{:04} {} {event}\n",
            at.wall_ms, at.counter, entry.instance
        ));
    }
    text
}
