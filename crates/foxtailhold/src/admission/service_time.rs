//! How long requests are served, as the latest ones show it.

/// The newest sample has a weight of one in this many.
const SAMPLES: f64 = 16.0;

/// Moving average of the time for which a request is served; unknown before the first one has ended.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServiceTime {
    mean_ms: Option<f64>,
}

impl ServiceTime {
    /// Records a request that was served for `served_ms`.
    pub fn record(&mut self, served_ms: u64) {
        let sample_ms = served_ms as f64;
        let mean_ms = self.mean_ms.unwrap_or(sample_ms);
        self.mean_ms = Some(mean_ms + (sample_ms - mean_ms) / SAMPLES);
    }

    /// The average in ms; `None` before the first request has ended.
    pub fn mean_ms(&self) -> Option<f64> {
        self.mean_ms
    }
}
