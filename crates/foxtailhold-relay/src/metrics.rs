//! Metrics of requests and batch items.

use std::sync::Arc;

use parking_lot::Mutex;
use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

/// Labels of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AnswerLabels {
    route: String,
    outcome: &'static str,
}

/// Label of a route.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RouteLabel {
    route: String,
}

/// Label of a store call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabels {
    call: &'static str,
    outcome: &'static str,
}

/// Label of why a run gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabel {
    cause: &'static str,
}

/// Label of what became of batch items.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ItemLabel {
    outcome: &'static str,
}

type Times<L> = Family<L, Histogram, fn() -> Histogram>;

fn short_times() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 14))
}

/// Counters and histograms; cheap to clone.
#[derive(Debug, Clone)]
pub struct RelayMetrics {
    registry: Arc<Mutex<Registry>>,
    answers: Family<AnswerLabels, Counter>,
    answer_times: Times<RouteLabel>,
    cuts: Family<RouteLabel, Counter>,
    store_calls: Family<CallLabels, Counter>,
    items: Family<ItemLabel, Counter>,
    lost_runs: Family<CauseLabel, Counter>,
    unreadable_rows: Counter,
}

impl Default for RelayMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("foxtailhold");
        let answers = Family::default();
        registry.register("answers", "Answers to callers", answers.clone());
        let answer_times = Times::new_with_constructor(short_times as fn() -> Histogram);
        let help = "Time to the head of an answer";
        registry.register_with_unit("answer", help, Unit::Seconds, answer_times.clone());
        let cuts = Family::default();
        registry.register("cut_streams", "Streams cut before their end", cuts.clone());
        let store_calls = Family::default();
        registry.register("store_calls", "Calls to the store", store_calls.clone());
        let items = Family::default();
        registry.register("batch_items", "Runs of batch items", items.clone());
        let lost_runs = Family::default();
        let help = "Runs of requests and batch items that gave no answer";
        registry.register("lost_runs", help, lost_runs.clone());
        let unreadable_rows = Counter::default();
        let help = "Rows of backend servers that cannot be read";
        registry.register("unreadable_rows", help, unreadable_rows.clone());
        RelayMetrics {
            registry: Arc::new(Mutex::new(registry)),
            answers,
            answer_times,
            cuts,
            store_calls,
            items,
            lost_runs,
            unreadable_rows,
        }
    }
}

impl RelayMetrics {
    /// Counts an answer.
    pub fn answered(&self, route: &str, outcome: &'static str, took_ms: u64) {
        let route = route.to_owned();
        let label = RouteLabel {
            route: route.clone(),
        };
        self.answers
            .get_or_create(&AnswerLabels { route, outcome })
            .inc();
        let seconds = took_ms as f64 / 1_000.0;
        self.answer_times.get_or_create(&label).observe(seconds);
    }

    /// Counts a cut stream.
    pub fn cut(&self, route: &str) {
        let route = route.to_owned();
        self.cuts.get_or_create(&RouteLabel { route }).inc();
    }

    /// Counts a call to the store.
    pub fn store_call(&self, call: &'static str, outcome: &'static str) {
        self.store_calls
            .get_or_create(&CallLabels { call, outcome })
            .inc();
    }

    /// Counts a run of a batch item.
    pub fn item(&self, outcome: &'static str) {
        self.items.get_or_create(&ItemLabel { outcome }).inc();
    }

    /// Counts a run that gave no answer.
    pub fn run_lost(&self, cause: &'static str) {
        self.lost_runs.get_or_create(&CauseLabel { cause }).inc();
    }

    /// Counts a row of a backend server that cannot be read.
    pub fn unreadable_row(&self) {
        self.unreadable_rows.inc();
    }

    /// All metrics in the text format.
    pub fn text(&self) -> Result<String, std::fmt::Error> {
        let registry = self.registry.lock();
        let mut out = String::new();
        text::encode(&mut out, &registry)?;
        Ok(out)
    }
}
