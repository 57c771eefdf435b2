//! The demo command: an embedded deployment of three instances with engines and a plain service
//! serves chats and a batch job, changes a contract and stops an instance. Prints a short report; a
//! step with an unexpected result is an error.

use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use foxtailhold::ids::InstanceId;
use foxtailhold_entry::logging;
use foxtailhold_http::client::{Call, HttpClient, Reuse};
use foxtailhold_operator::client::OperatorClient;
use http::Method;
use serde_json::{Value, json};

use crate::cluster::{Cluster, ClusterShape, MODEL, SERVICE, TOKEN};
use crate::error::{Result, StandinError};

/// API key of the customer in the demo and the measuring commands.
pub const API_KEY: &str = "granite-trail-demo-key";
/// Maximum wait for a step that completes in the background.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the contract document of the demo's customer.
pub fn contract(requests_per_s: u32) -> String {
    format!(
        "customer = \"granite-trail\"\napi_keys = [\"{API_KEY}\"]\n\
         requests_per_s = {requests_per_s}.0\nburst_requests = 1000\n\
         concurrent_requests = 600\ntokens_per_s = 1000000.0\n"
    )
}

fn check(step: &'static str, passed: bool, detail: impl Into<String>) -> Result<()> {
    if passed {
        return Ok(());
    }
    let detail = detail.into();
    Err(StandinError::Check { step, detail })
}

/// An HTTP client that authenticates as the demo's customer.
#[derive(Debug, Clone)]
pub struct Caller {
    client: HttpClient,
}

impl Default for Caller {
    fn default() -> Self {
        Caller {
            client: HttpClient::new(Reuse::Pooled),
        }
    }
}

impl Caller {
    /// Sends a request and reads the whole answer. A status outside 200 to 299 is an error that
    /// carries the first 300 bytes of the body.
    pub async fn send(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
        content_type: &'static str,
    ) -> Result<Bytes> {
        let mut call = Call::new(method, address, path);
        call.bearer = Some(API_KEY);
        call.timeout_ms = 60_000;
        let (status, bytes) = self.client.call_bytes(&call, body, content_type).await?;
        if status.is_success() {
            return Ok(bytes);
        }
        Err(StandinError::Status {
            address,
            path: path.to_owned(),
            status: status.as_u16(),
            body: String::from_utf8_lossy(&bytes[..bytes.len().min(300)]).into_owned(),
        })
    }

    /// Sends a JSON body, or none for `null`, and parses the answer as JSON.
    pub async fn json(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Result<Value> {
        let text = if body.is_null() {
            Bytes::new()
        } else {
            body.to_string().into()
        };
        let bytes = self
            .send(address, method, path, text, "application/json")
            .await?;
        serde_json::from_slice(&bytes).map_err(|error| StandinError::Check {
            step: "read an answer",
            detail: error.to_string(),
        })
    }

    /// Uploads a batch input file and returns its identifier; empty if the answer names none.
    pub async fn upload(&self, address: SocketAddr, content: &str) -> Result<String> {
        let boundary = "foxtailhold-form-boundary";
        let form = format!(
            "--{boundary}\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n\
             --{boundary}\r\nContent-Disposition: form-data; name=\"file\"; filename=\"in.jsonl\"\r\n\
             Content-Type: application/jsonl\r\n\r\n{content}\r\n--{boundary}--\r\n"
        );
        let content_type = "multipart/form-data; boundary=foxtailhold-form-boundary";
        let sent = self.send(
            address,
            Method::POST,
            "/v1/files",
            form.into(),
            content_type,
        );
        let file: Value = serde_json::from_slice(&sent.await?).unwrap_or_default();
        Ok(file["id"].as_str().unwrap_or_default().to_owned())
    }
}

/// Returns the body of a chat request for at most `tokens` tokens.
pub fn chat(question: &str, tokens: u64, stream: bool) -> Value {
    json!({
        "model": MODEL,
        "messages": [{ "role": "user", "content": question }],
        "max_tokens": tokens,
        "stream": stream,
    })
}

/// Returns a batch input file with `items` lines.
pub fn batch_input(items: usize) -> String {
    let mut text = String::new();
    for index in 0..items {
        let line = json!({
            "custom_id": format!("report-{index}"),
            "method": "POST",
            "url": "/v1/chat/completions",
            "body": chat(&format!("advancement of scout {index}"), 8, false),
        });
        text.push_str(&line.to_string());
        text.push('\n');
    }
    text
}

/// Waits until `done` returns `true`, and returns the time that took in ms.
async fn wait_until<F: AsyncFnMut() -> Result<bool>>(
    step: &'static str,
    mut done: F,
) -> Result<u128> {
    let start = Instant::now();
    while start.elapsed() < STEP_TIMEOUT {
        if done().await? {
            return Ok(start.elapsed().as_millis());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    check(
        step,
        false,
        format!("did not happen within {} s", STEP_TIMEOUT.as_secs()),
    )?;
    Ok(0)
}

struct Demo {
    cluster: Cluster,
    caller: Caller,
}

impl Demo {
    fn callers(&self) -> Vec<SocketAddr> {
        let instances = self.cluster.instances.iter().flatten();
        instances
            .map(|instance| instance.shared().settings.caller_address)
            .collect()
    }

    fn operators(&self) -> Vec<OperatorClient> {
        let instances = self.cluster.instances.iter().flatten();
        instances
            .map(|instance| {
                let address = instance.shared().settings.operator_address;
                OperatorClient::new(address, TOKEN)
            })
            .collect()
    }

    async fn set_contract(&self, requests_per_s: u32, version: u64) -> Result<u128> {
        let operators = self.operators();
        let customer = "granite-trail".try_into()?;
        let accepted = operators[0]
            .set_contract(&customer, version, &contract(requests_per_s))
            .await
            .map_err(|error| StandinError::Check {
                step: "change a contract",
                detail: error.to_string(),
            })?;
        wait_until("contract in force on all instances", async || {
            for operator in &operators {
                let reported = operator.contract(&customer).await;
                if !reported.is_ok_and(|view| view.version >= accepted.version) {
                    return Ok(false);
                }
            }
            Ok(true)
        })
        .await
    }

    async fn listed_instances(&self) -> Result<usize> {
        let address = self.callers()[0];
        let answer = self
            .caller
            .json(address, Method::GET, "/v1/entries", &Value::Null)
            .await?;
        Ok(answer["entries"].as_array().map_or(0, Vec::len))
    }

    async fn chat(&self) -> Result<String> {
        let path = "/v1/chat/completions";
        let mut answers = Vec::new();
        for address in self.callers() {
            let body = chat("which badges need a campout?", 12, false);
            let answer = self.caller.json(address, Method::POST, path, &body).await?;
            let text = answer["choices"][0]["message"]["content"].clone();
            answers.push(text.as_str().unwrap_or_default().to_owned());
        }
        let same = answers.iter().all(|answer| *answer == answers[0]);
        check(
            "chat",
            same && !answers[0].is_empty(),
            format!("{answers:?}"),
        )?;
        let body = chat("which badges need a campout?", 12, true).to_string();
        let address = self.callers()[1];
        let sent = self
            .caller
            .send(address, Method::POST, path, body.into(), "application/json");
        let text = String::from_utf8_lossy(&sent.await?).into_owned();
        let complete = text.matches("\"content\"").count() == 12 && text.ends_with("[DONE]\n\n");
        check("streamed chat", complete, text)?;
        Ok(answers.swap_remove(0))
    }

    async fn batch(&self, items: usize) -> Result<u128> {
        let addresses = self.callers();
        let file = self
            .caller
            .upload(addresses[0], &batch_input(items))
            .await?;
        let request = json!({
            "input_file_id": file,
            "endpoint": "/v1/chat/completions",
            "completion_window": "1h",
        });
        let mut ids = Vec::new();
        for address in &addresses[..2] {
            let batch = self
                .caller
                .json(*address, Method::POST, "/v1/batches", &request);
            ids.push(batch.await?["id"].clone());
        }
        check("resent batch", ids[0] == ids[1], format!("{ids:?}"))?;
        let path = format!("/v1/batches/{}", ids[0].as_str().unwrap_or_default());
        let mut output = String::new();
        let took_ms = wait_until("batch", async || {
            let batch = self
                .caller
                .json(addresses[1], Method::GET, &path, &Value::Null);
            let batch = batch.await?;
            output = batch["output_file_id"].as_str().unwrap_or_default().into();
            Ok(batch["status"] == "completed")
        })
        .await?;
        let path = format!("/v1/files/{output}/content");
        let sent = self
            .caller
            .send(addresses[2], Method::GET, &path, Bytes::new(), "text/plain");
        let text = String::from_utf8_lossy(&sent.await?).into_owned();
        let mut ids: Vec<String> = Vec::new();
        for line in text.lines() {
            let line: Value = serde_json::from_str(line).unwrap_or_default();
            ids.push(line["custom_id"].as_str().unwrap_or_default().to_owned());
        }
        ids.sort();
        ids.dedup();
        let count = text.lines().count();
        let each_once = ids.len() == items && count == items;
        check(
            "batch output",
            each_once,
            format!("{count} lines, {} ids", ids.len()),
        )?;
        Ok(took_ms)
    }

    async fn models_served(&self) -> Result<u128> {
        let addresses = self.callers();
        wait_until("models served", async || {
            let mut served = true;
            for address in &addresses {
                let models = self
                    .caller
                    .json(*address, Method::GET, "/v1/models", &Value::Null);
                served &= models.await?["data"][0]["id"] == MODEL;
            }
            Ok(served)
        })
        .await
    }

    async fn service(&self) -> Result<String> {
        let path = format!("/v1/services/{SERVICE}/award-status?scout=7");
        let address = self.callers()[0];
        let response = self
            .caller
            .json(address, Method::GET, &path, &Value::Null)
            .await?;
        let reported = response["call"]["path"].as_str().unwrap_or_default();
        let echoed = reported == "/award-status?scout=7";
        check("plain service", echoed, response.to_string())?;
        Ok(reported.to_owned())
    }

    async fn refusal(&self) -> Result<&'static str> {
        let mut body = chat("hello", 4, false);
        body["model"] = "unknown".into();
        let path = "/v1/chat/completions";
        let sent = self
            .caller
            .json(self.callers()[0], Method::POST, path, &body);
        let refused = matches!(
            sent.await,
            Err(StandinError::Status { status: 404, body, .. })
                if body.contains("model_not_found") && body.contains("not_run")
        );
        check(
            "refusal",
            refused,
            "an unknown model was not refused with 404",
        )?;
        Ok("unknown model: 404, not run")
    }

    async fn run(&mut self, items: usize) -> Result<()> {
        let ms = wait_until("all instances in the list of addresses", async || {
            Ok(self.listed_instances().await? == 3)
        })
        .await?;
        report("entries", format_args!("3 addresses after {ms} ms"));
        let ms = self.set_contract(10_000, 0).await?;
        let text = format!("set on one instance, in force on 3 after {ms} ms");
        report("contract", text);
        self.models_served().await?;
        report("chat", format_args!("{:?}", self.chat().await?));
        report("refusal", self.refusal().await?);
        report(
            "service",
            format_args!("answered {}", self.service().await?),
        );
        let ms = self.batch(items).await?;
        let text = format!("{items} items, each once, after {ms} ms; a resend named the same job");
        report("batch", text);
        let ms = self.set_contract(12_000, 1).await?;
        let text = format!("changed on one instance, in force on 3 after {ms} ms");
        report("contract", text);
        let complete_streams = self.stop_instance().await?;
        let text = format!(
            "{complete_streams} of 8 streams whole through a planned stop of their instance"
        );
        report("stop", text);
        Ok(())
    }

    async fn stop_instance(&mut self) -> Result<usize> {
        let address = self.callers()[2];
        let body = chat("a long answer please", 200, true).to_string();
        let caller = self.caller.clone();
        let streams: Vec<_> = (0..8)
            .map(|_| {
                let (caller, body) = (caller.clone(), Bytes::from(body.clone()));
                tokio::spawn(async move {
                    let path = "/v1/chat/completions";
                    caller
                        .send(address, Method::POST, path, body, "application/json")
                        .await
                })
            })
            .collect();
        tokio::time::sleep(Duration::from_millis(100)).await;
        if let Some(instance) = self.cluster.instances[2].take() {
            instance.close().await?;
        }
        let mut complete_streams = 0;
        for stream in streams {
            let text = stream.await.ok().and_then(Result::ok).unwrap_or_default();
            complete_streams += usize::from(text.ends_with(b"[DONE]\n\n"));
        }
        check(
            "planned stop",
            complete_streams == 8,
            format!("{complete_streams} of 8 streams were whole"),
        )?;
        Ok(complete_streams)
    }
}

/// Enables logging to standard error if `RUST_LOG` is set.
fn init_logging() -> Result<()> {
    if std::env::var_os("RUST_LOG").is_some() {
        logging::init(&InstanceId::try_from("demo")?, logging::Output::Stderr)?;
    }
    Ok(())
}

/// Prints a line of the report on standard output.
fn report(step: &str, text: impl fmt::Display) {
    println!("ok  {step:<9} {text}");
}

/// Runs the demo with a batch job of `items` items and prints its report.
pub async fn run(items: usize) -> Result<()> {
    init_logging()?;
    let start = Instant::now();
    let shape = ClusterShape::default();
    println!(
        "{} instances, {} engines and {} plain service in one process",
        shape.instances, shape.engines, shape.services
    );
    let cluster = Cluster::start(shape).await?;
    let mut demo = Demo {
        cluster,
        caller: Caller::default(),
    };
    demo.run(items).await?;
    demo.cluster.close().await?;
    println!("all well after {} ms", start.elapsed().as_millis());
    Ok(())
}
