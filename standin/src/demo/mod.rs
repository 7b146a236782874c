//! The demonstration: a whole deployment in one process, under load, with an engine crash and a router's exit.

use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Context;
use argh::FromArgs;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;
use uuid::Uuid;

mod caller;
mod deployment;
mod fleet;
mod report;
mod traffic;

pub use self::caller::{Callers, ChatAsk, Outcome};
pub use self::deployment::{CEDARBUNK, Deployment, SHINEWELL};
pub use self::fleet::{
    Fleet, OPERATOR_KEY, ROUTERS, RunningEngine, account_key, account_name, any_port, default_times,
};
use self::report::DemoReport;
use self::traffic::{Planned, PlannedKind, plan};

/// The requests sent per second on average.
const REQUESTS_PER_SECOND: f64 = 60.0;
/// The share of the run after which an engine crashes.
const CRASH_AT: f64 = 0.3;
/// The share of the run after which a router leaves.
const EXIT_AT: f64 = 0.5;
/// The share of the run after which another engine's open streams fall silent.
const SILENCE_AT: f64 = 0.6;
/// The share of the run after which another engine says that it leaves.
const LEAVE_AT: f64 = 0.8;
/// How long the crashed engine stays down.
const CRASH_DOWN: Duration = Duration::from_secs(2);
/// The longest time until the configuration is in force at every router.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// How often a router is asked whether it is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The longest time that the leaving router waits for its requests.
const DRAIN_LIMIT: Duration = Duration::from_secs(30);

/// Run a whole deployment on loopback, under load and failures, and report.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct DemoArgs {
    /// the deployment: shinewell (default) or cedarbunk
    #[argh(option, default = "SHINEWELL")]
    deployment: Deployment,
    /// the number of requests, 2000 by default
    #[argh(option, default = "2_000")]
    requests: usize,
    /// the seed of the traffic, 1 by default
    #[argh(option, default = "1")]
    seed: u64,
    /// print one JSON object in place of the table
    #[argh(switch)]
    json: bool,
}

/// Runs the demonstration; `Ok(false)` means that an answer was lost, wrong or cut, or that a payment ran twice.
///
/// # Errors
///
/// Fails where the deployment can't be started.
pub async fn run(args: &DemoArgs) -> anyhow::Result<bool> {
    anyhow::ensure!(args.requests > 0, "--requests: 0 must be above zero");
    let mut fleet = Fleet::start(args.deployment.clone()).await?;
    submit_ticket(&fleet).await?;
    wait_until_ready(&fleet).await?;
    let callers = Arc::new(Callers::new(
        fleet
            .addresses()
            .iter()
            .map(|addresses| addresses.callers)
            .collect(),
    )?);
    let outcomes = drive(args, &mut fleet, &callers).await?;
    let report = DemoReport::new(&outcomes, &fleet.plain.runs());
    report.print(args.json);
    Ok(report.passed())
}

/// Files the ticket that sets `fleet` up, over the operators' interface.
///
/// # Errors
///
/// Fails where the ticket can't be sent or is refused.
pub async fn submit_ticket(fleet: &Fleet) -> anyhow::Result<()> {
    submit_document(fleet, &fleet.ticket(1)).await
}

/// Files the ticket `document` over the operators' interface.
///
/// # Errors
///
/// Fails where the ticket can't be sent or is refused.
pub async fn submit_document(fleet: &Fleet, document: &serde_json::Value) -> anyhow::Result<()> {
    let address = fleet.addresses()[0].operators;
    let response = reqwest::Client::builder()
        .no_proxy()
        .build()?
        .post(format!("http://{address}/tickets"))
        .bearer_auth(OPERATOR_KEY)
        .json(document)
        .send()
        .await
        .context("the ticket could not be sent")?;
    let status = response.status();
    let text = response.text().await?;
    anyhow::ensure!(
        status.is_success(),
        "the ticket was refused: {status}: {text}"
    );
    Ok(())
}

/// Waits until every router has a configuration.
///
/// # Errors
///
/// Fails where a router is not ready in time.
pub async fn wait_until_ready(fleet: &Fleet) -> anyhow::Result<()> {
    let http = reqwest::Client::builder().no_proxy().build()?;
    let deadline = Instant::now() + READY_TIMEOUT;
    for addresses in fleet.addresses() {
        let url = format!("http://{}/readyz", addresses.operators);
        loop {
            let ready = http
                .get(&url)
                .send()
                .await
                .is_ok_and(|response| response.status().is_success());
            if ready {
                break;
            }
            anyhow::ensure!(
                Instant::now() < deadline,
                "router {} is not ready",
                addresses.operators
            );
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    }
    Ok(())
}

/// Sends the planned requests at their times while an engine crashes and a router leaves.
async fn drive(
    args: &DemoArgs,
    fleet: &mut Fleet,
    callers: &Arc<Callers>,
) -> anyhow::Result<Vec<Outcome>> {
    let mut rng = ChaCha12Rng::seed_from_u64(args.seed ^ 0xa5a5);
    let planned = plan(&args.deployment, args.requests, args.seed);
    let step_at = |share: f64| (args.requests as f64 * share) as usize;
    let mut tasks = Vec::with_capacity(planned.len());
    let mut drain = None;
    for (index, planned) in planned.into_iter().enumerate() {
        if index == step_at(CRASH_AT) {
            crash_engine(fleet);
        }
        if index == step_at(EXIT_AT) {
            drain = Some(leave_router(fleet));
        }
        if index == step_at(SILENCE_AT) {
            fleet.engines[1].engine.silence_open_streams();
        }
        if index == step_at(LEAVE_AT) {
            fleet.engines[2].engine.leave();
        }
        tasks.push(tokio::spawn(send(
            Arc::clone(callers),
            args.deployment.clone(),
            planned,
        )));
        let gap = -rng.random::<f64>().max(f64::MIN_POSITIVE).ln() / REQUESTS_PER_SECOND;
        tokio::time::sleep(Duration::from_secs_f64(gap)).await;
    }
    let mut outcomes = Vec::with_capacity(tasks.len());
    for task in tasks {
        outcomes.push(task.await?);
    }
    if let Some(drain) = drain {
        drain.await?;
    }
    Ok(outcomes)
}

/// Crashes the first engine, and brings it back empty on the same address.
fn crash_engine(fleet: &mut Fleet) {
    let running = &mut fleet.engines[0];
    drop(running.served.take());
    running.engine.restart();
    let engine = running.engine.clone();
    let address = running.address;
    tokio::spawn(async move {
        tokio::time::sleep(CRASH_DOWN).await;
        match engine.serve(address).await {
            // The server lives as long as the demonstration.
            Ok(served) => std::mem::forget(served),
            Err(error) => log::error!("demo: The engine did not come back. error={error}"),
        }
    });
}

/// Lets the last router leave gracefully.
fn leave_router(fleet: &mut Fleet) -> tokio::task::JoinHandle<()> {
    let router = fleet.routers.last_mut().and_then(Option::take);
    tokio::spawn(async move {
        let Some(router) = router else {
            return;
        };
        let report = router.drain(DRAIN_LIMIT).await;
        router.close(report.time_left).await;
        if report.cut_requests > 0 {
            log::error!(
                "demo: The drain cut requests. requests={}",
                report.cut_requests
            );
        }
        tokio::task::spawn_blocking(move || drop(router))
            .await
            .unwrap_or_default();
    })
}

async fn send(callers: Arc<Callers>, deployment: Deployment, planned: Planned) -> Outcome {
    let key = account_key(planned.account);
    match planned.kind {
        PlannedKind::Payment => {
            callers
                .pay(deployment.plain_service, &key, Uuid::now_v7())
                .await
        }
        PlannedKind::Chat {
            preamble,
            manual,
            question,
            max_tokens,
        } => {
            let ask = ChatAsk {
                model: deployment.model_service,
                key,
                preamble,
                manual,
                question,
                max_tokens,
            };
            callers.chat(&ask).await
        }
    }
}

impl Default for crate::engine::EngineSettings {
    fn default() -> Self {
        let listen = serde_json::json!({"listen": any_port()});
        serde_json::from_value(listen).expect("every other field has a default")
    }
}
