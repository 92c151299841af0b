//! Pools of backend servers.

use std::net::SocketAddr;

use crate::ErrorKind;
use crate::section::Section;

/// Whether the engines of a pool refuse orders that carry an old fencing token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fencing {
    /// Engines refuse an old token.
    Enforced,
    /// Engines ignore the token; the coordinator waits instead.
    Ignored,
}

/// What only pools of model engines have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EnginePool {
    /// The cell that the pool belongs to.
    pub cell: Box<str>,
    /// The base model that callers name.
    pub model: Box<str>,
    /// Whether engines refuse an old fencing token.
    pub fencing: Fencing,
    /// How long an order may take.
    pub order_timeout_ms: u64,
    /// How long a new coordinator waits for orders of the old one to arrive.
    pub order_settle_ms: u64,
    /// How long a step takes with a batch of one.
    pub step_ms: u64,
}

/// What the backend servers of a pool are.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PoolKind {
    /// Model engines.
    Engine(EnginePool),
    /// Plain services.
    Service,
}

/// `[pool.NAME]`: a pool of backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolSettings {
    /// The pool's name, as the platform's list has it.
    pub name: Box<str>,
    /// What its backend servers are.
    pub kind: PoolKind,
    /// A stream without any byte for this long is resumed on another connection.
    pub stall_ms: u64,
    /// How often the report of each backend server is read.
    pub report_ms: u64,
    /// The backend servers that are used until the platform's list answers.
    pub backends: Vec<SocketAddr>,
}

const ENGINE_KEYS: [&str; 6] =
    ["cell", "model", "fencing", "order_timeout_ms", "order_settle_ms", "step_ms"];

impl PoolSettings {
    pub(crate) fn read(name: Box<str>, section: &mut Section) -> PoolSettings {
        let is_engine = section.choice("kind", None, &[("engine", true), ("service", false)]);
        let kind = match is_engine {
            Some(false) => {
                refuse_engine_keys(section);
                PoolKind::Service
            }
            // Without a valid kind, the keys at hand decide which faults are listed beside it.
            None if !ENGINE_KEYS.iter().any(|key| section.has_key(key)) => PoolKind::Service,
            Some(true) | None => PoolKind::Engine(EnginePool::read(section)),
        };
        PoolSettings {
            name,
            kind,
            // Engines send a keep-alive comment each 250 ms, so a shorter limit would take
            // every pause for a stall.
            stall_ms: section.number("stall_ms", Some(1_000), 251..=60_000),
            // A report older than 3 s counts as unknown.
            report_ms: section.number("report_ms", Some(500), 10..=3_000),
            backends: section.addresses("backends"),
        }
    }

    /// The engine's part, if the pool has engines.
    #[must_use]
    pub fn engine(&self) -> Option<&EnginePool> {
        match &self.kind {
            PoolKind::Engine(engine) => Some(engine),
            PoolKind::Service => None,
        }
    }
}

impl EnginePool {
    fn read(section: &mut Section) -> EnginePool {
        let fencing = section.choice(
            "fencing",
            // The safe assumption: not all engines check who sends an order.
            Some(Fencing::Ignored),
            &[("enforced", Fencing::Enforced), ("ignored", Fencing::Ignored)],
        );
        EnginePool {
            cell: section.name_of("cell", "scope-writer"),
            model: section.name_of("model", "scope-writer"),
            fencing: fencing.unwrap_or(Fencing::Ignored),
            order_timeout_ms: section.number("order_timeout_ms", Some(1_000), 10..=60_000),
            order_settle_ms: section.number("order_settle_ms", Some(2_000), 10..=60_000),
            step_ms: section.number("step_ms", None, 1..=60_000),
        }
    }
}

fn refuse_engine_keys(section: &mut Section) {
    for key in ENGINE_KEYS {
        if !section.has_key(key) {
            continue;
        }
        let value = section.optional_text(key);
        section.fault(
            ErrorKind::Contradiction,
            key,
            value.as_deref(),
            "only pools of kind = engine have this key",
            "remove it or write `kind = engine`",
        );
    }
}
