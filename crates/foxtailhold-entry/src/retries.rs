//! The retry budget of this instance.

use foxtailhold::retry::RetryBudget;
use foxtailhold::time::MonoMs;
use parking_lot::Mutex;

/// The budget, shared by all requests. Held for a few instructions only.
#[derive(Debug)]
pub struct RetryGate(Mutex<RetryBudget>);

impl Default for RetryGate {
    fn default() -> Self {
        RetryGate(Mutex::new(RetryBudget::new(MonoMs::default())))
    }
}

impl RetryGate {
    /// Notes a first try.
    pub fn first_try(&self) {
        self.0.lock().record_first_attempt();
    }

    /// Takes one retry; `false` where none is left.
    pub fn retry(&self, now: MonoMs) -> bool {
        self.0.lock().try_retry(now)
    }
}
