//! The request body of an item, and the unstreamed answer assembled from a stream.

use std::borrow::Cow;

use bytes::Bytes;
use foxtailhold::ids::TargetName;
use foxtailhold::software_version::SoftwareVersion;
use foxtailhold_engine::WholeAnswer;
use foxtailhold_engine::sse::RawEvent;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_json::{Map, Value};
use thiserror::Error;

use crate::gateway::dispatch::OutgoingRequest;

/// Result of checking an item's body or assembling its answer.
pub type Result<T> = std::result::Result<T, BodyError>;

/// Why an item's body cannot be sent, or its answer not be assembled.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BodyError {
    /// The field `model` is missing or not a valid name.
    #[error("the body names no model")]
    NoModel,
    /// The body is not JSON, or a field has the wrong type.
    #[error("the body cannot be read: {detail}")]
    Malformed {
        /// The parser's message.
        detail: String,
    },
}

/// The fields of a body that decide whether its answer can be streamed.
#[derive(Debug, Deserialize)]
struct Fields {
    model: Option<String>,
    n: Option<Value>,
    best_of: Option<Value>,
    tools: Option<Value>,
    functions: Option<Value>,
    logprobs: Option<Value>,
    echo: Option<Value>,
    audio: Option<Value>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    stream: Option<Value>,
    stream_options: Option<Value>,
}

impl Fields {
    /// Whether the answer consists of the text of one choice, so that a stream carries all of it.
    fn is_plain_text(&self) -> bool {
        let one = |value: &Option<Value>| value.as_ref().is_none_or(|value| *value == 1);
        let unset = |value: &Option<Value>| {
            let value = value.as_ref();
            value.is_none_or(|value| matches!(value, Value::Null | Value::Bool(false)))
        };
        let more = [
            &self.tools,
            &self.functions,
            &self.logprobs,
            &self.echo,
            &self.audio,
        ];
        one(&self.n) && one(&self.best_of) && more.into_iter().all(unset)
    }
}

/// A checked item body, in the forms in which it can be sent.
#[derive(Debug, Clone)]
pub struct ItemBody {
    /// The model that the body names.
    pub model: TargetName,
    /// The body without `stream` and `stream_options`.
    pub whole: Bytes,
    /// The body that requests a stream; `None` if the answer cannot be assembled from streamed
    /// text.
    pub streamed: Option<Bytes>,
    /// Most tokens to generate; `None` if the body sets no limit.
    pub max_tokens: Option<u64>,
}

impl TryFrom<&RawValue> for ItemBody {
    type Error = BodyError;

    fn try_from(raw: &RawValue) -> Result<Self> {
        let fields: Fields = serde_json::from_str(raw.get()).map_err(malformed)?;
        let model = fields.model.as_deref().ok_or(BodyError::NoModel)?;
        let model = TargetName::try_from(model).map_err(|_| BodyError::NoModel)?;
        let whole = match (&fields.stream, &fields.stream_options) {
            (None, None) => Bytes::from(raw.get().to_owned()),
            _ => without_stream(raw)?,
        };
        let streamed = fields.is_plain_text().then(|| with_stream(&whole));
        Ok(ItemBody {
            model,
            whole,
            streamed,
            max_tokens: fields.max_completion_tokens.or(fields.max_tokens),
        })
    }
}

fn malformed(error: serde_json::Error) -> BodyError {
    let detail = error.to_string();
    BodyError::Malformed { detail }
}

fn without_stream(raw: &RawValue) -> Result<Bytes> {
    let mut fields: Map<String, Value> = serde_json::from_str(raw.get()).map_err(malformed)?;
    fields.remove("stream");
    fields.remove("stream_options");
    let text = serde_json::to_string(&fields).map_err(malformed)?;
    Ok(text.into())
}

/// Inserts `stream` as the first field. The comma is valid because `model` always follows.
fn with_stream(whole: &[u8]) -> Bytes {
    let start = b"{\"stream\":true,".as_slice();
    let fields = whole.trim_ascii_start().strip_prefix(b"{").unwrap_or(whole);
    [start, fields].concat().into()
}

#[derive(Debug, Default, Deserialize)]
struct LastChunk<'a> {
    #[serde(borrow)]
    id: Option<Cow<'a, str>>,
    created: Option<u64>,
    #[serde(borrow)]
    model: Option<Cow<'a, str>>,
    #[serde(default, borrow)]
    choices: Vec<LastChoice<'a>>,
}

#[derive(Debug, Default, Deserialize)]
struct LastChoice<'a> {
    #[serde(borrow)]
    finish_reason: Option<Cow<'a, str>>,
}

#[derive(Debug, Serialize)]
struct Completion<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [Choice<'a>; 1],
    usage: Usage,
}

#[derive(Debug, Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    finish_reason: &'a str,
}

#[derive(Debug, Serialize)]
struct Message<'a> {
    role: &'static str,
    content: &'a str,
}

#[derive(Debug, Serialize)]
struct Usage {
    completion_tokens: u64,
}

/// The output of an item received so far, over all its attempts.
#[derive(Debug, Clone, Default)]
pub struct ReceivedOutput {
    /// Number of events received, taken as the number of tokens.
    pub tokens: u64,
    /// Concatenated text of the events.
    pub text: String,
    /// Whether an event carried a finish reason.
    pub finished: bool,
    /// Software version of the engines that wrote it; `None` before the first event.
    pub version: Option<SoftwareVersion>,
    last: Bytes,
}

impl ReceivedOutput {
    /// Whether an engine of this version may go on with the output.
    pub fn fits(&self, version: &SoftwareVersion) -> bool {
        self.version.as_ref().is_none_or(|wrote| wrote == version)
    }

    /// Appends the next event, which an engine of this version sent.
    pub fn push(&mut self, version: &SoftwareVersion, raw: Bytes, text: &str, finished: bool) {
        self.version.get_or_insert_with(|| version.clone());
        self.tokens += 1;
        self.finished |= finished;
        self.text.push_str(text);
        self.last = raw;
    }

    /// Assembles the unstreamed answer in the OpenAI format from a finished stream.
    /// `completion_tokens` counts events; prompt tokens are missing, as a stream does not carry the
    /// engine's count of them.
    pub fn whole_answer(&self, outgoing: &OutgoingRequest) -> Result<WholeAnswer> {
        let event = RawEvent {
            raw: self.last.clone(),
        };
        let last: LastChunk<'_> = match event.field("data") {
            Some(data) => serde_json::from_slice(data).map_err(malformed)?,
            None => LastChunk::default(),
        };
        let finish = last.choices.first();
        let finish = finish.and_then(|choice| choice.finish_reason.as_deref());
        let chat = outgoing.path.ends_with("/chat/completions");
        let message = Message {
            role: "assistant",
            content: &self.text,
        };
        let completion = Completion {
            id: last.id.as_deref().unwrap_or_default(),
            object: if chat {
                "chat.completion"
            } else {
                "text_completion"
            },
            created: last.created.unwrap_or_default(),
            model: last.model.as_deref().unwrap_or(outgoing.model.as_str()),
            choices: [Choice {
                index: 0,
                message: chat.then_some(message),
                text: (!chat).then_some(self.text.as_str()),
                finish_reason: finish.unwrap_or("stop"),
            }],
            usage: Usage {
                completion_tokens: self.tokens,
            },
        };
        let text = serde_json::to_string(&completion).map_err(malformed)?;
        Ok(WholeAnswer {
            status: StatusCode::OK,
            content_type: None,
            body: text.into(),
        })
    }
}
