//! The fields of a completion chunk that the system reads, borrowed from the bytes of the event.
//!
//! The visitors are hand-written to save time and allocations, because a chunk is parsed for each
//! token of each stream.

use std::borrow::Cow;
use std::fmt;

use serde::de::{Deserialize, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};

/// A chunk of a streamed completion, or a whole unstreamed completion.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Chunk<'a> {
    /// Completion identifier, which the engine derives from the request identifier.
    pub id: Option<Cow<'a, str>>,
    /// The first entry of `choices`; the default if the list is empty or missing.
    pub choice: Choice<'a>,
    /// Message of the error object that an engine sends instead of a chunk. `None` if there is no
    /// error.
    pub error: Option<Cow<'a, str>>,
}

/// One entry of `choices`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Choice<'a> {
    /// `text` of a text completion or `delta.content` of a chat completion.
    pub text: Option<Cow<'a, str>>,
    /// Whether `finish_reason` is set, which it is on the last chunk of the completion.
    pub finished: bool,
}

/// A JSON string or `null`. Borrows from the input unless the string contains escapes.
struct Text<'a>(Option<Cow<'a, str>>);

struct TextVisitor;

impl<'de> Visitor<'de> for TextVisitor {
    type Value = Text<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a string or null")
    }

    fn visit_borrowed_str<E>(self, text: &'de str) -> Result<Text<'de>, E> {
        Ok(Text(Some(Cow::Borrowed(text))))
    }

    fn visit_str<E>(self, text: &str) -> Result<Text<'de>, E> {
        Ok(Text(Some(Cow::Owned(text.to_owned()))))
    }

    fn visit_unit<E>(self) -> Result<Text<'de>, E> {
        Ok(Text(None))
    }
}

impl<'de> Deserialize<'de> for Text<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(TextVisitor)
    }
}

struct ChunkVisitor;

impl<'de> Visitor<'de> for ChunkVisitor {
    type Value = Chunk<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a completion chunk")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Chunk<'de>, A::Error> {
        let mut chunk = Chunk::default();
        while let Some(Text(key)) = map.next_key()? {
            match key.as_deref() {
                Some("id") => chunk.id = map.next_value::<Text<'de>>()?.0,
                Some("error") => chunk.error = map.next_value::<ErrorMessage<'de>>()?.0,
                Some("choices") => chunk.choice = map.next_value::<FirstChoice<'de>>()?.0,
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        Ok(chunk)
    }
}

impl<'de> Deserialize<'de> for Chunk<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(ChunkVisitor)
    }
}

struct ErrorMessage<'a>(Option<Cow<'a, str>>);

struct ErrorVisitor;

impl<'de> Visitor<'de> for ErrorVisitor {
    type Value = ErrorMessage<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an error object or null")
    }

    fn visit_unit<E>(self) -> Result<ErrorMessage<'de>, E> {
        Ok(ErrorMessage(None))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<ErrorMessage<'de>, A::Error> {
        let mut message = Cow::Borrowed("");
        while let Some(Text(key)) = map.next_key()? {
            if key.as_deref() == Some("message") {
                message = map.next_value::<Text<'de>>()?.0.unwrap_or_default();
                continue;
            }
            map.next_value::<IgnoredAny>()?;
        }
        Ok(ErrorMessage(Some(message)))
    }
}

impl<'de> Deserialize<'de> for ErrorMessage<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ErrorVisitor)
    }
}

struct FirstChoice<'a>(Choice<'a>);

struct FirstChoiceVisitor;

impl<'de> Visitor<'de> for FirstChoiceVisitor {
    type Value = FirstChoice<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of choices")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<FirstChoice<'de>, A::Error> {
        let first = seq.next_element::<Choice<'de>>()?.unwrap_or_default();
        while seq.next_element::<IgnoredAny>()?.is_some() {}
        Ok(FirstChoice(first))
    }
}

impl<'de> Deserialize<'de> for FirstChoice<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(FirstChoiceVisitor)
    }
}

struct ChoiceVisitor;

impl<'de> Visitor<'de> for ChoiceVisitor {
    type Value = Choice<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a choice")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Choice<'de>, A::Error> {
        let mut choice = Choice::default();
        while let Some(Text(key)) = map.next_key()? {
            match key.as_deref() {
                Some("text") => choice.text = map.next_value::<Text<'de>>()?.0,
                Some("delta") => choice.text = map.next_value::<Delta<'de>>()?.0,
                Some("finish_reason") => {
                    choice.finished = map.next_value::<Text<'de>>()?.0.is_some();
                }
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        Ok(choice)
    }
}

impl<'de> Deserialize<'de> for Choice<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(ChoiceVisitor)
    }
}

struct Delta<'a>(Option<Cow<'a, str>>);

struct DeltaVisitor;

impl<'de> Visitor<'de> for DeltaVisitor {
    type Value = Delta<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a delta")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Delta<'de>, A::Error> {
        let mut content = None;
        while let Some(Text(key)) = map.next_key()? {
            if key.as_deref() == Some("content") {
                content = map.next_value::<Text<'de>>()?.0;
                continue;
            }
            map.next_value::<IgnoredAny>()?;
        }
        Ok(Delta(content))
    }
}

impl<'de> Deserialize<'de> for Delta<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(DeltaVisitor)
    }
}
