//! Gauges, and counters that are read together with them.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};

use crate::item_waits::{WaitCause, WaitCounts};
use crate::peers::OriginCounts;
use crate::tables::{FollowedTable, TableStatus};

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TableLabel {
    table: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct CauseLabel {
    pub(crate) cause: &'static str,
}

/// Gauge values, collected when the metrics are read.
#[derive(Debug, Clone, Copy)]
pub struct GaugeValues {
    /// Slots at engines held by this instance.
    pub slots_in_use: usize,
    /// Requests and batch items that wait for a slot.
    pub requests_waiting: usize,
    /// Open batch jobs of all instances.
    pub batch_jobs_open: usize,
    /// Open batch jobs that this instance owns.
    pub batch_jobs_owned: usize,
    /// Those of them that no task runs.
    pub batch_jobs_without_task: usize,
    /// Age of the oldest result of a batch item that is not listed yet, 0 if there is none.
    pub unlisted_result_ms: u64,
    /// Version of the route table in effect.
    pub config_version: u64,
    /// Requests with crash evidence, and those of them that are refused for it.
    pub suspected_requests: (usize, usize),
    /// Origins of streams that this instance has dropped early and handed on.
    pub origins: OriginCounts,
}

#[derive(Debug, Clone, Default)]
pub(crate) struct Gauges {
    slots_in_use: Gauge,
    requests_waiting: Gauge,
    batch_jobs_open: Gauge,
    batch_jobs_owned: Gauge,
    batch_jobs_without_task: Gauge,
    unlisted_result_age: Gauge<f64, AtomicU64>,
    config_version: Gauge,
    requests_suspected: Gauge,
    requests_quarantined: Gauge,
    config_age: Gauge<f64, AtomicU64>,
    table_ages: Family<TableLabel, Gauge<f64, AtomicU64>>,
    copy_ages: Family<TableLabel, Gauge<f64, AtomicU64>>,
    table_versions: Family<TableLabel, Gauge>,
    announced_versions: Family<TableLabel, Gauge>,
    timer_delay: Gauge<f64, AtomicU64>,
    items_waiting: Family<CauseLabel, Gauge>,
    longest_item_wait: Gauge<f64, AtomicU64>,
    longest_item_hold: Gauge<f64, AtomicU64>,
    evicted_origins: Counter,
    handed_on_origins: Counter,
}

impl Gauges {
    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Places at engines in use by this instance";
        registry.register("places_in_use", help, self.slots_in_use.clone());
        let help = "Requests and batch items that wait for a place";
        registry.register("requests_waiting", help, self.requests_waiting.clone());
        let help = "Open batch jobs of all instances";
        registry.register("batch_jobs_open", help, self.batch_jobs_open.clone());
        let help = "Open batch jobs that this instance owns";
        registry.register("batch_jobs_owned", help, self.batch_jobs_owned.clone());
        let help = "Open batch jobs that this instance owns and no task runs";
        let idle = self.batch_jobs_without_task.clone();
        registry.register("batch_jobs_without_task", help, idle);
        let help = "Age of the oldest result of a batch item that is not listed yet";
        let age = self.unlisted_result_age.clone();
        registry.register_with_unit("unlisted_result_age", help, Unit::Seconds, age);
        let help = "Version of the configuration in force";
        registry.register("config_version", help, self.config_version.clone());
        let help = "Requests with crash evidence at this instance";
        registry.register("requests_suspected", help, self.requests_suspected.clone());
        let help = "Requests that this instance refuses because they crash backend servers";
        let quarantined = self.requests_quarantined.clone();
        registry.register("requests_quarantined", help, quarantined);
        let help = "Time since the store last answered about the configuration";
        let age = self.config_age.clone();
        registry.register_with_unit("config_age", help, Unit::Seconds, age);
        let help = "Time since the store last answered about a followed table";
        let ages = self.table_ages.clone();
        registry.register_with_unit("table_age", help, Unit::Seconds, ages);
        let help = "Age of the moment up to which the copy of a followed table has every change";
        let ages = self.copy_ages.clone();
        registry.register_with_unit("table_copy_age", help, Unit::Seconds, ages);
        let help = "Version of the newest change of a followed table that was applied";
        registry.register("table_version", help, self.table_versions.clone());
        let help = "Version of the newest change of a followed table at other instances";
        let announced = self.announced_versions.clone();
        registry.register("table_announced_version", help, announced);
        let help = "Longest delay of a timer beyond its time since the metrics were last read";
        let delay = self.timer_delay.clone();
        registry.register_with_unit("timer_delay", help, Unit::Seconds, delay);
        let help = "Batch items of this instance that wait, by what they wait for";
        registry.register("batch_items_waiting", help, self.items_waiting.clone());
        let help = "Longest time for which a waiting batch item of this instance has not run";
        let longest = self.longest_item_wait.clone();
        registry.register_with_unit("batch_item_longest_wait", help, Unit::Seconds, longest);
        let help =
            "Longest time for which crash evidence holds a batch item back since it last ran";
        let longest = self.longest_item_hold.clone();
        registry.register_with_unit("batch_item_longest_hold", help, Unit::Seconds, longest);
        let help = "Origins of streams that were dropped before their time";
        registry.register("evicted_origins", help, self.evicted_origins.clone());
        let help = "Origins of streams that were handed on to other instances";
        registry.register("handed_on_origins", help, self.handed_on_origins.clone());
    }

    pub(crate) fn set_item_waits(&self, counts: &WaitCounts) {
        for cause in WaitCause::ALL {
            let items = counts.items.get(&cause).copied().unwrap_or(0);
            let label = CauseLabel {
                cause: cause.as_str(),
            };
            self.items_waiting.get_or_create(&label).set(items as i64);
        }
        self.longest_item_wait.set(counts.longest.as_secs_f64());
        self.longest_item_hold
            .set(counts.longest_hold.as_secs_f64());
    }

    pub(crate) fn set(&self, values: &GaugeValues, tables: &TableStatus) {
        self.slots_in_use.set(values.slots_in_use as i64);
        self.requests_waiting.set(values.requests_waiting as i64);
        self.batch_jobs_open.set(values.batch_jobs_open as i64);
        self.batch_jobs_owned.set(values.batch_jobs_owned as i64);
        self.batch_jobs_without_task
            .set(values.batch_jobs_without_task as i64);
        self.unlisted_result_age
            .set(values.unlisted_result_ms as f64 / 1_000.0);
        self.config_version.set(values.config_version as i64);
        let (suspected, quarantined) = values.suspected_requests;
        self.requests_suspected.set(suspected as i64);
        self.requests_quarantined.set(quarantined as i64);
        let (evicted, handed_on) = (&self.evicted_origins, &self.handed_on_origins);
        evicted
            .inner()
            .store(values.origins.evicted, Ordering::Relaxed);
        handed_on
            .inner()
            .store(values.origins.handed_on, Ordering::Relaxed);
        for table in FollowedTable::ALL {
            let label = TableLabel {
                table: table.as_str(),
            };
            let newest = tables.newest_change(table);
            self.table_versions.get_or_create(&label).set(newest as i64);
            let announced = tables.newest_announced(table);
            self.announced_versions
                .get_or_create(&label)
                .set(announced as i64);
            if let Some(age) = tables.copy_age(table) {
                self.copy_ages.get_or_create(&label).set(age.as_secs_f64());
            }
            let Some((age, _)) = tables.age(table) else {
                continue;
            };
            self.table_ages.get_or_create(&label).set(age.as_secs_f64());
            if table == FollowedTable::Routes {
                self.config_age.set(age.as_secs_f64());
            }
        }
    }

    pub(crate) fn set_timer_delay(&self, delay: Duration) {
        self.timer_delay.set(delay.as_secs_f64());
    }
}
