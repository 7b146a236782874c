//! The cost of owning prefixes: time and memory by number of prefixes, and the bytes of lookups, replies and
//! observations.

use std::time::Duration;

use crocuswharf::{
    Body, Cells, Kind, Lookup, LookupMessage, ModelFeatures, Observation, ObservationMessage,
    ObservationsMessage, OwnerReplyMessage, PoolModel, PrefixScope, PromptPrefix, ReplicaRole,
    ReplicaView, wire_bytes,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::fit::Point;
use super::report::{Cost, Figure};
use super::target;
use super::usage::{bytes_per_copy, microseconds_per_call};

const PREFIX_COUNTS: [u32; 3] = [100, 1_000, 4_000];
const REPLICAS_PER_POOL: usize = 229;
const ROUTERS: usize = 400;
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);
const MEMORY_COPIES: u32 = 8;
/// The prefixes owned by one router if all 35 million blocks belong to prefixes of 10 blocks.
const PREFIXES_AT_TARGET: f64 = target::CACHED_BLOCKS / 10.0 / target::ROUTERS;

pub(super) fn measure() -> anyhow::Result<Vec<Figure>> {
    let mut memory = Vec::new();
    let mut time = Vec::new();
    let mut bytes = Vec::new();
    for prefixes in PREFIX_COUNTS {
        let lookups: Vec<Lookup> = (0..prefixes).map(lookup).collect();
        let point = |value: f64| Point {
            size: prefixes.into(),
            value,
        };
        memory.push(point(bytes_per_copy(MEMORY_COPIES, |_| {
            let mut model = model();
            let mut rng = ChaCha8Rng::seed_from_u64(1);
            for (index, lookup) in (0..).zip(&lookups) {
                handle_request(&mut model, lookup, REQUEST_INTERVAL * index, &mut rng);
            }
            model
        })?));
        let mut model = model();
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let mut now = Duration::ZERO;
        let mut sent = 0;
        let mut handled = 0_u32;
        time.push(point(microseconds_per_call(prefixes, |index| {
            now += REQUEST_INTERVAL;
            sent += handle_request(&mut model, &lookups[index as usize], now, &mut rng);
            handled += 1;
        })?));
        bytes.push(point(f64::from(u32::try_from(sent / u64::from(handled))?)));
    }
    let requests = target::REQUESTS_PER_SECOND / target::ROUTERS;
    Ok(vec![
        figure(
            "openings and replicas known",
            memory,
            Cost::Memory { copies: 1.0 },
        ),
        figure(
            "decide, learn and encode for one request",
            time,
            Cost::Processor {
                events_per_second: requests,
            },
        ),
        figure(
            "question, answer and three pieces of news for one request",
            bytes,
            Cost::Network {
                messages_per_second: requests,
            },
        ),
    ])
}

fn figure(name: &'static str, points: Vec<Point>, cost: Cost) -> Figure {
    Figure {
        role: "owner view",
        name,
        along: "opening",
        is_control: true,
        points,
        target_size: PREFIXES_AT_TARGET,
        cost,
    }
}

fn model() -> PoolModel {
    let names: Vec<String> = (0..REPLICAS_PER_POOL)
        .map(|n| format!("replica-{n}"))
        .collect();
    let routers: Vec<String> = (0..ROUTERS).map(|n| format!("router-{n}")).collect();
    let replicas: Vec<ReplicaView> = names
        .iter()
        .zip(0..)
        .map(|(name, n)| replica(name, n))
        .collect();
    let mut model = PoolModel::new(ModelFeatures::default());
    model.set_replicas(&replicas, Cells::new(&names, &routers));
    model
}

fn replica(name: &str, position: usize) -> ReplicaView {
    ReplicaView {
        id: name.into(),
        incarnation: 1,
        weights_version: 1,
        zone: position % 7,
        role: ReplicaRole::Both,
        is_available: true,
        prefill_tokens_per_second: 20_000.0,
        cache_tokens: 160_000,
        decode_slots: 32,
        busy_until: Duration::ZERO,
    }
}

fn lookup(number: u32) -> Lookup {
    let root = PrefixScope {
        account: "account",
        model: "model-0",
        adapter: None,
        weights_version: 1,
    };
    let preamble = "p".repeat(16_000);
    let manual = format!("{number} {}", "m".repeat(48_000));
    let question = format!("question {number}");
    let messages = [
        ("system", &*preamble),
        ("system", &*manual),
        ("user", &*question),
    ];
    Lookup::new(
        number,
        0,
        &PromptPrefix::from_messages(root, messages),
        4.0,
        0,
    )
}

/// Replies to one lookup and records its placement, first token and end. Returns the size of all messages in bytes.
fn handle_request(
    model: &mut PoolModel,
    lookup: &Lookup,
    now: Duration,
    rng: &mut ChaCha8Rng,
) -> u64 {
    let request = LookupMessage::new(7, lookup);
    let reply = model.reply_to(lookup, now, rng);
    let response = OwnerReplyMessage::new(&reply);
    let mut bytes = wire_bytes(&Body::encode(Kind::Lookup, &request));
    bytes += wire_bytes(&Body::encode(Kind::Lookup, &response));
    let Some(chosen) = reply.candidates.first() else {
        return bytes as u64;
    };
    let (request, instance) = (lookup.request, chosen.instance);
    let observations = [
        Observation::Placed {
            request,
            levels: lookup.levels.clone(),
            prompt_tokens: lookup.prompt_tokens,
            instance,
            at: now,
        },
        Observation::FirstToken {
            request,
            instance,
            cached_tokens: Some(chosen.warm_tokens),
            at: now,
        },
        Observation::Finished {
            request,
            instance,
            at: now,
        },
    ];
    for observation in &observations {
        model.record(observation);
        let message = ObservationsMessage {
            pool: 7,
            observations: vec![ObservationMessage::new(observation, now)],
        };
        bytes += wire_bytes(&Body::encode(Kind::Observation, &message));
    }
    bytes as u64
}
