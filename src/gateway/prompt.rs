//! The description of a prompt in the request headers: the model, the token counts and the parts shared with other
//! requests.

use std::sync::Arc;

use http::header::HeaderMap;
use smallvec::SmallVec;
use xxhash_rust::xxh3::{Xxh3, xxh3_64, xxh3_64_with_seed};

use super::admission::Room;
use super::headers::{HeaderNames, header_text};
use super::placement::PlacementRequest;
use super::route::ModelName;
use crate::request::quarantine::SuspectKey;

/// The maximum number of parts of a prompt.
const MAX_PARTS: usize = 64;

/// One part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PromptPart {
    /// The id of the part; equal parts have equal ids in all prompts.
    pub id: Arc<str>,
    /// The length of the part, in tokens.
    pub tokens: u32,
}

/// The prompt of a request, as described by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Prompt {
    /// The requested model.
    pub model: ModelName,
    /// The total length of the prompt, in tokens.
    pub tokens: u32,
    /// The maximum length of the output, in tokens.
    pub output_tokens: u32,
    /// The parts in order; the last one is specific to the request or its session.
    pub parts: SmallVec<[PromptPart; 4]>,
}

/// The reason why a prompt description can't be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PromptError {
    /// The token counts are not two numbers separated by a comma.
    Counts,
    /// The parts are not a list of ids with token counts.
    Parts,
}

impl Prompt {
    /// Parses the prompt description; returns `None` if the request has none.
    ///
    /// # Errors
    ///
    /// Returns which of the headers can't be parsed.
    pub(crate) fn from_headers(
        headers: &HeaderMap,
        header_names: &HeaderNames,
    ) -> Result<Option<Self>, PromptError> {
        let Some(model) = header_text(headers, &header_names.model) else {
            return Ok(None);
        };
        let counts = header_text(headers, &header_names.token_counts).ok_or(PromptError::Counts)?;
        let (tokens, output_tokens) = counts.split_once(',').ok_or(PromptError::Counts)?;
        let count = |text: &str| text.trim().parse().map_err(|_| PromptError::Counts);
        Ok(Some(Self {
            model: model.into(),
            tokens: count(tokens)?,
            output_tokens: count(output_tokens)?,
            parts: read_parts(header_text(headers, &header_names.parts).unwrap_or_default())?,
        }))
    }

    /// Returns the parts that are shared with other requests, which is all but the last.
    #[must_use]
    pub(crate) fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the keys of the shared parts, in order.
    #[must_use]
    pub(crate) fn part_keys(&self) -> SmallVec<[SuspectKey; 4]> {
        let seed = xxh3_64(self.model.as_bytes());
        let shared = self.shared_parts().iter();
        shared
            .map(|part| xxh3_64_with_seed(part.id.as_bytes(), seed))
            .collect()
    }

    /// Returns the placement inputs of this prompt; pass the name of the client account only if it is isolated.
    #[must_use]
    pub(crate) fn placement_request(
        &self,
        account: Option<&str>,
        priority: u8,
        large_requests_per_slot: Option<f64>,
    ) -> PlacementRequest {
        let shared = self.shared_parts();
        // The counts are the caller's and may be of any size.
        let tokens = shared.iter().map(|part| part.tokens);
        let shared_tokens = tokens.fold(0, u32::saturating_add);
        PlacementRequest {
            prefix: (!shared.is_empty()).then(|| self.prefix_hash(account)),
            shared_tokens,
            own_tokens: self.tokens.saturating_sub(shared_tokens),
            room: Room::of(priority, self.tokens, large_requests_per_slot),
            output_tokens: self.output_tokens,
        }
    }

    /// Returns the hash of the shared prefix.
    ///
    /// It leaves out the weights version and which other accounts are isolated, so that the home of a prefix stays the
    /// same when its cached parts have to be computed again.
    fn prefix_hash(&self, account: Option<&str>) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.update(self.model.as_bytes());
        hasher.update(account.unwrap_or_default().as_bytes());
        for part in self.shared_parts() {
            hasher.update(&[0]);
            hasher.update(part.id.as_bytes());
        }
        hasher.digest()
    }
}

fn read_parts(text: &str) -> Result<SmallVec<[PromptPart; 4]>, PromptError> {
    let entries = text
        .split(',')
        .map(str::trim)
        .filter(|entry| !entry.is_empty());
    let mut parts = SmallVec::new();
    for entry in entries {
        let (id, tokens) = entry.split_once(':').ok_or(PromptError::Parts)?;
        let tokens = tokens.parse().map_err(|_| PromptError::Parts)?;
        let id = id.into();
        parts.push(PromptPart { id, tokens });
        if parts.len() > MAX_PARTS {
            return Err(PromptError::Parts);
        }
    }
    Ok(parts)
}
