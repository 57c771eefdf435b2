//! Latency that an instance adds to an unstreamed request.

use std::time::Instant;

use hdrhistogram::Histogram;

use crate::bench::{self, client::BenchClient};
use crate::cli::BenchCommand;
use crate::error::Result;
use crate::load::report::median;

/// Pairs of requests that are sent before the measurement starts.
const WARM_UP_REQUESTS: usize = 500;
/// Upper bound of the histograms; longer times are recorded as this value.
const MAX_NS: u64 = 60_000_000_000;

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_NS, 3).expect("the bounds are constant and valid")
}

async fn timed_ns(client: &BenchClient) -> Result<u64> {
    let start = Instant::now();
    client.exchange().await?;
    Ok(start.elapsed().as_nanos() as u64)
}

/// Sends one request at a time, alternately to the engine directly and through the instance, and
/// prints the quantiles and the median difference.
pub async fn run(command: &BenchCommand) -> Result<()> {
    let deployment = bench::start(0, &["--step-us", "0"]).await?;
    let engine = BenchClient::new(deployment.engines[0].address("listening")?, 3, false);
    let entry = BenchClient::new(deployment.caller_addresses()?[0], 3, false);
    let (mut direct, mut through) = (histogram(), histogram());
    let mut added_us = Vec::new();
    for number in 0..WARM_UP_REQUESTS + command.requests {
        let direct_ns = timed_ns(&engine).await?;
        let through_ns = timed_ns(&entry).await?;
        if number < WARM_UP_REQUESTS {
            continue;
        }
        direct.saturating_record(direct_ns);
        through.saturating_record(through_ns);
        added_us.push((through_ns as f64 - direct_ns as f64) / 1_000.0);
    }
    let at_us = |histogram: &Histogram<u64>, quantile: f64| {
        histogram.value_at_quantile(quantile) as f64 / 1_000.0
    };
    for (name, quantile) in [("p50", 0.50), ("p99", 0.99)] {
        let (direct_us, through_us) = (at_us(&direct, quantile), at_us(&through, quantile));
        println!(
            "latency    {name}: direct {direct_us:.0} µs, through one instance {through_us:.0} µs, \
             added {:.0} µs",
            through_us - direct_us
        );
    }
    println!(
        "latency    median of the differences of {} pairs: {:.0} µs",
        command.requests,
        median(added_us)
    );
    deployment.close();
    Ok(())
}
