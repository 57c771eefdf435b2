//! Measures the time until a contract change is in force on all instances, when it is propagated by
//! the push between peers, by gossip and polling, and by polling alone.
//!
//! `cargo run --release -p foxtailhold-standin --example contract_force [instances] [changes]`

use std::time::{Duration, Instant};

use foxtailhold::contract::Contract;
use foxtailhold_entry::Instance;
use foxtailhold_entry::gateway::contract_change;
use foxtailhold_operator::client::OperatorClient;
use foxtailhold_operator::gateway::ContractUpdate;
use foxtailhold_platform::HttpPlatform;
use foxtailhold_standin::cluster::{Cluster, ClusterShape, TOKEN, any_port, settings};
use foxtailhold_standin::demo;
use foxtailhold_standin::error::Result;
use foxtailhold_standin::platform::PlatformStandin;

/// Maximum wait for one change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);
/// Wait before the measurement, and time in which the background calls to the store are counted.
const IDLE_PERIOD: Duration = Duration::from_secs(8);

/// How a change reaches the other instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Propagation {
    Push,
    GossipAndPoll,
    PollAlone,
}

struct Bench {
    platform: PlatformStandin,
    instances: Vec<Instance<HttpPlatform>>,
}

impl Bench {
    fn all_have_applied(&self, number: u64) -> bool {
        let at = |instance: &Instance<HttpPlatform>| instance.shared().contracts.load().number();
        self.instances.iter().all(|instance| at(instance) >= number)
    }

    async fn change(&self, propagation: Propagation, number: u64) -> Result<Duration> {
        let document = demo::contract(10 + number as u32);
        let shared = self.instances[0].shared();
        let customer = "granite-trail".try_into()?;
        let start = Instant::now();
        if propagation == Propagation::Push {
            let operator = OperatorClient::new(shared.settings.operator_address, TOKEN);
            let set = operator.set_contract(&customer, number - 1, &document);
            set.await.expect("the change is accepted");
        } else {
            let contract = Contract::try_from(document.as_str()).expect("the contract is right");
            let update = ContractUpdate {
                customer,
                expected_version: number - 1,
                contract: Some(contract),
            };
            let id = format!("bench-{number}");
            let accepted = contract_change::accept(&shared.platform, &update, &id);
            accepted.await.expect("the change is accepted");
        }
        while !self.all_have_applied(number) && start.elapsed() < CHANGE_TIMEOUT {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        Ok(start.elapsed())
    }
}

async fn measure(propagation: Propagation, instances: usize, changes: u64) -> Result<()> {
    let mut cluster = Cluster::start(ClusterShape {
        instances: if propagation == Propagation::PollAlone {
            0
        } else {
            instances
        },
        engines: 0,
        services: 0,
        ..ClusterShape::default()
    })
    .await?;
    let server = cluster.platform.serve(any_port()).await?;
    let mut bench = Bench {
        platform: cluster.platform.clone(),
        instances: cluster.instances.drain(..).flatten().collect(),
    };
    for index in bench.instances.len()..instances {
        let settings = settings(index, server.address(), 500)?;
        let platform = HttpPlatform::new(server.address());
        let instance = Instance::start(settings, platform).await?;
        bench.instances.push(instance);
    }
    tokio::time::sleep(IDLE_PERIOD).await;
    let before = bench.platform.counts();
    tokio::time::sleep(IDLE_PERIOD).await;
    let after = bench.platform.counts();
    let reads = (after.table_reads - before.table_reads) as f64 / IDLE_PERIOD.as_secs_f64();
    let writes = (after.transactions - before.transactions) as f64 / IDLE_PERIOD.as_secs_f64();
    let (before, start) = (bench.platform.counts(), Instant::now());
    let mut took_ms = Vec::new();
    for number in 1..=changes {
        took_ms.push(bench.change(propagation, number).await?.as_millis());
        tokio::time::sleep(Duration::from_millis(rand::random::<u64>() % 300)).await;
    }
    let after = bench.platform.counts();
    let background = writes * start.elapsed().as_secs_f64();
    let transactions = (after.transactions - before.transactions) as f64 - background;
    took_ms.sort_unstable();
    println!(
        "{propagation:?}: {instances} instances, {changes} changes: p50 {} ms, worst {} ms; \
         {:.2} transactions a change; quiet store reads {reads:.1} and writes {writes:.1} a second",
        took_ms[took_ms.len() / 2],
        took_ms[took_ms.len() - 1],
        transactions / changes as f64,
    );
    Ok(())
}

#[tokio::main]
async fn main() -> Result<()> {
    let arguments: Vec<usize> = std::env::args()
        .skip(1)
        .flat_map(|text| text.parse())
        .collect();
    let instances = arguments.first().copied().unwrap_or(11);
    let changes = arguments.get(1).copied().unwrap_or(100) as u64;
    for propagation in [
        Propagation::Push,
        Propagation::GossipAndPoll,
        Propagation::PollAlone,
    ] {
        measure(propagation, instances, changes).await?;
    }
    Ok(())
}
