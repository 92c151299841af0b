//! Test support: an in-memory disk with faults, and a simulated cluster with random faults.
#![allow(dead_code, unreachable_pub, reason = "each test file uses only a part of the module")]

pub mod cluster;
pub mod disk;
pub mod history;
