//! The cost of operator reports: burn reports, explanations, metrics and log lines.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crocuswharf::{
    BurnEnding, BurnObservation, BurnReport, BurnWindow, CompletedRequest, ExplainedCandidate,
    ExplainedChoice, ExplainedView, Explanation, ExplanationCapacity, MemberReply, MemberStats,
    Objectives, RequestRecorder, install_recorder, log_config, new_request_id,
};
use log::Log;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use simplelog::{LevelFilter, WriteLogger};

use super::fit::Point;
use super::report::{Cost, Figure};
use super::target;
use super::usage::{bytes_per_copy, microseconds_per_call};

const ACCOUNT_SIZES: [u32; 4] = [1_000, 5_000, 10_000, 41_000];
const MEMBER_SIZES: [u32; 4] = [3, 9, 27, 81];
const SERVICE_SIZES: [u32; 3] = [1, 3, 7];
const REPLICAS_PER_SERVICE: u32 = 229;

pub(super) fn measure() -> anyhow::Result<Vec<Figure>> {
    Ok(vec![
        scrape_time()?,
        journal_memory()?,
        record_time()?,
        figures_bytes(),
        join_time()?,
        log_time()?,
    ])
}

/// Generates journal entries that resemble real traffic: a few accounts are large, and one request in ten is bad.
struct EntryGenerator {
    rng: ChaCha8Rng,
    accounts: Vec<Arc<str>>,
    replicas: Vec<Arc<str>>,
    services: Vec<Arc<str>>,
}

impl EntryGenerator {
    fn new(accounts: u32, services: u32) -> Self {
        let names =
            |prefix: &str, count: u32| (0..count).map(|n| format!("{prefix}-{n}").into()).collect();
        Self {
            rng: ChaCha8Rng::seed_from_u64(1),
            accounts: names("account", accounts),
            replicas: names("replica", REPLICAS_PER_SERVICE),
            services: names("model", services),
        }
    }

    fn next(&mut self) -> CompletedRequest {
        let skewed = self.rng.random_range(0.0_f64..1.0).powi(3);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "an index below the number of accounts"
        )]
        let account = (skewed * self.accounts.len() as f64) as usize;
        let service = self.services[self.rng.random_range(0..self.services.len())].clone();
        let account = self.accounts[account].clone();
        let replica = self.replicas[self.rng.random_range(0..self.replicas.len())].clone();
        let is_bad = self.rng.random_bool(0.1);
        let ttft_ms = self.rng.random_range(20..360) + if is_bad { 600 } else { 0 };
        let mut explanation = Explanation::begin(
            new_request_id(7, Duration::from_secs(1_760_000_000), &mut self.rng),
            "router-1".into(),
            service.clone(),
            account.clone(),
            Duration::ZERO,
        );
        explanation.choice = Some(self.choice());
        explanation.total_ms = ttft_ms + 4_000;
        explanation.end.complete = !is_bad;
        CompletedRequest {
            observation: BurnObservation {
                service,
                account,
                replica: Some(replica),
                zone: Some("ikeja".into()),
                ending: if is_bad {
                    BurnEnding::Incomplete
                } else {
                    BurnEnding::Complete
                },
                ttft: Some(Duration::from_millis(ttft_ms)),
                token_interval: Some(Duration::from_millis(self.rng.random_range(20..60))),
                prefix_tokens: 10_000,
                avoidable_tokens: if is_bad { 2_000 } else { 0 },
            },
            explanation,
            prefix: Some(self.prefix_name()),
        }
    }

    fn prefix_name(&mut self) -> Arc<str> {
        let skewed = self.rng.random_range(0.0_f64..1.0).powi(3) * 2_000.0;
        format!("model/account/{skewed:.0}").into()
    }

    fn choice(&mut self) -> ExplainedChoice {
        let candidates = (0..4).map(|_| ExplainedCandidate {
            replica: self.replicas[self.rng.random_range(0..self.replicas.len())].clone(),
            zone: "ikeja".into(),
            queue_ms: 1.0,
            ttft_ms: 80.0,
            cost_ms: 90.0,
            warm_tokens: 9_000,
        });
        ExplainedChoice {
            view: ExplainedView::Own,
            candidates: candidates.collect(),
            considered: 229,
            reason: "least priced cost".into(),
        }
    }
}

/// Creates a journal. All journals have the same router name, so that the metrics are those of one router.
fn new_journal() -> RequestRecorder {
    RequestRecorder::new(
        "router-1".into(),
        ExplanationCapacity::default(),
        Duration::ZERO,
    )
}

fn point(size: u32, value: f64) -> Point {
    Point {
        size: size.into(),
        value,
    }
}

fn requests_per_router() -> f64 {
    target::REQUESTS_PER_SECOND / target::ROUTERS
}

fn record_time() -> anyhow::Result<Figure> {
    install_recorder()?;
    let mut points = Vec::new();
    for accounts in ACCOUNT_SIZES {
        let mut entries = EntryGenerator::new(accounts, 7);
        let mut journal = new_journal();
        let prepared: Vec<CompletedRequest> = (0..20_000).map(|_| entries.next()).collect();
        let mut prepared = prepared.iter().cycle();
        let value = microseconds_per_call(20_000, |index| {
            let entry = prepared.next().expect("a cycle is endless").clone();
            let now = Duration::from_millis(u64::from(index) * 60);
            journal.record(entry, &Objectives::default(), now);
        })?;
        points.push(point(accounts, value));
    }
    Ok(Figure {
        role: "burn, explain",
        name: "record one ended request",
        along: "account",
        is_control: true,
        points,
        target_size: target::ACCOUNTS,
        cost: Cost::Processor {
            events_per_second: requests_per_router(),
        },
    })
}

/// Fills all slices of three days, which takes the maximum amount of memory.
fn journal_memory() -> anyhow::Result<Figure> {
    install_recorder()?;
    let mut points = Vec::new();
    for services in SERVICE_SIZES {
        let mut entries = EntryGenerator::new(41_000, services);
        let value = bytes_per_copy(8, |_| {
            let mut journal = new_journal();
            for index in 0..40_000_u64 {
                let now = Duration::from_millis(index * 8_100);
                journal.record(entries.next(), &Objectives::default(), now);
            }
            journal
        })?;
        points.push(point(services, value));
    }
    Ok(Figure {
        role: "burn, explain",
        name: "journal, all slices filled",
        along: "service",
        is_control: true,
        points,
        target_size: target::MODELS + 3.0,
        cost: Cost::Memory { copies: 1.0 },
    })
}

fn scrape_time() -> anyhow::Result<Figure> {
    let handle = install_recorder()?;
    let mut points = Vec::new();
    for services in SERVICE_SIZES {
        let mut entries = EntryGenerator::new(41_000, services);
        let mut journal = new_journal();
        for _ in 0..41_000 {
            journal.record(entries.next(), &Objectives::default(), Duration::ZERO);
        }
        handle.run_upkeep();
        let value = microseconds_per_call(20, |_| {
            journal.update_gauges(|_| Some(Objectives::default()), Duration::ZERO);
            let page = handle.render();
            assert!(
                page.contains("router-1"),
                "the scrape has no metrics of the router"
            );
        })?;
        points.push(point(services, value / 1e3));
    }
    Ok(Figure {
        role: "metrics",
        name: "scrape after requests of 41,000 accounts",
        along: "service",
        is_control: false,
        points,
        target_size: target::MODELS + 3.0,
        cost: Cost::Wait,
    })
}

fn member_figures(entries: &mut EntryGenerator) -> MemberStats {
    let mut journal = new_journal();
    for index in 0..4_000_u64 {
        let now = Duration::from_millis(index * 900);
        journal.record(entries.next(), &Objectives::default(), now);
    }
    journal.stats(BurnWindow::Hour, Duration::from_secs(3_600))
}

fn figures_bytes() -> Figure {
    let mut points = Vec::new();
    for services in SERVICE_SIZES {
        let mut entries = EntryGenerator::new(41_000, services);
        let bytes = member_figures(&mut entries).to_bytes().len();
        points.push(point(
            services,
            f64::from(u32::try_from(bytes).unwrap_or(u32::MAX)),
        ));
    }
    Figure {
        role: "burn, explain",
        name: "one member's figures for one report an hour",
        along: "service",
        is_control: true,
        points,
        target_size: target::MODELS + 3.0,
        cost: Cost::Network {
            messages_per_second: 1.0 / 3_600.0,
        },
    }
}

/// Decodes and joins the figures of several members, as for an operator's request.
fn join_time() -> anyhow::Result<Figure> {
    let mut entries = EntryGenerator::new(41_000, 7);
    let encoded: Vec<Vec<u8>> = (0..9)
        .map(|_| member_figures(&mut entries).to_bytes())
        .collect();
    let objectives: BTreeMap<Arc<str>, Objectives> = entries
        .services
        .iter()
        .map(|service| (service.clone(), Objectives::default()))
        .collect();
    let mut points = Vec::new();
    for members in MEMBER_SIZES {
        let began = Instant::now();
        let value = microseconds_per_call(3, |_| {
            let answers = encoded.iter().cycle().zip(0..members);
            let answers = answers.map(|(bytes, index)| MemberReply {
                router: format!("router-{index}").into(),
                stats: MemberStats::from_bytes(bytes),
            });
            let report = BurnReport::merge(&objectives, BurnWindow::Hour, answers.collect());
            assert!(
                report.missing.is_empty(),
                "decoding a member's figures failed"
            );
        })?;
        log::debug!(
            "burn: Report joined. members={members} elapsed={:?}",
            began.elapsed()
        );
        points.push(point(members, value / 1e3));
    }
    Ok(Figure {
        role: "burn, explain",
        name: "join a report of 7 services",
        along: "member",
        is_control: false,
        points,
        target_size: target::ROUTERS,
        cost: Cost::Wait,
    })
}

/// Writes lines like those of finished requests to a sink. The size is the length of the names in a line.
fn log_time() -> anyhow::Result<Figure> {
    let logger = WriteLogger::new(LevelFilter::Debug, log_config(), io::sink());
    let mut points = Vec::new();
    for name_bytes in [8_u32, 32, 96] {
        let name = "n".repeat(name_bytes as usize);
        let value = microseconds_per_call(50_000, |index| {
            logger.log(
                &log::Record::builder()
                    .level(log::Level::Debug)
                    .target("crocuswharf::entry")
                    .module_path(Some("crocuswharf::entry"))
                    .args(format_args!(
                        "entry: request ended request={index} service={name} status=200"
                    ))
                    .build(),
            );
        })?;
        points.push(point(name_bytes, value));
    }
    Ok(Figure {
        role: "logs",
        name: "write one line for a request, to nowhere",
        along: "byte of name",
        is_control: false,
        points,
        target_size: 32.0,
        cost: Cost::Processor {
            events_per_second: requests_per_router(),
        },
    })
}
