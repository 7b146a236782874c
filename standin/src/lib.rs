//! Small fakes of the systems that crocuswharf serves, a demonstration and a comparison of policies.
//!
//! The fakes hold what a test needs of an engine, a plain service or the platform, and no more. They speak the same
//! conventions as the real ones, over real HTTP on loopback, and fail on demand.

pub mod capacity;
pub mod compare;
pub mod demo;
pub mod engine;
pub mod plain;
pub mod platform;
pub mod serve;
