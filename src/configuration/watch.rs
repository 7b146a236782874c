//! Keeps up with the platform: which routers watch the root, and how a watch that has gone silent or lies is noticed.
//!
//! A watch is a long poll. Each poll that ends without news is followed by a list of the root's version, which goes
//! another way through the platform and costs some hundred bytes. Few routers of an availability zone watch; the others
//! hear from peers and read the root's version now and then.

use std::time::Duration;

use crate::id::{RouterId, ZoneName};
use crate::membership::watchers_of;
use crate::store::{Backoff, ObjectVersion};
use rand::{Rng, RngExt};

/// How many routers of an availability zone watch.
pub const WATCHERS_A_ZONE: usize = 2;
/// The topic under which rendezvous hashing chooses who watches the root.
pub const ROOT_TOPIC: u64 = 0x726f_6f74;
/// How long one poll of a watch waits.
pub const WATCH_WAIT: Duration = Duration::from_secs(3);
/// How often a router that does not watch reads the root's version.
const IDLE_CHECK: Duration = Duration::from_secs(300);
/// How often a router looks for the root before the first ticket; a watch of an absent object returns at once.
const NO_ROOT_CHECK: Duration = Duration::from_secs(2);

/// Tells whether `own` is among the routers of its availability zone that watch.
///
/// `members` are the routers of all zones; `own` counts whether or not it is among them. Where routers know other
/// members, one watch more or less is held for a while, which costs a call and never correctness.
#[must_use]
pub(crate) fn is_watcher<'a>(
    own: &'a RouterId,
    zone: &ZoneName,
    members: impl IntoIterator<Item = (&'a RouterId, &'a ZoneName)>,
) -> bool {
    let others = members
        .into_iter()
        .filter(|(id, other)| *other == zone && *id != own)
        .map(|(id, _)| id);
    watchers_of(ROOT_TOPIC, others.chain([own]), WATCHERS_A_ZONE).contains(&own)
}

/// The next call towards the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchStep {
    /// Wait for a version of the root above this one, up to [`WATCH_WAIT`].
    Poll(ObjectVersion),
    /// List the root's version.
    Check,
    /// Read the root.
    Read,
    /// Do nothing for this long.
    Pause(Duration),
}

/// What came of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// A root of this version was read, by poll or read.
    Root(ObjectVersion),
    /// The poll ended, or the list did, without a version above the known one, or the pause is over.
    Nothing,
    /// The list shows this version.
    Listed(ObjectVersion),
    /// The call failed.
    Failed,
}

/// The state of keeping up with the platform.
#[derive(Clone, Debug, Default)]
pub struct RootWatch {
    version: ObjectVersion,
    last: Option<WatchStep>,
    backoff: Backoff,
}

impl RootWatch {
    /// Begins to follow the root; the first step reads it.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that the root was read by other means, as after a ticket was accepted here.
    pub fn raise(&mut self, version: ObjectVersion) {
        self.version = self.version.max(version);
    }

    /// Takes what came of the last step and returns the next.
    pub fn next(&mut self, event: WatchEvent, is_watcher: bool, rng: &mut impl Rng) -> WatchStep {
        let step = self.choose(event, is_watcher, rng);
        self.last = Some(step);
        step
    }

    fn choose(&mut self, event: WatchEvent, is_watcher: bool, rng: &mut impl Rng) -> WatchStep {
        match event {
            WatchEvent::Failed => return WatchStep::Pause(self.backoff.next_pause(rng)),
            WatchEvent::Root(version) => {
                self.backoff.reset();
                self.raise(version);
            }
            WatchEvent::Listed(version) => {
                self.backoff.reset();
                if version > self.version {
                    return WatchStep::Read;
                }
            }
            WatchEvent::Nothing => {}
        }
        self.after_quiet(is_watcher, rng)
    }

    fn after_quiet(&self, is_watcher: bool, rng: &mut impl Rng) -> WatchStep {
        match self.last {
            None => WatchStep::Read,
            // After a pause only a list tells whether something was missed meanwhile.
            Some(WatchStep::Pause(_)) => WatchStep::Check,
            Some(WatchStep::Poll(known)) if known == self.version => WatchStep::Check,
            Some(_) if is_watcher && self.version > 0 => WatchStep::Poll(self.version),
            Some(_) => {
                let rest = if is_watcher {
                    NO_ROOT_CHECK
                } else {
                    IDLE_CHECK
                };
                WatchStep::Pause(rest.mul_f64(rng.random_range(0.5..1.0)))
            }
        }
    }
}
