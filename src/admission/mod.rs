//! Admission: who may send how much, and in which order.

pub mod queue;
pub mod shed;
