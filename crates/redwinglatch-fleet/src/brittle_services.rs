//! Services whose servers fall over when they must turn requests away.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// What the servers of a service say of themselves, as processes tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct BrittleService {
    pub(crate) service: Box<str>,
    /// The rejections in a second that each server bears, or `None` if they are no longer brittle.
    pub(crate) max_rejections_per_s: Option<u32>,
}

#[derive(Debug)]
struct Brittleness {
    max_rejections_per_s: u32,
    learned_ms: u64,
}

/// The services whose servers are brittle now.
///
/// The servers say so in each answer, all of a service at the same time.
#[derive(Debug, Default)]
pub(crate) struct BrittleServices {
    services: HashMap<Box<str>, Brittleness>,
}

impl BrittleServices {
    /// Takes over what a process has told, and returns whether it is new.
    pub(crate) fn set(&mut self, now_ms: u64, brittle: &BrittleService) -> bool {
        let Some(max_rejections_per_s) = brittle.max_rejections_per_s else {
            return self.services.remove(&brittle.service).is_some();
        };
        let known = self.services.get_mut(&brittle.service);
        if let Some(known) = known {
            return std::mem::replace(&mut known.max_rejections_per_s, max_rejections_per_s)
                != max_rejections_per_s;
        }
        let brittleness = Brittleness { max_rejections_per_s, learned_ms: now_ms };
        self.services.insert(brittle.service.clone(), brittleness);
        true
    }

    /// Records what an answer to a request says that was sent at `sent_ms`, and returns whether it is new.
    ///
    /// Only an answer to a request that was sent after the servers were known to be brittle shows that they no
    /// longer are.
    pub(crate) fn record_answer(
        &mut self,
        now_ms: u64,
        sent_ms: u64,
        brittle: &BrittleService,
    ) -> bool {
        let learned_ms = self.services.get(&brittle.service).map(|known| known.learned_ms);
        let is_outdated = brittle.max_rejections_per_s.is_none()
            && learned_ms.is_none_or(|learned_ms| sent_ms <= learned_ms);
        !is_outdated && self.set(now_ms, brittle)
    }

    pub(crate) fn is_brittle(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    /// Returns the time at which the servers of a service became known to be brittle.
    pub(crate) fn learned_ms(&self, service: &str) -> Option<u64> {
        self.services.get(service).map(|known| known.learned_ms)
    }

    /// Returns all brittle services.
    pub(crate) fn all(&self) -> Vec<BrittleService> {
        let services = self.services.iter();
        services
            .map(|(service, known)| BrittleService {
                service: service.clone(),
                max_rejections_per_s: Some(known.max_rejections_per_s),
            })
            .collect()
    }
}

#[cfg(test)]
mod tests;
