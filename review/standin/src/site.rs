//! A small deployment: one store, three backend servers and three instances.

use std::path::Path;

use foxtailhold_http::server::Server;
use serde_json::{Value, json};

use crate::Result;
use crate::client::HOST;
use crate::deployment::{Node, wait_ready};
use crate::record::Record;
use crate::replica::{Pace, Replica};
use crate::store::Store;

/// Number of backend servers and of instances.
const COUNT: usize = 3;
const ZONES: [&str; COUNT] = ["concord-hall", "nashua-hall", "keene-hall"];

/// The running deployment.
pub struct Site {
    /// The platform's store.
    pub store: Store,
    /// The backend servers.
    pub replicas: Vec<Replica>,
    /// The instances.
    pub nodes: Vec<Node>,
    _servers: Vec<Server>,
}

/// The configuration: one batch route.
fn config() -> Value {
    json!({
        "Version": 1,
        "Routes": [{
            "Name": "reports", "Hostname": HOST, "PathPrefix": "/reports/", "Kind": "batch",
            "TimeoutMs": 15_000, "GoalMs": 400, "Priority": 2, "Service": "writers",
            "MaxAttempts": 3, "Sticky": true, "Resumable": true, "GapTargetMs": 200,
            "DeadlineMs": 18_000, "RetentionS": 60, "MaxCount": 2_200_000,
        }],
        "Services": [{
            "Name": "writers", "HealthPath": "/health", "MaxConns": 370,
            "Engine": {"Slots": 8, "KvCapacity": 110_792, "Models": [{"Name": "m"}]},
        }],
        "Limits": {
            "MaxHeaderBytes": 16_384, "MaxBodyBytes": 4_194_304, "HeaderTimeoutMs": 3_000,
            "IdleTimeoutMs": 15_000,
        },
    })
}

impl Site {
    /// Starts everything and waits until all instances are ready.
    pub async fn start(pace: Pace, folder: &Path, record: &Record) -> Result<Site> {
        let store = Store::new();
        let mut servers = vec![store.listen().await?];
        let store_address = servers[0].address();
        store.put("op", "config", &config());
        let mut replicas = Vec::new();
        for number in 1..=COUNT {
            let id = format!("i-{number}");
            let (replica, server) = Replica::start(&id, "writers", pace, &store, record).await?;
            replicas.push(replica);
            servers.push(server);
        }
        let mut nodes = Vec::new();
        for (number, zone) in ZONES.iter().enumerate() {
            let name = format!("edge-{zone}-{}", number + 1);
            nodes.push(Node::start(&name, zone, store_address, folder)?);
        }
        wait_ready(&nodes).await?;
        record.line("all instances are ready");
        Ok(Site {
            store,
            replicas,
            nodes,
            _servers: servers,
        })
    }
}

/// A batch job whose items have these numbers of events.
pub fn batch_job(job: &str, events: &[u64]) -> Value {
    let items = events.iter().enumerate().map(|(index, events)| {
        json!({
            "Id": item_id(job, index), "Path": format!("/reports/{index}"),
            "Headers": {
                "Model": "m", "Token-Usage": format!("350,{events}"),
                "Prompt-Prefix": format!("9c2e41:100,{index:x}d07b8:250"),
            },
            "Body": "q83vEjRWeJA=", "TokenCount": 350 + events,
        })
    });
    json!({"Items": items.collect::<Vec<_>>()})
}

/// Identity of an item.
pub fn item_id(job: &str, index: usize) -> String {
    format!("{}{index:04x}", &job[..12])
}
