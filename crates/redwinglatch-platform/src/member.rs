//! Entries of the platform's list.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::Deserialize;

/// The state of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The instance takes work.
    Live,
    /// The instance is leaving and takes no new work.
    Leaving,
}

/// One instance or backend server.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Member {
    /// The pool that the instance belongs to.
    pub pool: Box<str>,
    /// The address to connect to.
    pub address: SocketAddr,
    /// The data centre.
    pub data_centre: Box<str>,
    /// The state.
    pub state: MemberState,
}

#[derive(Debug, Deserialize)]
pub(crate) struct WireList {
    instances: Vec<serde_json::Value>,
}

impl WireList {
    /// Returns the valid entries in order of pool and address, and the number of invalid ones.
    ///
    /// An entry of a form or state that is not known must not hide the other entries. Of two
    /// entries for one address in a pool, a leaving one counts.
    pub(crate) fn into_members(self) -> (Vec<Member>, usize) {
        let total = self.instances.len();
        let mut valid = 0;
        let mut members: BTreeMap<(Box<str>, SocketAddr), Member> = BTreeMap::new();
        for member in self.instances.into_iter().flat_map(serde_json::from_value::<Member>) {
            valid += 1;
            let entry = members
                .entry((member.pool.clone(), member.address))
                .or_insert_with(|| member.clone());
            entry.state = entry.state.max(member.state);
        }
        (members.into_values().collect(), total - valid)
    }
}
