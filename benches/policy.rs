//! Times of the decisions on the request path.

use std::hint::black_box;
use std::time::Duration;

use criterion::{Criterion, criterion_group, criterion_main};
use crocuswharf::{
    Cells, Deciding, Learning, Lookup, Opening, OpeningRoot, OwnerView, Preference, ReplicaRole,
    ReplicaView, choose,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const REPLICAS: usize = 1_600;
const ROUTERS: usize = 400;
const OPENING_TOKENS: usize = 32_000;

fn replica(index: usize) -> ReplicaView {
    ReplicaView {
        id: format!("replica-{index}").into(),
        incarnation: 1,
        weights_version: 1,
        zone: index % 3,
        role: ReplicaRole::Both,
        is_available: true,
        prefill_tokens_per_second: 20_000.0,
        cache_tokens: 160_000,
        decode_slots: 32,
        busy_until: Duration::ZERO,
    }
}

fn opening(manual: usize) -> Opening {
    let root = OpeningRoot {
        account: "account",
        model: "model",
        adapter: None,
        weights_version: 1,
    };
    let text = format!("manual {manual} ").repeat(4_000);
    let messages = [
        ("system", "preamble"),
        ("user", &*text),
        ("user", "question"),
    ];
    Opening::of_messages(root, messages)
}

fn decide(c: &mut Criterion) {
    let replicas: Vec<_> = (0..REPLICAS).map(replica).collect();
    let ids: Vec<_> = replicas.iter().map(|r| r.id.clone()).collect();
    let routers: Vec<_> = (0..ROUTERS).map(|r| format!("router-{r}")).collect();
    let cells = Cells::new(&ids, &routers);
    let openings: Vec<_> = (0..500).map(opening).collect();
    let mut view = OwnerView::new(Learning::default());
    view.set_replicas(&replicas, cells.clone());
    let pool = view.pool_view();
    let preference = Preference::default();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut request = 0_u32;
    c.bench_function("choose_among_1600_replicas", |b| {
        b.iter(|| {
            request += 1;
            let opening = &openings[request as usize % openings.len()];
            let now = Duration::from_millis(200) * request;
            let cell = cells.cells_of(opening.owner_key(), 1)[0];
            let lookup = Lookup::new(request, cell, opening, 3.0, 0);
            let reply = view.answer(&lookup, now, &mut rng);
            let deciding = Deciding {
                cell,
                ..Deciding::default()
            };
            black_box(choose(
                &pool,
                opening,
                Some(&reply),
                &preference,
                deciding,
                now,
                &mut rng,
            ))
        });
    });
}

fn hash(c: &mut Criterion) {
    let text = "x".repeat(OPENING_TOKENS * crocuswharf::BYTES_PER_TOKEN);
    let root = OpeningRoot {
        account: "account",
        model: "model",
        adapter: None,
        weights_version: 1,
    };
    c.bench_function("hash_opening_of_32000_tokens", |b| {
        b.iter(|| Opening::of_messages(root, [("system", black_box(&*text)), ("user", "q")]));
    });
}

criterion_group!(benches, decide, hash);
criterion_main!(benches);
