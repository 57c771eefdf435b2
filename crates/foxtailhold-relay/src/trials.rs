//! Permits for the trials of batch items, as the items of this instance hold them.

use foxtailhold::time::MonoMs;
use foxtailhold::trials::{TrialBegin, TrialOrder};

use crate::crashes::CrashTracker;

/// Place of an item that waits for a trial; dropping it gives the place up.
#[derive(Debug)]
pub struct TrialTicket {
    tracker: CrashTracker,
    order: TrialOrder,
}

impl TrialTicket {
    /// Returns a permit if it is the turn of the item.
    pub fn admit(&self, now: MonoMs) -> Option<TrialPermit> {
        let begin = self.tracker.state.lock().trials.admit(&self.order, now)?;
        Some(TrialPermit {
            tracker: self.tracker.clone(),
            begin,
        })
    }
}

impl Drop for TrialTicket {
    fn drop(&mut self) {
        self.tracker.state.lock().trials.leave(&self.order);
    }
}

/// Permit for a trial of a batch item; dropping it ends the trial.
#[derive(Debug)]
pub struct TrialPermit {
    tracker: CrashTracker,
    begin: TrialBegin,
}

impl TrialPermit {
    /// Ends the trial of an item that has shown that it runs.
    pub fn pass(self) {
        self.tracker.state.lock().trials.record_pass(self.begin);
    }
}

impl Drop for TrialPermit {
    fn drop(&mut self) {
        self.tracker.state.lock().trials.end();
    }
}

impl CrashTracker {
    /// Lets an item wait for a trial.
    pub fn seek_trial(&self, order: TrialOrder) -> TrialTicket {
        self.state.lock().trials.join(order);
        TrialTicket {
            tracker: self.clone(),
            order,
        }
    }
}
