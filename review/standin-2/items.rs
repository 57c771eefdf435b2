//! Batch jobs as clients send and read them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::http::call;
use crate::json::{Json, base64};
use crate::record::{Record, random};
use crate::replicas::{event_count, event_data};

/// A batch item.
pub struct Item {
    pub id: String,
    token_usage: String,
}

impl Item {
    /// An item that asks for so many tokens.
    pub fn new(output_tokens: u64) -> Item {
        Item {
            id: format!("{:016x}", random()),
            token_usage: format!("350,{output_tokens}"),
        }
    }

    fn json(&self) -> String {
        let tokens: u64 = self
            .token_usage
            .split(',')
            .filter_map(|text| text.parse::<u64>().ok())
            .sum();
        format!(
            "{{\"Id\":\"{id}\",\"Path\":\"/b/x/{id}\",\"Headers\":{{\"Model\":\"m\",\"Token-Usage\":\"{}\",\
             \"Prompt-Prefix\":\"{:x}:100,{:x}:250\"}},\"Body\":\"{}\",\"TokenCount\":{tokens}}}",
            self.token_usage,
            random() >> 32,
            random() >> 32,
            base64(self.id.as_bytes()),
            id = self.id
        )
    }

    /// Its whole output.
    pub fn text(&self) -> String {
        let events = 1..=event_count(&self.token_usage);
        events
            .map(|event| event_data(&self.id, event))
            .collect::<Vec<_>>()
            .join("\n")
    }
}

/// Reads all results from the start; their states and texts by item.
pub fn read(record: &Record, front: SocketAddr, job: &str) -> BTreeMap<String, (String, String)> {
    let mut results = BTreeMap::new();
    let mut after = 0;
    loop {
        let target = format!("/v1/lots/{job}?After={after}");
        let headers = [("Host", "a.example"), ("Deadline-Ms", "2000")];
        let answer = match call(front, "GET", &target, &headers, b"", Duration::from_secs(3)) {
            Ok(answer) if answer.status() == 200 => answer,
            other => {
                record.line(&format!(
                    "client: read of {job} from {after}: {:?}",
                    other.map(|answer| answer.status())
                ));
                return results;
            }
        };
        let page = Json::parse(&String::from_utf8_lossy(&answer.body)).unwrap_or(Json::Null);
        if page.list("Results").is_empty() {
            return results;
        }
        for result in page.list("Results") {
            results.insert(
                result.text("Id"),
                (result.text("State"), result.text("Text")),
            );
        }
        after = page.number("Next");
    }
}

/// Submits a batch job; returns the status of the answer, 0 if there is none.
pub fn submit(record: &Record, front: SocketAddr, job: &str, items: &[Item]) -> u16 {
    let list: Vec<String> = items.iter().map(Item::json).collect();
    let body = format!("{{\"Items\":[{}]}}", list.join(","));
    let headers = [
        ("Host", "a.example"),
        ("Attempt-Id", job),
        ("Deadline-Ms", "4000"),
    ];
    let target = format!("/b/{job}");
    let submitted = call(
        front,
        "POST",
        &target,
        &headers,
        body.as_bytes(),
        Duration::from_secs(4),
    );
    let status = submitted.map_or(0, |answer| answer.status());
    record.line(&format!(
        "client: job {job} with {} items: {status}",
        items.len()
    ));
    status
}
