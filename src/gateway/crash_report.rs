//! Crashes of replicas and kept answers, as routers report them to each other.
//!
//! Routers send what they see to all others at once, and now and then all that they know to a random one, so that a
//! router that starts, or was cut off, learns it too. Times are sent as ages, since routers share no clock. What they
//! mean is decided in [`crate::request::quarantine`].

use std::time::Duration;

use crate::request::quarantine::{BrokenRequest, Crash, Evidence, Quarantine, SuspectKey};

/// The maximum number of crashes, and of kept answers, in one report; about 4 KB.
const MAX_REPORTED: usize = 64;

/// The maximum length of a request's ID in a report.
const MAX_ID_CHARS: usize = 64;

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
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct CrashMessage {
    /// The shared parts of the prompt, in order, or the key of the whole request.
    #[prost(fixed64, repeated, tag = "1")]
    keys: Vec<u64>,
    /// The incarnation of the replica.
    #[prost(fixed32, tag = "2")]
    replica: u32,
    /// The time since the crash, in milliseconds.
    #[prost(uint64, tag = "3")]
    age_ms: u64,
    /// Whether the evidence is strong.
    #[prost(bool, tag = "4")]
    is_strong: bool,
    /// The whole request; absent if the keys are those of parts.
    #[prost(message, optional, tag = "5")]
    request: Option<RequestMessage>,
}

/// The wire format of a [`BrokenRequest`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct RequestMessage {
    /// The ID of the caller's attempt, cut off if it is long.
    #[prost(string, tag = "1")]
    id: String,
    /// The time since it was sent to the replica, in milliseconds.
    #[prost(uint64, tag = "2")]
    ran_ms: u64,
}

/// The wire format of a kept answer.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct KeptMessage {
    /// The part or whole request.
    #[prost(fixed64, tag = "1")]
    key: u64,
    /// The time since an answer under it went on, in milliseconds.
    #[prost(uint64, tag = "2")]
    age_ms: u64,
}

impl CrashReport {
    /// Creates a report of what is new.
    pub(crate) fn of(
        crashes: &[Crash],
        kept: impl IntoIterator<Item = (SuspectKey, Duration)>,
        now: Duration,
    ) -> Self {
        let age_ms = |at: Duration| millis(now.saturating_sub(at));
        let crashes = crashes.iter().map(|crash| CrashMessage {
            keys: crash.keys.to_vec(),
            replica: crash.replica,
            age_ms: age_ms(crash.at),
            is_strong: crash.evidence == Evidence::Strong,
            request: crash.request.as_ref().map(|request| RequestMessage {
                id: request.id.chars().take(MAX_ID_CHARS).collect(),
                ran_ms: millis(request.ran),
            }),
        });
        let kept = kept.into_iter().map(|(key, at)| KeptMessage {
            key,
            age_ms: age_ms(at),
        });
        Self {
            crashes: crashes.collect(),
            kept: kept.collect(),
        }
    }

    /// Creates a report of what `quarantine` knows: the strongest and newest crashes, those under keys with several of
    /// them first, and the newest kept answers.
    pub(crate) fn of_all(quarantine: &Quarantine, now: Duration) -> Self {
        let mut crashes = quarantine.crashes().to_vec();
        let repeated = quarantine.repeated_keys();
        crashes.sort_by_key(|crash| {
            let is_repeated = crash.keys.iter().any(|key| repeated.contains(key));
            std::cmp::Reverse((crash.evidence, is_repeated, crash.at))
        });
        crashes.truncate(MAX_REPORTED);
        let mut kept: Vec<_> = quarantine.kept().collect();
        kept.sort_by_key(|(_, at)| std::cmp::Reverse(*at));
        kept.truncate(MAX_REPORTED);
        Self::of(&crashes, kept, now)
    }

    /// Returns whether there is nothing to report.
    pub(crate) const fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.kept.is_empty()
    }

    /// Decodes the crashes and the kept answers of a report that arrived at `now`.
    pub(crate) fn into_parts(
        self,
        now: Duration,
    ) -> (
        impl Iterator<Item = Crash>,
        impl Iterator<Item = (SuspectKey, Duration)>,
    ) {
        let time = move |age_ms| now.saturating_sub(Duration::from_millis(age_ms));
        let crashes = self.crashes.into_iter().map(move |crash| Crash {
            keys: crash.keys.into(),
            request: crash.request.map(|request| BrokenRequest {
                id: request.id.into(),
                ran: Duration::from_millis(request.ran_ms),
            }),
            replica: crash.replica,
            at: time(crash.age_ms),
            evidence: if crash.is_strong {
                Evidence::Strong
            } else {
                Evidence::Weak
            },
        });
        let kept = self.kept.into_iter();
        (crashes, kept.map(move |kept| (kept.key, time(kept.age_ms))))
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
