//! How long the latest complete runs of each route took, by the most output that a request asks for.

use std::collections::{BTreeMap, HashMap, VecDeque};

/// Runs that are kept for each route and size.
pub const KEPT_RUNS: usize = 32;
/// Routes that are kept. Beyond them all are forgotten, as names of removed routes stay otherwise.
pub const MAX_ROUTES: usize = 1_000;

/// Limit of the factor by which the duration of a smaller request is multiplied.
const MAX_DOUBLINGS: u32 = 20;

/// Durations of complete runs.
#[derive(Debug, Default)]
pub struct RunDurations {
    /// Milliseconds, oldest first, by the route's name and the size class of the request.
    routes: HashMap<String, BTreeMap<u32, VecDeque<u64>>>,
}

/// Requests whose limits of output differ by less than two times are of one class.
fn size_class(output_tokens: Option<u64>) -> u32 {
    output_tokens.map_or(0, |tokens| u64::BITS - tokens.leading_zeros())
}

impl RunDurations {
    /// Records a run of `took_ms` of a request for at most `output_tokens`; `None` if it states none.
    pub fn record(&mut self, route: &str, output_tokens: Option<u64>, took_ms: u64) {
        if !self.routes.contains_key(route) {
            if self.routes.len() >= MAX_ROUTES {
                self.routes.clear();
            }
            self.routes.insert(route.to_owned(), BTreeMap::new());
        }
        let Some(classes) = self.routes.get_mut(route) else {
            return;
        };
        let runs = classes.entry(size_class(output_tokens)).or_default();
        if runs.len() >= KEPT_RUNS {
            runs.pop_front();
        }
        runs.push_back(took_ms);
    }

    /// The longest in milliseconds of the latest runs of requests of this size, or of the next larger
    /// one that has run, or in proportion to the next smaller one; `None` if none is known.
    pub fn longest_ms(&self, route: &str, output_tokens: Option<u64>) -> Option<u64> {
        let classes = self.routes.get(route)?;
        let class = size_class(output_tokens);
        if let Some((_, runs)) = classes.range(class..).next() {
            return runs.iter().copied().max();
        }
        // Runs of class 0 state no size.
        let (smaller, runs) = classes.range(1..class.max(1)).next_back()?;
        let longest_ms = runs.iter().copied().max()?;
        Some(longest_ms.saturating_mul(1 << (class - smaller).min(MAX_DOUBLINGS)))
    }

    /// The median in milliseconds of the latest runs of requests of this size, or of the next smaller
    /// one that has run; `None` if none is known.
    pub fn usual_ms(&self, route: &str, output_tokens: Option<u64>) -> Option<u64> {
        let classes = self.routes.get(route)?;
        let (_, runs) = classes.range(..=size_class(output_tokens)).next_back()?;
        let mut sorted_ms: Vec<u64> = runs.iter().copied().collect();
        sorted_ms.sort_unstable();
        sorted_ms.get(sorted_ms.len() / 2).copied()
    }
}
