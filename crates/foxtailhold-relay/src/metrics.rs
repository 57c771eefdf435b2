//! Metrics of requests, batch items, store calls and waiting work.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use foxtailhold::ids::BackendId;
use foxtailhold_http::lock::Mutex;
use foxtailhold_metrics::ResourceMetrics;
use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use tokio::time::Instant;

pub use crate::gauges::GaugeValues;
use crate::gauges::{CauseLabel, Gauges};
use crate::item_waits::ItemWaits;
pub use crate::outcomes::{AttemptOutcome, CutReason};
use crate::request::NotRunReason;
use crate::store_clock::StoreClock;
use crate::tables::TableStatus;
use crate::work_counts::WorkCounts;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResponseLabels {
    route: String,
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RouteLabel {
    route: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CutLabels {
    route: String,
    reason: &'static str,
}

/// Each start of a backend server has a label value of its own.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct BackendLabel {
    backend: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AttemptLabels {
    backend: String,
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RowsLabel {
    rows: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabel {
    call: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabels {
    call: &'static str,
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct WaitLabels {
    call: &'static str,
    access: &'static str,
    outcome: &'static str,
}

/// Label of metrics that are counted by outcome alone.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabel {
    outcome: &'static str,
}

type DurationFamily<L> = Family<L, Histogram, fn() -> Histogram>;

fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 14))
}

/// Backend servers that have samples, with the outcomes of their attempts.
type SampledAttempts = BTreeSet<(BackendId, &'static str)>;

/// Counters and histograms; cheap to clone.
#[derive(Debug, Clone)]
pub struct RelayMetrics {
    registry: Arc<Mutex<Registry>>,
    responses: Family<ResponseLabels, Counter>,
    response_times: DurationFamily<RouteLabel>,
    streams_cut: Family<CutLabels, Counter>,
    store_calls: Family<CallLabels, Counter>,
    items: Family<OutcomeLabel, Counter>,
    stream_origins: Family<OutcomeLabel, Counter>,
    failed_attempts: Family<CauseLabel, Counter>,
    unreadable_rows: Counter,
    refused_rows: Family<RowsLabel, Counter>,
    attempts: Family<AttemptLabels, Counter>,
    attempt_durations: DurationFamily<BackendLabel>,
    refusals: Family<ReasonLabel, Counter>,
    store_call_times: DurationFamily<CallLabel>,
    store_call_waits: DurationFamily<WaitLabels>,
    rejected_route_tables: Counter,
    unused_settings: Counter,
    settings_reads: Family<OutcomeLabel, Counter>,
    longest_timer_delay: Arc<Mutex<Duration>>,
    gauges: Gauges,
    sampled: Arc<Mutex<SampledAttempts>>,
    tables: TableStatus,
    store_clock: StoreClock,
    item_waits: ItemWaits,
    work: WorkCounts,
    resources: ResourceMetrics,
}

impl Default for RelayMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("foxtailhold");
        let responses = Family::default();
        registry.register("answers", "Answers to callers", responses.clone());
        let response_times =
            DurationFamily::new_with_constructor(latency_histogram as fn() -> Histogram);
        let help = "Time to the head of an answer";
        registry.register_with_unit("answer", help, Unit::Seconds, response_times.clone());
        let streams_cut = Family::default();
        registry.register(
            "cut_streams",
            "Streams cut before their end",
            streams_cut.clone(),
        );
        let store_calls = Family::default();
        registry.register("store_calls", "Calls to the store", store_calls.clone());
        let items = Family::default();
        registry.register("batch_items", "Runs of batch items", items.clone());
        let stream_origins = Family::default();
        let help = "Streams that callers took up, by how their origin was learnt";
        registry.register("stream_origins", help, stream_origins.clone());
        let failed_attempts = Family::default();
        let help = "Runs of requests and batch items that gave no answer";
        registry.register("lost_runs", help, failed_attempts.clone());
        let unreadable_rows = Counter::default();
        let help = "Rows of backend servers that cannot be read";
        registry.register("unreadable_rows", help, unreadable_rows.clone());
        let refused_rows = Family::default();
        let help = "Writes that the store refused, by their rows";
        registry.register("refused_rows", help, refused_rows.clone());
        let attempts = Family::default();
        let help = "Runs by backend server and how they ended";
        registry.register("runs", help, attempts.clone());
        let attempt_durations =
            DurationFamily::new_with_constructor(latency_histogram as fn() -> Histogram);
        let help = "Time of a run with a whole answer";
        registry.register_with_unit("run", help, Unit::Seconds, attempt_durations.clone());
        let refusals = Family::default();
        let help = "Requests that were refused and did not run";
        registry.register("refusals", help, refusals.clone());
        let store_call_times =
            DurationFamily::new_with_constructor(latency_histogram as fn() -> Histogram);
        let help = "Time of an answered call to the store, with the wait of a feed";
        let times = store_call_times.clone();
        registry.register_with_unit("store_call", help, Unit::Seconds, times);
        let store_call_waits =
            DurationFamily::new_with_constructor(latency_histogram as fn() -> Histogram);
        let help = "Wait of a call to the store, by the path it took and how it ended";
        let waits = store_call_waits.clone();
        registry.register_with_unit("store_call_wait", help, Unit::Seconds, waits);
        let rejected_route_tables = Counter::default();
        let help = "Route tables that were not taken into effect because they are not valid";
        registry.register("rejected_route_tables", help, rejected_route_tables.clone());
        let unused_settings = Counter::default();
        let help = "Figures of the settings that state no amount, so that their defaults are used";
        registry.register("unused_settings", help, unused_settings.clone());
        let settings_reads = Family::default();
        let help = "Readings of the settings after the start, by what came of them";
        registry.register("settings_reads", help, settings_reads.clone());
        let work = WorkCounts::default();
        work.register(&mut registry);
        let gauges = Gauges::default();
        gauges.register(&mut registry);
        let resources = ResourceMetrics::default();
        registry.register_collector(Box::new(resources.clone()));
        RelayMetrics {
            registry: Arc::new(Mutex::new(registry)),
            responses,
            response_times,
            streams_cut,
            store_calls,
            items,
            stream_origins,
            failed_attempts,
            unreadable_rows,
            refused_rows,
            attempts,
            attempt_durations,
            refusals,
            store_call_times,
            store_call_waits,
            rejected_route_tables,
            unused_settings,
            settings_reads,
            longest_timer_delay: Arc::default(),
            gauges,
            sampled: Arc::default(),
            tables: TableStatus::default(),
            store_clock: StoreClock::default(),
            item_waits: ItemWaits::default(),
            work,
            resources,
        }
    }
}

impl RelayMetrics {
    /// Counts a response to a caller and its latency.
    pub fn record_response(&self, route: &str, outcome: &'static str, took_ms: u64) {
        let route = route.to_owned();
        let label = RouteLabel {
            route: route.clone(),
        };
        self.responses
            .get_or_create(&ResponseLabels { route, outcome })
            .inc();
        let seconds = took_ms as f64 / 1_000.0;
        self.response_times.get_or_create(&label).observe(seconds);
    }

    /// Counts a stream that ended before its last event.
    pub fn stream_cut(&self, route: &str, reason: CutReason) {
        let labels = CutLabels {
            route: route.to_owned(),
            reason: reason.as_str(),
        };
        self.streams_cut.get_or_create(&labels).inc();
    }

    /// Counts a store call that was refused or not answered.
    pub fn store_call_failed(&self, call: &'static str, outcome: &'static str) {
        self.store_calls
            .get_or_create(&CallLabels { call, outcome })
            .inc();
    }

    /// Counts an answered store call and its latency.
    pub fn store_call_answered(&self, call: &'static str, started: Instant) {
        let outcome = "answered";
        self.store_calls
            .get_or_create(&CallLabels { call, outcome })
            .inc();
        self.store_call_times
            .get_or_create(&CallLabel { call })
            .observe(started.elapsed().as_secs_f64());
    }

    /// Counts an attempt, and its duration if the response was complete.
    pub fn attempt_ended(
        &self,
        backend: &BackendId,
        attempt_outcome: AttemptOutcome,
        started: Instant,
    ) {
        let outcome = attempt_outcome.as_str();
        self.sampled.lock().insert((backend.clone(), outcome));
        let backend = backend.to_string();
        if attempt_outcome == AttemptOutcome::Done {
            let backend = backend.clone();
            self.attempt_durations
                .get_or_create(&BackendLabel { backend })
                .observe(started.elapsed().as_secs_f64());
        }
        self.attempts
            .get_or_create(&AttemptLabels { backend, outcome })
            .inc();
    }

    /// Drops the samples of backend servers that are no longer listed, because each start adds
    /// label values.
    pub fn keep_only(&self, is_known: impl Fn(&BackendId) -> bool) {
        self.sampled.lock().retain(|(id, outcome)| {
            let is_kept = is_known(id);
            if !is_kept {
                let (backend, outcome) = (id.to_string(), *outcome);
                self.attempts.remove(&AttemptLabels {
                    backend: backend.clone(),
                    outcome,
                });
                self.attempt_durations.remove(&BackendLabel { backend });
            }
            is_kept
        });
    }

    /// Counts a request that was refused and did not run.
    pub fn refused(&self, reason: NotRunReason) {
        let reason = reason.as_str();
        self.refusals.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Records the wait of a store call, answered or not.
    pub fn store_call_waited(
        &self,
        call: &'static str,
        access: &'static str,
        outcome: &'static str,
        waited: Duration,
    ) {
        let labels = WaitLabels {
            call,
            access,
            outcome,
        };
        self.store_call_waits
            .get_or_create(&labels)
            .observe(waited.as_secs_f64());
    }

    /// Status of the followed tables, whose ages and versions are metrics.
    pub fn tables(&self) -> &TableStatus {
        &self.tables
    }

    /// Time of the store, as its answers state it.
    pub fn store_clock(&self) -> &StoreClock {
        &self.store_clock
    }

    /// Waits of batch items, which are metrics.
    pub fn item_waits(&self) -> &ItemWaits {
        &self.item_waits
    }

    /// Work that grows with the number of instances.
    pub fn work(&self) -> &WorkCounts {
        &self.work
    }

    /// Memory and connections that peers hold.
    pub fn resources(&self) -> &ResourceMetrics {
        &self.resources
    }

    /// Counts a route table that is not valid.
    pub fn route_table_rejected(&self) {
        self.rejected_route_tables.inc();
    }

    /// Counts a figure of the settings whose default is used instead.
    pub fn setting_unused(&self) {
        self.unused_settings.inc();
    }

    /// Counts a reading of the settings after the start.
    pub fn settings_read(&self, outcome: &'static str) {
        self.settings_reads
            .get_or_create(&OutcomeLabel { outcome })
            .inc();
    }

    /// Records by how much a timer was late.
    pub fn timer_delayed(&self, delay: Duration) {
        let mut longest = self.longest_timer_delay.lock();
        *longest = delay.max(*longest);
    }

    /// Counts the outcome of a batch item's attempt.
    pub fn item_outcome(&self, outcome: &'static str) {
        self.items.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts a stream that a caller took up, by how its origin was learnt.
    pub fn stream_taken_up(&self, outcome: &'static str) {
        let label = OutcomeLabel { outcome };
        self.stream_origins.get_or_create(&label).inc();
    }

    /// Counts an attempt that gave no response, by cause.
    pub fn attempt_failed(&self, cause: &'static str) {
        self.failed_attempts
            .get_or_create(&CauseLabel { cause })
            .inc();
    }

    /// Counts a row of a backend server that cannot be decoded.
    pub fn unreadable_row(&self) {
        self.unreadable_rows.inc();
    }

    /// Counts a write that the store refused; `rows` says what it was of.
    pub fn row_refused(&self, rows: &'static str) {
        self.refused_rows.get_or_create(&RowsLabel { rows }).inc();
    }

    /// All metrics in the Prometheus text format.
    pub fn text(&self, values: &GaugeValues) -> Result<String, std::fmt::Error> {
        self.gauges.set(values, &self.tables);
        self.gauges.set_item_waits(&self.item_waits.counts());
        let delay = std::mem::take(&mut *self.longest_timer_delay.lock());
        self.gauges.set_timer_delay(delay);
        let registry = self.registry.lock();
        let mut out = String::new();
        text::encode(&mut out, &registry)?;
        Ok(out)
    }
}
