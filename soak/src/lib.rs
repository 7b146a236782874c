//! A randomized fault soak of the daemon that runs crocuswharf on the users' platform.
//!
//! A world is a fake store, fake replicas, proxies on the links to them, real router processes and callers. A plan, drawn
//! from a seed, disturbs it from outside: signals stop, kill and restart routers, links fall silent, the store and the
//! replicas misbehave, keys are revoked and weights named. Callers and replicas write down what they see, and a judge
//! compares the two afterwards. DEVELOPERS.md says how to run it.
//!
//! The plan follows from the seed alone; the order of events inside the processes does not, so that a seed that failed once
//! may pass again.

mod callers;
mod calm;
mod judge;
mod plan;
mod proxy;
mod world;

pub use callers::{Kind, Outcome, Sent};
pub use judge::{Finding, FrozenSpan, KeyLife, Records, judge};
pub use plan::{Fault, Plan, Size};
pub use proxy::{Link, Proxy};
pub use world::{Report, run};
