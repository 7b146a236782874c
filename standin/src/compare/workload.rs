//! The arrivals: nested prefixes, Zipf distributions over accounts and manuals, bursts and shifts of popularity.

use std::time::Duration;

use crocuswharf::{BLOCK_TOKENS, Block, Level, PromptPrefix, level_key};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::faults::Faults;
use super::scenario::{Scenario, mix, zipf};

/// The duration of arrivals that warm the caches before the measurement, and the reduced rate at its start,
/// while the caches are cold.
const WARM_UP_SECS: f64 = 40.0;
const COLD_START_SECS: f64 = 20.0;
const COLD_START_RATE_SHARE: f64 = 0.4;
/// The probability that one prefix bursts in a given second.
const BURST_PROBABILITY: f64 = 0.05;
/// When the popular prefixes change, as fractions of the measured time.
const SHIFT_TIMES: [f64; 2] = [0.35, 0.7];
/// The number of top ranks that a shift exchanges with lower ranks.
const SHIFTED_RANKS: usize = 3;

/// An arriving request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Duration,
    pub(crate) account: usize,
    /// The manual that the question refers to, if any.
    pub(crate) manual: Option<usize>,
    pub(crate) question_tokens: u32,
    pub(crate) answer_tokens: u32,
    /// A random number that selects the entry router among the live routers.
    pub(crate) entry: u64,
    pub(crate) serial: u64,
}

/// All arrivals of a comparison.
#[derive(Clone, Debug)]
pub(crate) struct Arrivals {
    pub(crate) arrivals: Vec<Arrival>,
    /// The index of the first measured arrival. Earlier arrivals only warm the caches.
    pub(crate) first_measured: usize,
    pub(crate) measured_from: Duration,
    pub(crate) end: Duration,
}

/// Draws the arrivals from the seed. They are the same for every policy.
pub(crate) fn arrivals(
    scenario: &Scenario,
    faults: Faults,
    seed: u64,
    requests: usize,
) -> Arrivals {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let popularity = Popularity::new(scenario);
    let rate = scenario.arrivals_per_second;
    let first_measured = ((COLD_START_SECS * COLD_START_RATE_SHARE + WARM_UP_SECS
        - COLD_START_SECS)
        * rate) as usize;
    let measured_secs = requests as f64 / rate;
    let mut burst = Burst::default();
    let mut arrivals = Vec::with_capacity(first_measured + requests);
    let mut at = 0.0;
    for serial in 0..first_measured + requests {
        let rate_now = if at < COLD_START_SECS {
            COLD_START_RATE_SHARE * rate
        } else {
            rate
        };
        at += -(1.0 - rng.random::<f64>()).ln() / rate_now;
        let progress = (at - WARM_UP_SECS) / measured_secs;
        let shifts = if faults.shift {
            SHIFT_TIMES.iter().filter(|&&s| progress > s).count()
        } else {
            0
        };
        burst.advance(at, &popularity, shifts, &mut rng);
        let prefix = match burst.prefix {
            Some(prefix) if rng.random::<f64>() < scenario.burst_share => prefix,
            _ => popularity.sample(shifts, &mut rng),
        };
        let no_manual = rng.random::<f64>() < scenario.no_manual_share;
        arrivals.push(Arrival {
            at: Duration::from_secs_f64(at),
            account: prefix.0,
            manual: (!no_manual).then_some(prefix.1),
            question_tokens: uniform(scenario.question_tokens, &mut rng),
            answer_tokens: uniform(scenario.answer_tokens, &mut rng),
            entry: rng.random(),
            serial: serial as u64,
        });
    }
    let measured_from = arrivals
        .get(first_measured)
        .map_or(Duration::ZERO, |a| a.at);
    Arrivals {
        arrivals,
        first_measured,
        measured_from,
        end: Duration::from_secs_f64(at),
    }
}

/// The account and manual that receive additional requests during one second.
#[derive(Default)]
struct Burst {
    second: u64,
    prefix: Option<(usize, usize)>,
}

impl Burst {
    fn advance(&mut self, at: f64, popularity: &Popularity, shifts: usize, rng: &mut impl Rng) {
        let second = at as u64;
        if second == self.second {
            return;
        }
        self.second = second;
        let is_burst = rng.random::<f64>() < BURST_PROBABILITY;
        self.prefix = is_burst.then(|| popularity.sample(shifts, rng));
    }
}

struct Popularity {
    accounts: Vec<f64>,
    large_manuals: Vec<f64>,
    small_manuals: Vec<f64>,
    manuals: usize,
}

impl Popularity {
    fn new(scenario: &Scenario) -> Self {
        let shares_of = |count| cumulative(&zipf(count, scenario.manual_exponent));
        Self {
            accounts: cumulative(&zipf(scenario.accounts, scenario.account_exponent)),
            large_manuals: shares_of(scenario.manuals),
            small_manuals: shares_of(scenario.manual_count(scenario.accounts - 1)),
            manuals: scenario.manuals,
        }
    }

    fn sample(&self, shifts: usize, rng: &mut impl Rng) -> (usize, usize) {
        let account = sample_index(&self.accounts, rng);
        if account >= 400 {
            return (account, sample_index(&self.small_manuals, rng));
        }
        let rank = sample_index(&self.large_manuals, rng);
        (account, self.shifted(rank, shifts))
    }

    /// Exchanges the top ranks with ranks from the second half, different ones at each shift.
    fn shifted(&self, rank: usize, shifts: usize) -> usize {
        let base = self.manuals / 2;
        let mut rank = rank;
        for shift in 0..shifts {
            let unpopular = base + shift * SHIFTED_RANKS;
            if rank < SHIFTED_RANKS {
                rank += unpopular;
            } else if (unpopular..unpopular + SHIFTED_RANKS).contains(&rank) {
                rank -= unpopular;
            }
        }
        rank
    }
}

fn cumulative(shares: &[f64]) -> Vec<f64> {
    let mut sum = 0.0;
    shares
        .iter()
        .map(|share| {
            sum += share;
            sum
        })
        .collect()
}

fn sample_index(cumulative: &[f64], rng: &mut impl Rng) -> usize {
    let number: f64 = rng.random();
    cumulative
        .partition_point(|&sum| sum <= number)
        .min(cumulative.len() - 1)
}

fn uniform(range: (u32, u32), rng: &mut impl Rng) -> u32 {
    rng.random_range(range.0..=range.1)
}

/// Creates the prefix of an arrival's prompt, structured as if the router had hashed its text.
pub(crate) fn prompt_prefix(scenario: &Scenario, arrival: &Arrival) -> PromptPrefix {
    let mut prefix = PromptPrefix::default();
    let account = arrival.account as u64;
    let mut end_tokens = scenario.preamble_tokens;
    let preamble = block(account, u64::MAX, 0, end_tokens);
    prefix.blocks.push(preamble);
    prefix.levels.push(level(preamble));
    if let Some(manual) = arrival.manual {
        for index in 0..scenario.block_count(arrival.account, manual) {
            end_tokens += BLOCK_TOKENS as u32;
            prefix
                .blocks
                .push(block(account, manual as u64, index, end_tokens));
        }
        prefix
            .levels
            .push(level(prefix.blocks[prefix.blocks.len() - 1]));
    }
    prefix.shared_level = prefix.levels.len() - 1;
    prefix.prompt_tokens = end_tokens + arrival.question_tokens;
    let question = block(u64::MAX, arrival.serial, 0, prefix.prompt_tokens);
    prefix.blocks.push(question);
    prefix
}

fn block(account: u64, manual: u64, index: u32, end_tokens: u32) -> Block {
    let low = mix(mix(mix(account) ^ manual) ^ u64::from(index));
    Block {
        hash: u128::from(mix(low)) << 64 | u128::from(low),
        end_tokens,
    }
}

fn level(block: Block) -> Level {
    Level {
        key: level_key(block.hash),
        end_tokens: block.end_tokens,
    }
}
