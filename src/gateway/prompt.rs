//! What a request says of its prompt: the model, the tokens and the parts that it shares with others.

use std::sync::Arc;

use http::header::HeaderMap;
use smallvec::SmallVec;
use xxhash_rust::xxh3::Xxh3;

use super::dialect::{Dialect, text_of};
use super::placement::Need;
use super::route::{GatewayAccount, ModelName};

/// The most parts that a prompt may name.
const MAX_PARTS: usize = 64;

/// One part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PromptPart {
    /// The part's id, the same wherever the part occurs.
    pub id: Arc<str>,
    /// Its tokens.
    pub tokens: u32,
}

/// The prompt of a request, as its caller describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Prompt {
    /// The model.
    pub model: ModelName,
    /// All tokens of the prompt.
    pub tokens: u32,
    /// The most tokens of the answer.
    pub output_tokens: u32,
    /// The parts in order; the last one belongs to the request itself or its session.
    pub parts: SmallVec<[PromptPart; 4]>,
}

/// Why a request's prompt can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PromptFault {
    /// The counts of tokens are no two numbers.
    Counts,
    /// The parts are no list of ids with tokens.
    Parts,
}

impl Prompt {
    /// Reads the prompt's description; `None` where the request has none.
    ///
    /// # Errors
    ///
    /// Says which header can't be read.
    pub(crate) fn read(
        headers: &HeaderMap,
        dialect: &Dialect,
    ) -> Result<Option<Self>, PromptFault> {
        let Some(model) = text_of(headers, &dialect.model) else {
            return Ok(None);
        };
        let counts = text_of(headers, &dialect.token_counts).ok_or(PromptFault::Counts)?;
        let (tokens, output_tokens) = counts.split_once(',').ok_or(PromptFault::Counts)?;
        let count = |text: &str| text.trim().parse().map_err(|_| PromptFault::Counts);
        Ok(Some(Self {
            model: model.into(),
            tokens: count(tokens)?,
            output_tokens: count(output_tokens)?,
            parts: read_parts(text_of(headers, &dialect.parts).unwrap_or_default())?,
        }))
    }

    /// Returns the parts that other requests share.
    #[must_use]
    pub(crate) fn shared(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns what a placement needs to know; `account` is set where the client account shares with no other.
    #[must_use]
    pub(crate) fn need(&self, account: Option<&GatewayAccount>) -> Need {
        let shared = self.shared();
        let shared_tokens: u32 = shared.iter().map(|part| part.tokens).sum();
        Need {
            opening: (!shared.is_empty()).then(|| self.opening(account)),
            shared_tokens,
            own_tokens: self.tokens.saturating_sub(shared_tokens),
        }
    }

    /// Hashes the opening without the version of the weights, so that its home outlives a rollout.
    fn opening(&self, account: Option<&GatewayAccount>) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.update(self.model.as_bytes());
        hasher.update(account.map_or(&[][..], |account| account.name.as_bytes()));
        for part in self.shared() {
            hasher.update(&[0]);
            hasher.update(part.id.as_bytes());
        }
        hasher.digest()
    }
}

fn read_parts(text: &str) -> Result<SmallVec<[PromptPart; 4]>, PromptFault> {
    let entries = text
        .split(',')
        .map(str::trim)
        .filter(|entry| !entry.is_empty());
    let mut parts = SmallVec::new();
    for entry in entries {
        let (id, tokens) = entry.split_once(':').ok_or(PromptFault::Parts)?;
        let tokens = tokens.parse().map_err(|_| PromptFault::Parts)?;
        let id = id.into();
        parts.push(PromptPart { id, tokens });
        if parts.len() > MAX_PARTS {
            return Err(PromptFault::Parts);
        }
    }
    Ok(parts)
}

/// Returns the text under which a replica keeps cache entries apart.
///
/// It holds the weights version, so that entries of older weights can't match, and the client account where that shares
/// with no other.
#[must_use]
pub(crate) fn cache_scope(version: u64, account: Option<&GatewayAccount>) -> String {
    let wall = account.map_or("", |account| &*account.name);
    format!("{version}/{wall}")
}
