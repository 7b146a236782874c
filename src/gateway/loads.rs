//! How much work replicas have from all routers together.
//!
//! One router of many sees too little of a replica's work to tell a full one from an idle one. So each router tells the
//! router that it gets its news from what it has in hand, those tell each other their sums, and each answer of news brings
//! the others' work back. It is some 0.3 s old and costs no call to a replica. Asking replicas for their reports was
//! rejected: each report is priced, and is 0.2 s old when it comes.

use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::{RouterId, WeightsVersion};

/// How long what a router told counts; it tells several times a second while it runs.
const TOLD_LIFE: Duration = Duration::from_millis(1_500);

/// Names one life of a replica in a few bytes; two with the same key only add up their work.
pub(crate) type ReplicaKey = u32;

/// Returns the key of one life of a replica.
pub(crate) fn replica_key(id: &str, born_ms: u64) -> ReplicaKey {
    xxh3_64_with_seed(id.as_bytes(), born_ms) as ReplicaKey
}

/// The work that one replica has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Work {
    /// The requests in hand, those that wait there included.
    pub(crate) in_flight: u32,
    /// The tokens of their prompts that are yet to be read.
    pub(crate) unread_tokens: u64,
    /// Whether it has refused a request a moment ago.
    pub(crate) is_refusing: bool,
    /// The weights version that an answer has named a moment ago; 0 for none.
    pub(crate) version: WeightsVersion,
}

impl Work {
    /// Tells whether there is any.
    pub(crate) const fn is_none(self) -> bool {
        self.in_flight == 0 && self.unread_tokens == 0 && !self.is_refusing && self.version == 0
    }

    fn add(&mut self, other: Self) {
        self.in_flight = self.in_flight.saturating_add(other.in_flight);
        self.unread_tokens = self.unread_tokens.saturating_add(other.unread_tokens);
        self.is_refusing |= other.is_refusing;
        self.version = self.version.max(other.version);
    }

    const fn less(self, other: Self) -> Self {
        Self {
            in_flight: self.in_flight.saturating_sub(other.in_flight),
            unread_tokens: self.unread_tokens.saturating_sub(other.unread_tokens),
            ..self
        }
    }
}

/// The work of several replicas.
pub(crate) type Works = HashMap<ReplicaKey, Work>;

/// The work of several replicas as it travels; the three lists belong together by place.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct WorkNews {
    /// The replicas.
    #[prost(fixed32, repeated, tag = "1")]
    keys: Vec<u32>,
    /// The requests in hand.
    #[prost(uint32, repeated, tag = "2")]
    in_flight: Vec<u32>,
    /// The tokens yet to be read.
    #[prost(uint64, repeated, tag = "3")]
    unread_tokens: Vec<u64>,
    /// The places in the lists of replicas that refuse requests.
    #[prost(uint32, repeated, tag = "4")]
    refusing: Vec<u32>,
    /// The weights versions that answers have named; 0 for none.
    #[prost(uint64, repeated, tag = "5")]
    versions: Vec<u64>,
}

impl WorkNews {
    /// Encodes work; replicas without any are left out.
    pub(crate) fn of(works: &Works) -> Self {
        let mut news = Self::default();
        for (key, work) in works.iter().filter(|(_, work)| !work.is_none()) {
            news.keys.push(*key);
            news.in_flight.push(work.in_flight);
            news.unread_tokens.push(work.unread_tokens);
            news.versions.push(work.version);
            if work.is_refusing {
                news.refusing.push(news.keys.len() as u32 - 1);
            }
        }
        news
    }

    /// Decodes the work.
    pub(crate) fn into_works(self) -> Works {
        let figures = self.in_flight.into_iter().zip(self.unread_tokens);
        let figures = figures.zip(self.versions).enumerate();
        let works = figures.map(|(place, ((in_flight, unread_tokens), version))| Work {
            in_flight,
            unread_tokens,
            is_refusing: self.refusing.contains(&(place as u32)),
            version,
        });
        self.keys.into_iter().zip(works).collect()
    }
}

/// What routers have told of their work.
#[derive(Debug, Default)]
pub(crate) struct Told {
    /// By routers that get their news here.
    followers: HashMap<RouterId, (Duration, Works)>,
    /// By routers that sum up others' work, as this one does.
    sums: HashMap<RouterId, (Duration, Works)>,
}

impl Told {
    /// Takes the work of a router that gets its news here.
    pub(crate) fn take_follower(&mut self, router: RouterId, works: Works, now: Duration) {
        self.followers.insert(router, (now, works));
    }

    /// Takes the sum that another router has made.
    pub(crate) fn take_sum(&mut self, router: RouterId, works: Works, now: Duration) {
        self.sums.insert(router, (now, works));
    }

    /// Drops what routers told too long ago.
    pub(crate) fn expire(&mut self, now: Duration) {
        let is_young = |at: &Duration| now < *at + TOLD_LIFE;
        self.followers.retain(|_, (at, _)| is_young(at));
        self.sums.retain(|_, (at, _)| is_young(at));
    }

    /// Sums up this router's own work and that of the routers that get their news here.
    pub(crate) fn own_sum(&self, own: &Works) -> Works {
        let mut sum = own.clone();
        for (_, works) in self.followers.values() {
            add_all(&mut sum, works);
        }
        sum
    }

    /// Sums up all work.
    pub(crate) fn total(&self, own: &Works) -> Works {
        let mut sum = self.own_sum(own);
        for (_, works) in self.sums.values() {
            add_all(&mut sum, works);
        }
        sum
    }

    /// Returns the work of all routers but one that gets its news here.
    pub(crate) fn others_of(&self, router: &RouterId, total: &Works) -> Works {
        let told = self.followers.get(router).map(|(_, works)| works);
        without(total, told)
    }
}

/// Returns `total` less `part`.
pub(crate) fn without(total: &Works, part: Option<&Works>) -> Works {
    let less = |(key, work): (&ReplicaKey, &Work)| {
        let part = part.and_then(|part| part.get(key)).copied();
        (*key, work.less(part.unwrap_or_default()))
    };
    total.iter().map(less).collect()
}

fn add_all(sum: &mut Works, works: &Works) {
    for (key, work) in works {
        sum.entry(*key).or_default().add(*work);
    }
}
