//! Lines are bounded, failures are kept before successes, and a reader that stops blocks nobody.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use foxtailhold_logs::{LeftOut, LineQueue, LineSink, Weight};

const RATE: u64 = 1_000;

fn line(text: &str) -> Vec<u8> {
    format!("{text:<99}\n").into_bytes()
}

#[test]
fn what_is_over_the_bound_is_left_out_and_counted() {
    let now = Instant::now();
    let mut queue = LineQueue::new(RATE, now);
    for number in 0..30 {
        queue.push(now, Weight::Ordinary, line(&number.to_string()));
    }
    let (bytes, left_out) = queue.take();
    assert_eq!(bytes.len(), 800);
    assert_eq!(
        left_out,
        LeftOut {
            ordinary: 22,
            failures: 0
        }
    );
    assert_eq!(queue.take(), (Vec::new(), LeftOut::default()));
}

#[test]
fn failures_have_room_that_ordinary_lines_do_not_use() {
    let now = Instant::now();
    let mut queue = LineQueue::new(RATE, now);
    for _ in 0..30 {
        queue.push(now, Weight::Ordinary, line("served"));
    }
    queue.push(now, Weight::Failure, line("cut"));
    queue.push(now, Weight::Failure, line("lost"));
    queue.push(now, Weight::Failure, line("too many"));
    let (bytes, left_out) = queue.take();
    let text = String::from_utf8(bytes).unwrap();
    assert!(text.contains("cut") && text.contains("lost"));
    assert_eq!(
        left_out,
        LeftOut {
            ordinary: 22,
            failures: 1
        }
    );
}

#[test]
fn the_bound_is_one_of_bytes_a_second() {
    let start = Instant::now();
    let mut queue = LineQueue::new(RATE, start);
    let mut written = 0;
    for step in 0..1_000_u64 {
        let now = start + Duration::from_millis(step * 10);
        queue.push(now, Weight::Ordinary, line("served"));
        written += queue.take().0.len();
    }
    assert!(
        (10_000..=11_000).contains(&written),
        "{written} bytes in 10 s"
    );
}

#[test]
fn without_a_reader_what_waits_is_bounded() {
    let start = Instant::now();
    let mut queue = LineQueue::new(RATE, start);
    for step in 0..100 {
        let now = start + Duration::from_secs(step);
        queue.push(now, Weight::Failure, line("lost"));
    }
    assert!(queue.take().0.len() <= RATE as usize);
}

/// A reader that never reads.
struct Stuck;

impl Write for Stuck {
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
fn a_reader_that_stops_blocks_nobody() {
    let sink = LineSink::start(Stuck, RATE, |_| Vec::new()).unwrap();
    let begun = Instant::now();
    for _ in 0..10_000 {
        sink.push(Weight::Ordinary, line("served"));
    }
    assert!(begun.elapsed() < Duration::from_secs(2));
}

#[derive(Clone, Default)]
struct Page(Arc<Mutex<Vec<u8>>>);

impl Write for Page {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_come_whole_and_in_order_with_what_was_left_out() {
    let page = Page::default();
    let words = |left_out: LeftOut| format!("left out {}\n", left_out.ordinary).into_bytes();
    let sink = LineSink::start(page.clone(), RATE, words).unwrap();
    for number in 0..10 {
        sink.push(Weight::Ordinary, line(&format!("line {number}")));
    }
    sink.close();
    let text = String::from_utf8(page.0.lock().unwrap().clone()).unwrap();
    let lines: Vec<&str> = text.lines().map(str::trim_end).collect();
    let expected: Vec<String> = (0..8).map(|number| format!("line {number}")).collect();
    assert_eq!(lines[..8], expected);
    assert_eq!(lines[8], "left out 2");
}
