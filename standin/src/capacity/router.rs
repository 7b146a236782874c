//! The cost of a running router: its control thread by replicas, and its traffic thread by tokens per response.
//!
//! Threads are identified by name, so that engines, the platform and callers in the same process are not counted.

use std::fs;
use std::time::{Duration, Instant};

use anyhow::Context;
use crocuswharf::BurnReport;
use futures_util::future::join_all;
use serde_json::json;

use super::fit::Point;
use super::report::{Cost, Figure};
use super::target;
use crate::demo::{
    Deployment, Fleet, OPERATOR_KEY, SHINEWELL, account_key, submit_ticket, wait_until_ready,
};

const REPLICA_SIZES: [usize; 3] = [18, 54, 162];
const IDLE_TIME: Duration = Duration::from_secs(4);
const TOKEN_SIZES: [u32; 3] = [10, 100, 1_000];
/// The number of concurrent streamed responses, and the number of rounds.
const STREAMS: usize = 8;
const ROUNDS: usize = 12;
const ROUTER_SIZES: [usize; 3] = [3, 6, 9];
const BURN_REPORTS: u32 = 10;
const MEMBERS_TIMEOUT: Duration = Duration::from_secs(60);
const CONTROL_THREADS: &str = "control-";
const TRAFFIC_THREADS: &str = "traffic-";

pub(super) fn measure() -> anyhow::Result<Vec<Figure>> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        Ok(vec![
            control_time().await?,
            traffic_time().await?,
            burn_time().await?,
        ])
    })
}

async fn start(engines: usize, routers: usize) -> anyhow::Result<Fleet> {
    let deployment = Deployment {
        engines,
        ..SHINEWELL
    };
    let fleet = Fleet::start_with(deployment, routers, |engine| {
        engine.prefill_tokens_per_second = 1e12;
        engine.token_interval_ms = 0;
    })
    .await?;
    submit_ticket(&fleet).await?;
    wait_until_ready(&fleet).await?;
    Ok(fleet)
}

async fn stop(fleet: Fleet) -> anyhow::Result<()> {
    tokio::task::spawn_blocking(move || drop(fleet)).await?;
    Ok(())
}

/// Returns the total processor time of the threads whose names start with `prefix`.
fn time_of_threads(prefix: &str) -> anyhow::Result<Duration> {
    let mut total = Duration::ZERO;
    for task in fs::read_dir("/proc/self/task")? {
        let task = task?.path();
        // The thread may have ended since the directory was listed.
        let Ok(name) = fs::read_to_string(task.join("comm")) else {
            continue;
        };
        if !name.starts_with(prefix) {
            continue;
        }
        let text = fs::read_to_string(task.join("schedstat"))?;
        let first = text
            .split_whitespace()
            .next()
            .context("schedstat is empty")?;
        total += Duration::from_nanos(first.parse()?);
    }
    Ok(total)
}

/// Measures an idle router: load reports, heartbeats and the resulting snapshots.
async fn control_time() -> anyhow::Result<Figure> {
    let mut points = Vec::new();
    for engines in REPLICA_SIZES {
        let fleet = start(engines, 1).await?;
        let before = time_of_threads(CONTROL_THREADS)?;
        tokio::time::sleep(IDLE_TIME).await;
        let spent = time_of_threads(CONTROL_THREADS)?.saturating_sub(before);
        stop(fleet).await?;
        points.push(Point {
            size: f64::from(u32::try_from(engines)?),
            value: spent.as_secs_f64() * 1e6 / IDLE_TIME.as_secs_f64(),
        });
    }
    Ok(Figure {
        role: "engines' load",
        name: "control thread of an idle router, for each second",
        along: "replica",
        is_control: true,
        points,
        target_size: target::REPLICAS,
        cost: Cost::Processor {
            events_per_second: 1.0,
        },
    })
}

/// Measures the latency of a burn report over all routers, once they know each other.
async fn burn_time() -> anyhow::Result<Figure> {
    let mut points = Vec::new();
    for routers in ROUTER_SIZES {
        let fleet = start(4, routers).await?;
        wait_for_members(&fleet, routers).await?;
        let mut slowest = Duration::ZERO;
        for _ in 0..BURN_REPORTS {
            let began = Instant::now();
            let report = burn_report(&fleet).await?;
            slowest = slowest.max(began.elapsed());
            anyhow::ensure!(
                report.missing.is_empty(),
                "a router is missing from the burn report"
            );
        }
        stop(fleet).await?;
        points.push(Point {
            size: f64::from(u32::try_from(routers)?),
            value: slowest.as_secs_f64() * 1e3,
        });
    }
    Ok(Figure {
        role: "burn, explain",
        name: "slowest of ten reports asked for at one router",
        along: "router",
        is_control: false,
        points,
        target_size: 9.0,
        cost: Cost::Wait,
    })
}

async fn burn_report(fleet: &Fleet) -> anyhow::Result<BurnReport> {
    let address = fleet.addresses()[0].operators;
    let http = reqwest::Client::builder().no_proxy().build()?;
    let request = http
        .get(format!("http://{address}/burn?window=1h"))
        .bearer_auth(OPERATOR_KEY);
    Ok(request.send().await?.error_for_status()?.json().await?)
}

async fn wait_for_members(fleet: &Fleet, routers: usize) -> anyhow::Result<()> {
    let deadline = Instant::now() + MEMBERS_TIMEOUT;
    while burn_report(fleet).await?.members.len() < routers {
        anyhow::ensure!(
            Instant::now() < deadline,
            "the routers did not discover each other in time"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

/// Measures complete streamed responses. The slope is the cost per token, the fixed part the cost per request.
async fn traffic_time() -> anyhow::Result<Figure> {
    let fleet = start(4, 1).await?;
    let http = reqwest::Client::builder().no_proxy().build()?;
    let mut points = Vec::new();
    for tokens in TOKEN_SIZES {
        stream_round(&http, &fleet, tokens).await?;
        let before = time_of_threads(TRAFFIC_THREADS)?;
        for _ in 0..ROUNDS {
            stream_round(&http, &fleet, tokens).await?;
        }
        let spent = time_of_threads(TRAFFIC_THREADS)?.saturating_sub(before);
        let answers = f64::from(u32::try_from(STREAMS * ROUNDS)?);
        points.push(Point {
            size: tokens.into(),
            value: spent.as_secs_f64() * 1e6 / answers,
        });
    }
    stop(fleet).await?;
    let requests = target::REQUESTS_PER_SECOND / target::ROUTERS;
    Ok(Figure {
        role: "router traffic",
        name: "traffic thread for one streamed answer",
        along: "token",
        is_control: false,
        points,
        target_size: target::TOKENS_PER_SECOND / target::REQUESTS_PER_SECOND,
        cost: Cost::Processor {
            events_per_second: requests,
        },
    })
}

async fn stream_round(http: &reqwest::Client, fleet: &Fleet, tokens: u32) -> anyhow::Result<()> {
    let address = fleet.addresses()[0].callers;
    let streams = (0..STREAMS).map(async |index| {
        let body = json!({
            "model": fleet.deployment.model_service,
            "messages": [{"role": "user", "content": format!("{index} {}", "question ".repeat(900))}],
            "max_tokens": tokens,
            "stream": true,
        });
        let answer = http
            .post(format!("http://{address}/v1/chat/completions"))
            .bearer_auth(account_key(0))
            .json(&body)
            .send()
            .await?;
        let text = answer.text().await?;
        anyhow::ensure!(text.contains("[DONE]"), "a response ended without [DONE]");
        Ok(())
    });
    join_all(streams).await.into_iter().collect()
}
