//! The cost of the configuration by number of accounts: memory, adoption time, bytes sent and platform calls.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use crocuswharf::{
    ActiveConfiguration, Adoption, Body, BudgetLimits, Kind, ReadStep, StoreClient, StoreSettings,
    StoredState, TicketOutcome, UpdateReader, UpdateServer, check_ticket, load_configuration,
    submit_ticket, wire_bytes,
};
use serde_json::json;

use super::fit::Point;
use super::report::{Cost, Figure};
use super::target;
use super::usage::{resident_bytes, thread_time};
use crate::platform::Platform;

const ACCOUNT_SIZES: [u32; 3] = [2_000, 10_000, 20_000];
/// The number of single-account tickets measured at each size.
const CHANGES: u32 = 6;
/// How often each change is adopted, because one adoption is shorter than the resolution of the kernel's accounting.
const ADOPTIONS: u32 = 20;
/// The copies loaded before the measurement, to use up memory that earlier measurements have freed.
const WARM_UP_COPIES: u32 = 5;
const MEMORY_COPIES: u32 = 5;
const SECONDS_PER_DAY: f64 = 86_400.0;

/// The measured points of each figure.
#[derive(Default)]
struct Points {
    memory: Vec<Point>,
    adoption: Vec<Point>,
    update: Vec<Point>,
    reads: Vec<Point>,
    writes: Vec<Point>,
}

pub(super) fn measure() -> anyhow::Result<Vec<Figure>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let mut points = Points::default();
    for accounts in ACCOUNT_SIZES {
        runtime.block_on(measure_size(accounts, &mut points))?;
    }
    let changes_per_second = target::CHANGES_PER_DAY / SECONDS_PER_DAY;
    let per_change = Cost::Processor {
        events_per_second: changes_per_second,
    };
    let sent = Cost::Network {
        messages_per_second: changes_per_second,
    };
    Ok(vec![
        figure(
            "state, keys and tables in force",
            true,
            points.memory,
            Cost::Memory { copies: 1.0 },
        ),
        figure("adopt one change", true, points.adoption, per_change),
        figure("hand one change to one peer", true, points.update, sent),
        figure(
            "platform reads for a ticket",
            false,
            points.reads,
            Cost::Count,
        ),
        figure(
            "platform writes for a ticket",
            false,
            points.writes,
            Cost::Count,
        ),
    ])
}

fn figure(name: &'static str, is_control: bool, points: Vec<Point>, cost: Cost) -> Figure {
    Figure {
        role: "configuration",
        name,
        along: "account",
        is_control,
        points,
        target_size: target::ACCOUNTS,
        cost,
    }
}

async fn measure_size(accounts: u32, points: &mut Points) -> anyhow::Result<()> {
    let point = |value: f64| Point {
        size: accounts.into(),
        value,
    };
    let platform = Platform::new();
    let served = platform.serve((Ipv4Addr::LOCALHOST, 0).into()).await?;
    let client = client(&format!("http://{}", served.address))?;
    let first = submit(&client, &StoredState::default(), &full_ticket(accounts)).await?;
    points.memory.push(point(memory(&client).await?));
    let before = platform.counts();
    let mut states = vec![first];
    for number in 0..CHANGES {
        let last = states.last().expect("states is never empty");
        let next = submit(&client, last, &change_ticket(number)).await?;
        states.push(next);
    }
    let after = platform.counts();
    let per_ticket = |count: u64| u32::try_from(count).map_or(0.0, f64::from) / f64::from(CHANGES);
    points
        .reads
        .push(point(per_ticket(after.reads - before.reads)));
    points
        .writes
        .push(point(per_ticket(after.writes - before.writes)));
    points.adoption.push(point(adoption_time(&states)?));
    points.update.push(point(update_bytes(&states)?));
    Ok(())
}

fn client(base_url: &str) -> anyhow::Result<StoreClient> {
    let unlimited = 1e6;
    let settings = StoreSettings {
        budget: BudgetLimits {
            reads_per_second: unlimited,
            read_burst: unlimited,
            writes_per_second: unlimited,
            write_burst: unlimited,
            ..BudgetLimits::default()
        },
        ..StoreSettings::new(base_url)
    };
    Ok(StoreClient::new(&settings)?)
}

fn account(number: u32) -> serde_json::Value {
    let digest = format!("{number:064x}");
    json!({
        "key_sha256": [digest],
        "services": ["model-0", "model-1"],
        "limits": {"requests_per_second": 5.0, "tokens_per_second": 20_000.0, "concurrent_requests": 50},
    })
}

/// Returns a ticket with 7 models, 229 replicas of each and the given number of accounts.
fn full_ticket(accounts: u32) -> serde_json::Value {
    let accounts: serde_json::Map<_, _> = (0..accounts)
        .map(|number| (format!("account-{number}"), account(number)))
        .collect();
    let services: serde_json::Map<_, _> = (0..7)
        .map(|model| {
            let service = json!({"kind": "model", "pool": format!("pool-{model}")});
            (format!("model-{model}"), service)
        })
        .collect();
    let pools: serde_json::Map<_, _> = (0..7)
        .map(|model| (format!("pool-{model}"), pool()))
        .collect();
    json!({"ticket": 1, "accounts": accounts, "services": services, "pools": pools})
}

fn pool() -> serde_json::Value {
    let replicas: Vec<_> = (0..229)
        .map(|number| {
            json!({
                "id": format!("replica-{number}"),
                "address": format!("10.1.{}.{}:8000", number / 200, number % 200 + 1),
                "zone": format!("zone-{}", number % 7),
            })
        })
        .collect();
    json!({"replicas": replicas})
}

fn change_ticket(number: u32) -> serde_json::Value {
    let name = format!("account-{number}");
    json!({"ticket": number + 2, "accounts": {name: account(900_000 + number)}})
}

async fn submit(
    client: &StoreClient,
    known: &StoredState,
    document: &serde_json::Value,
) -> anyhow::Result<StoredState> {
    let ticket = check_ticket(document.to_string().as_bytes())
        .map_err(|faults| anyhow::anyhow!("{faults:?}"))?;
    match submit_ticket(client, known, &ticket).await {
        TicketOutcome::Accepted { state, .. } => Ok(*state),
        other => anyhow::bail!("the ticket was not accepted: {other:?}"),
    }
}

async fn memory(client: &StoreClient) -> anyhow::Result<f64> {
    leak_copies(client, WARM_UP_COPIES).await?;
    let before = resident_bytes()?;
    leak_copies(client, MEMORY_COPIES).await?;
    Ok((resident_bytes()? - before).max(0.0) / f64::from(MEMORY_COPIES))
}

/// Loads the configuration several times and leaks it, so that no copy reuses the memory of another.
async fn leak_copies(client: &StoreClient, copies: u32) -> anyhow::Result<()> {
    for _ in 0..copies {
        let state = load_configuration(client, &StoredState::default())
            .await
            .context("cannot load the configuration")?;
        let mut active = ActiveConfiguration::new();
        active.offer(state, Duration::ZERO);
        std::mem::forget(active);
    }
    Ok(())
}

fn adoption_time(states: &[StoredState]) -> anyhow::Result<f64> {
    let mut spent = Duration::ZERO;
    for _ in 0..ADOPTIONS {
        let mut active = ActiveConfiguration::new();
        active.offer(states[0].clone(), Duration::ZERO);
        let copies: Vec<StoredState> = states[1..].to_vec();
        let before = thread_time()?;
        for state in copies {
            let adoption = active.offer(state, Duration::ZERO);
            anyhow::ensure!(matches!(adoption, Adoption::Adopted { .. }), "{adoption:?}");
        }
        spent += thread_time()?.saturating_sub(before);
    }
    Ok(spent.as_secs_f64() * 1e6 / f64::from(ADOPTIONS * CHANGES))
}

/// Returns the mean size of an update from one state to the next, in bytes, over its requests and parts.
fn update_bytes(states: &[StoredState]) -> anyhow::Result<f64> {
    let mut bytes = 0;
    for pair in states.windows(2) {
        let mut server = UpdateServer::default();
        let mut reader = UpdateReader::new(Arc::new(pair[0].clone()));
        let mut request = reader.next_request();
        loop {
            let part = server.part(&pair[1], request);
            bytes += wire_bytes(&Body::encode(Kind::Configuration, &request));
            bytes += wire_bytes(&Body::encode(Kind::Configuration, &part));
            match reader.handle_part(&part) {
                ReadStep::Request(next) => request = next,
                ReadStep::Done(_) => break,
                other => anyhow::bail!("reading the update failed: {other:?}"),
            }
        }
    }
    Ok(f64::from(u32::try_from(bytes)?) / f64::from(CHANGES))
}
