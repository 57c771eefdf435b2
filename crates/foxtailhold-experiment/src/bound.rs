//! Upper bound of what any policy can reach: all engines act as one, know every request in advance
//! and lose nothing.
//!
//! Engines produce the most tokens when all slots are full, so tokens at that rate are the
//! capacity. Online requests take their share first. Of the batch items, those that cannot all meet
//! their deadlines are dropped, the largest first (Moore, 1968), which serves as many as possible.
//! Items may be served before they arrive and are never limited by the speed of a single request,
//! so the result is at least what the best policy could reach.

use std::collections::BinaryHeap;

use crate::arrivals::{Request, RequestKind, rate_factor};
use crate::sheet::Sheet;
use crate::world::Scenario;

/// Time step in which capacity is accumulated, in microseconds.
const STEP_US: u64 = 10_000;

/// Highest shares of requests that can meet their deadlines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Share of the online requests, from 0 to 1.
    pub online: f64,
    /// Share of the batch items, from 0 to 1.
    pub batch: f64,
    /// Slot time that all requests need, as a share of the available slot time; above 1 when
    /// overloaded.
    pub load: f64,
}

/// Tokens per microsecond of all engines with full slots.
fn tokens_per_us(sheet: &Sheet) -> f64 {
    let slots = sheet.engine.slots as f64;
    let engines = sheet.engines();
    engines
        .iter()
        .map(|engine| slots / sheet.engine.full_step_us(engine.speed))
        .sum()
}

/// Cumulative tokens that the engines can produce up to each step; an outage adds none.
fn capacity(scenario: &Scenario<'_>) -> Vec<f64> {
    let rate = tokens_per_us(scenario.sheet);
    let mut sum = 0.0;
    let mut capacity = vec![0.0];
    for step in 0..scenario.length_us / STEP_US {
        let at_us = step * STEP_US;
        let is_down = scenario
            .outage
            .is_some_and(|o| at_us >= o.at_us && at_us < o.at_us + o.for_us);
        if !is_down {
            sum += rate * STEP_US as f64;
        }
        capacity.push(sum);
    }
    capacity
}

fn is_lost(scenario: &Scenario<'_>, request: &Request) -> bool {
    scenario
        .outage
        .is_some_and(|o| (o.at_us..o.at_us + o.for_us).contains(&request.at_us))
}

/// Takes the tokens of online requests out of the capacity, each from the step of its arrival or
/// the first later one with free capacity. Returns the number of online requests and how many of
/// them started before their deadline.
fn serve_online(scenario: &Scenario<'_>, capacity: &mut [f64]) -> (u64, u64) {
    let steps = capacity.len() - 1;
    let mut free: Vec<f64> = (0..steps).map(|s| capacity[s + 1] - capacity[s]).collect();
    let (mut expected, mut in_time, mut first) = (0, 0, 0);
    for request in scenario
        .requests
        .iter()
        .filter(|request| request.kind == RequestKind::Online)
    {
        expected += 1;
        if is_lost(scenario, request) {
            continue;
        }
        first = first.max((request.at_us / STEP_US) as usize);
        let mut remaining = request.answer_tokens as f64;
        while first < steps && free[first] <= 0.0 {
            first += 1;
        }
        in_time += u64::from(first as u64 * STEP_US <= request.due_us);
        let mut step = first;
        while step < steps && remaining > 0.0 {
            let taken = free[step].min(remaining);
            free[step] -= taken;
            remaining -= taken;
            step += 1;
        }
    }
    let mut sum = 0.0;
    for (step, free) in free.iter().enumerate() {
        sum += free;
        capacity[step + 1] = sum;
    }
    (expected, in_time)
}

/// Computes the bound of a run.
pub fn bound(scenario: &Scenario<'_>) -> Bound {
    let mut capacity = capacity(scenario);
    let all = capacity.last().copied().unwrap_or_default();
    let needed: f64 = scenario
        .requests
        .iter()
        .map(|request| request.answer_tokens as f64)
        .sum();
    let (expected, in_time) = serve_online(scenario, &mut capacity);
    let batch = scenario
        .requests
        .iter()
        .filter(|r| r.kind == RequestKind::Batch && !is_lost(scenario, r));
    let mut items: Vec<&Request> = batch.filter(|r| r.due_us <= scenario.length_us).collect();
    items.sort_by_key(|item| item.due_us);
    let mut taken = BinaryHeap::new();
    let mut tokens = 0;
    for item in &items {
        taken.push(item.answer_tokens);
        tokens += item.answer_tokens;
        let by_then = capacity[(item.due_us / STEP_US) as usize];
        if tokens as f64 > by_then {
            tokens -= taken.pop().unwrap_or_default();
        }
    }
    let share = |part: u64, whole: u64| {
        if whole == 0 {
            1.0
        } else {
            part as f64 / whole as f64
        }
    };
    Bound {
        online: share(in_time, expected),
        batch: share(taken.len() as u64, items.len() as u64),
        load: needed / all,
    }
}

/// Shares of the slot time that online requests need off-peak and at peak.
pub fn online_load(sheet: &Sheet) -> (f64, f64) {
    let per_s: f64 = sheet.zones.iter().map(|zone| zone.online_per_s).sum();
    let tokens = sheet.online.events * sheet.engine.tokens_per_event as f64;
    let mean = per_s * tokens / (tokens_per_us(sheet) * 1e6);
    let peak_start_us = sheet.online.off_peak.1 * 1_000;
    (
        mean * rate_factor(sheet, 0),
        mean * rate_factor(sheet, peak_start_us),
    )
}
