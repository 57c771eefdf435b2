//! Rate limit of the weight store.

use std::time::Duration;

use tokio::time::Instant;

/// Default rate limit of the weight store.
pub const DEFAULT_WEIGHTS_PER_S: u32 = 4;

/// A token bucket whose capacity is the rate of one second.
#[derive(Debug)]
pub struct WeightRate {
    weights_per_s: u32,
    tokens: f64,
    filled_at: Instant,
}

impl WeightRate {
    /// Creates a full bucket.
    pub fn new(weights_per_s: u32) -> Self {
        WeightRate {
            weights_per_s,
            tokens: f64::from(weights_per_s),
            filled_at: Instant::now(),
        }
    }

    /// Takes a token. Without one, returns the time until the next.
    pub fn try_take(&mut self) -> Result<(), Duration> {
        let rate = f64::from(self.weights_per_s);
        let filled = self.filled_at.elapsed().as_secs_f64() * rate;
        self.filled_at = Instant::now();
        self.tokens = (self.tokens + filled).min(rate);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - self.tokens) / rate))
    }
}
