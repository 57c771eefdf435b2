//! Limit of the connections that a listener accepts.
//!
//! A listener that has its most connections closes one that carries no request for each new one: first
//! those that never brought a request to its end, then idle ones, the longest first.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::lock::Mutex;
use crate::memory::{MemoryBudget, Reservation, Writer};

/// A connection that has brought no request to its end is not closed for another one within this time
/// after its last progress.
const MIN_WAIT_MS: u64 = 100;
/// The same for one that has, and is idle.
const MIN_IDLE_MS: u64 = 10;
/// The same if it carries a response that its client does not read.
const MIN_BLOCKED_MS: u64 = 10_000;
/// Longest wait of a new connection for its place, and the interval between two attempts.
const ADMISSION_WAIT_MS: u64 = 500;
const ADMISSION_RETRY_MS: u64 = 10;
/// Most connections of a listener without limits of its own.
const DEFAULT_MAX_CONNECTIONS: usize = 10_000;
/// Memory for the heads and bodies that such a listener reads.
const DEFAULT_MEMORY_BYTES: usize = 256 << 20;
/// Connections of HTTP/1.1 that count as much as one of HTTP/2, which carries several requests.
pub(crate) const HTTP2_WEIGHT: usize = 16;
/// Bytes of a head that each connection may hold without a reservation.
const FREE_HEAD_BYTES: usize = 8 << 10;

/// Connections that one listener may have, and the memory for what they carry; clones share both.
#[derive(Debug, Clone)]
pub struct ConnectionLimit {
    table: Arc<Table>,
}

#[derive(Debug)]
struct Table {
    max_weight: usize,
    memory: MemoryBudget,
    open: Mutex<OpenConnections>,
    released: Notify,
    created: Instant,
    evictions: AtomicU64,
    refusals: AtomicU64,
    refused_heads: AtomicU64,
}

#[derive(Debug, Default)]
struct OpenConnections {
    weight: usize,
    next_id: u64,
    states: HashMap<u64, Arc<ConnectionState>>,
}

impl Default for ConnectionLimit {
    fn default() -> Self {
        let memory = MemoryBudget::shared(DEFAULT_MEMORY_BYTES);
        ConnectionLimit::new(DEFAULT_MAX_CONNECTIONS, memory)
    }
}

impl ConnectionLimit {
    /// A limit of `max_connections`, which use `memory`.
    pub fn new(max_connections: usize, memory: MemoryBudget) -> Self {
        ConnectionLimit {
            table: Arc::new(Table {
                max_weight: max_connections.max(HTTP2_WEIGHT),
                memory,
                open: Mutex::default(),
                released: Notify::new(),
                created: Instant::now(),
                evictions: AtomicU64::new(0),
                refusals: AtomicU64::new(0),
                refused_heads: AtomicU64::new(0),
            }),
        }
    }

    /// Memory for what the connections carry.
    pub fn memory(&self) -> &MemoryBudget {
        &self.table.memory
    }

    /// Most connections of HTTP/1.1.
    pub fn max_connections(&self) -> usize {
        self.table.max_weight
    }

    /// Open connections, where one of HTTP/2 counts as several.
    pub fn open_connections(&self) -> usize {
        self.table.open.lock().weight
    }

    /// Connections that were closed for newer ones.
    pub fn evictions(&self) -> u64 {
        self.table.evictions.load(Ordering::Relaxed)
    }

    /// Connections that were closed unread, because all others carried requests.
    pub fn refusals(&self) -> u64 {
        self.table.refusals.load(Ordering::Relaxed)
    }

    /// Connections that were closed because there was no memory for a head.
    pub fn refused_heads(&self) -> u64 {
        self.table.refused_heads.load(Ordering::Relaxed)
    }

    /// Gives a place to a new connection; `None` if all are taken by connections with requests.
    pub async fn admit(&self) -> Option<ConnectionSlot> {
        let deadline = Instant::now() + Duration::from_millis(ADMISSION_WAIT_MS);
        loop {
            let released = self.table.released.notified();
            if let Some(slot) = self.try_admit() {
                return Some(slot);
            }
            let may_come_free = self.table.evict_one() || self.table.has_idle();
            if !may_come_free || Instant::now() >= deadline {
                self.table.refusals.fetch_add(1, Ordering::Relaxed);
                return None;
            }
            let wait = Duration::from_millis(ADMISSION_RETRY_MS);
            // The next round finds out whether a place is free.
            let _ = tokio::time::timeout(wait, released).await;
        }
    }

    fn try_admit(&self) -> Option<ConnectionSlot> {
        let mut open = self.table.open.lock();
        if open.weight >= self.table.max_weight {
            return None;
        }
        let id = open.next_id;
        let state = Arc::new(ConnectionState::new(&self.table));
        open.next_id += 1;
        open.weight += 1;
        open.states.insert(id, Arc::clone(&state));
        Some(ConnectionSlot {
            table: Arc::clone(&self.table),
            id,
            weight: 1,
            state,
        })
    }
}

impl Table {
    fn now_ms(&self) -> u64 {
        self.created.elapsed().as_millis() as u64
    }

    /// Closes the connection of least use; returns `false` if each has made progress lately.
    fn evict_one(&self) -> bool {
        let now_ms = self.now_ms();
        let open = self.open.lock();
        let idle = open
            .states
            .values()
            .filter(|state| state.is_evictable(now_ms));
        let Some(victim) = idle.min_by_key(|state| state.usefulness()) else {
            return false;
        };
        victim.evicted.cancel();
        self.evictions.fetch_add(1, Ordering::Relaxed);
        true
    }

    /// Whether some connection carries no request.
    fn has_idle(&self) -> bool {
        let open = self.open.lock();
        open.states.values().any(|state| state.is_idle())
    }
}

/// The place of one connection. It is free again when this is dropped.
#[derive(Debug)]
pub struct ConnectionSlot {
    table: Arc<Table>,
    id: u64,
    weight: usize,
    state: Arc<ConnectionState>,
}

impl ConnectionSlot {
    /// What is known of the connection.
    pub fn state(&self) -> &Arc<ConnectionState> {
        &self.state
    }

    /// Takes the place of a connection of HTTP/2; returns `false` if there is none.
    pub(crate) fn widen(&mut self) -> bool {
        let more = HTTP2_WEIGHT - self.weight;
        {
            let mut open = self.table.open.lock();
            if open.weight + more <= self.table.max_weight {
                open.weight += more;
                self.weight += more;
                return true;
            }
        }
        self.table.refusals.fetch_add(1, Ordering::Relaxed);
        false
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        {
            let mut open = self.table.open.lock();
            open.weight -= self.weight;
            open.states.remove(&self.id);
        }
        self.table.released.notify_waiters();
    }
}

/// What a connection carries.
#[derive(Debug)]
pub struct ConnectionState {
    table: Arc<Table>,
    /// Requests without a complete response, and those of them whose body is being read.
    requests: AtomicUsize,
    reading: AtomicUsize,
    /// Bodies whose rest is read and dropped.
    draining: AtomicUsize,
    /// Whether a request has succeeded.
    has_served: AtomicBool,
    /// Time of the last progress, in milliseconds since the table was created.
    progress_ms: AtomicU64,
    waits_for_turn: AtomicBool,
    /// Bytes read since the last request.
    head_bytes: AtomicUsize,
    head: Mutex<Option<Reservation>>,
    writer: Arc<Writer>,
    evicted: CancellationToken,
}

impl ConnectionState {
    fn new(table: &Arc<Table>) -> Self {
        ConnectionState {
            requests: AtomicUsize::new(0),
            reading: AtomicUsize::new(0),
            draining: AtomicUsize::new(0),
            has_served: AtomicBool::new(false),
            progress_ms: AtomicU64::new(table.now_ms()),
            waits_for_turn: AtomicBool::new(false),
            head_bytes: AtomicUsize::new(0),
            head: Mutex::default(),
            writer: table.memory.add_writer(),
            evicted: CancellationToken::new(),
            table: Arc::clone(table),
        }
    }

    /// Whether no request waits for its response.
    fn is_idle(&self) -> bool {
        let requests = self.requests.load(Ordering::Relaxed);
        requests <= self.reading.load(Ordering::Relaxed)
    }

    fn is_evictable(&self, now_ms: u64) -> bool {
        if self.evicted.is_cancelled() {
            return false;
        }
        if let Some(blocked) = self.writer.blocked() {
            return blocked >= Duration::from_millis(MIN_BLOCKED_MS);
        }
        let idle_ms = now_ms.saturating_sub(self.progress_ms.load(Ordering::Relaxed));
        let min_idle_ms = match self.has_served.load(Ordering::Relaxed) {
            true => MIN_IDLE_MS,
            false => MIN_WAIT_MS,
        };
        self.is_idle() && idle_ms >= min_idle_ms
    }

    /// Connections of least use come first.
    fn usefulness(&self) -> (bool, u64) {
        let has_served = self.has_served.load(Ordering::Relaxed);
        (has_served, self.progress_ms.load(Ordering::Relaxed))
    }

    fn record_progress(&self) {
        let now_ms = self.table.now_ms();
        self.progress_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Waits until the connection has to be closed.
    pub async fn evicted(&self) {
        tokio::select! {
            () = self.evicted.cancelled() => {}
            () = self.writer.evicted() => {}
        }
    }

    /// Its writing side.
    pub(crate) fn writer(&self) -> &Writer {
        &self.writer
    }

    /// Records whether bytes wait for the turn in which the connection is read.
    pub(crate) fn set_waits_for_turn(&self, waits: bool) {
        self.waits_for_turn.store(waits, Ordering::Relaxed);
    }

    /// Whether the connection waits for its turn, so that its peer is not slow.
    pub(crate) fn waits_for_turn(&self) -> bool {
        self.waits_for_turn.load(Ordering::Relaxed)
    }

    /// Records bytes that were read. Returns `false` if there is no memory for the head of which they
    /// are a part.
    pub(crate) fn record_read(&self, count: usize) -> bool {
        let is_body = |count: &AtomicUsize| count.load(Ordering::Relaxed) > 0;
        if is_body(&self.requests) || is_body(&self.draining) {
            return true;
        }
        let head_bytes = self.head_bytes.fetch_add(count, Ordering::Relaxed) + count;
        if head_bytes <= FREE_HEAD_BYTES {
            return true;
        }
        let mut head = self.head.lock();
        let grown = match &mut *head {
            Some(reservation) => reservation.grow_to(head_bytes),
            None => match self.table.memory.reserve(head_bytes) {
                Ok(reservation) => {
                    *head = Some(reservation);
                    Ok(())
                }
                Err(error) => Err(error),
            },
        };
        if grown.is_err() {
            self.table.refused_heads.fetch_add(1, Ordering::Relaxed);
        }
        grown.is_ok()
    }

    /// Records a request whose head has been read.
    pub fn begin_request(self: &Arc<Self>) -> OpenRequest {
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.record_progress();
        OpenRequest {
            state: Arc::clone(self),
        }
    }

    /// Records that the body of a request is being read, until the result is dropped.
    pub fn begin_reading(&self) -> ReadingBody<'_> {
        self.reading.fetch_add(1, Ordering::Relaxed);
        ReadingBody { state: self }
    }

    /// Records that the rest of a body is read and dropped, until the result is dropped.
    pub(crate) fn begin_draining(self: &Arc<Self>) -> DrainingBody {
        self.draining.fetch_add(1, Ordering::Relaxed);
        DrainingBody {
            state: Arc::clone(self),
        }
    }

    /// Records that a request has succeeded.
    pub(crate) fn record_success(&self) {
        self.has_served.store(true, Ordering::Relaxed);
    }
}

/// A request of a connection without a complete response.
#[derive(Debug)]
pub struct OpenRequest {
    state: Arc<ConnectionState>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let state = &self.state;
        if state.requests.fetch_sub(1, Ordering::Relaxed) == 1 {
            state.head_bytes.store(0, Ordering::Relaxed);
            *state.head.lock() = None;
        }
        state.record_progress();
    }
}

/// A body that is being read.
#[derive(Debug)]
pub struct ReadingBody<'a> {
    state: &'a ConnectionState,
}

impl ReadingBody<'_> {
    /// Records that bytes have come.
    pub(crate) fn record_progress(&self) {
        self.state.record_progress();
    }
}

impl Drop for ReadingBody<'_> {
    fn drop(&mut self) {
        self.state.reading.fetch_sub(1, Ordering::Relaxed);
        self.state.record_progress();
    }
}

/// A body whose rest is read and dropped.
#[derive(Debug)]
pub(crate) struct DrainingBody {
    state: Arc<ConnectionState>,
}

impl Drop for DrainingBody {
    fn drop(&mut self) {
        self.state.draining.fetch_sub(1, Ordering::Relaxed);
    }
}
