//! The request that continues a broken answer at another replica.
//!
//! It is the original request plus the text so far as the assistant's message, with the two options by which engines
//! are told to continue that message rather than to begin a new one.

use bytes::Bytes;
use serde_json::{Value, json};

/// Builds the body that continues the answer whose chunks so far are `sent`.
///
/// Returns `None` where the original body or a chunk is not what an engine sends, so that nothing is guessed.
pub(crate) fn continue_body(original: &Bytes, sent: &[String]) -> Option<Bytes> {
    let mut body: Value = serde_json::from_slice(original).ok()?;
    let text = text_so_far(sent)?;
    if text.is_empty() {
        return Some(original.clone());
    }
    let tokens = sent.len() as u64;
    let object = body.as_object_mut()?;
    let message = json!({"role": "assistant", "content": text});
    object.get_mut("messages")?.as_array_mut()?.push(message);
    object.insert("add_generation_prompt".to_owned(), json!(false));
    object.insert("continue_final_message".to_owned(), json!(true));
    reduce_bound(object, tokens);
    serde_json::to_vec(&body).ok().map(Bytes::from)
}

/// Tells whether a chunk says that the answer's text is complete.
pub(crate) fn is_last_chunk(data: &str) -> bool {
    serde_json::from_str::<Value>(data)
        .is_ok_and(|chunk| chunk["choices"][0]["finish_reason"].is_string())
}

fn text_so_far(sent: &[String]) -> Option<String> {
    let mut text = String::new();
    for data in sent {
        let chunk: Value = serde_json::from_str(data).ok()?;
        let content = &chunk["choices"][0]["delta"]["content"];
        text.push_str(content.as_str().unwrap_or_default());
    }
    Some(text)
}

/// Lowers the bound on generated tokens by those that the caller has already.
fn reduce_bound(object: &mut serde_json::Map<String, Value>, tokens: u64) {
    for name in ["max_tokens", "max_completion_tokens"] {
        let Some(bound) = object.get(name).and_then(Value::as_u64) else {
            continue;
        };
        object.insert(name.to_owned(), json!(bound.saturating_sub(tokens).max(1)));
    }
}
