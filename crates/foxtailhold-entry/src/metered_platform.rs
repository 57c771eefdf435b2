//! A platform client that counts its calls.

use std::time::Instant;

use bytes::Bytes;
use foxtailhold_platform::{
    Fleet, FleetList, KeyedRow, ObjectStore, Operation, Platform, Result, Row, TableService,
    Transacted, WeightStore,
};

use crate::metrics::{CallLabels, PlatformMetrics};

/// Wraps a platform and counts calls, errors and durations.
#[derive(Debug, Clone)]
pub struct MeteredPlatform<P> {
    inner: P,
    metrics: PlatformMetrics,
}

impl<P: Platform> MeteredPlatform<P> {
    /// Counts the calls to `inner` in `metrics`.
    pub fn new(inner: P, metrics: PlatformMetrics) -> Self {
        MeteredPlatform { inner, metrics }
    }

    async fn measure<T>(
        &self,
        call: &'static str,
        answer: impl Future<Output = Result<T>>,
    ) -> Result<T> {
        let start = Instant::now();
        let answer = answer.await;
        let labels = CallLabels { call };
        let metrics = &self.metrics;
        metrics.calls.get_or_create(&labels).inc();
        if answer.is_err() {
            metrics.errors.get_or_create(&labels).inc();
        }
        let seconds = start.elapsed().as_secs_f64();
        metrics.seconds.get_or_create(&labels).observe(seconds);
        answer
    }
}

impl<P: Platform> TableService for MeteredPlatform<P> {
    async fn get(&self, table: &str, key: &str) -> Result<Option<Row>> {
        self.measure("table_get", self.inner.get(table, key)).await
    }

    async fn scan(
        &self,
        table: &str,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<KeyedRow>> {
        let scan = self.inner.scan(table, prefix, after, limit);
        self.measure("table_scan", scan).await
    }

    async fn transact(&self, operations: &[Operation]) -> Result<Transacted> {
        let transact = self.inner.transact(operations);
        self.measure("table_transact", transact).await
    }
}

impl<P: Platform> ObjectStore for MeteredPlatform<P> {
    async fn put_object(&self, name: &str, bytes: Bytes) -> Result<()> {
        let put = self.inner.put_object(name, bytes);
        self.measure("object_put", put).await
    }

    async fn get_object(&self, name: &str) -> Result<Option<Bytes>> {
        self.measure("object_get", self.inner.get_object(name))
            .await
    }

    async fn delete_object(&self, name: &str) -> Result<()> {
        let delete = self.inner.delete_object(name);
        self.measure("object_delete", delete).await
    }

    async fn list_objects(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<String>> {
        let list = self.inner.list_objects(prefix, after, limit);
        self.measure("object_list", list).await
    }
}

impl<P: Platform> WeightStore for MeteredPlatform<P> {
    async fn weights(&self) -> Result<Vec<String>> {
        self.measure("weights", self.inner.weights()).await
    }
}

impl<P: Platform> FleetList for MeteredPlatform<P> {
    async fn fleet(&self) -> Result<Fleet> {
        self.measure("fleet", self.inner.fleet()).await
    }
}
