//! Throughput of one instance on one core, in requests and tokens per second.

use std::time::{Duration, Instant};

use crate::bench::{self, client::BenchClient};
use crate::cli::BenchCommand;
use crate::deployment::Deployment;
use crate::error::Result;

/// Number of clients that each keep one request in flight.
const CONNECTIONS: usize = 64;
/// Tokens of a streamed answer.
const STREAM_TOKENS: u64 = 200;

/// Returns the number of requests that all clients completed within `duration`.
async fn exchanges(client: &BenchClient, duration: Duration) -> Result<u64> {
    let end = Instant::now() + duration;
    let mut running = tokio::task::JoinSet::new();
    for _ in 0..CONNECTIONS {
        let client = client.clone();
        running.spawn(async move {
            let mut done = 0;
            while Instant::now() < end {
                client.exchange().await?;
                done += 1;
            }
            Ok::<u64, crate::error::StandinError>(done)
        });
    }
    let mut total = 0;
    for done in running.join_all().await {
        total += done?;
    }
    Ok(total)
}

struct Throughput {
    per_s: f64,
    per_cpu_s: f64,
    cores: f64,
}

async fn measure(deployment: &Deployment, client: &BenchClient, wait_s: u64) -> Result<Throughput> {
    exchanges(client, Duration::from_secs(1)).await?;
    let (start, before) = (Instant::now(), deployment.instances[0].usage()?);
    let done = exchanges(client, Duration::from_secs(wait_s)).await? as f64;
    let elapsed_s = start.elapsed().as_secs_f64();
    let cpu_s = deployment.instances[0].usage()?.cpu_s - before.cpu_s;
    Ok(Throughput {
        per_s: done / elapsed_s,
        per_cpu_s: done / cpu_s.max(0.01),
        cores: cpu_s / elapsed_s,
    })
}

/// Keeps 64 requests in flight, first to the engine directly, then unstreamed and streamed through
/// an instance with one worker thread, and prints the throughput of each.
pub async fn run(command: &BenchCommand) -> Result<()> {
    let deployment = bench::start(1, &["--step-us", "0"]).await?;
    let address = deployment.caller_addresses()?[0];
    let engine = deployment.engines[0].address("listening")?;
    let direct = BenchClient::new(engine, 3, false);
    let direct = measure(&deployment, &direct, command.seconds).await?;
    println!("throughput direct {:.0} requests/s", direct.per_s);
    let unstreamed = BenchClient::new(address, 3, false);
    let unstreamed = measure(&deployment, &unstreamed, command.seconds).await?;
    println!(
        "throughput whole {:.0} requests/s on {:.2} cores, {:.0} requests for each core second",
        unstreamed.per_s, unstreamed.cores, unstreamed.per_cpu_s
    );
    let streamed = BenchClient::new(address, STREAM_TOKENS, true);
    let streamed = measure(&deployment, &streamed, command.seconds).await?;
    let tokens = STREAM_TOKENS as f64;
    println!(
        "throughput streamed {:.0} tokens/s on {:.2} cores, {:.0} tokens for each core second",
        streamed.per_s * tokens,
        streamed.cores,
        streamed.per_cpu_s * tokens
    );
    deployment.close();
    Ok(())
}
