//! The record of a case, its temporary folder, and random numbers.

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// What was sent, answered and run, each line with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    path: PathBuf,
    file: Arc<Mutex<File>>,
    begun: Instant,
}

impl Record {
    /// Begins a record.
    pub fn create(path: &Path) -> Self {
        Record {
            path: path.to_owned(),
            file: Arc::new(Mutex::new(
                File::create(path).expect("the record can be written"),
            )),
            begun: Instant::now(),
        }
    }

    /// The lines so far.
    pub fn lines(&self) -> Vec<String> {
        let text = std::fs::read_to_string(&self.path).expect("the record can be read");
        text.lines().map(str::to_owned).collect()
    }

    fn ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    /// Adds a line; returns the milliseconds since the start.
    pub fn line(&self, text: &str) -> u64 {
        let ms = self.ms();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        writeln!(file, "{:>8.3} {text}", ms as f64 / 1000.0).expect("the record can be written");
        ms
    }
}

/// A folder for settings and logs.
pub fn temporary_folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("there is room for temporary files");
    folder
}

static SEED: AtomicU64 = AtomicU64::new(0x9e37_79b9_7f4a_7c15);

/// The next random number (splitmix64).
pub fn random() -> u64 {
    let mut value = SEED.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Makes random numbers differ between runs.
pub fn seed_random() {
    let process = u64::from(std::process::id()) << 44;
    SEED.store(
        (unix_ms() ^ process).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        Ordering::Relaxed,
    );
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
