//! Small fakes of the systems that crocuswharf serves, and measurements.

pub mod capacity;
