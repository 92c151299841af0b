//! Settings of a pool of backend servers.

use std::net::SocketAddr;

use crate::SettingsErrorKind;
use crate::section::Section;

/// Whether the engines of a pool reject orders with an old fencing token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FencingMode {
    /// Engines reject an old token.
    Enforced,
    /// Engines ignore the token; a new coordinator waits for the old one's orders instead.
    Ignored,
}

/// The settings that only pools of model engines have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EnginePool {
    /// The cell that the pool belongs to.
    pub cell: Box<str>,
    /// The base model, as callers name it in requests.
    pub model: Box<str>,
    /// Whether engines reject an old fencing token.
    pub fencing: FencingMode,
    /// Timeout of an order.
    pub order_timeout_ms: u64,
    /// How long a new coordinator waits for orders of the old one that may still arrive.
    pub order_settle_ms: u64,
    /// Duration of a step with a batch of one request.
    pub step_ms: u64,
}

/// The kind of the backend servers of a pool.
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
    /// The pool's name in the platform's backend list.
    pub name: Box<str>,
    /// The kind of its backend servers.
    pub kind: PoolKind,
    /// A stream that receives no bytes for this long is resumed on another connection.
    pub stall_ms: u64,
    /// Interval between reads of each backend server's report.
    pub report_ms: u64,
    /// The backend servers to use until the platform's backend list is available.
    pub backends: Vec<SocketAddr>,
}

const ENGINE_KEYS: [&str; 6] =
    ["cell", "model", "fencing", "order_timeout_ms", "order_settle_ms", "step_ms"];

impl PoolSettings {
    pub(crate) fn read(name: Box<str>, section: &mut Section) -> PoolSettings {
        let is_engine = section.choice("kind", None, &[("engine", true), ("service", false)]);
        let kind = match is_engine {
            Some(false) => {
                reject_engine_keys(section);
                PoolKind::Service
            }
            // Without a valid kind, the keys that are present decide which other problems are
            // reported.
            None if !ENGINE_KEYS.iter().any(|key| section.has_key(key)) => PoolKind::Service,
            Some(true) | None => PoolKind::Engine(EnginePool::read(section)),
        };
        PoolSettings {
            name,
            kind,
            // Engines send a keep-alive comment every 250 ms, so a shorter limit would treat every
            // pause as a stall.
            stall_ms: section.number("stall_ms", Some(1_000), 251..=60_000),
            // A report that is older than 3 s is treated as unknown.
            report_ms: section.number("report_ms", Some(500), 10..=3_000),
            backends: section.address_list("backends"),
        }
    }

    /// Returns the settings of an engine pool; `None` for a pool of plain services.
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
            // The safe default, because not all engines check the fencing token of an order.
            Some(FencingMode::Ignored),
            &[("enforced", FencingMode::Enforced), ("ignored", FencingMode::Ignored)],
        );
        EnginePool {
            cell: section.required_name("cell", "scope-writer"),
            model: section.required_name("model", "scope-writer"),
            fencing: fencing.unwrap_or(FencingMode::Ignored),
            order_timeout_ms: section.number("order_timeout_ms", Some(1_000), 10..=60_000),
            order_settle_ms: section.number("order_settle_ms", Some(2_000), 10..=60_000),
            step_ms: section.number("step_ms", None, 1..=60_000),
        }
    }
}

fn reject_engine_keys(section: &mut Section) {
    for key in ENGINE_KEYS {
        if !section.has_key(key) {
            continue;
        }
        let value = section.optional_text(key);
        section.add_problem(
            SettingsErrorKind::Contradiction,
            key,
            value.as_deref(),
            "only pools of kind = engine have this key",
            "remove it or write `kind = engine`",
        );
    }
}
