//! The check of locks in debug builds: a thread that would wait for itself ends its process.

#![cfg(debug_assertions)]

use std::process::{Command, Output};

use foxtailhold_http::lock::Mutex;

/// Set in the process that is to be ended.
const CHILD: &str = "FOXTAILHOLD_LOCK_TEST";

/// Runs the test `name` in a process of its own, where `fault` is called.
fn output_of(name: &str, fault: impl FnOnce()) -> Option<Output> {
    if std::env::var_os(CHILD).is_some() {
        fault();
        return None;
    }
    let program = std::env::current_exe().unwrap();
    let mut command = Command::new(program);
    command
        .args(["--exact", name, "--nocapture"])
        .env(CHILD, "1");
    Some(command.output().unwrap())
}

fn assert_aborted(output: Option<Output>, message: &str) {
    let Some(output) = output else { return };
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success(), "{stderr}");
    assert!(stderr.contains(message), "{stderr}");
    assert!(stderr.contains("tests/lock.rs"), "{stderr}");
}

#[test]
fn a_lock_taken_twice_by_one_thread_ends_the_process() {
    let output = output_of("a_lock_taken_twice_by_one_thread_ends_the_process", || {
        let lock = Mutex::new(1);
        let first = lock.lock();
        assert_eq!(*first, *lock.lock());
    });
    assert_aborted(output, "lock taken twice");
}

#[test]
fn two_locks_taken_in_both_orders_end_the_process() {
    let output = output_of("two_locks_taken_in_both_orders_end_the_process", || {
        let (a, b) = (Mutex::new(1), Mutex::new(2));
        {
            let held = a.lock();
            assert!(*held < *b.lock());
        }
        let held = b.lock();
        assert!(*held > *a.lock());
    });
    assert_aborted(output, "locks taken in both orders");
}

#[test]
fn locks_taken_one_after_the_other_or_in_one_order_pass() {
    let (a, b) = (Mutex::new(1), Mutex::<u8>::default());
    for _ in 0..3 {
        *a.lock() += 1;
        let held = a.lock();
        *b.lock() += 1;
        drop(held);
        *b.lock() += 1;
        *a.lock() += 1;
    }
    assert_eq!((*a.lock(), *b.lock()), (7, 6));
}

#[test]
fn threads_that_wait_for_each_other_in_turn_pass() {
    let lock = Mutex::new(0);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                for _ in 0..1_000 {
                    *lock.lock() += 1;
                }
            });
        }
    });
    assert_eq!(*lock.lock(), 4_000);
}
