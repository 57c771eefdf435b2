//! Resident memory of an instance with many open streams.

use std::time::{Duration, Instant};

use crate::bench::{self, client::BenchClient};
use crate::cli::BenchCommand;
use crate::error::{Result, StandinError};

/// Arguments of an engine that sends two tokens per second to each stream.
const ENGINE: [&str; 8] = [
    "--step-us",
    "500000",
    "--step-per-request-us",
    "0",
    "--slots",
    "20000",
    "--max-waiting",
    "20000",
];
/// Number of streams that are opened concurrently.
const OPENED_AT_ONCE: usize = 100;
/// Wait after the last stream was opened, and length of the CPU measurement that follows.
const SETTLE_MS: u64 = 3_000;

/// Opens 1000 streams, then in a new deployment the number given, keeps them open, and prints the
/// resident memory and the CPU use of the instance.
pub async fn run(command: &BenchCommand) -> Result<()> {
    for stream_count in [1_000, command.streams] {
        let deployment = bench::start(0, &ENGINE).await?;
        let address = deployment.caller_addresses()?[0];
        let client = BenchClient::new(address, 1_000_000, true);
        let idle_bytes = deployment.instances[0].usage()?.rss_bytes;
        let start = Instant::now();
        let mut open_streams = Vec::with_capacity(stream_count);
        while open_streams.len() < stream_count {
            let mut opening = tokio::task::JoinSet::new();
            for _ in 0..OPENED_AT_ONCE.min(stream_count - open_streams.len()) {
                let client = client.clone();
                opening.spawn(async move { client.open().await });
            }
            for opened in opening.join_all().await {
                open_streams.push(opened?);
            }
        }
        let opened_ms = start.elapsed().as_millis();
        let settle = Duration::from_millis(SETTLE_MS);
        tokio::time::sleep(settle).await;
        let before = deployment.instances[0].usage()?;
        tokio::time::sleep(settle).await;
        let after = deployment.instances[0].usage()?;
        let grown = after.rss_bytes.saturating_sub(idle_bytes);
        println!(
            "memory     {stream_count} open streams (opened in {opened_ms} ms): resident {:.1} MB, idle \
             {:.1} MB, {:.1} KB a stream, {:.2} cores",
            after.rss_bytes as f64 / 1e6,
            idle_bytes as f64 / 1e6,
            grown as f64 / 1e3 / stream_count as f64,
            (after.cpu_s - before.cpu_s) / settle.as_secs_f64()
        );
        if open_streams.len() != stream_count {
            return Err(StandinError::Check {
                step: "open streams",
                detail: format!("{} of {stream_count} are open", open_streams.len()),
            });
        }
        deployment.close();
    }
    Ok(())
}
