//! The text that a fake engine generates: a function of the question, so that anybody can check an answer.

use serde_json::{Value, json};

/// The tokens of an answer whose request names no bound.
const DEFAULT_TOKENS: u32 = 16;
/// The most tokens of one answer.
const MAX_TOKENS: u32 = 4_096;

/// What an engine reads of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Prompt {
    /// The last message of the user.
    pub(crate) question: String,
    /// The tokens that a former engine has generated already.
    pub(crate) done_tokens: u32,
    /// The tokens to generate in this call.
    pub(crate) max_tokens: u32,
    /// Whether the caller wants a stream.
    pub(crate) stream: bool,
    /// The texts of all messages, for the cache.
    pub(crate) texts: Vec<(String, String)>,
    /// The service name.
    pub(crate) model: String,
}

impl Prompt {
    /// Reads a chat completions request; `None` where it is not one.
    pub(crate) fn parse(bytes: &[u8]) -> Option<Self> {
        let body: Value = serde_json::from_slice(bytes).ok()?;
        let mut texts: Vec<(String, String)> = body["messages"]
            .as_array()?
            .iter()
            .map(|message| (text_of(&message["role"]), text_of(&message["content"])))
            .collect();
        let continues = body["continue_final_message"].as_bool().unwrap_or(false);
        let done_tokens = match texts.last() {
            Some((role, text)) if continues && role == "assistant" => {
                u32::try_from(text.split_whitespace().count()).ok()?
            }
            _ => 0,
        };
        if done_tokens > 0 {
            texts.pop();
        }
        let max_tokens = body["max_tokens"]
            .as_u64()
            .and_then(|tokens| u32::try_from(tokens).ok())
            .unwrap_or_else(|| DEFAULT_TOKENS.saturating_sub(done_tokens).max(1))
            .min(MAX_TOKENS);
        Some(Self {
            question: texts.last()?.1.clone(),
            done_tokens,
            max_tokens,
            stream: body["stream"].as_bool().unwrap_or(false),
            texts,
            model: text_of(&body["model"]),
        })
    }

    /// Returns the token at `index` of this call.
    pub(crate) fn token(&self, index: u32) -> String {
        expected_token(&self.question, self.done_tokens + index)
    }
}

/// Returns the token at `index` of the whole answer to `question`.
#[must_use]
pub fn expected_token(question: &str, index: u32) -> String {
    let hash = question.bytes().fold(0x811c_9dc5_u32, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
    });
    format!("w{:x}-{index} ", hash)
}

/// Returns the whole answer of `tokens` to `question`.
#[must_use]
pub fn expected_answer(question: &str, tokens: u32) -> String {
    (0..tokens)
        .map(|index| expected_token(question, index))
        .collect()
}

/// Returns the chunk that carries one token.
pub(crate) fn token_chunk(token: &str) -> String {
    json!({
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {"content": token}, "finish_reason": null}],
    })
    .to_string()
}

/// Returns the last chunk, with the usage.
pub(crate) fn usage_chunk(prompt_tokens: u32, warm_tokens: u32, tokens: u32) -> String {
    json!({
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
        "usage": usage(prompt_tokens, warm_tokens, tokens),
    })
    .to_string()
}

/// Returns the usage object.
pub(crate) fn usage(prompt_tokens: u32, warm_tokens: u32, tokens: u32) -> Value {
    json!({
        "prompt_tokens": prompt_tokens,
        "completion_tokens": tokens,
        "total_tokens": prompt_tokens + tokens,
        "prompt_tokens_details": {"cached_tokens": warm_tokens},
    })
}

fn text_of(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}
