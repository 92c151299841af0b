//! Shared by the tests: a disk in memory with faults and a runner of random schedules.
#![allow(dead_code, unreachable_pub, reason = "each test file uses a part")]

pub mod cluster;
pub mod disk;
pub mod history;
