//! Work that one instance does for all.

use std::collections::HashMap;
use std::hash::Hash;

/// How often each piece of work was found undone. The first instance in order does it at once, and
/// each later one if it is found undone once more: it gets done though instances list each other
/// differently, so that none takes itself for the first.
#[derive(Debug)]
pub struct Turns<K> {
    found: HashMap<K, usize>,
}

impl<K> Default for Turns<K> {
    fn default() -> Self {
        Turns {
            found: HashMap::new(),
        }
    }
}

impl<K: Clone + Eq + Hash> Turns<K> {
    /// Takes all work that is undone now. Returns what this instance has to do; `rank` is the number
    /// of instances before it.
    pub fn due(
        &mut self,
        undone: impl IntoIterator<Item = K>,
        rank: impl Fn(&K) -> usize,
    ) -> Vec<K> {
        let before = std::mem::take(&mut self.found);
        let mut due = Vec::new();
        for work in undone {
            let times = before.get(&work).copied().unwrap_or(0);
            if times >= rank(&work) {
                due.push(work.clone());
            }
            self.found.insert(work, times + 1);
        }
        due
    }
}
