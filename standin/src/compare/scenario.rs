//! The settings of a modelled deployment, and the arrival rate that stands for load 1.0.

use std::fmt;
use std::str::FromStr;

/// The number of availability zones of a deployment.
pub(crate) const ZONES: usize = 3;
/// The pool's size from which the accounts of the target's size are modelled.
const LARGE_POOL_REPLICAS: usize = 400;
const LARGE_POOL_ACCOUNTS: usize = 41_000;
const SMALL_POOL_ACCOUNTS: usize = 8;
/// The accounts that have many manuals, at the target's size.
const LARGE_ACCOUNTS: usize = 400;
/// The manuals of an account that is not large.
const SMALL_ACCOUNT_MANUALS: usize = 4;
/// The replicas whose worth of arrivals a burst brings, and the share of all arrivals that it never exceeds.
const BURST_REPLICAS: f64 = 50.0;
const MAX_BURST_SHARE: f64 = 0.3;

/// The deployments that are modelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DeploymentName {
    Shinewell,
    Cedarbunk,
}

impl FromStr for DeploymentName {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        match name {
            "shinewell" => Ok(Self::Shinewell),
            "cedarbunk" => Ok(Self::Cedarbunk),
            _ => Err(format!(
                "deployment: {name} is neither shinewell nor cedarbunk"
            )),
        }
    }
}

impl fmt::Display for DeploymentName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Shinewell => "shinewell",
            Self::Cedarbunk => "cedarbunk",
        })
    }
}

/// All settings of one comparison but its seed and faults.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) routers: usize,
    pub(crate) replicas: usize,
    pub(crate) accounts: usize,
    /// The exponent of the accounts' Zipf distribution.
    pub(crate) account_exponent: f64,
    /// The manuals of a large account.
    pub(crate) manuals: usize,
    pub(crate) manual_exponent: f64,
    pub(crate) preamble_tokens: u32,
    /// The least and the most pieces of a manual.
    pub(crate) manual_pieces: (u32, u32),
    pub(crate) question_tokens: (u32, u32),
    pub(crate) answer_tokens: (u32, u32),
    /// The share of questions that need no manual.
    pub(crate) quick_share: f64,
    pub(crate) prefill_tokens_per_second: f64,
    pub(crate) decode_slots: usize,
    pub(crate) token_interval_secs: f64,
    pub(crate) cache_tokens: u64,
    pub(crate) recomputation_price: f64,
    /// The price at which the oracle does best; see docs/MEASUREMENTS.md.
    pub(crate) oracle_price: f64,
    pub(crate) ttft_deadline_ms: u64,
    pub(crate) burst_share: f64,
    pub(crate) arrivals_per_second: f64,
}

impl Scenario {
    pub(crate) fn new(
        name: DeploymentName,
        routers: usize,
        replicas: Option<usize>,
        load: f64,
    ) -> Self {
        let mut scenario = match name {
            DeploymentName::Shinewell => shinewell(),
            DeploymentName::Cedarbunk => cedarbunk(),
        };
        scenario.routers = routers;
        scenario.replicas = replicas.unwrap_or(scenario.replicas);
        if scenario.replicas >= LARGE_POOL_REPLICAS {
            scenario.accounts = LARGE_POOL_ACCOUNTS;
        }
        scenario.burst_share = (BURST_REPLICAS / scenario.replicas as f64).min(MAX_BURST_SHARE);
        scenario.arrivals_per_second = load * scenario.full_load_per_second();
        scenario
    }

    /// Returns the number of manuals of an account.
    pub(crate) fn manuals_of(&self, account: usize) -> usize {
        if self.accounts <= SMALL_POOL_ACCOUNTS || account < LARGE_ACCOUNTS {
            self.manuals
        } else {
            SMALL_ACCOUNT_MANUALS
        }
    }

    /// Returns the pieces of a manual, which its identity fixes.
    pub(crate) fn pieces_of(&self, account: usize, manual: usize) -> u32 {
        let (least, most) = self.manual_pieces;
        let hash = mix((account as u64) << 32 | manual as u64);
        least + (hash % u64::from(most - least + 1)) as u32
    }

    /// Works out the arrivals per second that keep an ideal pool just busy.
    ///
    /// The ideal pool is one LRU cache of the replicas' total size; its hit rate under independent arrivals follows
    /// from Che's approximation. An opening with a share of the requests has at least that share of the replicas hold
    /// it, and a preamble lies beside each of its manuals. The pool is busy when prefill, or else the decode slots, are.
    fn full_load_per_second(&self) -> f64 {
        let question = mean(self.question_tokens);
        let answer = mean(self.answer_tokens);
        let cold = self.ideal_cold_tokens(question + answer);
        let prefill_secs =
            (cold + question) / self.prefill_tokens_per_second + super::engine::STEP_SECS;
        let slot_secs = prefill_secs + answer * self.token_interval_secs;
        self.replicas as f64 / prefill_secs.max(slot_secs / self.decode_slots as f64)
    }

    /// Returns the opening tokens per request that even the ideal pool computes again.
    fn ideal_cold_tokens(&self, private_tokens: f64) -> f64 {
        let accounts = self.account_items();
        let capacity = self.replicas as f64 * self.cache_tokens as f64;
        let held = |window: f64| -> f64 {
            let shared: f64 = accounts.iter().map(|a| self.held_tokens(a, window)).sum();
            shared + private_tokens * window
        };
        let (mut low, mut high) = (0.0, capacity / private_tokens);
        for _ in 0..50 {
            let middle = f64::midpoint(low, high);
            if held(middle) < capacity {
                low = middle;
            } else {
                high = middle;
            }
        }
        let items = accounts
            .iter()
            .flat_map(|a| a.manuals.iter().copied().chain([a.preamble]));
        items
            .map(|(share, tokens)| share * tokens * (-share * low).exp())
            .sum()
    }

    /// Returns the tokens that an account's openings hold if each stays for `window` requests after its last use.
    fn held_tokens(&self, account: &AccountItems, window: f64) -> f64 {
        let replicas = self.replicas as f64;
        let in_cache = |share: f64| 1.0 - (-share * window).exp();
        let copies = |share: f64| (share * replicas).max(1.0);
        let manuals: f64 = account
            .manuals
            .iter()
            .map(|&(share, tokens)| tokens * in_cache(share) * copies(share))
            .sum();
        let beside: f64 = account
            .manuals
            .iter()
            .map(|&(share, _)| in_cache(share) * copies(share))
            .sum();
        let (share, tokens) = account.preamble;
        manuals + tokens * in_cache(share) * beside.max(1.0).min(replicas)
    }

    /// Returns each account's preamble and manuals with their shares of requests and tokens.
    fn account_items(&self) -> Vec<AccountItems> {
        let of = |count| zipf(count, self.manual_exponent);
        let (large, small) = (of(self.manuals), of(self.manuals_of(self.accounts - 1)));
        let shares = zipf(self.accounts, self.account_exponent);
        let items = shares.iter().enumerate().map(|(account, share)| {
            let is_large = self.manuals_of(account) == self.manuals;
            let parts = if is_large { &large } else { &small };
            let manuals = parts.iter().enumerate().map(|(manual, part)| {
                let tokens = f64::from(self.pieces_of(account, manual)) * 2_000.0;
                (share * part * (1.0 - self.quick_share), tokens)
            });
            AccountItems {
                preamble: (*share, f64::from(self.preamble_tokens)),
                manuals: manuals.collect(),
            }
        });
        items.collect()
    }
}

/// The shares of requests and the tokens of one account's openings.
struct AccountItems {
    preamble: (f64, f64),
    manuals: Vec<(f64, f64)>,
}

/// Returns the shares of `count` ranks under a Zipf distribution.
pub(crate) fn zipf(count: usize, exponent: f64) -> Vec<f64> {
    let weights: Vec<f64> = (1..=count)
        .map(|rank| (rank as f64).powf(-exponent))
        .collect();
    let total: f64 = weights.iter().sum();
    weights.into_iter().map(|w| w / total).collect()
}

fn mean(range: (u32, u32)) -> f64 {
    f64::midpoint(range.0.into(), range.1.into())
}

fn shinewell() -> Scenario {
    Scenario {
        routers: 9,
        replicas: 18,
        accounts: SMALL_POOL_ACCOUNTS,
        account_exponent: 1.1,
        manuals: 60,
        manual_exponent: 0.9,
        preamble_tokens: 2_000,
        manual_pieces: (3, 9),
        question_tokens: (100, 700),
        answer_tokens: (60, 240),
        quick_share: 0.3,
        prefill_tokens_per_second: 20_000.0,
        decode_slots: 32,
        token_interval_secs: 0.03,
        cache_tokens: 160_000,
        recomputation_price: 3.0,
        oracle_price: 2.0,
        ttft_deadline_ms: 60_000,
        burst_share: 0.0,
        arrivals_per_second: 0.0,
    }
}

fn cedarbunk() -> Scenario {
    Scenario {
        replicas: 12,
        manuals: 30,
        manual_pieces: (10, 20),
        answer_tokens: (100, 400),
        quick_share: 0.25,
        prefill_tokens_per_second: 25_000.0,
        cache_tokens: 320_000,
        recomputation_price: 5.0,
        oracle_price: 3.0,
        ..shinewell()
    }
}

/// Mixes the bits of a word, as the finaliser of splitmix64 does.
pub(crate) const fn mix(word: u64) -> u64 {
    let word = word.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}
