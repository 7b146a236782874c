//! `crocuswharf-standin compare`: compares the routing policy with baselines in virtual time.
//!
//! The arrivals are drawn from a seed and simulated once per policy, in a single thread. Engines, load reports, cache
//! events and delays between routers are modelled only as far as the policy can observe them: the comparison measures
//! decisions and is not a cluster simulator. docs/design/routing.md justifies the settings.

mod baselines;
mod block_holders;
mod engine;
mod faults;
mod plot;
mod report;
mod routers;
mod scenario;
mod simulation;
mod workload;

use std::path::PathBuf;

use anyhow::Context;
use argh::FromArgs;
use crocuswharf::ModelFeatures;

use self::baselines::PolicyKind;
use self::faults::Faults;
use self::report::Comparison;
use self::scenario::{DeploymentName, Scenario};

/// compare the routing policy with baselines in virtual time
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "compare")]
pub struct CompareArgs {
    /// the deployment to model: shinewell or cedarbunk
    #[argh(option, default = "DeploymentName::Shinewell")]
    deployment: DeploymentName,
    /// the seed of arrivals, faults and random choices
    #[argh(option, default = "1")]
    seed: u64,
    /// the number of measured requests, after those that warm the caches
    #[argh(option, default = "10_000")]
    requests: usize,
    /// the number of routers
    #[argh(option, default = "9")]
    routers: usize,
    /// the number of replicas; by default that of the deployment
    #[argh(option)]
    replicas: Option<usize>,
    /// the load; 1.0 just saturates an ideal pool
    #[argh(option, default = "0.7")]
    load: f64,
    /// the faults to inject: none, crash, gaps, shift, restart or all
    #[argh(option, default = "Faults::default()")]
    faults: Faults,
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// write an SVG plot of the 95th percentile of the time to first token against load to this file
    #[argh(option)]
    plot: Option<PathBuf>,
    /// run only these policies, comma separated
    #[argh(option)]
    only: Option<String>,
    /// the price of recomputation in crocuswharf's routing preference; by default that of the deployment
    #[argh(option)]
    price: Option<f64>,
    /// the price of recomputation for the oracle; by default that of the deployment
    #[argh(option)]
    oracle_price: Option<f64>,
    /// disable parts of the policy, comma separated: owner, answers, events, price, width, worth, randomness, reports
    #[argh(option, default = "String::new()")]
    without: String,
}

/// Runs the comparison and prints its result, or writes the plot.
pub fn run(args: &CompareArgs) -> anyhow::Result<()> {
    let kinds = PolicyKind::parse_list(args.only.as_deref())?;
    let ablation = Ablation::parse(&args.without)?;
    if let Some(path) = &args.plot {
        return plot::write(args, &kinds, ablation, path)
            .with_context(|| format!("writing {}", path.display()));
    }
    let comparison = compare(args, args.load, &kinds, ablation)?;
    if args.json {
        println!("{}", serde_json::to_string(&comparison)?);
    } else {
        print!("{}", comparison.table());
    }
    Ok(())
}

fn compare(
    args: &CompareArgs,
    load: f64,
    kinds: &[PolicyKind],
    ablation: Ablation,
) -> anyhow::Result<Comparison> {
    anyhow::ensure!(load > 0.0, "load: {load} is not positive");
    anyhow::ensure!(args.requests > 0, "requests: 0 is not positive");
    anyhow::ensure!(args.routers > 0, "routers: 0 is not positive");
    anyhow::ensure!(args.replicas != Some(0), "replicas: 0 is not positive");
    let mut scenario = Scenario::new(args.deployment, args.routers, args.replicas, load);
    scenario.recomputation_price = args.price.unwrap_or(scenario.recomputation_price);
    scenario.oracle_price = args.oracle_price.unwrap_or(scenario.oracle_price);
    let arrivals = workload::arrivals(&scenario, args.faults, args.seed, args.requests);
    let policies = kinds
        .iter()
        .map(|&kind| {
            simulation::simulate(&scenario, &arrivals, args.faults, kind, ablation, args.seed)
        })
        .collect();
    Ok(Comparison {
        deployment: args.deployment.to_string(),
        seed: args.seed,
        requests: args.requests,
        routers: args.routers,
        replicas: scenario.replicas,
        load,
        faults: args.faults.to_string(),
        arrivals_per_second: scenario.arrivals_per_second,
        policies,
    })
}

/// The parts of the policy that are disabled in an ablation measurement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Ablation {
    features: ModelFeatures,
    without_owner: bool,
    without_reports: bool,
}

impl Ablation {
    fn parse(list: &str) -> anyhow::Result<Self> {
        let mut ablation = Self::default();
        for part in list.split(',').filter(|p| !p.is_empty()) {
            match part {
                "owner" => ablation.without_owner = true,
                "reports" => ablation.without_reports = true,
                "answers" => ablation.features.responses = false,
                "events" => ablation.features.cache_events = false,
                "price" => ablation.features.recompute_price = false,
                "worth" => ablation.features.eviction_cost = false,
                "width" => ablation.features.hot_spread = false,
                "randomness" => ablation.features.jitter = false,
                _ => anyhow::bail!("without: unknown part {part}"),
            }
        }
        Ok(ablation)
    }
}
