//! The difference between two contracts.

use redwinglatch_core::Contract;
use redwinglatch_settings::ContractFile;
use serde_json::{Value, json};

/// The lines of a contract file that only one of two contracts has.
pub(crate) struct Diff {
    removed: Vec<String>,
    added: Vec<String>,
}

impl Diff {
    /// Compares two contracts; the result has the changes when `replacement` replaces `current`.
    pub(crate) fn new(current: Option<&Contract>, replacement: Option<&Contract>) -> Diff {
        let current = current.map(contract_lines).unwrap_or_default();
        let replacement = replacement.map(contract_lines).unwrap_or_default();
        let removed = current.iter().filter(|line| !replacement.contains(line)).cloned().collect();
        let added = replacement.iter().filter(|line| !current.contains(line)).cloned().collect();
        Diff { removed, added }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.removed.is_empty() && self.added.is_empty()
    }

    pub(crate) fn text(&self) -> String {
        let removed = self.removed.iter().map(|line| format!("- {line}\n"));
        removed.chain(self.added.iter().map(|line| format!("+ {line}\n"))).collect()
    }

    pub(crate) fn json(&self) -> Value {
        json!({ "differs": !self.is_empty(), "removed": self.removed, "added": self.added })
    }
}

/// Returns the lines of a contract file; a list value has one line for each item.
fn contract_lines(contract: &Contract) -> Vec<String> {
    let file = ContractFile { contract: contract.clone() }.to_string();
    let mut lines = Vec::new();
    for line in file.lines().skip(1) {
        match line.split_once(" = ") {
            Some((key @ ("adapters" | "services"), list)) => {
                lines.extend(list.split(", ").map(|item| format!("{key} = {item}")));
            }
            _ => lines.push(line.to_owned()),
        }
    }
    lines
}
