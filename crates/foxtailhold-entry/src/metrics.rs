//! Metrics of one instance and their registration.

use std::sync::atomic::AtomicU64;

use foxtailhold_metrics::ResourceMetrics;
use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Metric, Registry, Unit};

/// Gauge with a fractional value.
type FloatGauge = Gauge<f64, AtomicU64>;
/// Histograms by label.
type HistogramFamily<L> = Family<L, Histogram, fn() -> Histogram>;

/// Label of refusals.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CodeLabel {
    /// Error code sent to the caller.
    pub code: &'static str,
}

/// Labels of answers to callers.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AnswerLabels {
    /// Kind of the request, as in [`KindLabel`].
    pub kind: &'static str,
    /// `ok`, or the error code of the refusal.
    pub outcome: &'static str,
}

/// Label of the kind of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct KindLabel {
    /// Kind of the request, as the caller API names it.
    pub kind: &'static str,
}

/// Label of a call to the platform.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// Service and call, such as `table_get`.
    pub call: &'static str,
}

/// Label of the state of instances.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StateLabel {
    /// Lower-case name of the membership state.
    pub state: &'static str,
}

/// Label of backend servers.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct BackendLabel {
    /// Backend server id.
    pub backend: String,
}

fn short_times() -> Histogram {
    Histogram::new(exponential_buckets(0.0005, 2.0, 18))
}

/// Metrics of calls to the platform.
#[derive(Debug, Clone)]
pub struct PlatformMetrics {
    /// Number of calls.
    pub calls: Family<CallLabels, Counter>,
    /// Calls that failed or were not answered.
    pub errors: Family<CallLabels, Counter>,
    /// Duration of calls.
    pub seconds: HistogramFamily<CallLabels>,
}

/// Gauges read from the instance's state on each scrape.
#[derive(Debug, Default)]
pub struct Gauges {
    /// Known instances by membership state.
    pub instances: Family<StateLabel, Gauge>,
    /// Running requests by the last load report.
    pub backend_running: Family<BackendLabel, Gauge>,
    /// Waiting requests by the last load report.
    pub backend_waiting: Family<BackendLabel, Gauge>,
    /// Requests in flight from this instance.
    pub backend_in_flight: Family<BackendLabel, Gauge>,
    /// Time since the contracts here were last known to be current.
    pub contracts_age_seconds: FloatGauge,
    /// 1 while this instance holds a valid lease.
    pub lease_valid: Gauge,
    /// Fencing number of the lease; keeps its last value when the lease is not valid.
    pub lease_epoch: Gauge,
    /// 1 once a planned stop has begun.
    pub stopping: Gauge,
    /// Bytes of messages sent to peers.
    pub peer_sent_bytes: Counter,
    /// Bytes of answers received from peers.
    pub peer_received_bytes: Counter,
    /// Events dropped because the time line's buffer was full.
    pub timeline_dropped: Counter,
}

/// All metrics of the instance and the registry that names them.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Answers to callers by kind and outcome.
    pub answers: Family<AnswerLabels, Counter>,
    /// Time to the head of an answer, by kind of request.
    pub answer_seconds: HistogramFamily<KindLabel>,
    /// Time to the first event of a stream.
    pub first_token_seconds: Histogram,
    /// Time between two events of a stream.
    pub between_tokens_seconds: Histogram,
    /// Admitted inference requests.
    pub inferences: Counter,
    /// Admitted calls of plain services.
    pub service_calls: Counter,
    /// Refusals by error code.
    pub refusals: Family<CodeLabel, Counter>,
    /// Retries on another backend server.
    pub retries: Counter,
    /// Retries refused because the retry budget was used up.
    pub retries_refused: Counter,
    /// Crashes of backend servers while they ran requests from this instance.
    pub crashes: Counter,
    /// Streams resumed on another engine.
    pub resumes: Counter,
    /// Requests in flight on this instance.
    pub in_flight: Gauge,
    /// Time to the head of an engine's answer.
    pub head_wait_seconds: Histogram,
    /// Batch items finished.
    pub batch_items: Counter,
    /// Streams of batch items cancelled by preemption.
    pub batch_preemptions: Counter,
    /// Batch items in flight from this instance.
    pub batch_in_flight: Gauge,
    /// Batch chunks committed.
    pub batch_chunks: Counter,
    /// Number of the last contract change in force.
    pub contracts_number: Gauge,
    /// Requests waiting for a slot.
    pub waiting_requests: Gauge,
    /// Customers with recent requests on this instance.
    pub limited_customers: Gauge,
    /// Messages to limit coordinators.
    pub limit_exchanges: Counter,
    /// Messages to limit coordinators without an answer.
    pub limit_exchanges_failed: Counter,
    /// Calls to the platform.
    pub platform: PlatformMetrics,
    /// Gauges updated on each scrape.
    pub gauges: Gauges,
    /// Memory and connections that peers hold.
    pub resources: ResourceMetrics,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Metrics {
            registry: Registry::with_prefix("foxtailhold"),
            answers: Family::default(),
            answer_seconds: Family::new_with_constructor(short_times),
            first_token_seconds: short_times(),
            between_tokens_seconds: short_times(),
            inferences: Counter::default(),
            service_calls: Counter::default(),
            refusals: Family::default(),
            retries: Counter::default(),
            retries_refused: Counter::default(),
            crashes: Counter::default(),
            resumes: Counter::default(),
            in_flight: Gauge::default(),
            head_wait_seconds: Histogram::new(exponential_buckets(0.001, 2.0, 16)),
            batch_items: Counter::default(),
            batch_preemptions: Counter::default(),
            batch_in_flight: Gauge::default(),
            batch_chunks: Counter::default(),
            contracts_number: Gauge::default(),
            waiting_requests: Gauge::default(),
            limited_customers: Gauge::default(),
            limit_exchanges: Counter::default(),
            limit_exchanges_failed: Counter::default(),
            platform: PlatformMetrics {
                calls: Family::default(),
                errors: Family::default(),
                seconds: Family::new_with_constructor(short_times),
            },
            gauges: Gauges::default(),
            resources: ResourceMetrics::default(),
        };
        metrics.register();
        metrics
    }
}

/// Registers metrics under their names.
struct Registrar<'a>(&'a mut Registry);

impl Registrar<'_> {
    fn register<M: Metric + Clone>(&mut self, name: &str, help: &str, metric: &M) {
        self.0.register(name, help, metric.clone());
    }

    fn unit<M: Metric + Clone>(&mut self, name: &str, help: &str, unit: Unit, metric: &M) {
        self.0.register_with_unit(name, help, unit, metric.clone());
    }
}

impl Metrics {
    fn register(&mut self) {
        let mut registry = std::mem::take(&mut self.registry);
        let mut registrar = Registrar(&mut registry);
        self.register_requests(&mut registrar);
        self.register_batch(&mut registrar);
        self.register_limits(&mut registrar);
        self.register_platform(&mut registrar);
        self.gauges.register(&mut registrar);
        registry.register_collector(Box::new(self.resources.clone()));
        self.registry = registry;
    }

    fn register_requests(&self, registrar: &mut Registrar<'_>) {
        let help = "Answers to callers by kind and outcome";
        registrar.register("answers", help, &self.answers);
        let help = "Time to the head of an answer";
        registrar.unit("answer_head", help, Unit::Seconds, &self.answer_seconds);
        let help = "Time from a streamed request to its first event";
        registrar.unit(
            "first_token",
            help,
            Unit::Seconds,
            &self.first_token_seconds,
        );
        let help = "Time between two events of a stream";
        registrar.unit(
            "between_tokens",
            help,
            Unit::Seconds,
            &self.between_tokens_seconds,
        );
        registrar.register("inferences", "Requests to models", &self.inferences);
        registrar.register(
            "service_calls",
            "Calls of plain services",
            &self.service_calls,
        );
        registrar.register("refusals", "Refusals by code", &self.refusals);
        registrar.register("retries", "Requests sent again", &self.retries);
        let help = "Retries refused by the budget";
        registrar.register("retries_refused", help, &self.retries_refused);
        let help = "Crashes under requests sent from here";
        registrar.register("crashes", help, &self.crashes);
        registrar.register("resumes", "Streams resumed", &self.resumes);
        registrar.register("in_flight_requests", "Requests in flight", &self.in_flight);
        let help = "Time to the head of an engine's answer";
        registrar.unit("head_wait", help, Unit::Seconds, &self.head_wait_seconds);
    }

    fn register_batch(&self, registrar: &mut Registrar<'_>) {
        registrar.register("batch_items", "Batch items finished", &self.batch_items);
        let help = "Streams of batch items cancelled to make room";
        registrar.register("batch_yields", help, &self.batch_preemptions);
        registrar.register(
            "batch_in_flight",
            "Batch items in flight",
            &self.batch_in_flight,
        );
        registrar.register("batch_chunks", "Batch chunks committed", &self.batch_chunks);
        let help = "Number of the last contract change in force";
        registrar.register("contracts_number", help, &self.contracts_number);
    }

    fn register_limits(&self, registrar: &mut Registrar<'_>) {
        let help = "Requests that wait for a place towards a model";
        registrar.register("waiting_requests", help, &self.waiting_requests);
        let help = "Customers with requests here lately";
        registrar.register("limited_customers", help, &self.limited_customers);
        let help = "Messages to homes of limits";
        registrar.register("limit_exchanges", help, &self.limit_exchanges);
        let help = "Messages to homes of limits without an answer";
        registrar.register("limit_exchanges_failed", help, &self.limit_exchanges_failed);
    }

    fn register_platform(&self, registrar: &mut Registrar<'_>) {
        let platform = &self.platform;
        registrar.register("platform_calls", "Calls to the platform", &platform.calls);
        let help = "Calls to the platform without an answer";
        registrar.register("platform_errors", help, &platform.errors);
        let help = "Times of calls to the platform";
        registrar.unit("platform_call", help, Unit::Seconds, &platform.seconds);
    }

    /// Encodes all metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut out = String::new();
        if let Err(error) = text::encode(&mut out, &self.registry) {
            log::error!("metrics cannot be encoded: {error}");
        }
        out
    }
}

impl Gauges {
    fn register(&self, registrar: &mut Registrar<'_>) {
        registrar.register("instances", "Instances known, by state", &self.instances);
        let help = "Requests reported as running";
        registrar.register("backend_running_requests", help, &self.backend_running);
        let help = "Requests reported as waiting";
        registrar.register("backend_waiting_requests", help, &self.backend_waiting);
        let help = "Requests in flight from here";
        registrar.register("backend_in_flight_requests", help, &self.backend_in_flight);
        let help = "Time since the contracts here were known to be the newest";
        registrar.unit(
            "contracts_age",
            help,
            Unit::Seconds,
            &self.contracts_age_seconds,
        );
        let help = "1 while this instance may act on its lease";
        registrar.register("lease_valid", help, &self.lease_valid);
        let help = "Fencing number of this instance's lease";
        registrar.register("lease_epoch", help, &self.lease_epoch);
        registrar.register("stopping", "1 in a planned stop", &self.stopping);
        let help = "Bytes of messages sent to peers";
        registrar.unit("peer_sent", help, Unit::Bytes, &self.peer_sent_bytes);
        let help = "Bytes of answers received from peers";
        registrar.unit(
            "peer_received",
            help,
            Unit::Bytes,
            &self.peer_received_bytes,
        );
        let help = "Events dropped from the time line";
        registrar.register("timeline_dropped_events", help, &self.timeline_dropped);
    }
}
