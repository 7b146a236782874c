use std::collections::HashMap;
use std::sync::Arc;

use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::sketch::TopK;
use super::*;
use crate::error::{Error, ErrorKind};

const SECOND: Duration = Duration::from_secs(1);

fn cases(default: u64) -> u64 {
    let asked = std::env::var("CROCUSWHARF_CASES").ok();
    asked.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn observation(account: &str, ttft_ms: u64) -> Observation {
    Observation {
        service: "shine-assistant".into(),
        account: account.into(),
        replica: Some("shine-1".into()),
        zone: Some("ikeja".into()),
        ending: Ending::Complete,
        ttft: Some(Duration::from_millis(ttft_ms)),
        token_interval: Some(Duration::from_millis(20)),
        opening_tokens: 10_000,
        avoidable_tokens: 0,
    }
}

fn objectives() -> BTreeMap<ServiceName, Objectives> {
    BTreeMap::from([("shine-assistant".into(), Objectives::default())])
}

fn answer(router: &str, figures: Result<MemberFigures, Error>) -> MemberAnswer {
    MemberAnswer {
        router: router.into(),
        figures,
    }
}

fn ttft_of(report: &Report) -> &ObjectiveReport {
    &report.services[0].objectives[ObjectiveKind::Ttft as usize]
}

#[test]
fn judge_without_first_token_is_bad_for_ttft() {
    let mut refused = observation("a", 1);
    refused.ttft = None;
    refused.ending = Ending::Refused;
    let tally = refused.judge(&Objectives::default());
    assert_eq!(tally.bad, [1, 0, 1, 0]);
}

#[test]
fn judge_caller_counts_nowhere() {
    let mut gone = observation("a", 1);
    gone.ending = Ending::Caller;
    assert_eq!(gone.judge(&Objectives::default()), Tally::default());
}

#[test]
fn join_percentiles_are_merged_not_averaged() {
    let mut quick = Burn::new(Duration::ZERO);
    let mut slow = Burn::new(Duration::ZERO);
    for _ in 0..990 {
        quick.record(&observation("a", 10), &Objectives::default(), SECOND);
    }
    for _ in 0..10 {
        slow.record(&observation("b", 5_000), &Objectives::default(), SECOND);
    }
    let answers = vec![
        answer("r1", Ok(quick.figures(Window::Hour, SECOND))),
        answer("r2", Ok(slow.figures(Window::Hour, SECOND))),
    ];
    let report = Report::join(&objectives(), Window::Hour, answers);
    assert_eq!(report.services[0].ttft.p95_ms, Some(10));
    assert_eq!(report.services[0].requests, 1_000);
    assert_eq!(&*ttft_of(&report).accounts[0].name, "b");
}

#[test]
fn join_missing_member_is_named_and_not_good() {
    let mut burn = Burn::new(Duration::ZERO);
    burn.record(&observation("a", 900), &Objectives::default(), SECOND);
    let down = Error::new(ErrorKind::Unavailable, "connect timed out");
    let answers = vec![
        answer("r1", Ok(burn.figures(Window::Hour, SECOND))),
        answer("r2", Err(down)),
    ];
    let report = Report::join(&objectives(), Window::Hour, answers);
    assert_eq!(&*report.missing[0].router, "r2");
    let burn = ttft_of(&report).burn_rates[Window::Hour as usize];
    assert_eq!((burn.good, burn.bad), (0, 1));
    assert!(render_table(&report, false).contains("MISSING r2: connect timed out"));
    assert!(render_html(&report).unwrap().contains("<b>r2</b>"));
}

#[test]
fn join_no_member_has_no_rate() {
    let report = Report::join(&objectives(), Window::Hour, Vec::new());
    assert_eq!(ttft_of(&report).budget_left_percent, None);
    assert_eq!(report.alarm(), Alarm::None);
}

#[yare::parameterized(
    none = { 4, Alarm::None },
    slow = { 20, Alarm::Slow },
    fast = { 60, Alarm::Fast },
)]
fn alarm_by_bad_share(bad_percent: u64, expected: Alarm) {
    let mut burn = Burn::new(Duration::ZERO);
    let mut now = Duration::ZERO;
    for index in 0..21_600_u64 {
        now = SECOND * u32::try_from(index).unwrap();
        let ttft_ms = if index % 100 < bad_percent { 900 } else { 100 };
        burn.record(&observation("a", ttft_ms), &Objectives::default(), now);
    }
    let answers = vec![answer("r1", Ok(burn.figures(Window::Hour, now)))];
    let report = Report::join(&objectives(), Window::Hour, answers);
    assert_eq!(ttft_of(&report).alarm, expected);
}

#[test]
fn alarm_past_burst_is_not_fast() {
    let mut burn = Burn::new(Duration::ZERO);
    for second in 0..3_000_u32 {
        let ttft_ms = if second < 2_000 { 900 } else { 100 };
        burn.record(
            &observation("a", ttft_ms),
            &Objectives::default(),
            SECOND * second,
        );
    }
    let answers = vec![answer("r1", Ok(burn.figures(Window::Hour, SECOND * 3_000)))];
    let report = Report::join(&objectives(), Window::Hour, answers);
    assert!(ttft_of(&report).burn_rates[Window::Hour as usize].rate > Some(7.2));
    assert_ne!(ttft_of(&report).alarm, Alarm::Fast);
}

/// Compares every window's counts with those of a plain list of all observations.
#[test]
fn figures_random_times_match_list() {
    for seed in 0..cases(20) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut burn = Burn::new(Duration::ZERO);
        let mut list = Vec::new();
        let mut now = Duration::ZERO;
        for _ in 0..400 {
            now += Duration::from_millis(rng.random_range(0..2_000_000));
            let ttft_ms = rng.random_range(1..1_000);
            burn.record(&observation("a", ttft_ms), &Objectives::default(), now);
            list.push((now, ttft_ms > 370));
        }
        for window in Window::ALL {
            let width = window.span() / u32::try_from(window.tally_slices()).unwrap();
            let newest = now.as_millis() / width.as_millis();
            let slices = window.tally_slices() as u128;
            let held = list
                .iter()
                .filter(|(at, _)| newest - at.as_millis() / width.as_millis() <= slices);
            let bad = held.clone().filter(|(_, bad)| *bad).count() as u64;
            let figures = burn.figures(window, now);
            let tally = Tally::from(&figures.services[0].windows[window as usize]);
            assert_eq!(
                tally.requests,
                held.count() as u64,
                "seed {seed} {window:?}"
            );
            assert_eq!(tally.bad[0], bad, "seed {seed} {window:?}");
        }
    }
}

/// A merged sketch must bound each kept name's true weight from both sides, and keep every heavy name.
#[test]
fn sketch_random_merge_bounds_true_weights() {
    for seed in 0..cases(20) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut truth: HashMap<Arc<str>, u64> = HashMap::new();
        let mut merged = TopK::new(8);
        let mut total = 0;
        for shift in 0..9 {
            let mut part = TopK::new(8);
            for _ in 0..2_000 {
                let skewed =
                    rng.random_range(0.0_f64..1.0).powi(4) * 400.0 + f64::from(shift) * 3.0;
                let name: Arc<str> = format!("account-{skewed:.0}").into();
                part.add(&name, 1);
                *truth.entry(name).or_default() += 1;
                total += 1;
            }
            merged.merge(&part);
        }
        let kept = merged.heaviest();
        for heavy in &kept {
            let weight = truth[&heavy.name];
            assert!(weight <= heavy.weight, "seed {seed}");
            assert!(heavy.weight - heavy.error <= weight, "seed {seed}");
        }
        for (name, weight) in truth {
            let is_kept = kept.iter().any(|heavy| heavy.name == name);
            assert!(is_kept || weight <= total / 4, "seed {seed}: {name} lost");
        }
    }
}

#[test]
fn sketch_merge_of_displaced_name_bounds_true_weight() {
    let names: [Arc<str>; 3] = ["a", "b", "x"].map(Arc::from);
    let mut first = TopK::new(2);
    first.add(&names[2], 5);
    first.add(&names[0], 10);
    first.add(&names[1], 20);
    let mut second = TopK::new(2);
    second.add(&names[2], 30);
    first.merge(&second);
    let heavy = &first.heaviest()[0];
    assert_eq!(heavy.name, names[2]);
    assert!((heavy.weight - heavy.error..=heavy.weight).contains(&35));
}

#[test]
fn figures_encoded_survive_the_wire() {
    let mut burn = Burn::new(Duration::ZERO);
    for index in 0..100 {
        burn.record(
            &observation("a", index * 20),
            &Objectives::default(),
            SECOND,
        );
    }
    let figures = burn.figures(Window::ThreeDays, SECOND);
    let decoded = MemberFigures::from_bytes(&figures.encode_to_vec()).unwrap();
    assert_eq!(decoded, figures);
}

/// Feeds random bytes and damaged real figures to the decoder and the join: neither may panic.
#[test]
fn from_bytes_damaged_never_panics() {
    let mut burn = Burn::new(Duration::ZERO);
    for index in 0..50 {
        burn.record(
            &observation("a", index * 20),
            &Objectives::default(),
            SECOND,
        );
    }
    let good = burn.figures(Window::Hour, SECOND).encode_to_vec();
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    for _ in 0..cases(2_000) {
        let mut bytes = good.clone();
        for _ in 0..rng.random_range(1..8) {
            let index = rng.random_range(0..bytes.len());
            bytes[index] = rng.random();
        }
        bytes.truncate(rng.random_range(0..=bytes.len()));
        let answers = vec![answer("r1", MemberFigures::from_bytes(&bytes))];
        let report = Report::join(&objectives(), Window::Hour, answers);
        let _ = render_table(&report, true);
    }
}

#[test]
fn render_html_hostile_names_are_escaped() {
    let mut burn = Burn::new(Duration::ZERO);
    let hostile = "<script>alert('x')</script>";
    burn.record(&observation(hostile, 900), &Objectives::default(), SECOND);
    let answers = vec![answer(hostile, Ok(burn.figures(Window::Hour, SECOND)))];
    let report = Report::join(&objectives(), Window::Hour, answers);
    let page = render_html(&report).unwrap();
    assert!(!page.contains("<script"));
    assert!(page.contains("&lt;script&gt;"));
    assert_eq!(page.matches("<svg").count(), 4);
}

#[test]
fn record_beyond_services_is_dropped_and_counted() {
    let mut burn = Burn::new(Duration::ZERO);
    for index in 0..MAX_SERVICES + 3 {
        let mut one = observation("a", 1);
        one.service = format!("service-{index}").into();
        burn.record(&one, &Objectives::default(), SECOND);
    }
    assert_eq!(burn.dropped(), 3);
}

/// Each plot must be well-formed XML, which browsers forgive and other viewers do not.
#[test]
fn render_html_plots_have_closed_tags() {
    let mut burn = Burn::new(Duration::ZERO);
    for index in 0..600 {
        let now = SECOND * 6 * index;
        burn.record(
            &observation("a", u64::from(index)),
            &Objectives::default(),
            now,
        );
    }
    let answers = vec![answer("r1", Ok(burn.figures(Window::Hour, SECOND * 3_600)))];
    let page = render_html(&Report::join(&objectives(), Window::Hour, answers)).unwrap();
    for svg in page.split("<svg").skip(1) {
        let svg = svg.split("</svg>").next().unwrap();
        for tag in ["text", "g"] {
            let opened =
                svg.matches(&format!("<{tag} ")).count() + svg.matches(&format!("<{tag}>")).count();
            assert_eq!(opened, svg.matches(&format!("</{tag}>")).count(), "{tag}");
        }
        assert!(svg.matches("<rect").count() > 50, "a plot without bars");
    }
}
