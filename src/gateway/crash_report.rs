//! Crashes of replicas and kept answers, as routers report them to each other.
//!
//! Routers send what they see to all others at once, and now and then all that they know to a random one, so that a
//! router that starts, or was cut off, learns it too. Times are sent as ages, since routers share no clock. What they
//! mean is decided in [`crate::request::quarantine`].

use std::time::Duration;

use crate::request::quarantine::{Crash, Evidence, PartKey, Quarantine};

/// The maximum number of crashes, and of kept answers, in one report; about 4 KB.
const MAX_REPORTED: usize = 64;

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
    /// The shared parts of the prompt, in order.
    #[prost(fixed64, repeated, tag = "1")]
    parts: Vec<u64>,
    /// The incarnation of the replica.
    #[prost(fixed32, tag = "2")]
    replica: u32,
    /// The time since the crash, in milliseconds.
    #[prost(uint64, tag = "3")]
    age_ms: u64,
    /// Whether the evidence is strong.
    #[prost(bool, tag = "4")]
    is_strong: bool,
}

/// The wire format of a kept answer.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct KeptMessage {
    /// The part.
    #[prost(fixed64, tag = "1")]
    part: u64,
    /// The time since an answer under the part went on, in milliseconds.
    #[prost(uint64, tag = "2")]
    age_ms: u64,
}

impl CrashReport {
    /// Creates a report of what is new.
    pub(crate) fn of(
        crashes: &[Crash],
        kept: impl IntoIterator<Item = (PartKey, Duration)>,
        now: Duration,
    ) -> Self {
        let age_ms =
            |at: Duration| u64::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u64::MAX);
        let crashes = crashes.iter().map(|crash| CrashMessage {
            parts: crash.parts.to_vec(),
            replica: crash.replica,
            age_ms: age_ms(crash.at),
            is_strong: crash.evidence == Evidence::Strong,
        });
        let kept = kept.into_iter().map(|(part, at)| KeptMessage {
            part,
            age_ms: age_ms(at),
        });
        Self {
            crashes: crashes.collect(),
            kept: kept.collect(),
        }
    }

    /// Creates a report of what `quarantine` knows: the strongest and newest crashes, and the newest kept answers.
    pub(crate) fn of_all(quarantine: &Quarantine, now: Duration) -> Self {
        let mut crashes = quarantine.crashes().to_vec();
        crashes.sort_by_key(|crash| std::cmp::Reverse((crash.evidence, crash.at)));
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
        impl Iterator<Item = (PartKey, Duration)>,
    ) {
        let time = move |age_ms| now.saturating_sub(Duration::from_millis(age_ms));
        let crashes = self.crashes.into_iter().map(move |crash| Crash {
            parts: crash.parts.into(),
            replica: crash.replica,
            at: time(crash.age_ms),
            evidence: if crash.is_strong {
                Evidence::Strong
            } else {
                Evidence::Weak
            },
        });
        let kept = self.kept.into_iter();
        (
            crashes,
            kept.map(move |kept| (kept.part, time(kept.age_ms))),
        )
    }
}
