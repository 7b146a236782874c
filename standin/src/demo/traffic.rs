//! The requests that the demonstration sends: nested openings under Zipf-like popularity, and payments.

use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;

use super::deployment::Deployment;

/// The client accounts, of which the first few send the most.
pub(crate) const ACCOUNTS: usize = 8;
/// The manuals that each account's members ask about.
const MANUALS: usize = 12;
/// The bytes of one piece of text, about 2,000 tokens.
const PIECE_BYTES: usize = 8_000;
/// One request in this many is a payment.
const PAYMENT_EVERY: usize = 10;

/// One request to send.
#[derive(Clone, Debug)]
pub(crate) struct Planned {
    /// The index of the client account.
    pub(crate) account: usize,
    /// What is asked.
    pub(crate) kind: PlannedKind,
}

/// The kinds of request.
#[derive(Clone, Debug)]
pub(crate) enum PlannedKind {
    /// A chat request.
    Chat {
        /// The account's preamble.
        preamble: Arc<str>,
        /// The manual.
        manual: Arc<str>,
        /// The member's question.
        question: String,
        /// The tokens to generate.
        max_tokens: u32,
    },
    /// A payment that may run at most once.
    Payment,
}

/// Plans `requests` requests for `deployment` from `seed`.
pub(crate) fn plan(deployment: &Deployment, requests: usize, seed: u64) -> Vec<Planned> {
    let mut rng = ChaCha12Rng::seed_from_u64(seed);
    let library: Vec<AccountTexts> = (0..ACCOUNTS)
        .map(|account| AccountTexts::new(deployment, account, &mut rng))
        .collect();
    (0..requests)
        .map(|index| {
            let account = skewed(&mut rng, ACCOUNTS);
            let kind = if index % PAYMENT_EVERY == PAYMENT_EVERY - 1 {
                PlannedKind::Payment
            } else {
                library[account].chat(index, &mut rng)
            };
            Planned { account, kind }
        })
        .collect()
}

struct AccountTexts {
    preamble: Arc<str>,
    manuals: Vec<Arc<str>>,
}

impl AccountTexts {
    fn new(deployment: &Deployment, account: usize, rng: &mut ChaCha12Rng) -> Self {
        let name = deployment.name;
        let (least, most) = deployment.manual_pieces;
        Self {
            preamble: text(&format!("{name} preamble {account}"), 1),
            manuals: (0..MANUALS)
                .map(|manual| {
                    let pieces = rng.random_range(least..=most);
                    text(&format!("{name} manual {account}/{manual}"), pieces)
                })
                .collect(),
        }
    }

    fn chat(&self, index: usize, rng: &mut ChaCha12Rng) -> PlannedKind {
        let manual = skewed(rng, self.manuals.len());
        PlannedKind::Chat {
            preamble: Arc::clone(&self.preamble),
            manual: Arc::clone(&self.manuals[manual]),
            question: format!("Question {index}: what does the manual say of step {index}?"),
            max_tokens: rng.random_range(4..=24),
        }
    }
}

/// Draws an index below `count`, small ones more often.
fn skewed(rng: &mut ChaCha12Rng, count: usize) -> usize {
    let draw: f64 = rng.random();
    let index = (count as f64).powf(draw) - 1.0;
    (index as usize).min(count - 1)
}

fn text(title: &str, pieces: u32) -> Arc<str> {
    let bytes = PIECE_BYTES * pieces as usize;
    let line = format!("{title}: keep stand and pod clean, dry and ready. ");
    line.chars().cycle().take(bytes).collect::<String>().into()
}
