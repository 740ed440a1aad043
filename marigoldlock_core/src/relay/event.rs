//! Parsing of the parts of an event that the relay needs, without copying its text.

use std::borrow::Cow;
use std::fmt;

use derive_more::{Display, Error};
use marigoldlock_wire::engine::ChatUsage;
use serde::de::{Deserializer, IgnoredAny, SeqAccess, Visitor};
use serde::{Deserialize, de};

/// Data of the last event of a stream.
const DONE: &[u8] = b"[DONE]";

/// An event is not a valid chunk of the chat-completions API.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("the upstream sent an event that is not a chat completion chunk")]
pub struct EventError;

/// One event of a streamed answer.
#[derive(Debug)]
pub enum StreamEvent<'a> {
    /// An event without data, such as a comment.
    Comment,
    /// A chunk of the answer.
    Chunk(ChunkView<'a>),
    /// The end of the stream.
    Done,
}

/// Fields of a chunk that the relay uses.
#[derive(Debug, Deserialize)]
pub struct ChunkView<'a> {
    /// Id of the answer, identical in all chunks of one attempt.
    #[serde(borrow, default)]
    pub id: TextView<'a>,
    /// The first choice.
    #[serde(borrow, default)]
    choices: FirstChoice<'a>,
    /// Token counts, sent at the end of the answer.
    #[serde(default)]
    pub usage: Option<ChatUsage>,
    /// Present if the engine failed after it had started the answer.
    #[serde(default)]
    error: Option<IgnoredAny>,
}

impl ChunkView<'_> {
    /// Returns the text of the token, empty if the chunk holds none.
    pub fn text(&self) -> &str {
        match &self.choices.0 {
            Some(choice) => &choice.delta.content.0,
            None => "",
        }
    }

    /// Returns true if the chunk has a finish reason, which ends the text of the answer.
    pub fn is_finish(&self) -> bool {
        self.choices
            .0
            .as_ref()
            .is_some_and(|choice| choice.finish_reason.is_some())
    }

    /// Returns true if the chunk reports an error of the engine.
    pub fn is_error(&self) -> bool {
        self.error.is_some()
    }
}

/// Text borrowed from the event, copied only if it contains escapes; empty if the field is null.
#[derive(Debug, Default)]
pub struct TextView<'a>(pub Cow<'a, str>);

#[derive(Debug, Default)]
struct FirstChoice<'a>(Option<ChoiceView<'a>>);

#[derive(Debug, Deserialize)]
struct ChoiceView<'a> {
    #[serde(borrow, default)]
    delta: DeltaView<'a>,
    #[serde(default)]
    finish_reason: Option<IgnoredAny>,
}

#[derive(Debug, Default, Deserialize)]
struct DeltaView<'a> {
    #[serde(borrow, default)]
    content: TextView<'a>,
}

/// Parses an event as returned by [`SseSplitter`](super::SseSplitter).
///
/// # Errors
///
/// Fails if the data is not a chat completion chunk on one line.
pub fn parse_event(event: &[u8]) -> Result<StreamEvent<'_>, EventError> {
    let Some(data) = event_data(event)? else {
        return Ok(StreamEvent::Comment);
    };
    if data == DONE {
        return Ok(StreamEvent::Done);
    }
    serde_json::from_slice(data)
        .map(StreamEvent::Chunk)
        .map_err(|_| EventError)
}

/// Returns the data of the event, or `None` if it has no data line.
fn event_data(event: &[u8]) -> Result<Option<&[u8]>, EventError> {
    let mut data = None;
    for line in event.split(|&byte| byte == b'\n') {
        let Some(value) = line.strip_prefix(b"data:") else {
            continue;
        };
        if data.replace(value.trim_ascii()).is_some() {
            return Err(EventError);
        }
    }
    Ok(data)
}

impl<'de: 'a, 'a> Deserialize<'de> for TextView<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(TextVisitor)
    }
}

struct TextVisitor;

impl<'de> Visitor<'de> for TextVisitor {
    type Value = TextView<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("text or null")
    }

    fn visit_borrowed_str<E: de::Error>(self, text: &'de str) -> Result<Self::Value, E> {
        Ok(TextView(Cow::Borrowed(text)))
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Self::Value, E> {
        Ok(TextView(Cow::Owned(text.to_owned())))
    }

    fn visit_unit<E: de::Error>(self) -> Result<Self::Value, E> {
        Ok(TextView::default())
    }
}

impl<'de: 'a, 'a> Deserialize<'de> for FirstChoice<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(ChoiceVisitor)
    }
}

struct ChoiceVisitor;

impl<'de> Visitor<'de> for ChoiceVisitor {
    type Value = FirstChoice<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of choices")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut choices: A) -> Result<Self::Value, A::Error> {
        let first = choices.next_element()?;
        while choices.next_element::<IgnoredAny>()?.is_some() {}
        Ok(FirstChoice(first))
    }
}
