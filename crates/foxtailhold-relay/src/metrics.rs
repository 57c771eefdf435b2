//! Metrics of requests, batch items, the store's calls and what waits.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use foxtailhold::ids::BackendId;
use parking_lot::Mutex;
use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use tokio::time::Instant;

use crate::request::NotRunReason;
use crate::upstream::Miss;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// With a whole answer.
    Done,
    /// Its caller left.
    CallerGone,
    /// Its time was over.
    TimeOver,
    /// It is a batch item that gave way.
    Cut,
    /// It is a batch item that can never be done.
    Impossible,
    /// Without an answer that could be passed on.
    Lost(Miss),
}

impl RunEnd {
    /// Its name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RunEnd::Done => "done",
            RunEnd::CallerGone => "caller_gone",
            RunEnd::TimeOver => "time_over",
            RunEnd::Cut => "cut",
            RunEnd::Impossible => "impossible",
            RunEnd::Lost(miss) => miss.as_str(),
        }
    }
}

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

/// Label of a start of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct BackendLabel {
    backend: String,
}

/// Labels of a run.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RunLabels {
    backend: String,
    outcome: &'static str,
}

/// Label of a refusal.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

/// Label of a kind of store call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabel {
    call: &'static str,
}

/// Labels of a store call.
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

/// What is read when the metrics are asked for.
#[derive(Debug, Clone, Copy)]
pub struct GaugeValues {
    /// Places at engines that this instance holds.
    pub places_in_use: usize,
    /// Requests and batch items that wait for one.
    pub requests_waiting: usize,
    /// Open batch jobs of all instances.
    pub batch_jobs_open: usize,
    /// Version of the configuration in force.
    pub config_version: u64,
}

#[derive(Debug, Clone, Default)]
struct Gauges {
    places_in_use: Gauge,
    requests_waiting: Gauge,
    batch_jobs_open: Gauge,
    config_version: Gauge,
    config_age: Gauge<f64, AtomicU64>,
}

impl Gauges {
    fn register(&self, registry: &mut Registry) {
        let help = "Places at engines in use by this instance";
        registry.register("places_in_use", help, self.places_in_use.clone());
        let help = "Requests and batch items that wait for a place";
        registry.register("requests_waiting", help, self.requests_waiting.clone());
        let help = "Open batch jobs of all instances";
        registry.register("batch_jobs_open", help, self.batch_jobs_open.clone());
        let help = "Version of the configuration in force";
        registry.register("config_version", help, self.config_version.clone());
        let help = "Time since the store last answered about the configuration";
        let age = self.config_age.clone();
        registry.register_with_unit("config_age", help, Unit::Seconds, age);
    }

    fn set(&self, state: &GaugeValues) {
        self.places_in_use.set(state.places_in_use as i64);
        self.requests_waiting.set(state.requests_waiting as i64);
        self.batch_jobs_open.set(state.batch_jobs_open as i64);
        self.config_version.set(state.config_version as i64);
    }
}

/// Backend servers that have samples, and how their runs ended.
type Sampled = BTreeSet<(BackendId, &'static str)>;

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
    runs: Family<RunLabels, Counter>,
    run_times: Times<BackendLabel>,
    refusals: Family<ReasonLabel, Counter>,
    store_call_times: Times<CallLabel>,
    gauges: Gauges,
    sampled: Arc<Mutex<Sampled>>,
    config_confirmed: Arc<Mutex<Option<Instant>>>,
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
        let runs = Family::default();
        let help = "Runs by backend server and how they ended";
        registry.register("runs", help, runs.clone());
        let run_times = Times::new_with_constructor(short_times as fn() -> Histogram);
        let help = "Time of a run with a whole answer";
        registry.register_with_unit("run", help, Unit::Seconds, run_times.clone());
        let refusals = Family::default();
        let help = "Requests that were refused and did not run";
        registry.register("refusals", help, refusals.clone());
        let store_call_times = Times::new_with_constructor(short_times as fn() -> Histogram);
        let help = "Time of an answered call to the store, with the wait of a feed";
        let times = store_call_times.clone();
        registry.register_with_unit("store_call", help, Unit::Seconds, times);
        let gauges = Gauges::default();
        gauges.register(&mut registry);
        RelayMetrics {
            registry: Arc::new(Mutex::new(registry)),
            answers,
            answer_times,
            cuts,
            store_calls,
            items,
            lost_runs,
            unreadable_rows,
            runs,
            run_times,
            refusals,
            store_call_times,
            gauges,
            sampled: Arc::default(),
            config_confirmed: Arc::default(),
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

    /// Counts a call to the store that was not answered, or refused.
    pub fn store_call_failed(&self, call: &'static str, outcome: &'static str) {
        self.store_calls
            .get_or_create(&CallLabels { call, outcome })
            .inc();
    }

    /// Counts and times an answered call to the store.
    pub fn store_call_answered(&self, call: &'static str, begun: Instant) {
        let outcome = "answered";
        self.store_calls
            .get_or_create(&CallLabels { call, outcome })
            .inc();
        self.store_call_times
            .get_or_create(&CallLabel { call })
            .observe(begun.elapsed().as_secs_f64());
    }

    /// Counts a run, and times it where it has a whole answer.
    pub fn run_ended(&self, backend: &BackendId, end: RunEnd, begun: Instant) {
        let outcome = end.as_str();
        self.sampled.lock().insert((backend.clone(), outcome));
        let backend = backend.to_string();
        if end == RunEnd::Done {
            let backend = backend.clone();
            self.run_times
                .get_or_create(&BackendLabel { backend })
                .observe(begun.elapsed().as_secs_f64());
        }
        self.runs
            .get_or_create(&RunLabels { backend, outcome })
            .inc();
    }

    /// Drops the samples of backend servers that are gone: each start is a label of its own.
    pub fn keep_only(&self, is_known: impl Fn(&BackendId) -> bool) {
        self.sampled.lock().retain(|(id, outcome)| {
            let is_kept = is_known(id);
            if !is_kept {
                let (backend, outcome) = (id.to_string(), *outcome);
                self.runs.remove(&RunLabels {
                    backend: backend.clone(),
                    outcome,
                });
                self.run_times.remove(&BackendLabel { backend });
            }
            is_kept
        });
    }

    /// Counts a request that was refused and did not run.
    pub fn refused(&self, reason: NotRunReason) {
        let reason = reason.as_str();
        self.refusals.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Notes that the store has answered about the configuration.
    pub fn config_confirmed(&self) {
        *self.config_confirmed.lock() = Some(Instant::now());
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
    pub fn text(&self, state: &GaugeValues) -> Result<String, std::fmt::Error> {
        self.gauges.set(state);
        if let Some(confirmed) = *self.config_confirmed.lock() {
            let age_s = confirmed.elapsed().as_secs_f64();
            self.gauges.config_age.set(age_s);
        }
        let registry = self.registry.lock();
        let mut out = String::new();
        text::encode(&mut out, &registry)?;
        Ok(out)
    }
}
