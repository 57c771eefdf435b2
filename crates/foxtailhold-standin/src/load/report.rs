//! Report of a load measurement, as a table or as JSON.

use serde::Serialize;

use crate::cli::LoadCommand;
use crate::engine::EngineCounters;
use crate::error::Result;
use crate::load::recorder::CallerStatistics;
use crate::load::scenario::Phase;

/// Result of one phase under one batch policy.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Row {
    /// Name of the batch policy.
    pub policy: String,
    /// Number of the round, from 0.
    pub round: u64,
    /// Name of the phase.
    pub phase: String,
    /// Planned rate of online requests.
    pub online_per_s: f64,
    /// Statistics of the online callers.
    #[serde(rename = "seen")]
    pub statistics: CallerStatistics,
    /// Batch items finished by all engines together per second.
    pub items_per_s: f64,
    /// Share, from 0 to 1, of the slot time unused by online requests that batch items used.
    pub idle_used: f64,
    /// Share, from 0 to 1, of all slot time that was used.
    pub busy: f64,
    /// Number of engines whose counters could be read before and after the phase; only these count
    /// for batch items and slot time.
    pub engines: usize,
    /// Average number of CPU cores used by engines, services and instances.
    pub cores_used: f64,
}

impl Row {
    /// Computes the result of a phase from the callers' statistics and what each engine counted
    /// during the phase. Policy, round and cores are set later.
    pub fn new(
        phase: &Phase,
        statistics: CallerStatistics,
        counter_differences: &[EngineCounters],
    ) -> Self {
        let mut row = Row {
            phase: phase.name.to_owned(),
            online_per_s: phase.online_per_s,
            statistics,
            engines: counter_differences.len(),
            ..Row::default()
        };
        let (mut idle_us, mut batch_us, mut busy_us, mut all_us) = (0, 0, 0, 0);
        for counters in counter_differences {
            idle_us += counters.idle_slot_us();
            batch_us += counters.batch_slot_us;
            busy_us += counters.busy_slot_us;
            all_us += counters.slots * counters.elapsed_us;
            let elapsed_s = counters.elapsed_us as f64 / 1_000_000.0;
            row.items_per_s += counters.batch_finished as f64 / elapsed_s.max(0.001);
        }
        row.idle_used = batch_us as f64 / (idle_us as f64).max(1.0);
        row.busy = busy_us as f64 / (all_us as f64).max(1.0);
        row
    }

    /// Formats the row as a line of the table.
    pub fn line(&self) -> String {
        let CallerStatistics {
            sent,
            whole,
            refused,
            failed,
            first_token: first,
            between_tokens: between,
        } = &self.statistics;
        format!(
            "{:<9} {:>2} {:<16} {sent:>6} {whole:>6} {refused:>5} {failed:>5} | {:>7.1} {:>7.1} \
             {:>8.1} | {:>6.1} {:>6.1} {:>7.1} | {:>7.1} {:>6.1} {:>6.1} {:>6.2}",
            self.policy,
            self.round,
            self.phase,
            first.p50_ms,
            first.p95_ms,
            first.p99_ms,
            between.p50_ms,
            between.p95_ms,
            between.p99_ms,
            self.items_per_s,
            self.idle_used * 100.0,
            self.busy * 100.0,
            self.cores_used,
        )
    }
}

/// Header line of the table.
const HEAD: &str = "policy    rd phase              sent  whole  ref.  fail | first token ms: p50     \
     p95     p99 | between ms: p50 p95 p99 | items/s idle-used% busy% cores";

/// Results of all rounds with the options of the load command that they depend on.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Name of the deployment whose workload was sent.
    pub deployment: String,
    /// Random seed of the arrival times.
    pub seed: u64,
    /// Number of instances.
    pub instances: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of slots of each engine.
    pub slots: usize,
    /// Duration of an engine's step with an empty batch.
    pub step_us: u64,
    /// Time added to a step by each running request.
    pub step_per_request_us: u64,
    /// Results in the order of measurement.
    pub rows: Vec<Row>,
}

impl Report {
    /// Creates a report without rows.
    pub fn new(command: &LoadCommand) -> Self {
        Report {
            deployment: command.deployment.clone(),
            seed: command.seed,
            instances: command.instances,
            engines: command.engines,
            slots: command.slots,
            step_us: command.step_us,
            step_per_request_us: command.step_per_request_us,
            rows: Vec::new(),
        }
    }

    /// Returns the names of the policies in the order of their first row.
    pub fn policies(&self) -> Vec<&str> {
        let mut policies: Vec<&str> = Vec::new();
        for row in &self.rows {
            if !policies.contains(&row.policy.as_str()) {
                policies.push(&row.policy);
            }
        }
        policies
    }

    /// Returns the names of the phases in the order of their first row.
    pub fn phases(&self) -> Vec<&str> {
        let mut phases: Vec<&str> = Vec::new();
        for row in &self.rows {
            if !phases.contains(&row.phase.as_str()) {
                phases.push(&row.phase);
            }
        }
        phases
    }

    /// Returns the median over the rounds of one figure of a phase under a policy; 0 without rows.
    pub fn median(&self, policy: &str, phase: &str, figure: impl Fn(&Row) -> f64) -> f64 {
        let mut values = Vec::new();
        for row in &self.rows {
            if row.policy == policy && row.phase == phase {
                values.push(figure(row));
            }
        }
        median(values)
    }

    /// Prints the report as a table with medians, or as JSON.
    pub fn print(&self, json: bool) -> Result<()> {
        if json {
            let text = serde_json::to_string_pretty(self).map_err(std::io::Error::from)?;
            println!("{text}");
            return Ok(());
        }
        println!("{HEAD}");
        for row in &self.rows {
            println!("{}", row.line());
        }
        let policies = self.policies();
        let baseline = policies.first().copied().unwrap_or_default();
        println!(
            "\nmedians over rounds: p99 of first token against policy {baseline}, items a second"
        );
        for policy in &policies {
            for phase in self.phases() {
                let p99 = |row: &Row| row.statistics.first_token.p99_ms;
                let ratio = self.median(policy, phase, p99) / self.median(baseline, phase, p99);
                let items_per_s = self.median(policy, phase, |row| row.items_per_s);
                println!("{policy:<9} {phase:<16} {ratio:>6.2} {items_per_s:>8.1}");
            }
        }
        Ok(())
    }
}

/// Returns the median; 0 for an empty list. Of an even number it is the upper middle value.
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}
