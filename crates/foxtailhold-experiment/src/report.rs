//! Comparison of the policies as a table.

use crate::bound::Bound;
use crate::statistics::RunStatistics;

/// The runs of one policy.
#[derive(Debug, Clone)]
pub struct Row {
    /// Name of the policy.
    pub policy: &'static str,
    /// Statistics of each run, in order of the seeds.
    pub statistics: Vec<RunStatistics>,
}

impl Row {
    /// Mean of a figure over all runs.
    pub fn mean(&self, figure: impl Fn(&RunStatistics) -> f64) -> f64 {
        let sum: f64 = self.statistics.iter().map(figure).sum();
        sum / self.statistics.len().max(1) as f64
    }
}

/// Runs of several policies with the same arrivals.
#[derive(Debug, Clone)]
pub struct Report {
    /// Name of the deployment.
    pub deployment: String,
    /// Slot time available in one run, in microseconds.
    pub slot_us: f64,
    /// One row per policy.
    pub rows: Vec<Row>,
    /// Upper bound of each run, in order of the seeds.
    pub bounds: Vec<Bound>,
}

impl Report {
    /// Formats the table as Markdown.
    pub fn table(&self) -> String {
        let mut text = String::from(
            "| policy | online in time | first event p50, p99 (ms) | refused | failed | batch in time \
             | item p50, p99 (s) | cut | full | slots used |\n\
             |---|---|---|---|---|---|---|---|---|---|\n",
        );
        for row in &self.rows {
            text.push_str(&self.line(row));
        }
        let mean = |figure: fn(&Bound) -> f64| {
            let sum: f64 = self.bounds.iter().map(figure).sum();
            sum / self.bounds.len().max(1) as f64
        };
        text.push_str(&format!(
            "| bound | {:.3} | | | | {:.3} | | | | needed {:.3} |\n",
            mean(|bound| bound.online),
            mean(|bound| bound.batch),
            mean(|bound| bound.load),
        ));
        text
    }

    fn line(&self, row: &Row) -> String {
        let online_ms = |q| row.mean(|t| t.online.times_ms.value_at_quantile(q) as f64);
        let batch_s = |q| row.mean(|t| t.batch.times_ms.value_at_quantile(q) as f64) / 1_000.0;
        let share = |part: u64, whole: u64| part as f64 / whole.max(1) as f64;
        format!(
            "| {} | {:.3} | {:.0}, {:.0} | {:.3} | {:.3} | {:.3} | {:.1}, {:.1} | {:.0} | {:.0} | {:.3} |\n",
            row.policy,
            row.mean(|t| t.online.share()),
            online_ms(0.5),
            online_ms(0.99),
            row.mean(|t| share(t.online.refused, t.online.expected)),
            row.mean(|t| share(t.online.failed, t.online.expected)),
            row.mean(|t| t.batch.share()),
            batch_s(0.5),
            batch_s(0.99),
            row.mean(|t| t.preemptions as f64),
            row.mean(|t| t.full as f64),
            row.mean(|t| t.busy_slot_us as f64 / self.slot_us),
        )
    }
}
