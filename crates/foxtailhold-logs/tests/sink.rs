//! Log output is rate limited, warnings and errors take precedence over ordinary lines, and a
//! reader that stops reading does not block logging.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use foxtailhold_logs::{DroppedLines, LinePriority, LineQueue, LineSink};

const RATE: u64 = 1_000;

fn line(text: &str) -> Vec<u8> {
    format!("{text:<99}\n").into_bytes()
}

#[test]
fn lines_over_the_limit_are_dropped_and_counted() {
    let now = Instant::now();
    let mut queue = LineQueue::new(RATE, now);
    for number in 0..30 {
        queue.push(now, LinePriority::Ordinary, line(&number.to_string()));
    }
    let (bytes, dropped) = queue.take();
    assert_eq!(bytes.len(), 800);
    assert_eq!(
        dropped,
        DroppedLines {
            ordinary: 22,
            failures: 0
        }
    );
    assert_eq!(queue.take(), (Vec::new(), DroppedLines::default()));
}

#[test]
fn ordinary_lines_leave_budget_for_failures() {
    let now = Instant::now();
    let mut queue = LineQueue::new(RATE, now);
    for _ in 0..30 {
        queue.push(now, LinePriority::Ordinary, line("served"));
    }
    queue.push(now, LinePriority::Failure, line("cut"));
    queue.push(now, LinePriority::Failure, line("lost"));
    queue.push(now, LinePriority::Failure, line("too many"));
    let (bytes, dropped) = queue.take();
    let text = String::from_utf8(bytes).unwrap();
    assert!(text.contains("cut") && text.contains("lost"));
    assert_eq!(
        dropped,
        DroppedLines {
            ordinary: 22,
            failures: 1
        }
    );
}

#[test]
fn limit_is_in_bytes_per_second() {
    let start = Instant::now();
    let mut queue = LineQueue::new(RATE, start);
    let mut written = 0;
    for step in 0..1_000_u64 {
        let now = start + Duration::from_millis(step * 10);
        queue.push(now, LinePriority::Ordinary, line("served"));
        written += queue.take().0.len();
    }
    assert!(
        (10_000..=11_000).contains(&written),
        "{written} bytes in 10 s"
    );
}

#[test]
fn queue_without_a_reader_is_bounded() {
    let start = Instant::now();
    let mut queue = LineQueue::new(RATE, start);
    for step in 0..100 {
        let now = start + Duration::from_secs(step);
        queue.push(now, LinePriority::Failure, line("lost"));
    }
    assert!(queue.take().0.len() <= RATE as usize);
}

/// An output that never accepts a byte.
struct BlockedWriter;

impl Write for BlockedWriter {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        loop {
            std::thread::park();
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn stopped_reader_does_not_block_logging() {
    let sink = LineSink::start(BlockedWriter, RATE, |_| Vec::new()).unwrap();
    let start = Instant::now();
    for _ in 0..10_000 {
        sink.push(LinePriority::Ordinary, line("served"));
    }
    assert!(start.elapsed() < Duration::from_secs(2));
}

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_are_written_in_order_with_the_dropped_count() {
    let buffer = SharedBuffer::default();
    let summary_line =
        |dropped: DroppedLines| format!("left out {}\n", dropped.ordinary).into_bytes();
    let sink = LineSink::start(buffer.clone(), RATE, summary_line).unwrap();
    for number in 0..10 {
        sink.push(LinePriority::Ordinary, line(&format!("line {number}")));
    }
    sink.close();
    let text = String::from_utf8(buffer.0.lock().unwrap().clone()).unwrap();
    let lines: Vec<&str> = text.lines().map(str::trim_end).collect();
    let expected: Vec<String> = (0..8).map(|number| format!("line {number}")).collect();
    assert_eq!(lines[..8], expected);
    assert_eq!(lines[8], "left out 2");
}
