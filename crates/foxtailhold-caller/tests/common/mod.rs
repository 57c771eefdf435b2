//! A caller API server with a fake gateway, and a raw HTTP client.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use foxtailhold::batch::JobStatus;
use foxtailhold::contract::Contract;
use foxtailhold::ids::{FileId, JobId, RequestId, TargetName};
use foxtailhold::refusal::{Refusal, RefusalReason, Result};
use foxtailhold_caller::gateway::*;
use foxtailhold_caller::{CallerHandler, EventSource};
use foxtailhold_http::server::Server;
use http::StatusCode;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

pub const KEY: &str = "a-known-key";
pub const BODY_IDLE_MS: u64 = 300;
const WAIT: Duration = Duration::from_secs(20);

/// A fake gateway that records its calls and returns configured results.
#[derive(Debug, Clone, Default)]
pub struct Fake {
    /// If set, every call fails with this refusal.
    pub refusal: Arc<Mutex<Option<Refusal>>>,
    /// Inference requests received.
    pub inferences: Arc<Mutex<Vec<Inference>>>,
    /// Codes of the refusals recorded by `Gateway::refused`.
    pub recorded_refusals: Arc<Mutex<Vec<String>>>,
    /// Kind, and `ok` or error code, of each call to `Gateway::answered`.
    pub answers: Arc<Mutex<Vec<(&'static str, String)>>>,
    /// Calls to `Gateway::streamed`: whether the event was the first of its stream.
    pub streamed: Arc<Mutex<Vec<bool>>>,
    /// Number of streams dropped before their end.
    pub dropped: Arc<AtomicUsize>,
    /// Number of uploads closed.
    pub uploads_closed: Arc<AtomicUsize>,
}

pub fn contract() -> Contract {
    let document = format!("customer = \"c\"\napi_keys = [\"{KEY}\"]\nrequests_per_s = 1.0\n");
    Contract::try_from(document.as_str()).unwrap()
}

impl Fake {
    fn check_refusal(&self) -> Result<()> {
        match self.refusal.lock().unwrap().clone() {
            Some(refusal) => Err(refusal),
            None => Ok(()),
        }
    }
}

pub struct FakeStream {
    left: usize,
    dropped: Arc<AtomicUsize>,
}

impl EventSource for FakeStream {
    async fn next(&mut self) -> Option<Result<Bytes>> {
        if self.left == 0 {
            return None;
        }
        self.left -= 1;
        tokio::time::sleep(Duration::from_millis(2)).await;
        if self.left == 0 {
            return Some(Ok(Bytes::from_static(b"data: [DONE]\n\n")));
        }
        Some(Ok(Bytes::from_static(b"data: {\"choices\":[]}\n\n")))
    }
}

impl Drop for FakeStream {
    fn drop(&mut self) {
        if self.left > 0 {
            self.dropped.fetch_add(1, Ordering::SeqCst);
        }
    }
}

pub struct FakeUpload(Fake, u64);

impl Upload for FakeUpload {
    async fn push(&mut self, bytes: &[u8]) -> Result<()> {
        self.1 += bytes.len() as u64;
        Ok(())
    }

    fn held_bytes(&self) -> usize {
        0
    }

    async fn close(self, filename: String, purpose: String) -> Result<FileObject> {
        self.0.uploads_closed.fetch_add(1, Ordering::SeqCst);
        let (id, bytes) = ("file-1".try_into().unwrap(), self.1);
        Ok(FileObject {
            id,
            bytes,
            created_at: 1,
            filename,
            purpose,
        })
    }
}

pub struct FakeDownload(Vec<Result<Bytes>>);

impl Download for FakeDownload {
    async fn next(&mut self) -> Option<Result<Bytes>> {
        self.0.pop()
    }
}

pub fn batch(id: &str) -> BatchObject {
    BatchObject {
        job: id.try_into().unwrap(),
        endpoint: "/v1/chat/completions".into(),
        status: JobStatus::Completed,
        input_file: "file-1".try_into().unwrap(),
        output_file: None,
        error_file: Some("file-err-1".try_into().unwrap()),
        created_wall_ms: 5_000,
        deadline_wall_ms: 5_000 + 24 * 3_600_000,
        ended_wall_ms: Some(9_000),
        items: 1,
        completed: 0,
        failed: 1,
        metadata: Value::Null,
    }
}

impl Gateway for Fake {
    type Stream = FakeStream;
    type Upload = FakeUpload;
    type Download = FakeDownload;

    fn entries(&self, _: &EntriesQuery) -> Entries {
        Entries {
            entries: Vec::new(),
            keep_for_ms: 5,
        }
    }

    fn contract_of(&self, api_key: &str) -> Result<Arc<Contract>> {
        match api_key {
            KEY => Ok(contract().into()),
            _ => Err(Refusal::not_run(RefusalReason::Unauthorized)),
        }
    }

    fn check_model(&self, contract: &Contract, name: &str) -> Result<()> {
        let models = self.models(contract);
        match models.iter().any(|known| known.as_str() == name) {
            true => Ok(()),
            false => {
                let name = name.to_owned();
                Err(Refusal::not_run(RefusalReason::UnknownTarget { name }))
            }
        }
    }

    fn request_id(&self) -> RequestId {
        RequestId::try_from("request-1").unwrap()
    }

    fn digest(&self, body: &[u8]) -> String {
        body.len().to_string()
    }

    fn models(&self, _: &Contract) -> Vec<TargetName> {
        vec!["ranger".try_into().unwrap()]
    }

    async fn infer(&self, request: Inference) -> Result<InferenceAnswer<FakeStream>> {
        self.check_refusal()?;
        let (streamed, model) = (request.streamed, request.model.clone());
        self.inferences.lock().unwrap().push(request);
        let left = match model.as_str() {
            "ranger" => 3,
            "endless" => usize::MAX,
            name => {
                let name = name.to_owned();
                return Err(Refusal::not_run(RefusalReason::UnknownTarget { name }));
            }
        };
        if streamed {
            let dropped = self.dropped.clone();
            return Ok(InferenceAnswer::Stream(FakeStream { left, dropped }));
        }
        Ok(InferenceAnswer::Whole(Whole {
            status: StatusCode::OK,
            content_type: None,
            body: Bytes::from_static(b"{}"),
        }))
    }

    async fn call_service(&self, call: PlainCall) -> Result<Whole> {
        self.check_refusal()?;
        Ok(Whole {
            status: StatusCode::OK,
            content_type: None,
            body: call.path_and_query.into(),
        })
    }

    fn upload(&self, _: &RequestContext) -> Result<FakeUpload> {
        self.check_refusal()?;
        Ok(FakeUpload(self.clone(), 0))
    }

    async fn file(&self, _: &Contract, id: &FileId) -> Result<FileObject> {
        self.check_refusal()?;
        FakeUpload(self.clone(), 7)
            .close(id.to_string(), "batch".into())
            .await
    }

    async fn files(&self, _: &Contract, after: &str, limit: usize) -> Result<Vec<FileObject>> {
        let mut found = Vec::new();
        for name in ["file-1", "file-2", "file-3"] {
            if name > after && found.len() < limit {
                let mut file = self
                    .file(&contract(), &"file-1".try_into().unwrap())
                    .await?;
                file.id = name.try_into().unwrap();
                found.push(file);
            }
        }
        Ok(found)
    }

    async fn delete_file(&self, _: &Contract, _: &FileId) -> Result<()> {
        self.check_refusal()
    }

    async fn download(&self, _: &Contract, id: &FileId) -> Result<FakeDownload> {
        self.check_refusal()?;
        let down = Refusal::not_run(RefusalReason::StoreUnavailable).retry_after_ms(2_000);
        Ok(FakeDownload(match id.as_str() {
            "file-down" => vec![Err(down)],
            "file-cut" => vec![Err(down), Ok(Bytes::from_static(b"first\n"))],
            _ => vec![Ok(Bytes::from_static(b"content\n"))],
        }))
    }

    async fn create_batch(&self, _: BatchRequest) -> Result<BatchObject> {
        self.check_refusal()?;
        Ok(batch("batch_1"))
    }

    async fn batch(&self, _: &Contract, job: &JobId) -> Result<BatchObject> {
        self.check_refusal()?;
        Ok(batch(job.as_str()))
    }

    async fn batches(&self, _: &Contract, after: &str, limit: usize) -> Result<Vec<BatchObject>> {
        let names = ["batch_1", "batch_2", "batch_3"].into_iter();
        Ok(names
            .filter(|name| *name > after)
            .take(limit)
            .map(batch)
            .collect())
    }

    async fn cancel_batch(&self, _: &Contract, job: &JobId) -> Result<BatchObject> {
        self.batch(&contract(), job).await
    }

    fn refused(&self, _: &RequestId, refusal: &Refusal) {
        let code = foxtailhold_caller::error_body::code(refusal);
        self.recorded_refusals.lock().unwrap().push(code.to_owned());
    }

    fn record_answer(&self, kind: RequestKind, refusal: Option<&Refusal>, _: Duration) {
        let check_refusal = refusal.map_or("ok", foxtailhold_caller::error_body::code);
        let answer = (kind.as_str(), check_refusal.to_owned());
        self.answers.lock().unwrap().push(answer);
    }

    fn streamed(&self, first: bool, _: Duration) {
        self.streamed.lock().unwrap().push(first);
    }
}

/// A caller API server on the loopback interface.
pub struct Served {
    pub server: Server,
    pub fake: Fake,
}

pub async fn serve() -> Served {
    let fake = Fake::default();
    let handler = CallerHandler::new(fake.clone()).body_idle_ms(BODY_IDLE_MS);
    let server = Server::bind(SocketAddr::from(([127, 0, 0, 1], 0)), handler);
    let server = server.await.unwrap();
    Served { server, fake }
}

/// An HTTP response as the caller receives it.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        for line in self.head.lines() {
            let Some((key, value)) = line.split_once(": ") else {
                continue;
            };
            if key.eq_ignore_ascii_case(name) {
                return Some(value);
            }
        }
        None
    }
}

/// Builds a request with a valid API key. Each line of `headers` must end with `\r\n`.
pub fn request(method: &str, path: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n{headers}\
         content-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

impl Served {
    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.server.address()).await.unwrap()
    }

    /// Writes the complete request before it reads the response, as simple clients do.
    pub async fn send(&self, bytes: &[u8]) -> Answer {
        let mut stream = self.connect().await;
        stream.write_all(bytes).await.unwrap();
        read_answer(&mut stream).await
    }
}

/// Reads one response with a `content-length`, or a chunked one up to its end.
pub async fn read_answer(stream: &mut TcpStream) -> Answer {
    let mut bytes = Vec::new();
    let read = async {
        loop {
            if let Some(answer) = whole_answer(&bytes) {
                return answer;
            }
            let mut part = [0; 4_096];
            let count = stream.read(&mut part).await.unwrap();
            let received = String::from_utf8_lossy(&bytes);
            assert!(count > 0, "the connection was dropped after {received:?}");
            bytes.extend_from_slice(&part[..count]);
        }
    };
    tokio::time::timeout(WAIT, read).await.unwrap()
}

fn whole_answer(bytes: &[u8]) -> Option<Answer> {
    let text = String::from_utf8_lossy(bytes);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let answer = Answer {
        status: head.split(' ').nth(1)?.parse().ok()?,
        head: head.to_owned(),
        body: body.to_owned(),
    };
    let whole = match answer.header("content-length") {
        Some(length) => body.len() >= length.parse().ok()?,
        None => body.ends_with("0\r\n\r\n"),
    };
    whole.then_some(answer)
}

/// Waits until `done` returns true; panics after 10 s.
pub async fn until(what: &str, done: impl Fn() -> bool) {
    for _ in 0..1_000 {
        if done() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("waited in vain for {what}");
}
