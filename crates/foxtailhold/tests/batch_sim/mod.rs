//! Deterministic simulation of the table service, time and instances around the batch state
//! machines.
#![allow(dead_code)]

pub mod drive;
pub mod node;
pub mod store;
pub mod world;

use std::collections::BTreeMap;
use std::sync::Mutex;

static COUNTS: Mutex<BTreeMap<&'static str, u64>> = Mutex::new(BTreeMap::new());

/// Counts a step or an injected fault by kind.
pub fn count(kind: &'static str) {
    let mut counts = COUNTS.lock().unwrap_or_else(|poison| poison.into_inner());
    *counts.entry(kind).or_default() += 1;
}

/// Counts of all steps and faults so far.
pub fn counts() -> BTreeMap<&'static str, u64> {
    let counts = COUNTS.lock().unwrap_or_else(|poison| poison.into_inner());
    counts.clone()
}
