//! Reads what the relay must know of an event, without copying its text.

use std::borrow::Cow;
use std::fmt;

use derive_more::{Display, Error};
use marigoldlock_wire::engine::ChatUsage;
use serde::de::{Deserializer, IgnoredAny, SeqAccess, Visitor};
use serde::{Deserialize, de};

/// Data of the event that ends a stream.
const DONE: &[u8] = b"[DONE]";

/// An event that does not have the form of the chat-completions interface.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("the upstream sent an event that is not a chat completion chunk")]
pub struct EventError;

/// One event of an answer.
#[derive(Debug)]
pub enum StreamEvent<'a> {
    /// Only comments or fields without data.
    Comment,
    /// A chunk of the answer.
    Chunk(ChunkView<'a>),
    /// The end of the answer.
    Done,
}

/// What the relay reads of a chunk.
#[derive(Debug, Deserialize)]
pub struct ChunkView<'a> {
    /// Id of the answer; the same in all chunks of one attempt.
    #[serde(borrow, default)]
    pub id: TextView<'a>,
    /// The first choice.
    #[serde(borrow, default)]
    choices: FirstChoice<'a>,
    /// Token counts, at the end of the answer.
    #[serde(default)]
    pub usage: Option<ChatUsage>,
    /// Present if the engine failed after the start of the answer.
    #[serde(default)]
    error: Option<IgnoredAny>,
}

impl ChunkView<'_> {
    /// Text of the token; empty if the chunk holds none.
    pub fn text(&self) -> &str {
        match &self.choices.0 {
            Some(choice) => &choice.delta.content.0,
            None => "",
        }
    }

    /// True if the chunk gives the reason why the answer ended.
    pub fn is_finish(&self) -> bool {
        self.choices
            .0
            .as_ref()
            .is_some_and(|choice| choice.finish_reason.is_some())
    }

    /// True if the chunk tells of an engine's error.
    pub fn is_error(&self) -> bool {
        self.error.is_some()
    }
}

/// Text borrowed from the event, copied only if it holds escapes; empty where the field is null.
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

/// Reads an event as the splitter gave it.
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

/// The data of the event; `None` if it has no data line.
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
