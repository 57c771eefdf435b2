//! Memory that peers make the process hold: a budget gives it out and takes it back when what holds it
//! is dropped.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;

use bytes::Bytes;
use thiserror::Error;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::lock::Mutex;

/// Result of taking memory from a budget.
pub type Result<T> = std::result::Result<T, MemoryExhausted>;

/// Largest size at which one holder may use all of a shared budget.
const SMALL_BYTES: usize = 16 << 10;
/// Largest size at which one holder may use three quarters of it. Larger ones may use half.
const MEDIUM_BYTES: usize = 64 << 10;
/// A body counts as stalled once it has grown by less than [`PROGRESS_BYTES`] for this time.
pub const STALL_MS: u64 = 250;
/// Bytes that count as progress of a body.
const PROGRESS_BYTES: usize = 16 << 10;
/// A response counts as stalled once no byte of it could be written for this time.
const WRITE_STALL_MS: u64 = 2_000;
/// Longest wait for the memory of a holder that was told to release it.
const RELEASE_WAIT_MS: u64 = 100;

/// A budget has not enough memory left.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("no memory is left for {bytes} more bytes")]
pub struct MemoryExhausted {
    /// Bytes that were asked for.
    pub bytes: usize,
}

/// How much of a budget a holder may use, by its size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sharing {
    /// The larger a holder is, the more memory has to stay free, so that small ones do not depend on
    /// large ones.
    BySize,
    /// All of it; small holders are counted and never refused.
    Equal,
}

/// A body that is being read.
#[derive(Debug)]
struct GrowingBody {
    held_bytes: AtomicUsize,
    /// Size at the last progress.
    marked_bytes: AtomicUsize,
    /// Time of the last progress, in milliseconds since the budget was created.
    marked_ms: AtomicU64,
    evicted: CancellationToken,
}

/// The writing side of a connection, which holds what its peer has not read.
#[derive(Debug)]
pub(crate) struct Writer {
    /// Time since which nothing can be written, in milliseconds since the budget was created; 0 while
    /// the peer reads.
    blocked_since_ms: AtomicU64,
    budget: MemoryBudget,
    evicted: CancellationToken,
}

impl Writer {
    /// Records whether bytes could be written.
    pub(crate) fn record(&self, is_blocked: bool) {
        let since_ms = &self.blocked_since_ms;
        if !is_blocked {
            since_ms.store(0, Ordering::Relaxed);
        } else if since_ms.load(Ordering::Relaxed) == 0 {
            since_ms.store(self.budget.now_ms().max(1), Ordering::Relaxed);
        }
    }

    /// Time for which nothing could be written; `None` while the peer reads.
    pub(crate) fn blocked(&self) -> Option<Duration> {
        let since_ms = self.blocked_since_ms.load(Ordering::Relaxed);
        let blocked_ms = self.budget.now_ms().saturating_sub(since_ms);
        (since_ms > 0).then_some(Duration::from_millis(blocked_ms))
    }

    /// Waits until the connection has to be closed.
    pub(crate) async fn evicted(&self) {
        self.evicted.cancelled().await;
    }
}

#[derive(Debug)]
struct State {
    total_bytes: usize,
    sharing: Sharing,
    used_bytes: AtomicUsize,
    created: Instant,
    growing: Mutex<Vec<Weak<GrowingBody>>>,
    writers: Mutex<Vec<Weak<Writer>>>,
    released: Notify,
    evictions: AtomicU64,
}

/// Memory for what is held at the same time; clones share it.
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    state: Arc<State>,
}

impl MemoryBudget {
    /// A budget of `total_bytes` for holders of any size, of which the large ones leave room for small
    /// ones.
    pub fn shared(total_bytes: usize) -> Self {
        MemoryBudget::new(total_bytes, Sharing::BySize)
    }

    /// A budget of `total_bytes` that one large holder may use up. Small ones are never refused.
    pub fn for_large(total_bytes: usize) -> Self {
        MemoryBudget::new(total_bytes, Sharing::Equal)
    }

    fn new(total_bytes: usize, sharing: Sharing) -> Self {
        MemoryBudget {
            state: Arc::new(State {
                total_bytes,
                sharing,
                used_bytes: AtomicUsize::new(0),
                created: Instant::now(),
                growing: Mutex::default(),
                writers: Mutex::default(),
                released: Notify::new(),
                evictions: AtomicU64::new(0),
            }),
        }
    }

    /// Size of the budget.
    pub fn total_bytes(&self) -> usize {
        self.state.total_bytes
    }

    /// Bytes that are not in use.
    pub fn free_bytes(&self) -> usize {
        let used_bytes = self.state.used_bytes.load(Ordering::Relaxed);
        self.state.total_bytes.saturating_sub(used_bytes)
    }

    /// Number of holders that had to release their memory because they made no progress.
    pub fn evictions(&self) -> u64 {
        self.state.evictions.load(Ordering::Relaxed)
    }

    /// Takes memory for one holder.
    pub fn reserve(&self, bytes: usize) -> Result<Reservation> {
        let mut reservation = Reservation {
            budget: self.clone(),
            bytes: 0,
        };
        reservation.grow_to(bytes)?;
        Ok(reservation)
    }

    /// Takes memory for what one holder needs to come to its end. However large it is, it counts as of
    /// medium size, so that holders which are still growing do not keep each other from ending.
    pub fn reserve_to_finish(&self, bytes: usize) -> Result<Reservation> {
        let mut reservation = self.reserve(0)?;
        reservation.grow_below(bytes, self.ceiling_bytes(bytes.min(MEDIUM_BYTES)))?;
        Ok(reservation)
    }

    /// Like [`MemoryBudget::reserve_to_finish`], but takes no more than one holder may use, so that a
    /// holder of any size can run while there are few others.
    pub fn reserve_to_run(&self, bytes: usize) -> Result<Reservation> {
        self.reserve_to_finish(bytes.min(self.ceiling_bytes(MEDIUM_BYTES)))
    }

    /// Whether a holder of this size fits now.
    pub fn fits(&self, bytes: usize) -> bool {
        let used_bytes = self.state.used_bytes.load(Ordering::Relaxed);
        used_bytes.saturating_add(bytes) <= self.ceiling_bytes(bytes)
    }

    /// Use of the budget up to which a holder of this size may grow.
    fn ceiling_bytes(&self, holder_bytes: usize) -> usize {
        let total_bytes = self.state.total_bytes;
        match (self.state.sharing, holder_bytes) {
            (Sharing::Equal, ..=MEDIUM_BYTES) => usize::MAX,
            (Sharing::Equal, _) | (Sharing::BySize, ..=SMALL_BYTES) => total_bytes,
            (Sharing::BySize, ..=MEDIUM_BYTES) => total_bytes / 4 * 3,
            (Sharing::BySize, _) => total_bytes / 2,
        }
    }

    fn release(&self, bytes: usize) {
        self.state.used_bytes.fetch_sub(bytes, Ordering::Relaxed);
        self.state.released.notify_waiters();
    }

    fn now_ms(&self) -> u64 {
        self.state.created.elapsed().as_millis() as u64
    }

    /// Begins to read a body.
    pub fn grow_body(&self) -> GrowingReservation {
        let body = Arc::new(GrowingBody {
            held_bytes: AtomicUsize::new(0),
            marked_bytes: AtomicUsize::new(0),
            marked_ms: AtomicU64::new(self.now_ms()),
            evicted: CancellationToken::new(),
        });
        let mut growing = self.state.growing.lock();
        growing.retain(|body| body.strong_count() > 0);
        growing.push(Arc::downgrade(&body));
        drop(growing);
        GrowingReservation {
            reservation: Reservation {
                budget: self.clone(),
                bytes: 0,
            },
            body,
        }
    }

    /// The writing side of a new connection.
    pub(crate) fn add_writer(&self) -> Arc<Writer> {
        let writer = Arc::new(Writer {
            blocked_since_ms: AtomicU64::new(0),
            budget: self.clone(),
            evicted: CancellationToken::new(),
        });
        let mut writers = self.state.writers.lock();
        writers.retain(|writer| writer.strong_count() > 0);
        writers.push(Arc::downgrade(&writer));
        writer
    }

    /// Makes the holder that has made no progress for the longest time release its memory: a body that
    /// is being read, or else a response. Returns `false` if there is none.
    fn evict_stalled(&self, except: &Arc<GrowingBody>) -> bool {
        let is_evicted = self.evict_stalled_body(except) || self.evict_stalled_writer();
        if is_evicted {
            self.state.evictions.fetch_add(1, Ordering::Relaxed);
        }
        is_evicted
    }

    fn evict_stalled_writer(&self) -> bool {
        let writers = self.state.writers.lock();
        let writers: Vec<Arc<Writer>> = writers.iter().filter_map(Weak::upgrade).collect();
        let limit = Duration::from_millis(WRITE_STALL_MS);
        let stalled = writers.iter().filter(|writer| {
            let is_stalled = writer.blocked().is_some_and(|blocked| blocked >= limit);
            is_stalled && !writer.evicted.is_cancelled()
        });
        let Some(victim) = stalled.max_by_key(|writer| writer.blocked()) else {
            return false;
        };
        victim.evicted.cancel();
        true
    }

    /// Tells the body that has made no progress for the longest time to release its memory.
    fn evict_stalled_body(&self, except: &Arc<GrowingBody>) -> bool {
        let now_ms = self.now_ms();
        let growing = self.state.growing.lock();
        let bodies = growing.iter().filter_map(Weak::upgrade);
        let stalled = bodies.filter(|body| {
            let stalled_ms = now_ms.saturating_sub(body.marked_ms.load(Ordering::Relaxed));
            let holds_memory = body.held_bytes.load(Ordering::Relaxed) > 0;
            holds_memory
                && stalled_ms >= STALL_MS
                && !body.evicted.is_cancelled()
                && !Arc::ptr_eq(body, except)
        });
        let victim = stalled.min_by_key(|body| body.marked_ms.load(Ordering::Relaxed));
        drop(growing);
        let Some(victim) = victim else {
            return false;
        };
        victim.evicted.cancel();
        true
    }
}

/// Memory taken from a budget. It is returned when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl Reservation {
    /// Bytes that are taken.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns what is not needed to hold `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let returned = self.bytes.saturating_sub(bytes);
        self.bytes -= returned;
        self.budget.release(returned);
    }

    /// Takes what is missing to hold `bytes`. On failure the reservation stays as it is.
    pub fn grow_to(&mut self, bytes: usize) -> Result<()> {
        self.grow_below(bytes, self.budget.ceiling_bytes(bytes))
    }

    fn grow_below(&mut self, bytes: usize, ceiling_bytes: usize) -> Result<()> {
        let missing = bytes.saturating_sub(self.bytes);
        let take = |used: usize| Some(used + missing).filter(|used| *used <= ceiling_bytes);
        let used_bytes = &self.budget.state.used_bytes;
        let taken = used_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        if missing > 0 && taken.is_err() {
            return Err(MemoryExhausted { bytes: missing });
        }
        self.bytes += missing;
        Ok(())
    }

    /// Counts `bytes` more that are held already, even beyond the budget, which then gives out no more.
    pub fn add_held(&mut self, bytes: usize) {
        let used_bytes = &self.budget.state.used_bytes;
        used_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
    }

    /// Keeps the reservation as long as `bytes` or a part of them.
    pub fn keep_with(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(ReservedBytes {
            bytes,
            _reservation: self,
        })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
    }
}

/// Bytes and the reservation that covers them.
struct ReservedBytes {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The reservation of a body that is being read. Bodies that make no progress are evicted when others
/// need their memory.
#[derive(Debug)]
pub struct GrowingReservation {
    reservation: Reservation,
    body: Arc<GrowingBody>,
}

impl GrowingReservation {
    /// Takes what is missing to hold `bytes`, and evicts stalled bodies for it if there is not enough.
    pub async fn grow_to(&mut self, bytes: usize) -> Result<()> {
        let budget = self.reservation.budget.clone();
        loop {
            let released = budget.state.released.notified();
            let Err(exhausted) = self.reservation.grow_to(bytes) else {
                self.body.held_bytes.store(bytes, Ordering::Relaxed);
                return Ok(());
            };
            if !budget.evict_stalled(&self.body) {
                return Err(exhausted);
            }
            let wait = Duration::from_millis(RELEASE_WAIT_MS);
            // The next round finds out whether the memory was released.
            let _ = tokio::time::timeout(wait, released).await;
        }
    }

    /// Returns what is not needed to hold `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        self.reservation.shrink_to(bytes);
        self.body.held_bytes.store(bytes, Ordering::Relaxed);
    }

    /// Evicts stalled bodies until one of `bytes` would fit.
    pub(crate) async fn make_room(&self, bytes: usize) -> Result<()> {
        let budget = &self.reservation.budget;
        loop {
            let released = budget.state.released.notified();
            if budget.fits(bytes) {
                return Ok(());
            }
            if !budget.evict_stalled(&self.body) {
                return Err(MemoryExhausted { bytes });
            }
            let wait = Duration::from_millis(RELEASE_WAIT_MS);
            let _ = tokio::time::timeout(wait, released).await;
        }
    }

    /// Records the size of the body; returns whether that is progress since it was last recorded.
    pub fn record_progress(&self, body_bytes: usize) -> bool {
        let marked_bytes = self.body.marked_bytes.load(Ordering::Relaxed);
        if body_bytes < marked_bytes + PROGRESS_BYTES {
            return false;
        }
        let now_ms = self.reservation.budget.now_ms();
        self.body.marked_bytes.store(body_bytes, Ordering::Relaxed);
        self.body.marked_ms.store(now_ms, Ordering::Relaxed);
        true
    }

    /// Told when the body has to release its memory.
    pub fn eviction(&self) -> CancellationToken {
        self.body.evicted.clone()
    }

    /// The reservation of a body that has been read.
    pub fn close(self) -> Reservation {
        self.reservation
    }
}
