//! The parts of a chat completions request that routing needs.
//!
//! The body itself goes on to the engine unchanged, so that options this version does not know still work. Parsing is
//! by hand-written visitors, because every request passes here and its prompt must not be copied.

use std::borrow::Cow;
use std::fmt;

use serde::de::{Error as _, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};

/// What routing reads of a chat completions request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ChatBody<'a> {
    /// The service that the caller asks for.
    pub(crate) model: Cow<'a, str>,
    /// The messages in order.
    pub(crate) messages: Vec<ChatMessage<'a>>,
    /// Whether the caller wants a stream of events.
    pub(crate) stream: bool,
    /// The bound on generated tokens, where the caller gave one.
    pub(crate) max_tokens: Option<u32>,
}

/// One message of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ChatMessage<'a> {
    /// Who speaks.
    pub(crate) role: Cow<'a, str>,
    /// The text; parts that are not text do not count towards the opening.
    pub(crate) text: Cow<'a, str>,
}

impl<'a> ChatBody<'a> {
    /// Parses `bytes`; the error says what is wrong and where.
    pub(crate) fn parse(bytes: &'a [u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }

    /// Returns each message as a role and its text.
    pub(crate) fn texts(&self) -> impl Iterator<Item = (&str, &str)> {
        self.messages
            .iter()
            .map(|message| (&*message.role, &*message.text))
    }
}

impl<'de: 'a, 'a> Deserialize<'de> for ChatBody<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(BodyVisitor)
    }
}

struct BodyVisitor;

impl<'de> Visitor<'de> for BodyVisitor {
    type Value = ChatBody<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a chat completions request")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut model = None;
        let mut messages = None;
        let mut stream = None;
        let mut max_tokens = None;
        while let Some(Text(key)) = map.next_key()? {
            match &*key {
                "model" => model = Some(map.next_value::<Text<'de>>()?.0),
                "messages" => messages = Some(map.next_value()?),
                "stream" => stream = map.next_value::<Option<bool>>()?,
                "max_tokens" | "max_completion_tokens" => max_tokens = map.next_value()?,
                _ => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        Ok(ChatBody {
            model: model.ok_or_else(|| A::Error::missing_field("model"))?,
            messages: messages.ok_or_else(|| A::Error::missing_field("messages"))?,
            stream: stream.unwrap_or(false),
            max_tokens,
        })
    }
}

impl<'de: 'a, 'a> Deserialize<'de> for ChatMessage<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(MessageVisitor)
    }
}

struct MessageVisitor;

impl<'de> Visitor<'de> for MessageVisitor {
    type Value = ChatMessage<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a message with role and content")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut role = None;
        let mut text = Cow::Borrowed("");
        while let Some(Text(key)) = map.next_key()? {
            match &*key {
                "role" => role = Some(map.next_value::<Text<'de>>()?.0),
                "content" => text = map.next_value::<Content<'de>>()?.0,
                _ => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        Ok(ChatMessage {
            role: role.ok_or_else(|| A::Error::missing_field("role"))?,
            text,
        })
    }
}

/// A string that borrows from the input where it holds no escapes.
#[derive(Deserialize)]
struct Text<'a>(#[serde(borrow)] Cow<'a, str>);

/// The content of a message: a string, a list of parts, or nothing.
struct Content<'a>(Cow<'a, str>);

impl<'de: 'a, 'a> Deserialize<'de> for Content<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ContentVisitor)
    }
}

struct ContentVisitor;

impl<'de> Visitor<'de> for ContentVisitor {
    type Value = Content<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a string, a list of parts or null")
    }

    fn visit_borrowed_str<E>(self, text: &'de str) -> Result<Self::Value, E> {
        Ok(Content(Cow::Borrowed(text)))
    }

    fn visit_str<E>(self, text: &str) -> Result<Self::Value, E> {
        Ok(Content(Cow::Owned(text.to_owned())))
    }

    fn visit_unit<E>(self) -> Result<Self::Value, E> {
        Ok(Content(Cow::Borrowed("")))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut parts: A) -> Result<Self::Value, A::Error> {
        let mut joined = String::new();
        while let Some(part) = parts.next_element::<Part<'de>>()? {
            joined.push_str(part.text.as_deref().unwrap_or_default());
        }
        Ok(Content(Cow::Owned(joined)))
    }
}

/// One part of a message's content.
#[derive(Deserialize)]
struct Part<'a> {
    #[serde(borrow, default)]
    text: Option<Cow<'a, str>>,
}
