//! A small deployment: one store, some backend servers and three instances.

use std::path::Path;

use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use foxtailhold_http::server::Server;
use serde_json::{Value, json};

use crate::Result;
use crate::client::HOST;
use crate::deployment::{Node, wait_ready};
use crate::record::Record;
use crate::replica::{Pace, Replica};
use crate::store::Store;

const ZONES: [&str; 3] = ["concord-hall", "nashua-hall", "keene-hall"];

/// The running deployment.
pub struct Site {
    /// The platform's store.
    pub store: Store,
    /// The backend servers.
    pub replicas: Vec<Replica>,
    /// The instances.
    pub nodes: Vec<Node>,
    _store_server: Server,
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
    pub async fn start(
        replica_count: usize,
        pace: Pace,
        folder: &Path,
        record: &Record,
    ) -> Result<Site> {
        let servers = vec![("writers", "v1"); replica_count];
        Site::start_with(&config(), &servers, pace, folder, record).await
    }

    /// The same with a configuration, and with a service and a software version for each backend
    /// server.
    pub async fn start_with(
        config: &Value,
        servers: &[(&'static str, &'static str)],
        pace: Pace,
        folder: &Path,
        record: &Record,
    ) -> Result<Site> {
        let store = Store::new();
        let store_server = store.listen().await?;
        let store_address = store_server.address();
        store.put("op", "config", config);
        let mut replicas = Vec::new();
        for (index, server) in servers.iter().enumerate() {
            let name = format!("i-{}", index + 1);
            replicas.push(Replica::start(&name, *server, pace, &store, record).await?);
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
            _store_server: store_server,
        })
    }
}

/// An item of a batch job.
#[derive(Debug, Clone, Copy)]
pub struct NewItem {
    /// Number of events of its output.
    pub events: u64,
    /// Number of the part of its prompt that other items share.
    pub shared_part: u64,
}

/// The body of a batch job.
pub fn batch_job(job: &str, items: &[NewItem]) -> Value {
    let items = items.iter().enumerate().map(|(index, item)| {
        let (events, shared_part) = (item.events, item.shared_part);
        json!({
            "Id": item_id(job, index), "Path": format!("/reports/{index}"),
            "Headers": {
                "Model": "m", "Token-Usage": format!("350,{events}"),
                "Prompt-Prefix": format!("{shared_part:x}:100,{:x}:250", 0x5d07_b800 + index),
            },
            "Body": BASE64.encode(format!("prompt of item {index}")), "TokenCount": 350 + events,
        })
    });
    json!({"Items": items.collect::<Vec<_>>()})
}

/// Identity of an item.
pub fn item_id(job: &str, index: usize) -> String {
    format!("{}{index:04x}", &job[..12])
}
