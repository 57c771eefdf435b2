//! What this instance does for the open jobs that it owns.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use foxtailhold::ids::JobId;
use foxtailhold::time::MonoMs;
use foxtailhold_http::lock::Mutex;

#[derive(Debug)]
struct Task {
    job: JobId,
    /// Since when it has a result that is not listed.
    unlisted_since: Option<MonoMs>,
}

/// The tasks of this instance that run jobs; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct JobProgress {
    tasks: Arc<Mutex<HashMap<u64, Task>>>,
    next_number: Arc<AtomicU64>,
}

/// A task that runs a job; it counts as running until this is dropped.
#[derive(Debug)]
pub struct TaskProgress {
    progress: JobProgress,
    number: u64,
}

impl JobProgress {
    /// Records that a task runs a job.
    pub fn begin(&self, job: &JobId) -> TaskProgress {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let task = Task {
            job: job.clone(),
            unlisted_since: None,
        };
        self.tasks.lock().insert(number, task);
        TaskProgress {
            progress: self.clone(),
            number,
        }
    }

    /// Jobs that a task runs.
    pub fn jobs(&self) -> HashSet<JobId> {
        let tasks = self.tasks.lock();
        tasks.values().map(|task| task.job.clone()).collect()
    }

    /// Since when the oldest result waits to be listed; `None` if all results are.
    pub fn oldest_unlisted(&self) -> Option<MonoMs> {
        let tasks = self.tasks.lock();
        tasks.values().filter_map(|task| task.unlisted_since).min()
    }
}

impl TaskProgress {
    /// Records since when the oldest result of the job waits to be listed.
    pub fn set_unlisted_since(&self, since: Option<MonoMs>) {
        if let Some(task) = self.progress.tasks.lock().get_mut(&self.number) {
            task.unlisted_since = since;
        }
    }
}

impl Drop for TaskProgress {
    fn drop(&mut self) {
        self.progress.tasks.lock().remove(&self.number);
    }
}
