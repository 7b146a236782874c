//! The parts of a chat completions request that routing needs.
//!
//! The body is forwarded to the engine unchanged, so that options unknown to this version still work. Deserialization
//! uses hand-written visitors, because this is on the path of every request and the prompt must not be copied.

use std::borrow::Cow;
use std::fmt;

use serde::de::{Error as _, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};

/// The fields of a chat completions request that routing uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ChatBody<'a> {
    /// The name of the requested service.
    pub(crate) model: Cow<'a, str>,
    /// The messages, in order.
    pub(crate) messages: Vec<ChatMessage<'a>>,
    /// Whether the caller requested a streaming response.
    pub(crate) stream: bool,
    /// The limit on generated tokens, if the caller set one.
    pub(crate) max_tokens: Option<u32>,
}

/// One message of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ChatMessage<'a> {
    /// The author's role, such as `user` or `assistant`.
    pub(crate) role: Cow<'a, str>,
    /// The text content; parts that are not text are not included in the prompt prefix.
    pub(crate) text: Cow<'a, str>,
}

impl<'a> ChatBody<'a> {
    /// Parses a request body.
    ///
    /// # Errors
    ///
    /// Returns an error with the cause and the position in `bytes` if the body is not a valid request.
    pub(crate) fn parse(bytes: &'a [u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }

    /// Returns the role and the text of each message.
    pub(crate) fn roles_and_texts(&self) -> impl Iterator<Item = (&str, &str)> {
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
        while let Some(BorrowedStr(key)) = map.next_key()? {
            match &*key {
                "model" => model = Some(map.next_value::<BorrowedStr<'de>>()?.0),
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
        while let Some(BorrowedStr(key)) = map.next_key()? {
            match &*key {
                "role" => role = Some(map.next_value::<BorrowedStr<'de>>()?.0),
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

/// A string that borrows from the input unless it contains escapes.
#[derive(Deserialize)]
struct BorrowedStr<'a>(#[serde(borrow)] Cow<'a, str>);

/// The content of a message: a string, a list of parts, or null.
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
        let mut text = String::new();
        while let Some(part) = parts.next_element::<Part<'de>>()? {
            text.push_str(part.text.as_deref().unwrap_or_default());
        }
        Ok(Content(Cow::Owned(text)))
    }
}

/// One part of a message's content; `text` is absent for parts such as images.
#[derive(Deserialize)]
struct Part<'a> {
    #[serde(borrow, default)]
    text: Option<Cow<'a, str>>,
}
