//! The retry budget of this instance.

use foxtailhold::retry::RetryBudget;
use foxtailhold::time::MonoMs;
use parking_lot::Mutex;

/// Retry budget shared by all requests. The lock is held for a few instructions only.
#[derive(Debug)]
pub struct RetryGate(Mutex<RetryBudget>);

impl Default for RetryGate {
    fn default() -> Self {
        RetryGate(Mutex::new(RetryBudget::new(MonoMs::default())))
    }
}

impl RetryGate {
    /// Records a first attempt, which earns a part of a retry.
    pub fn record_first_attempt(&self) {
        self.0.lock().record_first_attempt();
    }

    /// Takes one retry from the budget; `false` if none is left.
    pub fn try_retry(&self, now: MonoMs) -> bool {
        self.0.lock().try_retry(now)
    }
}
