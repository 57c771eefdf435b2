//! Metrics of the memory and the connections that the peers of a process make it hold.
#![warn(clippy::unwrap_used)]

use std::fmt;
use std::sync::Arc;

use foxtailhold_http::connections::ConnectionLimit;
use foxtailhold_http::lock::Mutex;
use foxtailhold_http::memory::MemoryBudget;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Unit;

/// Budgets and limits whose use is read on each scrape; clones share them.
#[derive(Debug, Clone, Default)]
pub struct ResourceMetrics {
    resources: Arc<Mutex<Resources>>,
}

#[derive(Debug, Clone, Default)]
struct Resources {
    budgets: Vec<(&'static str, MemoryBudget)>,
    listeners: Vec<(&'static str, ConnectionLimit)>,
}

impl ResourceMetrics {
    /// Adds the metrics of a budget, with the label `holder`.
    pub fn add_memory(&self, holder: &'static str, budget: &MemoryBudget) {
        let budget = budget.clone();
        self.resources.lock().budgets.push((holder, budget));
    }

    /// Adds the metrics of a listener, with the label `listener`.
    pub fn add_listener(&self, listener: &'static str, limit: &ConnectionLimit) {
        let limit = limit.clone();
        self.resources.lock().listeners.push((listener, limit));
    }
}

impl Collector for ResourceMetrics {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> fmt::Result {
        let resources = self.resources.lock().clone();
        for metric in &MEMORY_METRICS {
            metric.encode(&mut encoder, "holder", &resources.budgets)?;
        }
        for metric in &CONNECTION_METRICS {
            metric.encode(&mut encoder, "listener", &resources.listeners)?;
        }
        Ok(())
    }
}

/// A metric with one value for each resource of a type.
struct Metric<T> {
    name: &'static str,
    help: &'static str,
    unit: Option<Unit>,
    metric_type: MetricType,
    value: fn(&T) -> u64,
}

impl<T> Metric<T> {
    fn encode(
        &self,
        encoder: &mut DescriptorEncoder<'_>,
        label: &'static str,
        resources: &[(&'static str, T)],
    ) -> fmt::Result {
        let (unit, metric_type) = (self.unit.as_ref(), self.metric_type);
        let mut family = encoder.encode_descriptor(self.name, self.help, unit, metric_type)?;
        for (name, resource) in resources {
            let value = (self.value)(resource);
            let labels = [(label, *name)];
            let sample = family.encode_family(&labels)?;
            match metric_type {
                MetricType::Counter => ConstCounter::new(value).encode(sample)?,
                _ => ConstGauge::new(value).encode(sample)?,
            }
        }
        Ok(())
    }
}

const MEMORY_METRICS: [Metric<MemoryBudget>; 3] = [
    Metric {
        name: "memory_total",
        help: "Memory that peers may make this process hold, by what holds it",
        unit: Some(Unit::Bytes),
        metric_type: MetricType::Gauge,
        value: |budget| budget.total_bytes() as u64,
    },
    Metric {
        name: "memory_free",
        help: "The part of it that is not held",
        unit: Some(Unit::Bytes),
        metric_type: MetricType::Gauge,
        value: |budget| budget.free_bytes() as u64,
    },
    Metric {
        name: "memory_evictions",
        help: "Bodies and responses that were ended for their memory because they made no progress",
        unit: None,
        metric_type: MetricType::Counter,
        value: MemoryBudget::evictions,
    },
];

const CONNECTION_METRICS: [Metric<ConnectionLimit>; 5] = [
    Metric {
        name: "connection_places",
        help: "Connections of HTTP/1.1 that a listener may have",
        unit: None,
        metric_type: MetricType::Gauge,
        value: |limit| limit.max_connections() as u64,
    },
    Metric {
        name: "connection_places_in_use",
        help: "Open connections, where one of HTTP/2 counts as several",
        unit: None,
        metric_type: MetricType::Gauge,
        value: |limit| limit.open_connections() as u64,
    },
    Metric {
        name: "connection_evictions",
        help: "Connections that were closed for newer ones",
        unit: None,
        metric_type: MetricType::Counter,
        value: ConnectionLimit::evictions,
    },
    Metric {
        name: "connection_refusals",
        help: "Connections that were closed because all places carried requests",
        unit: None,
        metric_type: MetricType::Counter,
        value: ConnectionLimit::refusals,
    },
    Metric {
        name: "refused_heads",
        help: "Connections that were closed because there was no memory for a head",
        unit: None,
        metric_type: MetricType::Counter,
        value: ConnectionLimit::refused_heads,
    },
];
