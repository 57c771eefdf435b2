//! HTTP interface of the engine stand-in, in the format of the OpenAI API.

use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foxtailhold::orders::FencingCheck;
use foxtailhold_http::body::{self, AnswerSender};
use foxtailhold_http::server::{Handler, Server};
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::answer::{self, Answer};
use crate::engine::faults::{EngineFaults, Ran, SpoiltKind};
use crate::engine::orders::EngineOrders;
use crate::engine::scheduler::{EngineShape, GenerationRequest, Scheduler};
use crate::engine::text;
use crate::error::Result;

/// Tokens of an answer whose request sets no limit.
const DEFAULT_TOKENS: u64 = 16;
/// An idle engine checks for new requests at least this often.
const IDLE_STEP_MS: u64 = 50;
/// A step loop that is further behind its schedule restarts the schedule at the current time. This
/// happens after a pause of the process, such as SIGSTOP.
const MAX_BEHIND_MS: u64 = 50;

#[derive(Debug, Deserialize)]
struct Continuation {
    tokens: u64,
    text: String,
}

#[derive(Debug, Deserialize)]
struct Completion {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    messages: Value,
    #[serde(default)]
    prompt: Value,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    continuation: Option<Continuation>,
}

/// Returns the prompt that the engine works on: the messages, or else the prompt, as JSON text.
pub fn prompt_text(messages: &Value, prompt: &Value) -> String {
    if messages.is_null() {
        return prompt.to_string();
    }
    messages.to_string()
}

/// An engine stand-in. Clones share the same engine.
#[derive(Debug, Clone)]
pub struct EngineStandin {
    scheduler: Arc<Mutex<Scheduler>>,
    arrived: Arc<Notify>,
    crashed: CancellationToken,
    orders: EngineOrders,
}

/// A completion request while it is answered.
struct Generation {
    id: String,
    chat: bool,
    model: String,
    prompt: String,
    /// What the text is made of: the prompt, unless the answer began anew.
    text_prompt: String,
    tokens: u64,
    resumed_at: u64,
}

impl EngineStandin {
    /// Creates an idle engine. Its step loop ends when the last handle is dropped.
    pub fn new(shape: EngineShape) -> Self {
        let engine = EngineStandin {
            scheduler: Arc::new(Mutex::new(Scheduler::new(shape))),
            arrived: Arc::default(),
            crashed: CancellationToken::new(),
            orders: EngineOrders::new(FencingCheck::Enforced, None),
        };
        tokio::spawn(step_loop(
            Arc::downgrade(&engine.scheduler),
            engine.arrived.clone(),
            engine.crashed.clone(),
        ));
        engine
    }

    /// Replaces the state of orders, which by default checks fencing numbers and loads at once.
    pub fn with_orders(self, orders: EngineOrders) -> Self {
        EngineStandin { orders, ..self }
    }

    /// Starts an HTTP server for this engine on `address`.
    pub async fn serve(&self, address: SocketAddr) -> Result<Server> {
        Ok(Server::bind(address, self.clone()).await?)
    }

    /// Replaces all fault switches.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.scheduler.lock().faults = faults;
    }

    /// Returns the record of all requests received, in order of arrival.
    pub fn record(&self) -> Vec<Ran> {
        self.scheduler.lock().record.clone()
    }

    /// Waits until a request has crashed the engine.
    pub async fn crashed(&self) {
        self.crashed.cancelled().await;
    }

    async fn route(&self, request: Request<Incoming>) -> std::result::Result<Answer, Answer> {
        let (head, incoming) = request.into_parts();
        match (&head.method, head.uri.path()) {
            (&Method::GET, "/load") => Ok(answer::ok(&self.scheduler.lock().report())),
            (&Method::GET, "/standin/counters") => {
                Ok(answer::ok(&self.scheduler.lock().counters()))
            }
            (&Method::GET, "/orders") => Ok(answer::ok(&self.orders.engine_state())),
            (&Method::POST, "/orders") => self.orders.handle_order(incoming).await,
            (&Method::GET, "/standin/orders") => Ok(answer::ok(&self.orders.record())),
            (&Method::GET, "/standin/orders/waits") => Ok(answer::ok(&self.orders.weight_waits())),
            (&Method::POST, "/standin/orders/faults") => {
                self.orders.set_faults(answer::read_json(incoming).await?);
                Ok(body::empty(StatusCode::OK))
            }
            (&Method::GET, "/standin/record") => Ok(answer::ok(&self.record())),
            (&Method::POST, "/standin/faults") => {
                self.set_faults(answer::read_json(incoming).await?);
                Ok(body::empty(StatusCode::OK))
            }
            (&Method::POST, path @ ("/v1/chat/completions" | "/v1/completions")) => {
                let chat = path.contains("chat");
                let id = head.headers.get("x-request-id");
                let id = id.and_then(|value| value.to_str().ok()).unwrap_or("none");
                let id = id.to_owned();
                let completion: Completion = answer::read_json(incoming).await?;
                self.complete(id, chat, completion).await
            }
            _ => Err(answer::error(StatusCode::NOT_FOUND, "no such path")),
        }
    }

    async fn complete(
        &self,
        id: String,
        chat: bool,
        completion: Completion,
    ) -> std::result::Result<Answer, Answer> {
        let tokens = completion.max_completion_tokens.or(completion.max_tokens);
        let tokens = tokens.unwrap_or(DEFAULT_TOKENS);
        let prompt = prompt_text(&completion.messages, &completion.prompt);
        let begins_anew = self.scheduler.lock().faults.begins_anew;
        let continuation = completion.continuation.as_ref().filter(|_| !begins_anew);
        let resumed_at = continuation.map_or(0, |c| c.tokens);
        let text_prompt = match begins_anew && completion.continuation.is_some() {
            true => format!("anew {prompt}"),
            false => prompt.clone(),
        };
        if let Some(prefix) = continuation
            && prefix.text != text::answer(&prompt, prefix.tokens)
        {
            let message = "the continuation is not what this model generates";
            return Err(answer::error(StatusCode::BAD_REQUEST, message));
        }
        let generation = Generation {
            id,
            chat,
            model: completion.model,
            prompt,
            text_prompt,
            tokens,
            resumed_at,
        };
        let ordinals = self.submit(&generation)?;
        if completion.stream {
            return Ok(self.stream(generation, ordinals));
        }
        self.complete_unstreamed(&generation, ordinals).await
    }

    fn submit(
        &self,
        generation: &Generation,
    ) -> std::result::Result<mpsc::UnboundedReceiver<u64>, Answer> {
        let mut scheduler = self.scheduler.lock();
        if scheduler.faults.leaving {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Err(answer::error(status, "the engine is leaving"));
        }
        if scheduler.faults.full || scheduler.is_full() {
            return Err(answer::error(
                StatusCode::TOO_MANY_REQUESTS,
                "the queue is full",
            ));
        }
        let (out, ordinals) = mpsc::unbounded_channel();
        scheduler.submit(GenerationRequest {
            id: generation.id.clone(),
            prompt: generation.prompt.clone(),
            tokens: generation.tokens,
            resumed_at: generation.resumed_at,
            out,
        });
        self.arrived.notify_one();
        if scheduler.faults.fail {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            return Err(answer::error(status, "the engine failed"));
        }
        Ok(ordinals)
    }

    async fn complete_unstreamed(
        &self,
        generation: &Generation,
        mut ordinals: mpsc::UnboundedReceiver<u64>,
    ) -> std::result::Result<Answer, Answer> {
        let mut last = generation.resumed_at;
        while let Some(ordinal) = ordinals.recv().await {
            last = ordinal;
        }
        if last < generation.tokens {
            return pending().await;
        }
        let faults = self.scheduler.lock().faults.clone();
        let id = match faults.foreign_answers {
            true => "another",
            false => &generation.id,
        };
        let body = generation.unstreamed_body(id);
        if faults.cut_answers || faults.short_answers {
            return Ok(truncated_answer(&body, faults.cut_answers));
        }
        Ok(answer::ok(&body))
    }

    fn stream(&self, generation: Generation, ordinals: mpsc::UnboundedReceiver<u64>) -> Answer {
        let (sender, stream) = body::streamed();
        let faults = self.scheduler.lock().faults.clone();
        tokio::spawn(send_events(generation, faults, ordinals, sender));
        let mut response = Response::new(stream);
        let event_stream = HeaderValue::from_static("text/event-stream");
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, event_stream);
        response
    }
}

impl Generation {
    fn completion_id(&self, id: &str) -> String {
        if self.chat {
            return format!("chatcmpl-{id}");
        }
        format!("cmpl-{id}")
    }

    fn unstreamed_body(&self, id: &str) -> Value {
        let text = text::answer(&self.text_prompt, self.tokens);
        let (object, choice) = if self.chat {
            let message = json!({ "role": "assistant", "content": text });
            let choice = json!({ "index": 0, "message": message, "finish_reason": "stop" });
            ("chat.completion", choice)
        } else {
            let choice = json!({ "index": 0, "text": text, "finish_reason": "stop" });
            ("text_completion", choice)
        };
        json!({
            "id": self.completion_id(id),
            "object": object,
            "created": 0,
            "model": self.model,
            "choices": [choice],
            "usage": { "completion_tokens": self.tokens },
        })
    }

    fn event(&self, ordinal: u64, id: &str) -> String {
        let prompt = if id == self.id { &self.text_prompt } else { id };
        let text = text::token(prompt, ordinal);
        let finish = (ordinal == self.tokens).then_some("stop");
        let (object, choice) = if self.chat {
            let delta = json!({ "content": text });
            let choice = json!({ "index": 0, "delta": delta, "finish_reason": finish });
            ("chat.completion.chunk", choice)
        } else {
            let choice = json!({ "index": 0, "text": text, "finish_reason": finish });
            ("text_completion", choice)
        };
        let chunk = json!({
            "id": self.completion_id(id),
            "object": object,
            "created": 0,
            "model": self.model,
            "choices": [choice],
        });
        format!("id: {ordinal}\ndata: {chunk}\n\n")
    }
}

/// Returns the first half of an answer. With `cut` the connection is broken after it, otherwise it
/// ends normally.
fn truncated_answer(complete_unstreamed: &Value, cut: bool) -> Answer {
    let (sender, stream) = body::streamed();
    let mut text = complete_unstreamed.to_string();
    text.truncate(text.len() / 2);
    tokio::spawn(async move {
        sender.send(text.into()).await;
        match cut {
            true => sender.cut(),
            false => sender.finish(),
        }
    });
    Response::new(stream)
}

/// Spoils the bytes of an event. Returns whether the connection is to be broken after them.
fn spoil(event: &mut String, ordinal: u64, kind: SpoiltKind) -> bool {
    let id = format!("id: {ordinal}\n");
    match kind {
        SpoiltKind::Missing => event.clear(),
        SpoiltKind::Twice => *event = event.repeat(2),
        SpoiltKind::WithoutId => *event = event.replace(&id, ""),
        SpoiltKind::IdNoNumber => *event = event.replace(&id, "id: x\n"),
        SpoiltKind::Broken => event.truncate(event.len() / 2),
    }
    kind == SpoiltKind::Broken
}

/// Returns the last event of the stream if a fault replaces the event at `ordinal`.
fn replacement_event(faults: &EngineFaults, ordinal: u64) -> Option<&'static str> {
    let is_past = |after: Option<u64>| after.is_some_and(|tokens| ordinal > tokens);
    if is_past(faults.done_after_tokens) {
        return Some("data: [DONE]\n\n");
    }
    if is_past(faults.error_after_tokens) {
        return Some("data: {\"error\":{\"message\":\"out of memory\",\"code\":500}}\n\n");
    }
    None
}

async fn send_events(
    generation: Generation,
    faults: EngineFaults,
    mut ordinals: mpsc::UnboundedReceiver<u64>,
    sender: AnswerSender,
) {
    let mut last = generation.resumed_at;
    let mut swapped_event: Option<String> = None;
    let mut previous_event: Option<String> = None;
    loop {
        let next = tokio::select! {
            next = ordinals.recv() => next,
            () = sender.gone() => return,
        };
        let Some(ordinal) = next else {
            break;
        };
        if faults
            .cut_after_tokens
            .is_some_and(|tokens| ordinal > tokens)
        {
            sender.cut();
            return;
        }
        last = ordinal;
        if let Some(event) = replacement_event(&faults, ordinal) {
            sender.send(event.into()).await;
            sender.finish();
            return;
        }
        let foreign = faults
            .foreign_after_tokens
            .is_some_and(|tokens| ordinal > tokens);
        let id = if foreign { "another" } else { &generation.id };
        let mut event = generation.event(ordinal, id);
        if let Some(spoilt) = faults.spoilt_event
            && spoilt.ordinal == ordinal
            && spoil(&mut event, ordinal, spoilt.kind)
        {
            sender.send(event.into()).await;
            sender.cut();
            return;
        }
        if faults.duplicate_events {
            event = event.repeat(2);
        }
        if faults.late_events {
            let late = previous_event.replace(event.clone());
            event.push_str(&late.unwrap_or_default());
        }
        let swapped = faults
            .swap_after_tokens
            .is_some_and(|tokens| ordinal > tokens);
        if swapped && swapped_event.is_none() {
            swapped_event = Some(event);
            continue;
        }
        event.push_str(&swapped_event.take().unwrap_or_default());
        if !sender.send(event.into()).await {
            return;
        }
    }
    if last < generation.tokens {
        sender.gone().await;
        return;
    }
    if !faults.no_done {
        sender.send("data: [DONE]\n\n".into()).await;
    }
    sender.finish();
}

/// Runs the scheduler's steps on an absolute schedule, so that late wake-ups do not slow the engine
/// down.
async fn step_loop(
    scheduler: std::sync::Weak<Mutex<Scheduler>>,
    arrived: Arc<Notify>,
    crashed: CancellationToken,
) {
    let mut next = Instant::now();
    loop {
        let Some(strong) = scheduler.upgrade() else {
            return;
        };
        let (pause, idle) = {
            let mut scheduler = strong.lock();
            let pause = scheduler.step();
            if scheduler.crashed {
                crashed.cancel();
                return;
            }
            (pause, scheduler.is_idle())
        };
        drop(strong);
        if idle {
            let wait = Duration::from_millis(IDLE_STEP_MS);
            let _ = tokio::time::timeout(wait, arrived.notified()).await;
            next = Instant::now();
            continue;
        }
        next += pause;
        if next.elapsed() > Duration::from_millis(MAX_BEHIND_MS) {
            next = Instant::now();
        }
        tokio::time::sleep_until(next).await;
    }
}

impl Handler for EngineStandin {
    /// A crashed engine answers nothing; its connections end when its process exits.
    async fn handle(&self, _: SocketAddr, request: Request<Incoming>) -> Answer {
        if self.scheduler.lock().crashed {
            return pending().await;
        }
        match self.route(request).await {
            Ok(answer) | Err(answer) => answer,
        }
    }
}
