//! Online callers. They fetch the list of instance addresses, cache it for the time that the answer
//! gives, and send streamed requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use foxtailhold_http::client::{Call, HttpClient, Reuse, uri};
use http::{HeaderValue, Method, Request, header};
use http_body_util::{BodyExt, Full};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use tokio::time::Instant;

use crate::demo::{API_KEY, chat};
use crate::error::Result;
use crate::load::recorder::{PhaseRecorder, RequestOutcome};
use crate::load::scenario::{Phase, Workload};

/// Maximum wait for the response head, and so for the start of an answer.
const FIRST_TOKEN_TIMEOUT_MS: u64 = 10_000;
/// Maximum wait for the next part of a stream.
const TOKEN_TIMEOUT_MS: u64 = 10_000;
/// Timeout of a request for the list of addresses.
const LIST_TIMEOUT_MS: u64 = 1_000;
/// Cache time of a list whose answer does not give one.
const DEFAULT_KEEP_MS: u64 = 1_000;

/// Callers of one customer that share a list of addresses and a connection pool.
#[derive(Debug, Clone)]
pub struct Callers {
    client: HttpClient,
    addresses: Arc<ArcSwap<Vec<SocketAddr>>>,
    workload: Workload,
}

impl Callers {
    /// Creates callers with an initial list of addresses.
    pub fn new(workload: Workload, addresses: Vec<SocketAddr>) -> Self {
        Callers {
            client: HttpClient::new(Reuse::Pooled),
            addresses: Arc::new(ArcSwap::from_pointee(addresses)),
            workload,
        }
    }

    /// Refreshes the list of addresses from a random instance each time its cache time has passed.
    /// Returns only if the list is empty.
    pub async fn refresh_list(self) {
        loop {
            let list = self.addresses.load_full();
            let index = rand::random::<u32>() as usize % list.len().max(1);
            let Some(address) = list.get(index) else {
                return;
            };
            let keep_ms = self.fetch_list(*address).await.unwrap_or(100);
            tokio::time::sleep(Duration::from_millis(keep_ms)).await;
        }
    }

    async fn fetch_list(&self, address: SocketAddr) -> Result<u64> {
        let mut call = Call::new(Method::GET, address, "/v1/entries");
        call.timeout_ms = LIST_TIMEOUT_MS;
        let (_, body) = self.client.call::<()>(&call, None).await?;
        let answer: Value = serde_json::from_slice(&body).unwrap_or_default();
        let mut addresses = Vec::new();
        for entry in answer["entries"].as_array().into_iter().flatten() {
            let text = entry["address"].as_str().unwrap_or_default();
            addresses.extend(text.parse::<SocketAddr>());
        }
        if !addresses.is_empty() {
            self.addresses.store(addresses.into());
        }
        Ok(answer["keep_for_ms"].as_u64().unwrap_or(DEFAULT_KEEP_MS))
    }

    /// Sends requests during the whole phase at the times of a Poisson process, without waiting for
    /// the answers to earlier ones (open loop). Returns when all requests have ended.
    pub async fn run(&self, phase: &Phase, seed: u64, recorder: &Arc<PhaseRecorder>) {
        let mut random = SmallRng::seed_from_u64(seed);
        let start = Instant::now();
        let end = start + Duration::from_millis(phase.duration_ms);
        let mut scheduled_at = start;
        let mut running = tokio::task::JoinSet::new();
        loop {
            let uniform: f64 = random.random_range(f64::EPSILON..1.0);
            scheduled_at += Duration::from_secs_f64(-uniform.ln() / phase.online_per_s);
            if scheduled_at >= end {
                break;
            }
            tokio::time::sleep_until(scheduled_at).await;
            let list = self.addresses.load();
            let address = list[random.random_range(0..list.len())];
            let body = self.body(random.random());
            let (callers, recorder) = (self.clone(), recorder.clone());
            recorder.sent();
            running.spawn(async move {
                let outcome = callers
                    .send_request(address, body, scheduled_at, &recorder)
                    .await;
                recorder.ended(outcome.unwrap_or(RequestOutcome::Failed));
            });
            while running.try_join_next().is_some() {}
        }
        tokio::time::sleep_until(end).await;
        while running.join_next().await.is_some() {}
    }

    fn body(&self, random_number: u64) -> Bytes {
        let troop = random_number % 40;
        let mut question = format!("troop {troop}: ");
        while question.len() < self.workload.prompt_bytes.saturating_sub(32) {
            question.push_str("which requirement is left? ");
        }
        question.push_str(&random_number.to_string());
        let tokens = self.workload.answer_tokens;
        chat(&question, tokens, true).to_string().into()
    }

    async fn send_request(
        &self,
        address: SocketAddr,
        body: Bytes,
        scheduled_at: Instant,
        recorder: &PhaseRecorder,
    ) -> Result<RequestOutcome> {
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = uri(address, "/v1/chat/completions")?;
        let bearer = format!("Bearer {API_KEY}");
        let headers = request.headers_mut();
        if let Ok(bearer) = HeaderValue::try_from(bearer) {
            headers.insert(header::AUTHORIZATION, bearer);
        }
        let sent = self.client.send(address, request, FIRST_TOKEN_TIMEOUT_MS);
        let response = sent.await?;
        if !response.status().is_success() {
            return Ok(RequestOutcome::Refused);
        }
        let mut body = response.into_body();
        let mut last: Option<Instant> = None;
        let mut tail = Vec::new();
        loop {
            let wait = Duration::from_millis(TOKEN_TIMEOUT_MS);
            let Ok(frame) = tokio::time::timeout(wait, body.frame()).await else {
                return Ok(RequestOutcome::Failed);
            };
            let Some(frame) = frame else {
                break;
            };
            let Ok(Ok(data)) = frame.map(hyper::body::Frame::into_data) else {
                return Ok(RequestOutcome::Failed);
            };
            record_tokens(&data, scheduled_at, &mut last, recorder);
            tail.extend_from_slice(&data[data.len().saturating_sub(16)..]);
        }
        if tail.ends_with(b"[DONE]\n\n") {
            return Ok(RequestOutcome::Complete);
        }
        Ok(RequestOutcome::Failed)
    }
}

fn record_tokens(
    data: &[u8],
    scheduled_at: Instant,
    last: &mut Option<Instant>,
    recorder: &PhaseRecorder,
) {
    let marker = b"data: {";
    let tokens = data.windows(marker.len()).filter(|part| part == marker);
    for _ in tokens {
        let now = Instant::now();
        match *last {
            None => recorder.first_token((now - scheduled_at).as_micros() as u64),
            Some(before) => recorder.next_token((now - before).as_micros() as u64),
        }
        *last = Some(now);
    }
}
