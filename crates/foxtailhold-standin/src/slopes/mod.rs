//! The slopes command: measures how the cost of an instance grows with the number of instances,
//! engines, jobs and customers. docs/CAPACITY.md holds the results.

pub mod customers;
pub mod idle;
pub mod sockets;

use crate::cli::SlopesCommand;
use crate::error::Result;

/// Numbers of customers that are measured.
const CUSTOMERS: [u64; 4] = [100, 1_000, 10_000, 31_000];

/// Runs the selected parts.
pub async fn run(command: &SlopesCommand) -> Result<()> {
    let all = command.part == "all";
    if all || command.part == "customers" {
        let mut registries = Vec::new();
        for customers in CUSTOMERS {
            registries.push(customers::run(customers)?);
        }
    }
    if all || command.part == "instances" {
        for instances in numbers(&command.instances) {
            idle::instances(instances, command.seconds).await?;
        }
    }
    if all || command.part == "replicas" {
        for replicas in numbers(&command.replicas) {
            idle::replicas(replicas, command.seconds).await?;
        }
    }
    if all || command.part == "jobs" {
        for jobs in numbers(&command.jobs) {
            idle::jobs(jobs, command.seconds).await?;
        }
    }
    Ok(())
}

fn numbers(text: &str) -> Vec<usize> {
    text.split(',')
        .filter_map(|part| part.parse().ok())
        .collect()
}
