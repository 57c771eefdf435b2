//! Checked options, and what they ask for.

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

/// Result of checking options and of playing.
pub type Result<T> = std::result::Result<T, OptionsError>;

/// Why nothing is played.
#[derive(Debug, Error, Diagnostic)]
pub enum OptionsError {
    /// The sheet's file.
    #[error("cannot read {}: {source}", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The sheet.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Sheet(#[from] SheetError),
    /// No such policy.
    #[error("there is no policy {name:?}; known are allocator, shared-view, in-answers and alone")]
    Policy {
        /// The name given.
        name: String,
    },
    /// A number makes no sense.
    #[error("--{option} must be {rule}")]
    OutOfRange {
        /// The option.
        option: &'static str,
        /// What is allowed.
        rule: &'static str,
    },
    /// A name that the product does not take.
    #[error(transparent)]
    Id(#[from] IdError),
    /// A plot.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Plot(#[from] PlotError),
}

/// A policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// One instance grants all places.
    Allocator,
    /// Each instance on its own, with what the others told last.
    SharedView,
    /// Each instance on its own, with what engines told in their answers.
    InAnswers,
    /// Each instance on its own, with its own requests only.
    Alone,
}

impl Policy {
    /// All of them.
    pub const ALL: [Policy; 4] = [
        Policy::Allocator,
        Policy::SharedView,
        Policy::InAnswers,
        Policy::Alone,
    ];

    /// Its name in options and reports.
    pub fn name(self) -> &'static str {
        match self {
            Policy::Allocator => "allocator",
            Policy::SharedView => "shared-view",
            Policy::InAnswers => "in-answers",
            Policy::Alone => "alone",
        }
    }

    /// Plays a run.
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

/// Checked options.
#[derive(Debug, Clone)]
pub struct Options {
    /// The deployment, with its rates of arrival as they are played.
    pub sheet: Sheet,
    /// Policies.
    pub policies: Vec<Policy>,
    /// Seeds 1 to this.
    pub seeds: u64,
    /// Length of a run, in microseconds.
    pub length_us: u64,
    /// The loss of all instances.
    pub outage: Option<Outage>,
    /// Directory for plots.
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
    /// Plays all policies with all seeds.
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
