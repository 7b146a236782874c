//! The request that continues an interrupted response on another replica.
//!
//! It is the original request plus an assistant message with the text generated so far, and the two options that tell
//! engines to continue that message instead of starting a new one.

use bytes::Bytes;
use serde_json::{Value, json};

/// Returns the request body that continues the response whose chunks so far are `sent`.
///
/// Returns `None` if the original body or a chunk does not have the expected format, instead of guessing.
pub(crate) fn continuation_body(original: &Bytes, sent: &[String]) -> Option<Bytes> {
    let mut body: Value = serde_json::from_slice(original).ok()?;
    let text = concat_text(sent)?;
    if text.is_empty() {
        return Some(original.clone());
    }
    let tokens = sent.len() as u64;
    let object = body.as_object_mut()?;
    let message = json!({"role": "assistant", "content": text});
    object.get_mut("messages")?.as_array_mut()?.push(message);
    object.insert("add_generation_prompt".to_owned(), json!(false));
    object.insert("continue_final_message".to_owned(), json!(true));
    reduce_token_limit(object, tokens);
    serde_json::to_vec(&body).ok().map(Bytes::from)
}

/// Returns whether a chunk has a finish reason, that is, the generated text is complete.
pub(crate) fn has_finish_reason(data: &str) -> bool {
    serde_json::from_str::<Value>(data)
        .is_ok_and(|chunk| chunk["choices"][0]["finish_reason"].is_string())
}

fn concat_text(sent: &[String]) -> Option<String> {
    let mut text = String::new();
    for data in sent {
        let chunk: Value = serde_json::from_str(data).ok()?;
        let content = &chunk["choices"][0]["delta"]["content"];
        text.push_str(content.as_str().unwrap_or_default());
    }
    Some(text)
}

/// Lowers the limit on generated tokens by the number of tokens that the caller already has.
fn reduce_token_limit(object: &mut serde_json::Map<String, Value>, tokens: u64) {
    for name in ["max_tokens", "max_completion_tokens"] {
        let Some(limit) = object.get(name).and_then(Value::as_u64) else {
            continue;
        };
        object.insert(name.to_owned(), json!(limit.saturating_sub(tokens).max(1)));
    }
}
