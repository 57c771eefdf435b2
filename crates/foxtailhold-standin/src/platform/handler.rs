//! HTTP interface of the platform stand-in, as `foxtailhold_platform::http` describes it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use foxtailhold_http::body;
use foxtailhold_http::server::{Handler, Server};
use foxtailhold_platform::{Operation, Transacted};
use http::{HeaderValue, Method, Request, Response, StatusCode, header, request};
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::answer::{self, Answer};
use crate::error::Result;
use crate::platform::faults::{PlatformFaults, WriteEffect};
use crate::platform::fleet::{FleetChange, LaggingFleet};
use crate::platform::table::MemoryTable;
use crate::platform::weights::{DEFAULT_WEIGHTS_PER_S, WeightRate};

/// Counts of the calls to table service and object store since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreCounts {
    /// Transactions on tables, those that ended in a conflict included.
    pub transactions: u64,
    /// Reads of single rows and scans of tables.
    pub table_reads: u64,
    /// Writes of objects.
    pub object_writes: u64,
    /// Reads of objects, those of missing objects included.
    pub object_reads: u64,
}

#[derive(Debug)]
struct State {
    table: MemoryTable,
    objects: BTreeMap<String, Bytes>,
    fleet: LaggingFleet,
    weights: WeightRate,
    faults: PlatformFaults,
    counts: StoreCounts,
    /// Transactions by table, those that ended in a conflict included.
    transactions_by_table: BTreeMap<String, u64>,
}

impl State {
    /// Reads the current tables or, while `read_lag_ms` is set, their earlier state.
    fn read<T>(&self, read: impl FnOnce(&MemoryTable) -> T) -> T {
        match self.faults.read_lag_ms {
            0 => read(&self.table),
            lag_ms => read(&self.table.as_of(lag_ms)),
        }
    }
}

/// A platform stand-in. Clones share the same platform.
#[derive(Debug, Clone)]
pub struct PlatformStandin {
    state: Arc<Mutex<State>>,
}

impl PlatformStandin {
    /// Creates a platform without data. Changes of its fleet list are visible after
    /// `fleet_lag_ms`.
    pub fn new(fleet_lag_ms: u64) -> Self {
        let state = State {
            table: MemoryTable::default(),
            objects: BTreeMap::new(),
            fleet: LaggingFleet::new(fleet_lag_ms),
            weights: WeightRate::new(DEFAULT_WEIGHTS_PER_S),
            faults: PlatformFaults::default(),
            counts: StoreCounts::default(),
            transactions_by_table: BTreeMap::new(),
        };
        PlatformStandin {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Starts an HTTP server for this platform on `address`.
    pub async fn serve(&self, address: SocketAddr) -> Result<Server> {
        Ok(Server::bind(address, self.clone()).await?)
    }

    /// Applies a change to the fleet list.
    pub fn change_fleet(&self, change: FleetChange) {
        self.state.lock().fleet.change(change);
    }

    /// Replaces all fault switches.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.state.lock().faults = faults;
    }

    /// Returns the counts of calls to the stores since the start.
    pub fn counts(&self) -> StoreCounts {
        self.state.lock().counts
    }

    async fn route(&self, request: Request<Incoming>) -> std::result::Result<Answer, Answer> {
        let (head, incoming) = request.into_parts();
        let path = head.uri.path().trim_matches('/').to_owned();
        let segments: Vec<&str> = path.split('/').collect();
        match (&head.method, segments.as_slice()) {
            (&Method::GET, ["v1", "fleet"]) => Ok(self.fleet()),
            (&Method::GET, ["v1", "weights"]) => Ok(answer::ok::<[&str; 0]>(&[])),
            (&Method::GET, ["v1", "weights", _, name]) => Ok(self.weights(name)),
            (&Method::POST, ["standin", "fleet"]) => {
                self.change_fleet(answer::read_json(incoming).await?);
                Ok(body::empty(StatusCode::OK))
            }
            (&Method::POST, ["standin", "faults"]) => {
                self.set_faults(answer::read_json(incoming).await?);
                Ok(body::empty(StatusCode::OK))
            }
            (&Method::GET, ["standin", "counts"]) => Ok(answer::ok(&self.counts())),
            (&Method::GET, ["standin", "transactions"]) => {
                Ok(answer::ok(&self.state.lock().transactions_by_table))
            }
            _ => self.store_call(head, incoming).await,
        }
    }

    fn weights(&self, name: &str) -> Answer {
        let Err(wait) = self.state.lock().weights.try_take() else {
            return Response::new(body::whole(Bytes::copy_from_slice(name.as_bytes())));
        };
        let mut answer = answer::error(StatusCode::TOO_MANY_REQUESTS, "come back later");
        let wait_s = HeaderValue::from(wait.as_millis().div_ceil(1_000) as u64);
        answer.headers_mut().insert(header::RETRY_AFTER, wait_s);
        answer
    }

    /// Sets the rate limit of the weight store.
    pub fn with_weights_per_s(self, weights_per_s: u32) -> Self {
        self.state.lock().weights = WeightRate::new(weights_per_s);
        self
    }

    fn fleet(&self) -> Answer {
        let mut state = self.state.lock();
        if state.faults.fleet_down {
            return answer::error(StatusCode::SERVICE_UNAVAILABLE, "the fleet list is down");
        }
        answer::ok(&state.fleet.visible())
    }

    /// Handles a call of table service or object store in a task of its own, so that it completes
    /// also if the client disconnects. As with a real store, a write can then take effect after
    /// its sender has crashed.
    async fn store_call(
        &self,
        head: request::Parts,
        incoming: Incoming,
    ) -> std::result::Result<Answer, Answer> {
        let bytes = answer::read(incoming).await?;
        let platform = self.clone();
        let task = tokio::spawn(async move {
            let path = head.uri.path().trim_matches('/');
            let segments: Vec<&str> = path.split('/').collect();
            platform.wait_or_refuse(&segments).await?;
            platform.store(&head, &segments, bytes)
        });
        match task.await {
            Ok(answer) => answer,
            Err(error) => Err(answer::error(
                StatusCode::INTERNAL_SERVER_ERROR,
                &error.to_string(),
            )),
        }
    }

    async fn wait_or_refuse(&self, segments: &[&str]) -> std::result::Result<(), Answer> {
        let (down, delay_ms) = {
            let faults = &self.state.lock().faults;
            let down = match segments {
                ["v1", "table", "transact"] => faults.table_down,
                ["v1", "table", table, ..] => {
                    let is_unreadable = *table == faults.unreadable_table;
                    faults.table_down || is_unreadable
                }
                _ => false,
            };
            (down || faults.store_down, faults.delay_ms)
        };
        if down {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Err(answer::error(status, "the store is down"));
        }
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        Ok(())
    }

    fn store(
        &self,
        head: &request::Parts,
        segments: &[&str],
        bytes: Bytes,
    ) -> std::result::Result<Answer, Answer> {
        let uri = &head.uri;
        match (&head.method, segments) {
            (&Method::GET, ["v1", "table", table, "row"]) => {
                let mut state = self.state.lock();
                state.counts.table_reads += 1;
                let key = answer::query(uri, "key");
                Ok(state.read(|rows| answer::ok(&rows.get(table, &key))))
            }
            (&Method::GET, ["v1", "table", table, "rows"]) => {
                let (prefix, after) = (answer::query(uri, "prefix"), answer::query(uri, "after"));
                let limit = answer::query(uri, "limit").parse().unwrap_or(100);
                let mut state = self.state.lock();
                state.counts.table_reads += 1;
                let scan = |rows: &MemoryTable| rows.scan(table, &prefix, &after, limit);
                Ok(state.read(|rows| answer::ok(&scan(rows))))
            }
            (&Method::POST, ["v1", "table", "transact"]) => {
                let operations = answer::from_json(&bytes)?;
                self.transact(operations)
            }
            (&Method::PUT, ["v1", "objects", name]) => {
                self.put_object(answer::unescape(name), bytes)
            }
            (&Method::GET, ["v1", "objects", name]) => {
                let mut state = self.state.lock();
                state.counts.object_reads += 1;
                match state.objects.get(&answer::unescape(name)) {
                    Some(bytes) => Ok(Response::new(body::whole(bytes.clone()))),
                    None => Err(answer::error(StatusCode::NOT_FOUND, "no such object")),
                }
            }
            (&Method::DELETE, ["v1", "objects", name]) => {
                self.state.lock().objects.remove(&answer::unescape(name));
                Ok(body::empty(StatusCode::OK))
            }
            (&Method::GET, ["v1", "objects"]) => {
                let (prefix, after) = (answer::query(uri, "prefix"), answer::query(uri, "after"));
                let limit = answer::query(uri, "limit").parse().unwrap_or(100);
                Ok(self.list_objects(&prefix, &after, limit))
            }
            _ => Err(answer::error(StatusCode::NOT_FOUND, "no such path")),
        }
    }

    fn transact(&self, operations: Vec<Operation>) -> std::result::Result<Answer, Answer> {
        let mut state = self.state.lock();
        state.counts.transactions += 1;
        let tables: BTreeSet<&str> = operations.iter().map(|o| o.table.as_str()).collect();
        for table in tables {
            let count = state.transactions_by_table.entry(table.to_owned());
            *count.or_default() += 1;
        }
        let effect = state.faults.next_write(&operations);
        if effect == WriteEffect::Lost {
            return Err(lost_response());
        }
        let transacted: Transacted = state.table.transact(operations);
        if effect == WriteEffect::AnswerLost {
            return Err(lost_response());
        }
        Ok(answer::ok(&transacted))
    }

    fn put_object(&self, name: String, bytes: Bytes) -> std::result::Result<Answer, Answer> {
        let mut state = self.state.lock();
        state.counts.object_writes += 1;
        let effect = state.faults.next_write(&[]);
        if effect == WriteEffect::Lost {
            return Err(lost_response());
        }
        state.objects.insert(name, bytes);
        if effect == WriteEffect::AnswerLost {
            return Err(lost_response());
        }
        Ok(body::empty(StatusCode::OK))
    }

    fn list_objects(&self, prefix: &str, after: &str, limit: usize) -> Answer {
        let state = self.state.lock();
        let mut names = Vec::new();
        for name in state.objects.keys() {
            if !name.starts_with(prefix) || name.as_str() <= after {
                continue;
            }
            if names.len() >= limit {
                break;
            }
            names.push(name.clone());
        }
        answer::ok(&names)
    }
}

fn lost_response() -> Answer {
    answer::error(StatusCode::GATEWAY_TIMEOUT, "the answer was lost")
}

impl Handler for PlatformStandin {
    async fn handle(&self, _: SocketAddr, request: Request<Incoming>) -> Answer {
        match self.route(request).await {
            Ok(answer) | Err(answer) => answer,
        }
    }
}
