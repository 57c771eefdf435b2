//! The shared parts of a prompt in the OpenAI format.

use std::fmt;
use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use foxtailhold::prompt_parts::{PartId, SharedParts};
use serde::Deserialize;
use serde_json::Value;
use xxhash_rust::xxh3::Xxh3;

/// The fields of a body that hold its prompt.
#[derive(Debug, Deserialize)]
struct PromptFields {
    messages: Option<Vec<Value>>,
    prompt: Option<Value>,
}

/// The prompt of a request. Its parts are only read from the body where there is crash evidence, or
/// once a complete answer speaks for them. Cheap to clone.
#[derive(Debug, Clone)]
pub struct Prompt {
    body: Bytes,
    parts: Arc<OnceLock<SharedParts>>,
}

impl From<Bytes> for Prompt {
    fn from(body: Bytes) -> Self {
        Prompt {
            body,
            parts: Arc::default(),
        }
    }
}

impl Prompt {
    /// The parts that other requests may share: of a chat its messages but the last, of a completion
    /// with an array of prompts these but the last.
    pub fn shared_parts(&self) -> &SharedParts {
        self.parts.get_or_init(|| read_parts(&self.body))
    }
}

fn read_parts(body: &[u8]) -> SharedParts {
    let Ok(fields) = serde_json::from_slice::<PromptFields>(body) else {
        return SharedParts::default();
    };
    let parts: Vec<Option<PartId>> = match (fields.messages, fields.prompt) {
        (Some(messages), _) => messages.iter().map(message_part).map(Some).collect(),
        (None, Some(Value::Array(prompts))) => prompts.iter().map(prompt_part).collect(),
        _ => Vec::new(),
    };
    SharedParts::of_prompt(parts)
}

/// A message is known by role and content. One without content, such as a call of a tool, is known
/// by all its fields.
fn message_part(message: &Value) -> PartId {
    match (message.get("role"), message.get("content")) {
        (Some(role), Some(content)) if !content.is_null() => {
            hash_text(format_args!("{role}\n{content}"))
        }
        _ => hash_text(format_args!("{message}")),
    }
}

/// A hash of text that is written to it, which is never in memory as a whole.
struct TextHash(Xxh3);

impl fmt::Write for TextHash {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.update(text.as_bytes());
        Ok(())
    }
}

fn hash_text(text: fmt::Arguments<'_>) -> PartId {
    let mut hash = TextHash(Xxh3::new());
    // Writing to a hash does not fail.
    let _ = fmt::write(&mut hash, text);
    PartId(hash.0.digest())
}

/// One prompt of several. A number is a token of a single prompt and no part.
fn prompt_part(prompt: &Value) -> Option<PartId> {
    let is_part = prompt.is_string() || prompt.is_array();
    is_part.then(|| hash_text(format_args!("{prompt}")))
}
