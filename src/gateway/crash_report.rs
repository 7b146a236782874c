//! Crashes of replicas and kept answers, as routers report them to each other.
//!
//! Routers send what they see to all others at once, and now and then what they know of suspects with several crashes to a
//! random one, so that a router that starts, or was cut off, learns it too. Times are sent as ages, since routers share no
//! clock. What they mean is decided in [`crate::request::verdict`]. The bytes are bounded in docs/CAPACITY.md.

use std::cmp::Reverse;
use std::time::Duration;

use crate::request::quarantine::{Crash, Kept, Progress, Quarantine};

/// The maximum number of crashes in one report.
const MAX_CRASHES: usize = 32;
/// The maximum number of kept answers in one report.
const MAX_KEPT: usize = 64;
/// The maximum length of a request's ID in a report.
const MAX_ID_CHARS: usize = 64;
/// How long a crash that may be the only one of its suspects is repeated to routers that have missed it.
const RECENT: Duration = Duration::from_secs(3);

/// A report of crashes and kept answers.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct CrashReport {
    /// The crashes.
    #[prost(message, repeated, tag = "1")]
    crashes: Vec<CrashMessage>,
    /// The kept answers.
    #[prost(message, repeated, tag = "2")]
    kept: Vec<KeptMessage>,
}

/// The wire format of a [`Crash`].
///
/// Tag 4 told whether the evidence is strong, and is not used again: routers of both versions run during an update.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct CrashMessage {
    /// The shared parts of the prompt, in order.
    #[prost(fixed64, repeated, tag = "1")]
    parts: Vec<u64>,
    /// The incarnation of the replica.
    #[prost(fixed32, tag = "2")]
    replica: u32,
    /// The time since the crash, in milliseconds.
    #[prost(uint64, tag = "3")]
    age_ms: u64,
    /// The whole request.
    #[prost(message, optional, tag = "5")]
    request: Option<RequestMessage>,
    /// How far the answer had got, as the number of its [`Progress`].
    #[prost(uint32, tag = "6")]
    progress: u32,
    /// Whether the replica was down afterwards.
    #[prost(bool, tag = "7")]
    is_down: bool,
}

/// The wire format of the request that a crash broke off.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct RequestMessage {
    /// The ID of the caller's attempt, cut off if it is long.
    #[prost(string, tag = "1")]
    id: String,
    /// The time for which it ran, in milliseconds.
    #[prost(uint64, tag = "2")]
    ran_ms: u64,
    /// The key of the whole request; absent in messages of routers that know no such key for every request.
    #[prost(fixed64, optional, tag = "3")]
    key: Option<u64>,
}

/// The wire format of a [`Kept`] answer.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct KeptMessage {
    /// The part or whole request.
    #[prost(fixed64, tag = "1")]
    key: u64,
    /// The time since an answer under it went on, in milliseconds.
    #[prost(uint64, tag = "2")]
    age_ms: u64,
    /// Whether that answer was whole.
    #[prost(bool, tag = "3")]
    is_complete: bool,
}

impl CrashReport {
    /// Creates a report of what is new.
    pub(crate) fn of<'a>(
        crashes: impl IntoIterator<Item = &'a Crash>,
        kept: impl IntoIterator<Item = Kept>,
        now: Duration,
    ) -> Self {
        let age_ms = |at: Duration| millis(now.saturating_sub(at));
        let crashes = crashes.into_iter().map(|crash| CrashMessage {
            parts: crash.parts.to_vec(),
            replica: crash.replica,
            age_ms: age_ms(crash.at),
            request: Some(RequestMessage {
                id: crash.id.chars().take(MAX_ID_CHARS).collect(),
                ran_ms: millis(crash.ran),
                key: Some(crash.request),
            }),
            progress: encode_progress(crash.progress),
            is_down: crash.is_down,
        });
        let kept = kept.into_iter().map(|kept| KeptMessage {
            key: kept.key,
            age_ms: age_ms(kept.at),
            is_complete: kept.is_complete,
        });
        Self {
            crashes: crashes.collect(),
            kept: kept.collect(),
        }
    }

    /// Creates a report of what `quarantine` knows of suspects with several crashes, and of recent crashes, with the answers
    /// that clear their suspects first.
    pub(crate) fn of_all(quarantine: &Quarantine, now: Duration) -> Self {
        let mut crashes = quarantine.significant_crashes(now.saturating_sub(RECENT));
        crashes.truncate(MAX_CRASHES);
        let is_suspected = |kept: &Kept| {
            let mut suspects = crashes.iter().flat_map(|crash| crash.suspects());
            suspects.any(|(key, _)| key == kept.key)
        };
        let mut kept: Vec<_> = quarantine.kept().collect();
        kept.sort_by_key(|kept| Reverse((is_suspected(kept), kept.at)));
        kept.truncate(MAX_KEPT);
        Self::of(crashes, kept, now)
    }

    /// Returns whether there is nothing to report.
    pub(crate) const fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.kept.is_empty()
    }

    /// Decodes the crashes and the kept answers of a report that arrived at `now`; crashes without the key of a request are
    /// left out.
    pub(crate) fn into_parts(
        self,
        now: Duration,
    ) -> (impl Iterator<Item = Crash>, impl Iterator<Item = Kept>) {
        let time = move |age_ms| now.saturating_sub(Duration::from_millis(age_ms));
        let crashes = self.crashes.into_iter().filter_map(move |crash| {
            let request = crash.request?;
            Some(Crash {
                parts: crash.parts.into(),
                request: request.key?,
                id: request.id.into(),
                ran: Duration::from_millis(request.ran_ms),
                replica: crash.replica,
                at: time(crash.age_ms),
                progress: decode_progress(crash.progress),
                is_down: crash.is_down,
            })
        });
        let kept = self.kept.into_iter().map(move |kept| Kept {
            key: kept.key,
            at: time(kept.age_ms),
            is_complete: kept.is_complete,
        });
        (crashes, kept)
    }
}

const fn encode_progress(progress: Progress) -> u32 {
    match progress {
        Progress::Waiting => 0,
        Progress::Begun => 1,
        Progress::FirstEvents => 2,
        Progress::WentOn => 3,
    }
}

/// A number that this version doesn't know is read as the weakest evidence.
const fn decode_progress(number: u32) -> Progress {
    match number {
        0 => Progress::Waiting,
        1 => Progress::Begun,
        2 => Progress::FirstEvents,
        _ => Progress::WentOn,
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
