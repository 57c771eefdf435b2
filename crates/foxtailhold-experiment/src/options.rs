//! Validated options, and the simulation runs that they request.

use std::path::PathBuf;

use foxtailhold::ids::IdError;
use miette::Diagnostic;
use thiserror::Error;

use crate::arrivals;
use crate::bound::bound;
use crate::cli::Cli;
use crate::placement::{
    AllocatorPlacement, IndependentPlacement, OwnRequests, ReportedLoads, SharedCounts, Topology,
};
use crate::plot::PlotError;
use crate::report::{Report, Row};
use crate::sheet::{Sheet, SheetError};
use crate::statistics::RunStatistics;
use crate::world::{Outage, Scenario, simulate};

/// Result of validating options and of simulating.
pub type Result<T> = std::result::Result<T, OptionsError>;

/// Errors of validating options and of simulating.
#[derive(Debug, Error, Diagnostic)]
pub enum OptionsError {
    /// The deployment sheet cannot be read from disk.
    #[error("cannot read {}: {source}", file.display())]
    Unreadable {
        /// Path of the sheet.
        file: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The sheet is not valid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Sheet(#[from] SheetError),
    /// No policy has this name.
    #[error("unknown policy {name:?}; expected allocator, shared-view, in-answers or alone")]
    Policy {
        /// The unknown name.
        name: String,
    },
    /// The value of an option is out of range.
    #[error("--{option} must be {rule}")]
    OutOfRange {
        /// Name of the option without its dashes.
        option: &'static str,
        /// Description of the allowed range.
        rule: &'static str,
    },
    /// A generated name is not a valid identifier of the serving system.
    #[error(transparent)]
    Id(#[from] IdError),
    /// A plot cannot be written.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Plot(#[from] PlotError),
}

/// A placement policy that can be simulated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// One instance grants the slots of all engines.
    Allocator,
    /// Each instance decides alone, with the load counts that the others last published.
    SharedView,
    /// Each instance decides alone, with the load that engines report in their answers.
    InAnswers,
    /// Each instance decides alone and knows only its own requests.
    Alone,
}

impl Policy {
    /// All policies, in the order of the report.
    pub const ALL: [Policy; 4] = [
        Policy::Allocator,
        Policy::SharedView,
        Policy::InAnswers,
        Policy::Alone,
    ];

    /// The name used in options and reports.
    pub fn name(self) -> &'static str {
        match self {
            Policy::Allocator => "allocator",
            Policy::SharedView => "shared-view",
            Policy::InAnswers => "in-answers",
            Policy::Alone => "alone",
        }
    }

    /// Simulates one run with this policy.
    pub fn simulate(self, scenario: Scenario<'_>) -> Result<RunStatistics> {
        let topology = Topology::from(scenario.sheet);
        Ok(match self {
            Policy::Allocator => simulate(scenario, AllocatorPlacement::new(topology)?),
            Policy::SharedView => simulate(
                scenario,
                IndependentPlacement::<SharedCounts>::new(topology),
            ),
            Policy::InAnswers => simulate(
                scenario,
                IndependentPlacement::<ReportedLoads>::new(topology),
            ),
            Policy::Alone => simulate(scenario, IndependentPlacement::<OwnRequests>::new(topology)),
        })
    }
}

impl TryFrom<&str> for Policy {
    type Error = OptionsError;

    fn try_from(name: &str) -> Result<Self> {
        let found = Policy::ALL.into_iter().find(|policy| policy.name() == name);
        let name = name.to_owned();
        found.ok_or(OptionsError::Policy { name })
    }
}

/// Options after validation.
#[derive(Debug, Clone)]
pub struct Options {
    /// The deployment, with arrival rates already multiplied by the load factor.
    pub sheet: Sheet,
    /// Policies to compare, in the order of the report.
    pub policies: Vec<Policy>,
    /// Number of runs per policy; they use the seeds from 1 to this number.
    pub seeds: u64,
    /// Length of a run in microseconds.
    pub length_us: u64,
    /// Time at which all instances fail; `None` for runs without a failure.
    pub outage: Option<Outage>,
    /// Directory for plots; `None` writes no plots.
    pub plots: Option<PathBuf>,
}

fn check(holds: bool, option: &'static str, rule: &'static str) -> Result<()> {
    match holds {
        true => Ok(()),
        false => Err(OptionsError::OutOfRange { option, rule }),
    }
}

impl TryFrom<Cli> for Options {
    type Error = OptionsError;

    fn try_from(cli: Cli) -> Result<Self> {
        let file = PathBuf::from(&cli.sheet);
        let text = std::fs::read_to_string(&file)
            .map_err(|source| OptionsError::Unreadable { file, source })?;
        let mut sheet = Sheet::try_from(text.as_str())?;
        check((1..=1_000).contains(&cli.seeds), "seeds", "from 1 to 1000")?;
        check(
            (1..=3_600).contains(&cli.seconds),
            "seconds",
            "from 1 to 3600",
        )?;
        check(
            cli.load > 0.0 && cli.load <= 100.0,
            "load",
            "above 0 and at most 100",
        )?;
        let lost_at_s = cli.lost_at_s.unwrap_or_default();
        let is_within = (0.0..=cli.seconds as f64).contains(&lost_at_s);
        check(is_within, "lost-at-s", "within the run")?;
        for zone in &mut sheet.zones {
            zone.online_per_s *= cli.load;
            zone.jobs_per_s *= cli.load;
        }
        let policies = cli.policies.split(',').map(Policy::try_from);
        Ok(Options {
            sheet,
            policies: policies.collect::<Result<_>>()?,
            seeds: cli.seeds,
            length_us: cli.seconds * 1_000_000,
            outage: cli.lost_at_s.map(|at_s| Outage {
                at_us: (at_s * 1e6) as u64,
                for_us: cli.lost_for_ms * 1_000,
            }),
            plots: cli.plots.map(PathBuf::from),
        })
    }
}

impl Options {
    /// Simulates all policies with all seeds.
    pub fn simulate(&self) -> Result<Report> {
        let mut rows: Vec<Row> = Vec::new();
        for policy in &self.policies {
            rows.push(Row {
                policy: policy.name(),
                statistics: Vec::new(),
            });
        }
        let mut bounds = Vec::new();
        for seed in 1..=self.seeds {
            let requests = arrivals::draw(&self.sheet, self.length_us, seed);
            let scenario = Scenario {
                sheet: &self.sheet,
                requests: &requests,
                length_us: self.length_us,
                outage: self.outage,
            };
            bounds.push(bound(&scenario));
            for (policy, row) in self.policies.iter().zip(&mut rows) {
                row.statistics.push(policy.simulate(scenario)?);
            }
        }
        let slots = self.sheet.engines().len() * self.sheet.engine.slots;
        Ok(Report {
            deployment: self.sheet.name.clone(),
            slot_us: slots as f64 * self.length_us as f64,
            rows,
            bounds,
        })
    }
}
