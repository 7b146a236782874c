//! A randomized fault-injection soak test of the daemon that runs crocuswharf on the users' platform.
//!
//! A test cluster consists of a fake store, fake replicas, proxies on the links to them, real router processes and
//! callers. A fault plan, generated from a seed, injects faults from outside: signals pause, kill and restart routers,
//! links stop passing bytes, the store and the replicas misbehave, keys are revoked and new weights are published.
//! Overlays add series of faults that overlap these: silent replicas, changes of all fields of the
//! configuration, replicas of unequal speed, callers that read slowly, new weights that replicas load late or never, and routers
//! that are cut off from all replicas.
//! Callers and replicas record what they observe, and a checker compares the two sides afterwards. DEVELOPERS.md explains
//! how to run it.
//!
//! The plan depends on the seed alone. The order of events inside the processes does not, so a seed that failed once may
//! pass when it is run again.

mod callers;
mod checker;
mod cluster;
mod configuration;
mod crashes;
mod cut_off;
mod loss;
mod outdated;
mod partition;
mod plan;
mod proxy;
mod recovery;
mod unanswered;

pub use callers::{Outcome, RequestKind, SentRequest, TakeUp};
pub use checker::{Finding, KeyRecord, Records, RouterOutage, check_records};
pub use cluster::{Report, run};
pub use configuration::{Changes, ConfigurationChange};
pub use cut_off::CutPeriod;
pub use loss::{AvailabilityChange, Member, Silence};
pub use partition::{Cut, Partition};
pub use plan::{Fault, FaultPlan, Overlay, Size};
pub use proxy::{Link, Proxy};
pub use unanswered::{Ends, EndsByChange};
