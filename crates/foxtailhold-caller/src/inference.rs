//! Chat and text completions.

use std::borrow::Cow;
use std::time::Instant;

use bytes::Bytes;
use foxtailhold::ids::TargetName;
use foxtailhold::refusal::{Refusal, RefusalReason, Result};
use foxtailhold_http::body::{self, AnswerBody, AnswerSender};
use http::{HeaderValue, Response, StatusCode, header};
use serde::Deserialize;

use crate::error_body;
use crate::gateway::{EventSource, Gateway, Inference, InferenceAnswer, RequestContext, Whole};

/// Maximum size of the body of a completion request.
pub const MAX_BODY_BYTES: usize = 4 << 20;

/// The fields of a completion request that the system interprets. The body is passed to the engine
/// unchanged.
#[derive(Debug, Deserialize)]
struct RawInference<'a> {
    #[serde(borrow)]
    model: Cow<'a, str>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
}

/// Parses and validates the body of a completion request.
pub fn read(context: RequestContext, path: &'static str, body: Bytes) -> Result<Inference> {
    let raw: RawInference<'_> = serde_json::from_slice(&body)
        .map_err(|error| Refusal::invalid(format!("the body cannot be read: {error}")))?;
    let unknown = || {
        let name = raw.model.to_string();
        Refusal::not_run(RefusalReason::UnknownTarget { name })
    };
    let model = TargetName::try_from(raw.model.as_ref()).map_err(|_| unknown())?;
    Ok(Inference {
        context,
        path,
        model,
        streamed: raw.stream.unwrap_or(false),
        max_tokens: raw.max_completion_tokens.or(raw.max_tokens),
        body,
    })
}

/// Runs a request and builds its response. The events of a streamed answer are sent by a separate
/// task.
pub async fn answer<G: Gateway>(gateway: &G, request: Inference) -> Result<Response<AnswerBody>> {
    let id = request.context.id.clone();
    let start = Instant::now();
    let answer = gateway.infer(request).await?;
    let stream = match answer {
        InferenceAnswer::Whole(answer) => return Ok(whole(answer)),
        InferenceAnswer::Stream(stream) => stream,
    };
    let (sender, body) = body::streamed();
    let relay = {
        let gateway = gateway.clone();
        async move {
            if let Some(refusal) = relay(&gateway, start, stream, sender).await {
                gateway.refused(&id, &refusal);
            }
        }
    };
    tokio::spawn(relay);
    let mut response = Response::new(body);
    let event_stream = HeaderValue::from_static("text/event-stream");
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, event_stream);
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    Ok(response)
}

/// Builds the response for an unstreamed answer.
pub fn whole(answer: Whole) -> Response<AnswerBody> {
    let mut response = Response::new(body::whole(answer.body));
    *response.status_mut() = if answer.status.is_informational() {
        StatusCode::BAD_GATEWAY
    } else {
        answer.status
    };
    if let Some(content_type) = answer.content_type {
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, content_type);
    }
    response
}

/// Sends events to the caller until the last one, or until the caller has disconnected. Dropping
/// the source then cancels the request at the engine. If the stream fails, it ends with an error
/// event and without `[DONE]`, and the refusal is returned.
async fn relay<G: Gateway>(
    gateway: &G,
    start: Instant,
    mut source: G::Stream,
    sender: AnswerSender,
) -> Option<Refusal> {
    let (mut first, mut before) = (true, start);
    loop {
        let next = tokio::select! {
            next = source.next() => next,
            () = sender.gone() => return None,
        };
        match next {
            None => {
                sender.finish();
                return None;
            }
            Some(Ok(event)) => {
                if !sender.send(event).await {
                    return None;
                }
                let now = Instant::now();
                gateway.streamed(first, now - before);
                (first, before) = (false, now);
            }
            Some(Err(refusal)) => {
                sender.send(error_body::event(&refusal).into()).await;
                sender.finish();
                return Some(refusal);
            }
        }
    }
}
