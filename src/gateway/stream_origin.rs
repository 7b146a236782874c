//! Which release began a stream. A release is one software version of a service.
//!
//! What two versions write does not fit together, so a stream goes on only at the release that began it, within one
//! response and over its caller's attempts. A stream has no release until the first bytes of its body are passed on;
//! until then any replica may answer it. A caller that takes a stream up again names the attempt that brought its first
//! event, which is looked up:
//!
//! 1. among the streams that this router has begun, or was told of;
//! 2. at the routers to which the hash of the attempt leads: while a service has several releases, each stream is told to
//!    some of them;
//! 3. if nobody knows the stream, it can only be of the sole release that has served lately, if there is just one
//!    ([`super::releases`]).
//!
//! Otherwise the caller is refused at once. It is never sent to a release that is only likely. Rejected: records in the
//! platform's store, which would be written several times a second; and a release computed from the attempt's id, which
//! binds the placement of new streams while replicas are replaced within seconds. See docs/design/releases.md.
//!
//! Load patterns handled: replicas that break off many streams at once during a release; routers that are killed under
//! their streams, one of them, most or all.

use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// The maximum number of streams that a router remembers.
const MAX_STREAMS: usize = 65_536;

/// The hash of an account and of the id of the attempt that brought the first event of its stream. Another account that
/// names the same id finds nothing.
pub(crate) type StreamKey = u64;
/// The hash of a service and a version of its software.
pub(crate) type ReleaseKey = u64;

/// Returns the key of the stream that `attempt` of `account` began.
pub(crate) fn stream_key(account: &str, attempt: &str) -> StreamKey {
    let mut hasher = Xxh3::new();
    hasher.update(&(account.len() as u64).to_le_bytes());
    hasher.update(account.as_bytes());
    hasher.update(attempt.as_bytes());
    hasher.digest()
}

/// Returns the key of a release.
pub(crate) fn release_key(service: &str, software_version: &str) -> ReleaseKey {
    let seed = xxh3_64_with_seed(service.as_bytes(), 0);
    xxh3_64_with_seed(software_version.as_bytes(), seed)
}

/// The releases of the streams that a router has begun or was told of.
#[derive(Debug, Default)]
pub(crate) struct StreamTable {
    streams: HashMap<StreamKey, KnownStream>,
}

#[derive(Clone, Copy, Debug)]
struct KnownStream {
    release: ReleaseKey,
    used_at: Duration,
    /// Whether this router has passed its events on.
    is_own: bool,
}

impl StreamTable {
    /// Records that a stream was begun by `release`, or goes on at it; returns false if there is no room for it.
    pub(crate) fn record(
        &mut self,
        stream: StreamKey,
        release: ReleaseKey,
        is_own: bool,
        now: Duration,
    ) -> bool {
        if self.streams.len() >= MAX_STREAMS && !self.streams.contains_key(&stream) {
            return false;
        }
        let known = self.streams.entry(stream).or_insert(KnownStream {
            release,
            used_at: now,
            is_own,
        });
        known.used_at = now;
        known.is_own |= is_own;
        true
    }

    /// Returns the release that began a stream, and remembers the stream for longer.
    pub(crate) fn find(&mut self, stream: StreamKey, now: Duration) -> Option<ReleaseKey> {
        let known = self.streams.get_mut(&stream)?;
        known.used_at = now;
        Some(known.release)
    }

    /// Returns the streams of `releases` that this router has begun.
    pub(crate) fn own_streams(&self, releases: &[ReleaseKey]) -> Vec<(StreamKey, ReleaseKey)> {
        let streams = self.streams.iter();
        let own = streams.filter(|(_, known)| known.is_own && releases.contains(&known.release));
        own.map(|(stream, known)| (*stream, known.release))
            .collect()
    }

    /// Forgets the streams that were not used for `time`.
    pub(crate) fn expire(&mut self, time: Duration, now: Duration) {
        self.streams
            .retain(|_, known| now < known.used_at.saturating_add(time));
    }

    /// Returns the number of streams.
    pub(crate) fn len(&self) -> usize {
        self.streams.len()
    }
}

/// A message about streams between routers. A request that looks a stream up is answered with a [`StreamReply`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct StreamMessage {
    /// The streams that the sender has begun.
    #[prost(fixed64, repeated, tag = "1")]
    pub(crate) streams: Vec<StreamKey>,
    /// The release of each of them.
    #[prost(fixed64, repeated, tag = "2")]
    pub(crate) releases: Vec<ReleaseKey>,
    /// The stream that is looked up, if one is named.
    #[prost(fixed64, optional, tag = "3")]
    pub(crate) wanted: Option<StreamKey>,
    /// The services that may have begun the stream that is looked up.
    #[prost(string, repeated, tag = "4")]
    pub(crate) services: Vec<String>,
    /// The releases that the platform's store names as serving, if the sender has changed them.
    #[prost(fixed64, repeated, tag = "5")]
    pub(crate) recorded: Vec<ReleaseKey>,
}

/// What a router knows about a stream that is looked up.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct StreamReply {
    /// The release that began it, if it is known.
    #[prost(fixed64, optional, tag = "1")]
    pub(crate) release: Option<ReleaseKey>,
    /// The releases of the services that the router has seen lately.
    #[prost(fixed64, repeated, tag = "2")]
    pub(crate) seen: Vec<ReleaseKey>,
    /// Whether these are all that may have begun a stream that still lives.
    #[prost(bool, tag = "3")]
    pub(crate) is_complete: bool,
}

/// The search for the release of a stream.
#[derive(Clone, Debug)]
pub(crate) struct OriginSearch {
    seen: Vec<ReleaseKey>,
    is_complete: bool,
    /// Whether what this router knows has been compared with another one's, unless there is none.
    is_confirmed: bool,
}

/// How the search for the release of a stream has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// A router knows the stream.
    Known(ReleaseKey),
    /// Nobody knows the stream, and only this release can have begun it.
    Sole(ReleaseKey),
    /// It can't be told which release began the stream.
    Unknown,
    /// No other router has answered, or the releases before its start are not known yet, so it may be known later.
    Unconfirmed,
}

impl OriginSearch {
    /// Begins with what this router knows; `is_alone` tells whether it has no others to ask.
    pub(crate) fn new(own: StreamReply, is_alone: bool) -> Self {
        Self {
            seen: own.seen,
            is_complete: own.is_complete,
            is_confirmed: is_alone,
        }
    }

    /// Adds the reply of another router; returns the result if no more replies are needed.
    pub(crate) fn add(&mut self, reply: StreamReply) -> Option<Origin> {
        if let Some(release) = reply.release {
            return Some(Origin::Known(release));
        }
        self.is_confirmed = true;
        self.is_complete |= reply.is_complete;
        for release in reply.seen {
            if !self.seen.contains(&release) {
                self.seen.push(release);
            }
        }
        Some(self.end()).filter(|origin| matches!(origin, Origin::Sole(_)))
    }

    /// Returns the result after the last reply.
    pub(crate) fn end(&self) -> Origin {
        match self.seen[..] {
            _ if !self.is_confirmed || !self.is_complete => Origin::Unconfirmed,
            [release] => Origin::Sole(release),
            _ => Origin::Unknown,
        }
    }
}
