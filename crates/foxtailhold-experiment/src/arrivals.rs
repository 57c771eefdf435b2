//! Generates the requests of a run from a seed. Every policy is played with the same arrivals.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, Normal};

use crate::sheet::{Sheet, Site};

/// One simulated request: an online request or a batch item.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request {
    /// Arrival time in microseconds since the start of the run.
    pub at_us: u64,
    /// Index of the instance that receives the request.
    pub instance: usize,
    /// Whether the request is online or a batch item.
    pub kind: RequestKind,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Length of the full answer in tokens.
    pub answer_tokens: u64,
    /// Deadline in microseconds since the start of the run: of the first event for online requests,
    /// of the result for batch items.
    pub due_us: u64,
}

/// The class of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A caller waits for the streamed answer.
    Online,
    /// An item of a batch job; only the job's deadline counts.
    Batch,
}

/// Draws the arrivals of one run.
struct ArrivalGenerator<'a> {
    sheet: &'a Sheet,
    instances: Vec<Site>,
    rng: SmallRng,
}

impl ArrivalGenerator<'_> {
    /// A normally distributed size around `mean`, at least 1; `spread` is the standard deviation as
    /// a share of the mean.
    fn sample_size(&mut self, mean: f64, spread: f64) -> u64 {
        let drawn = match Normal::new(mean, mean * spread) {
            Ok(normal) => normal.sample(&mut self.rng),
            Err(_) => mean,
        };
        drawn.round().max(1.0) as u64
    }

    /// Time to the next arrival of a Poisson process in microseconds; `None` at rate 0.
    fn gap_us(&mut self, per_s: f64) -> Option<u64> {
        let gap = Exp::new(per_s).ok().filter(|_| per_s > 0.0)?;
        Some((gap.sample(&mut self.rng) * 1e6) as u64)
    }

    fn instance_of(&mut self, zone: usize) -> usize {
        let all = self.instances.iter().enumerate();
        let in_zone: Vec<usize> = all
            .filter(|(_, i)| i.zone == zone)
            .map(|(n, _)| n)
            .collect();
        in_zone[self.rng.random_range(0..in_zone.len())]
    }

    fn online(&mut self, zone: usize, at_us: u64) -> Request {
        let online = self.sheet.online;
        Request {
            at_us,
            instance: self.instance_of(zone),
            kind: RequestKind::Online,
            prompt_tokens: self.sample_size(online.prompt_tokens, online.spread),
            answer_tokens: self.sample_size(online.events, online.spread)
                * self.sheet.engine.tokens_per_event,
            due_us: at_us + online.objective_ms * 1_000,
        }
    }

    fn job(&mut self, zone: usize, at_us: u64, requests: &mut Vec<Request>) {
        let batch = self.sheet.batch;
        let instance = self.instance_of(zone);
        for _ in 0..self.sample_size(batch.items, batch.spread) {
            requests.push(Request {
                at_us,
                instance,
                kind: RequestKind::Batch,
                prompt_tokens: self.sample_size(batch.prompt_tokens, batch.spread),
                answer_tokens: self.sample_size(batch.events, batch.spread)
                    * self.sheet.engine.tokens_per_event,
                due_us: at_us + batch.due_ms * 1_000,
            });
        }
    }
}

/// Factor of the mean online rate at a time: that of the off-peak or the peak phase.
pub fn rate_factor(sheet: &Sheet, at_us: u64) -> f64 {
    let (off_peak, peak) = (sheet.online.off_peak, sheet.online.peak);
    let in_turn_ms = (at_us / 1_000) % (off_peak.1 + peak.1);
    if in_turn_ms < off_peak.1 {
        off_peak.0
    } else {
        peak.0
    }
}

/// Generates all requests of a run of `length_us` microseconds, in order of arrival.
pub fn draw(sheet: &Sheet, length_us: u64, seed: u64) -> Vec<Request> {
    let mut generator = ArrivalGenerator {
        sheet,
        instances: sheet.instances(),
        rng: SmallRng::seed_from_u64(seed),
    };
    let mut requests = Vec::new();
    let max_factor = sheet.online.off_peak.0.max(sheet.online.peak.0);
    for (zone, rates) in sheet.zones.iter().enumerate() {
        let mut at_us = 0;
        while let Some(gap_us) = generator.gap_us(rates.online_per_s * max_factor) {
            at_us += gap_us;
            if at_us >= length_us {
                break;
            }
            // Thinning of a Poisson process at the highest rate (Lewis and Shedler, 1979).
            if generator
                .rng
                .random_bool(rate_factor(sheet, at_us) / max_factor)
            {
                let request = generator.online(zone, at_us);
                requests.push(request);
            }
        }
        at_us = 0;
        while let Some(gap_us) = generator.gap_us(rates.jobs_per_s) {
            at_us += gap_us;
            if at_us >= length_us {
                break;
            }
            generator.job(zone, at_us, &mut requests);
        }
    }
    requests.sort_by_key(|request| request.at_us);
    requests
}
