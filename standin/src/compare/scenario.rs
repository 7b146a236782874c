//! The settings of a modelled deployment, and the arrival rate at load 1.0.

use std::fmt;
use std::str::FromStr;

/// The number of availability zones of a deployment.
pub(crate) const ZONES: usize = 3;
/// The number of replicas from which the accounts of the target size are modelled.
const LARGE_POOL_REPLICAS: usize = 400;
const LARGE_POOL_ACCOUNTS: usize = 41_000;
const SMALL_POOL_ACCOUNTS: usize = 8;
/// The number of accounts with many manuals, at the target size.
const LARGE_ACCOUNTS: usize = 400;
/// The number of manuals of the other accounts.
const SMALL_ACCOUNT_MANUALS: usize = 4;
/// A burst receives as many arrivals as this many replicas at the mean rate, but at most `MAX_BURST_SHARE` of all.
const BURST_REPLICAS: f64 = 50.0;
const MAX_BURST_SHARE: f64 = 0.3;

/// The modelled deployments.
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
                "deployment: unknown deployment {name}; expected shinewell or cedarbunk"
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

/// All settings of a comparison except its seed and faults.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) routers: usize,
    pub(crate) replicas: usize,
    pub(crate) accounts: usize,
    /// The exponent of the Zipf distribution of requests over accounts.
    pub(crate) account_exponent: f64,
    /// The number of manuals of a large account.
    pub(crate) manuals: usize,
    pub(crate) manual_exponent: f64,
    pub(crate) preamble_tokens: u32,
    /// The minimum and maximum number of blocks in a manual.
    pub(crate) manual_blocks: (u32, u32),
    pub(crate) question_tokens: (u32, u32),
    pub(crate) answer_tokens: (u32, u32),
    /// The fraction of questions that need no manual.
    pub(crate) no_manual_share: f64,
    pub(crate) prefill_tokens_per_second: f64,
    pub(crate) decode_slots: usize,
    pub(crate) token_interval_secs: f64,
    pub(crate) cache_tokens: u64,
    pub(crate) recomputation_price: f64,
    /// The price at which the oracle performs best; see docs/MEASUREMENTS.md.
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
        scenario.arrivals_per_second = load * scenario.full_load_rate();
        scenario
    }

    /// Returns the number of manuals of an account.
    pub(crate) fn manual_count(&self, account: usize) -> usize {
        if self.accounts <= SMALL_POOL_ACCOUNTS || account < LARGE_ACCOUNTS {
            self.manuals
        } else {
            SMALL_ACCOUNT_MANUALS
        }
    }

    /// Returns the number of blocks in a manual, derived from a hash of its identity.
    pub(crate) fn block_count(&self, account: usize, manual: usize) -> u32 {
        let (min_blocks, max_blocks) = self.manual_blocks;
        let hash = mix((account as u64) << 32 | manual as u64);
        min_blocks + (hash % u64::from(max_blocks - min_blocks + 1)) as u32
    }

    /// Returns the arrival rate that just saturates an ideal pool, in requests per second.
    ///
    /// The ideal pool is one LRU cache with the replicas' total capacity. Its hit rate under independent arrivals is
    /// given by Che's approximation. A prefix with a given share of the requests is held by at least that share of
    /// the replicas, and each copy of a manual comes with a copy of its account's preamble. The pool is saturated when
    /// either prefill or the decode slots are.
    fn full_load_rate(&self) -> f64 {
        let question = mean(self.question_tokens);
        let answer = mean(self.answer_tokens);
        let uncached = self.ideal_uncached_tokens(question + answer);
        let prefill_secs =
            (uncached + question) / self.prefill_tokens_per_second + super::engine::STEP_SECS;
        let slot_secs = prefill_secs + answer * self.token_interval_secs;
        self.replicas as f64 / prefill_secs.max(slot_secs / self.decode_slots as f64)
    }

    /// Returns the mean number of shared tokens per request that even the ideal pool recomputes.
    fn ideal_uncached_tokens(&self, unshared_tokens: f64) -> f64 {
        let accounts = self.account_prefixes();
        let capacity = self.replicas as f64 * self.cache_tokens as f64;
        let occupancy = |window: f64| -> f64 {
            let shared: f64 = accounts
                .iter()
                .map(|a| self.resident_tokens(a, window))
                .sum();
            shared + unshared_tokens * window
        };
        let (mut low, mut high) = (0.0, capacity / unshared_tokens);
        for _ in 0..50 {
            let midpoint = f64::midpoint(low, high);
            if occupancy(midpoint) < capacity {
                low = midpoint;
            } else {
                high = midpoint;
            }
        }
        let prefixes = accounts
            .iter()
            .flat_map(|a| a.manuals.iter().copied().chain([a.preamble]));
        prefixes
            .map(|(share, tokens)| share * tokens * (-share * low).exp())
            .sum()
    }

    /// Returns the tokens that an account's prefixes occupy if each stays cached for `window` requests after its
    /// last use.
    fn resident_tokens(&self, account: &AccountPrefixes, window: f64) -> f64 {
        let replicas = self.replicas as f64;
        let in_cache = |share: f64| 1.0 - (-share * window).exp();
        let copies = |share: f64| (share * replicas).max(1.0);
        let manuals: f64 = account
            .manuals
            .iter()
            .map(|&(share, tokens)| tokens * in_cache(share) * copies(share))
            .sum();
        let preamble_copies: f64 = account
            .manuals
            .iter()
            .map(|&(share, _)| in_cache(share) * copies(share))
            .sum();
        let (share, tokens) = account.preamble;
        manuals + tokens * in_cache(share) * preamble_copies.max(1.0).min(replicas)
    }

    /// Returns the request shares and token counts of each account's preamble and manuals.
    fn account_prefixes(&self) -> Vec<AccountPrefixes> {
        let shares_of = |count| zipf(count, self.manual_exponent);
        let (large, small) = (
            shares_of(self.manuals),
            shares_of(self.manual_count(self.accounts - 1)),
        );
        let shares = zipf(self.accounts, self.account_exponent);
        let prefixes = shares.iter().enumerate().map(|(account, share)| {
            let is_large = self.manual_count(account) == self.manuals;
            let manual_shares = if is_large { &large } else { &small };
            let manuals = manual_shares
                .iter()
                .enumerate()
                .map(|(manual, manual_share)| {
                    let tokens = f64::from(self.block_count(account, manual)) * 2_000.0;
                    (share * manual_share * (1.0 - self.no_manual_share), tokens)
                });
            AccountPrefixes {
                preamble: (*share, f64::from(self.preamble_tokens)),
                manuals: manuals.collect(),
            }
        });
        prefixes.collect()
    }
}

/// The preamble and the manuals of one account, each as its share of all requests and its token count.
struct AccountPrefixes {
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
        manual_blocks: (3, 9),
        question_tokens: (100, 700),
        answer_tokens: (60, 240),
        no_manual_share: 0.3,
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
        manual_blocks: (10, 20),
        answer_tokens: (100, 400),
        no_manual_share: 0.25,
        prefill_tokens_per_second: 25_000.0,
        cache_tokens: 320_000,
        recomputation_price: 5.0,
        oracle_price: 3.0,
        ..shinewell()
    }
}

/// Mixes the bits of a word with the step of splitmix64.
pub(crate) const fn mix(word: u64) -> u64 {
    let word = word.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}
