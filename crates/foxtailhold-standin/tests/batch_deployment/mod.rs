//! Helpers for batch jobs in a deployment of separate processes: what the caller, the table and the
//! engines show of a job.
#![allow(dead_code)]

use std::collections::HashMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use foxtailhold::batch::{ChunkRow, OwnerRow};
use foxtailhold_platform::{HttpPlatform, ObjectStore, TableService};
use foxtailhold_standin::demo::chat;
use foxtailhold_standin::engine::faults::Ran;
use foxtailhold_standin::engine::text;
use foxtailhold_standin::error::Result;
use http::Method;
use serde_json::{Value, json};

use crate::common::Deployment;

pub const CHAT: &str = "/v1/chat/completions";
/// Time limit for a job to end, also after a fault.
pub const JOB_WAIT: Duration = Duration::from_secs(90);

/// Lines of a batch input whose questions start with `name`.
pub fn input(name: &str, items: usize, tokens: u64) -> String {
    let mut text = String::new();
    for index in 0..items {
        let line = json!({
            "custom_id": format!("{name}-{index}"),
            "method": "POST",
            "url": CHAT,
            "body": chat(&format!("{name} {index}"), tokens, false),
        });
        text.push_str(&line.to_string());
        text.push('\n');
    }
    text
}

/// A batch job in a deployment, with the input that it was started from.
pub struct Job<'a> {
    pub deployment: &'a Deployment,
    pub id: String,
    pub name: String,
    pub items: usize,
    pub tokens: u64,
}

impl<'a> Job<'a> {
    /// Uploads an input and offers it to the entry instance `index`.
    pub async fn start(
        deployment: &'a Deployment,
        index: usize,
        name: &str,
        items: usize,
        tokens: u64,
    ) -> Self {
        let file = upload(deployment, index, &input(name, items, tokens)).await;
        let id = offer(deployment, index, &file).await.unwrap();
        Job {
            deployment,
            id,
            name: name.to_owned(),
            items,
            tokens,
        }
    }

    pub async fn describe(&self, index: usize) -> Result<Value> {
        let path = format!("/v1/batches/{}", self.id);
        let address = self.deployment.caller_address(index);
        let caller = &self.deployment.caller;
        caller.json(address, Method::GET, &path, &Value::Null).await
    }

    pub async fn cancel(&self, index: usize) -> Result<Value> {
        let path = format!("/v1/batches/{}/cancel", self.id);
        let address = self.deployment.caller_address(index);
        let caller = &self.deployment.caller;
        caller
            .json(address, Method::POST, &path, &Value::Null)
            .await
    }

    /// Waits until the instance `index` reports one of `statuses`; returns the job's description.
    pub async fn wait(&self, index: usize, statuses: &[&str]) -> Value {
        let start = Instant::now();
        let mut last = Value::Null;
        while start.elapsed() < JOB_WAIT {
            last = self.describe(index).await.unwrap_or(last);
            let status = last["status"].as_str().unwrap_or_default();
            if statuses.contains(&status) {
                return last;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("timed out after {JOB_WAIT:?} waiting for {statuses:?}: {last}");
    }

    /// Waits until the instance `index` reports completed items.
    pub async fn wait_for_progress(&self, index: usize) {
        let start = Instant::now();
        while start.elapsed() < JOB_WAIT {
            let seen = self.describe(index).await.unwrap_or_default();
            if seen["request_counts"]["completed"].as_u64().unwrap_or(0) > 0 {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("job {} completes no items", self.id);
    }

    /// The output file as read from the instance `index`.
    pub async fn output(&self, index: usize) -> String {
        self.file(index, "file-out-").await
    }

    /// A file of the job whose identifier starts with `prefix`.
    pub async fn file(&self, index: usize, prefix: &str) -> String {
        let path = format!("/v1/files/{prefix}{}/content", self.id);
        let address = self.deployment.caller_address(index);
        let caller = &self.deployment.caller;
        let sent = caller.send(address, Method::GET, &path, Bytes::new(), "text/plain");
        String::from_utf8(sent.await.unwrap().to_vec()).unwrap()
    }

    /// Checks that the output has each item once, in the order of the input, with its own answer.
    pub async fn check_output(&self, index: usize) {
        let output = self.output(index).await;
        assert_eq!(output.lines().count(), self.items);
        for (item, line) in output.lines().enumerate() {
            let line: Value = serde_json::from_str(line).unwrap();
            assert_eq!(line["custom_id"], format!("{}-{item}", self.name));
            let question = format!("{} {item}", self.name);
            let prompt = json!([{ "role": "user", "content": question }]).to_string();
            let content = &line["response"]["body"]["choices"][0]["message"]["content"];
            assert_eq!(
                *content,
                text::answer(&prompt, self.tokens).as_str(),
                "{line}"
            );
        }
    }

    /// The instance that holds the job's lease in the table; `None` if there is none or it was
    /// released.
    pub async fn owner(&self) -> Option<String> {
        let found = platform(self.deployment).get("owner", &self.id).await;
        let owner: OwnerRow = found.ok()??.read().ok()?;
        (!owner.released).then(|| owner.holder.to_string())
    }

    /// Waits for an owner other than `before`; returns its index among the entry instances.
    pub async fn owner_other_than(&self, before: Option<usize>) -> usize {
        let start = Instant::now();
        while start.elapsed() < JOB_WAIT {
            let owner = self.owner().await;
            let index = owner.and_then(|owner| owner.strip_prefix("entry-")?.parse().ok());
            if let Some(index) = index.filter(|index| Some(*index) != before) {
                return index;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("job {} has no other owner", self.id);
    }

    /// Attempts of this job's items at all engines that still run, by prompt.
    pub async fn attempts_by_prompt(&self) -> HashMap<String, Vec<Ran>> {
        let mut attempts_by_prompt: HashMap<String, Vec<Ran>> = HashMap::new();
        for engine in &self.deployment.engines {
            let address = engine.address("listening");
            let caller = &self.deployment.caller;
            let record = caller.json(address, Method::GET, "/standin/record", &Value::Null);
            let Ok(record) = record.await else {
                continue;
            };
            let record: Vec<Ran> = serde_json::from_value(record).unwrap();
            for ran in record {
                if ran.prompt.contains(&format!("\"{} ", self.name)) {
                    attempts_by_prompt
                        .entry(ran.prompt.clone())
                        .or_default()
                        .push(ran);
                }
            }
        }
        attempts_by_prompt
    }

    /// Number of attempts of this job's items that ran to their end. An item that continues at
    /// another engine has an attempt there too, but finishes once.
    pub async fn finished_attempts(&self) -> usize {
        let attempts_by_prompt = self.attempts_by_prompt().await.into_values().flatten();
        attempts_by_prompt.filter(|ran| ran.finished).count()
    }

    /// Number of attempts of this job's items that started from the beginning of the answer.
    pub async fn fresh_starts(&self) -> usize {
        let attempts_by_prompt = self.attempts_by_prompt().await;
        let from_beginning = |ran: &&Ran| ran.resumed_at == 0;
        attempts_by_prompt
            .values()
            .flatten()
            .filter(from_beginning)
            .count()
    }

    /// Number of attempts of this job's items, including those that continue an earlier attempt.
    async fn attempts(&self) -> usize {
        self.attempts_by_prompt().await.values().map(Vec::len).sum()
    }

    /// Checks that no attempt of this job's items starts within `for_ms`.
    pub async fn check_no_new_attempts(&self, for_ms: u64) {
        let before = self.attempts().await;
        tokio::time::sleep(Duration::from_millis(for_ms)).await;
        assert_eq!(
            self.attempts().await,
            before,
            "items started after the cancel"
        );
    }

    /// Committed chunk rows with their keys.
    pub async fn chunks(&self) -> Vec<(String, ChunkRow)> {
        let prefix = format!("{}/", self.id);
        let platform = platform(self.deployment);
        let rows = platform.scan("chunk", &prefix, "", 1_000).await.unwrap();
        let read = |row: foxtailhold_platform::KeyedRow| (row.key, row.row.read().unwrap());
        rows.into_iter().map(read).collect()
    }

    /// Names of all result objects of this job, committed or not.
    pub async fn objects(&self) -> Vec<String> {
        let prefix = format!("result/{}/", self.id);
        let platform = platform(self.deployment);
        let names = platform.list_objects(&prefix, "", 1_000).await;
        names.unwrap_or_default()
    }
}

pub fn platform(deployment: &Deployment) -> HttpPlatform {
    HttpPlatform::new(deployment.platform.address("listening"))
}

/// Sets all fault switches of the platform.
pub async fn platform_faults(deployment: &Deployment, faults: Value) {
    let address = deployment.platform.address("listening");
    set_faults(deployment, address, faults).await;
}

/// Sets all fault switches of the stand-in at `address`.
pub async fn set_faults(deployment: &Deployment, address: std::net::SocketAddr, faults: Value) {
    let body = Bytes::from(faults.to_string());
    let path = "/standin/faults";
    let caller = &deployment.caller;
    let sent = caller.send(address, Method::POST, path, body, "application/json");
    sent.await.unwrap();
}

pub async fn upload(deployment: &Deployment, index: usize, content: &str) -> String {
    let address = deployment.caller_address(index);
    deployment.caller.upload(address, content).await.unwrap()
}

/// Offers a job for an uploaded file; returns the job's identifier.
pub async fn offer(deployment: &Deployment, index: usize, file: &str) -> Result<String> {
    offer_within(deployment, index, file, "1h").await
}

/// Offers a job that must finish within `window`; returns the job's identifier.
pub async fn offer_within(
    deployment: &Deployment,
    index: usize,
    file: &str,
    window: &str,
) -> Result<String> {
    let request = json!({
        "input_file_id": file,
        "endpoint": CHAT,
        "completion_window": window,
    });
    let address = deployment.caller_address(index);
    let caller = &deployment.caller;
    let sent = caller.json(address, Method::POST, "/v1/batches", &request);
    Ok(sent.await?["id"].as_str().unwrap().to_owned())
}
