//! Writes log lines through a bounded queue and a separate thread, so that no request waits for the
//! reader of the log.

use std::collections::VecDeque;
use std::io::{self, Write};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

/// Interval at which queued lines are written together. Each write wakes a thread, and readers do
/// not need log lines sooner.
const FLUSH_MS: u64 = 50;
/// How many seconds' worth of bytes are buffered for a reader that has stopped, before lines are
/// dropped.
const MAX_BUFFERED_S: u64 = 1;
/// Share of the byte budget that ordinary lines may use. The rest is reserved for warnings and
/// errors.
const ORDINARY_SHARE: f64 = 0.8;

/// Priority of a line when not all lines can be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinePriority {
    /// Lines below warning level, which are dropped first.
    Ordinary,
    /// Warnings and errors.
    Failure,
}

/// Number of lines dropped since the last summary line.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DroppedLines {
    /// Dropped ordinary lines.
    pub ordinary: u64,
    /// Dropped warnings and errors.
    pub failures: u64,
}

/// Queue of lines to be written, with a token bucket that limits the bytes per second.
#[derive(Debug)]
pub struct LineQueue {
    bytes_per_s: u64,
    budget_bytes: f64,
    refilled_at: Instant,
    lines: VecDeque<Vec<u8>>,
    buffered_bytes: u64,
    dropped: DroppedLines,
}

impl LineQueue {
    /// Creates an empty queue with the budget of one second.
    pub fn new(bytes_per_s: u64, now: Instant) -> Self {
        LineQueue {
            bytes_per_s,
            budget_bytes: bytes_per_s as f64,
            refilled_at: now,
            lines: VecDeque::new(),
            buffered_bytes: 0,
            dropped: DroppedLines::default(),
        }
    }

    /// Queues a line, or drops and counts it if the budget or the buffer is exhausted.
    pub fn push(&mut self, now: Instant, priority: LinePriority, line: Vec<u8>) {
        let rate = self.bytes_per_s as f64;
        let elapsed_s = now.duration_since(self.refilled_at).as_secs_f64();
        self.budget_bytes = (self.budget_bytes + elapsed_s * rate).min(rate);
        self.refilled_at = now;
        let length = line.len() as u64;
        let reserved = match priority {
            LinePriority::Ordinary => rate * (1.0 - ORDINARY_SHARE),
            LinePriority::Failure => 0.0,
        };
        let has_budget = self.budget_bytes - length as f64 >= reserved;
        let has_room = self.buffered_bytes + length <= self.bytes_per_s * MAX_BUFFERED_S;
        if !has_budget || !has_room {
            match priority {
                LinePriority::Ordinary => self.dropped.ordinary += 1,
                LinePriority::Failure => self.dropped.failures += 1,
            }
            return;
        }
        self.budget_bytes -= length as f64;
        self.buffered_bytes += length;
        self.lines.push_back(line);
    }

    /// Takes all queued lines, concatenated, and the counts of lines dropped since the last call.
    pub fn take(&mut self) -> (Vec<u8>, DroppedLines) {
        self.buffered_bytes = 0;
        let lines = std::mem::take(&mut self.lines);
        let bytes = lines.into_iter().flatten().collect();
        (bytes, std::mem::take(&mut self.dropped))
    }
}

/// Accepts lines of the logger and writes them on a separate thread. Cheap to clone.
#[derive(Debug, Clone)]
pub struct LineSink {
    queue: Arc<Mutex<LineQueue>>,
}

impl LineSink {
    /// Starts the thread that writes to `output`. `summary` builds the line that reports dropped
    /// lines.
    pub fn start<W: Write + Send + 'static>(
        output: W,
        bytes_per_s: u64,
        summary: impl Fn(DroppedLines) -> Vec<u8> + Send + 'static,
    ) -> io::Result<Self> {
        let sink = LineSink {
            queue: Arc::new(Mutex::new(LineQueue::new(bytes_per_s, Instant::now()))),
        };
        let writer = sink.clone();
        thread::Builder::new()
            .name("logs".into())
            .stack_size(64 << 10)
            .spawn(move || writer.write_lines(output, &summary))?;
        Ok(sink)
    }

    /// Queues a line, or drops it; never waits for `output`.
    pub fn push(&self, priority: LinePriority, line: Vec<u8>) {
        self.queue.lock().push(Instant::now(), priority, line);
    }

    fn write_lines<W: Write>(&self, mut output: W, summary: &impl Fn(DroppedLines) -> Vec<u8>) {
        loop {
            thread::sleep(Duration::from_millis(FLUSH_MS));
            let (mut bytes, dropped) = self.queue.lock().take();
            if dropped != DroppedLines::default() {
                bytes.extend(summary(dropped));
            }
            if bytes.is_empty() {
                continue;
            }
            // A failed write cannot be reported anywhere. Later lines may find a reader again.
            if output
                .write_all(&bytes)
                .and_then(|()| output.flush())
                .is_err()
            {
                continue;
            }
        }
    }

    /// Waits, at the end of a process, until the queued lines have been taken by the writer thread,
    /// or until a time limit has passed.
    pub fn close(self) {
        let until = Instant::now() + Duration::from_millis(4 * FLUSH_MS);
        while Instant::now() < until && !self.queue.lock().lines.is_empty() {
            thread::sleep(Duration::from_millis(FLUSH_MS / 5));
        }
        thread::sleep(Duration::from_millis(FLUSH_MS / 5));
    }
}
