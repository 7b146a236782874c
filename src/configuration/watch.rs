//! Follows the root object of the platform: selects the routers that watch it, and detects a watch that misses changes.
//!
//! A watch is a long poll. Each poll that returns without a new version is followed by a list request for the root's
//! version, which takes a different path through the platform and costs about a hundred bytes. Only a few routers of an
//! availability zone watch. The others receive changes from peers and list the root's version at long intervals.

use std::time::Duration;

use crate::id::{RouterId, ZoneName};
use crate::membership::watchers_of;
use crate::store::{Backoff, ObjectVersion};
use rand::{Rng, RngExt};

/// The number of routers in an availability zone that watch the root.
pub const WATCHERS_PER_ZONE: usize = 2;
/// The topic for the rendezvous hashing that selects the routers that watch the root.
pub const ROOT_TOPIC: u64 = 0x726f_6f74;
/// The time that one long poll waits for a new version.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(3);
/// The longest interval at which a router that does not watch lists the root's version.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(300);
/// The longest interval at which a watching router looks for the root before the first ticket. A watch of an absent
/// object would return immediately.
const ABSENT_ROOT_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Returns whether `own` is one of the routers of its availability zone that watch the root.
///
/// `members` are the routers of all zones. `own` is counted even if it is not among them. While routers have different
/// member lists, one router more or fewer may watch, which costs a call but never affects correctness.
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
    watchers_of(ROOT_TOPIC, others.chain([own]), WATCHERS_PER_ZONE).contains(&own)
}

/// The next call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchStep {
    /// Wait up to [`WATCH_TIMEOUT`] for a version of the root above this one.
    Poll(ObjectVersion),
    /// List the root's version.
    Check,
    /// Read the root.
    Read,
    /// Wait for this long.
    Pause(Duration),
}

/// The result of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// A poll or read returned a root of this version.
    Root(ObjectVersion),
    /// A poll or list returned no version above the known one, or the pause is over.
    Nothing,
    /// The list returned this version.
    Listed(ObjectVersion),
    /// The call failed.
    Failed,
}

/// The state machine that follows the root object.
#[derive(Clone, Debug, Default)]
pub struct RootWatch {
    version: ObjectVersion,
    last_step: Option<WatchStep>,
    backoff: Backoff,
}

impl RootWatch {
    /// Creates a watch whose first step reads the root.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a version of the root that was learned otherwise, such as from a ticket accepted by this router.
    pub fn record_version(&mut self, version: ObjectVersion) {
        self.version = self.version.max(version);
    }

    /// Processes the result of the last step and returns the next step.
    pub fn next(&mut self, event: WatchEvent, is_watcher: bool, rng: &mut impl Rng) -> WatchStep {
        let step = self.next_step(event, is_watcher, rng);
        self.last_step = Some(step);
        step
    }

    fn next_step(&mut self, event: WatchEvent, is_watcher: bool, rng: &mut impl Rng) -> WatchStep {
        match event {
            WatchEvent::Failed => return WatchStep::Pause(self.backoff.next_delay(rng)),
            WatchEvent::Root(version) => {
                self.backoff.reset();
                self.record_version(version);
            }
            WatchEvent::Listed(version) => {
                self.backoff.reset();
                if version > self.version {
                    return WatchStep::Read;
                }
            }
            WatchEvent::Nothing => {}
        }
        self.regular_step(is_watcher, rng)
    }

    fn regular_step(&self, is_watcher: bool, rng: &mut impl Rng) -> WatchStep {
        match self.last_step {
            None => WatchStep::Read,
            // After a pause, a list shows whether a change was missed.
            Some(WatchStep::Pause(_)) => WatchStep::Check,
            Some(WatchStep::Poll(known)) if known == self.version => WatchStep::Check,
            Some(_) if is_watcher && self.version > 0 => WatchStep::Poll(self.version),
            Some(_) => {
                let max_pause = if is_watcher {
                    ABSENT_ROOT_CHECK_INTERVAL
                } else {
                    IDLE_CHECK_INTERVAL
                };
                WatchStep::Pause(max_pause.mul_f64(rng.random_range(0.5..1.0)))
            }
        }
    }
}
