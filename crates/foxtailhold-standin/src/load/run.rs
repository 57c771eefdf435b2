//! Runs the phases under each batch policy and collects the results.

use std::sync::Arc;
use std::time::Duration;

use crate::cli::LoadCommand;
use crate::demo::API_KEY;
use crate::deployment::{Deployment, DeploymentShape};
use crate::engine::EngineCounters;
use crate::error::{Result, StandinError};
use crate::load::batch;
use crate::load::caller::Callers;
use crate::load::recorder::PhaseRecorder;
use crate::load::report::{Report, Row};
use crate::load::scenario::{BatchPolicy, Phase, Workload, phases};

/// Environment variable of an instance's batch policy.
const POLICY_VARIABLE: &str = "FOXTAILHOLD_BATCH_POLICY";
/// Time before the first phase, in which batch jobs reach a steady throughput.
const WARM_UP_MS: u64 = 3_000;
/// Wait after a phase with a fault, in which the deployment recovers.
const RECOVERY_MS: u64 = 5_000;

/// Runs the load command: each round starts a new deployment for each policy.
pub async fn run(command: &LoadCommand) -> Result<()> {
    let workload = Workload::named(&command.deployment)?;
    let policies = BatchPolicy::list(&command.policies)?;
    let mut report = Report::new(command);
    for round in 0..command.rounds {
        for policy in &policies {
            run_policy(command, &workload, *policy, round, &mut report).await?;
        }
    }
    report.print(command.json)?;
    match &command.plots {
        None => Ok(()),
        Some(directory) => crate::load::plot::write(&report, directory.as_ref()),
    }
}

fn contract(workload: &Workload) -> String {
    format!(
        "customer = \"{}\"\napi_keys = [\"{API_KEY}\"]\nrequests_per_s = 100000.0\n\
         burst_requests = 100000\nconcurrent_requests = 100000\ntokens_per_s = 100000000.0\n",
        workload.name
    )
}

fn shape(command: &LoadCommand, workload: &Workload, policy: BatchPolicy) -> DeploymentShape {
    let mut engine_arguments = Vec::new();
    for (option, value) in [
        ("--slots", command.slots as u64),
        ("--step-us", command.step_us),
        ("--step-per-request-us", command.step_per_request_us),
    ] {
        engine_arguments.extend([option.to_owned(), value.to_string()]);
    }
    let mut entry_variables = Vec::new();
    if let Some(setting) = policy.setting() {
        entry_variables.push((POLICY_VARIABLE.to_owned(), setting.to_owned()));
    }
    DeploymentShape {
        instances: command.instances,
        engines: command.engines,
        services: command.services,
        zones: workload.zones,
        engine_arguments,
        entry_variables,
    }
}

async fn run_policy(
    command: &LoadCommand,
    workload: &Workload,
    policy: BatchPolicy,
    round: u64,
    report: &mut Report,
) -> Result<()> {
    let mut deployment = Deployment::start(shape(command, workload, policy)).await?;
    let document = contract(workload);
    deployment.set_contract(workload.name, &document).await?;
    let addresses = deployment.caller_addresses()?;
    if policy != BatchPolicy::Off {
        batch::submit(workload, &addresses).await?;
    }
    let callers = Callers::new(*workload, addresses);
    let refresh_task = tokio::spawn(callers.clone().refresh_list());
    tokio::time::sleep(Duration::from_millis(WARM_UP_MS)).await;
    let all = phases(workload, command.phase_s, command.faults);
    for (index, phase) in all.iter().enumerate() {
        let seed = command.seed + round * 1_000 + index as u64;
        let mut row = run_phase(&mut deployment, &callers, phase, seed).await?;
        row.policy = policy.name().to_owned();
        row.round = round;
        eprintln!("{}", row.line());
        report.rows.push(row);
    }
    refresh_task.abort();
    deployment.close();
    Ok(())
}

async fn run_phase(
    deployment: &mut Deployment,
    callers: &Callers,
    phase: &Phase,
    seed: u64,
) -> Result<Row> {
    if let Some(fault) = phase.fault {
        fault.begin(deployment).await?;
    }
    let recorder = Arc::new(PhaseRecorder::default());
    let running = tokio::spawn({
        let (callers, phase, recorder) = (callers.clone(), *phase, recorder.clone());
        async move { callers.run(&phase, seed, &recorder).await }
    });
    let before = deployment.counters().await?;
    let cpu_before = cpu_s(deployment);
    tokio::time::sleep(Duration::from_millis(phase.duration_ms)).await;
    let after = deployment.counters().await?;
    let cpu_s = cpu_s(deployment) - cpu_before;
    running.await.map_err(|error| StandinError::Check {
        step: "send requests",
        detail: error.to_string(),
    })?;
    if let Some(fault) = phase.fault {
        fault.end(deployment).await?;
        tokio::time::sleep(Duration::from_millis(RECOVERY_MS)).await;
    }
    let mut row = Row::new(phase, recorder.statistics(), &differences(&before, &after));
    row.cores_used = cpu_s / (phase.duration_ms as f64 / 1_000.0);
    Ok(row)
}

/// Returns what each engine counted between two samples. An engine that did not answer at either
/// sample is omitted.
fn differences(
    before: &[Option<EngineCounters>],
    after: &[Option<EngineCounters>],
) -> Vec<EngineCounters> {
    let mut counter_differences = Vec::new();
    for pair in before.iter().zip(after) {
        if let (Some(before), Some(after)) = pair {
            counter_differences.push(after.since(before));
        }
    }
    counter_differences
}

/// Returns the CPU time of all engines, services and instances. Processes that cannot be read count
/// as 0.
fn cpu_s(deployment: &Deployment) -> f64 {
    let mut total_s = 0.0;
    let backends = deployment.engines.iter().chain(&deployment.services);
    for process in backends.chain(&deployment.instances) {
        total_s += process.usage().map_or(0.0, |usage| usage.cpu_s);
    }
    total_s
}
