//! Validation of contracts.

use redwinglatch_core::{AdapterRule, Contract};
use serde::{Deserialize, Serialize};

const MAX_NAME_BYTES: usize = 128;
const MAX_ADAPTER_RULES: usize = 1_000;
const MAX_SERVICES: usize = 100;
const MAX_DEADLINE_MS: u32 = 24 * 3_600 * 1_000;

/// A contract field that is not valid, with the way to correct it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("field `{field}` is not valid: {problem}; {remedy}")]
pub struct ContractError {
    /// The field, as in `adapters[2].min_version`.
    pub field: Box<str>,
    /// The problem, with the invalid value.
    pub problem: Box<str>,
    /// The correction to make.
    pub remedy: Box<str>,
}

impl ContractError {
    pub(crate) fn new(
        field: impl Into<Box<str>>,
        problem: impl Into<Box<str>>,
        remedy: impl Into<Box<str>>,
    ) -> ContractError {
        ContractError { field: field.into(), problem: problem.into(), remedy: remedy.into() }
    }
}

/// Checks every field of `contract`, which was sent as the contract of `customer`.
///
/// # Errors
///
/// Returns the first field that is not valid.
pub fn validate_contract(customer: &str, contract: &Contract) -> Result<(), ContractError> {
    check_name("customer", &contract.customer)?;
    if *contract.customer != *customer {
        let problem =
            format!("the contract names `{}` in a change for `{customer}`", contract.customer);
        return Err(ContractError::new("customer", problem, format!("write `{customer}`")));
    }
    check_count("adapters", contract.adapters.len(), MAX_ADAPTER_RULES)?;
    check_count("services", contract.services.len(), MAX_SERVICES)?;
    for (position, rule) in contract.adapters.iter().enumerate() {
        check_rule(position, rule)?;
    }
    for (position, service) in contract.services.iter().enumerate() {
        check_name(&format!("services[{position}]"), service)?;
    }
    if contract.adapters.is_empty() && contract.services.is_empty() {
        let remedy = "allow at least one adapter or service, or remove the contract";
        return Err(ContractError::new("adapters", "no adapter or service is allowed", remedy));
    }
    check_range("request_rate_per_s", contract.request_rate_per_s, 1, 10_000_000)?;
    check_range("concurrent_requests", contract.concurrent_requests, 1, 10_000_000)?;
    // A customer that uses only plain services generates no tokens.
    let least_tokens = u32::from(!contract.adapters.is_empty());
    check_range("token_rate_per_s", contract.token_rate_per_s, least_tokens, 1_000_000_000)?;
    check_range("load_share_permille", u32::from(contract.load_share_permille), 0, 1_000)?;
    check_range("max_priority", u32::from(contract.max_priority), 0, 9)?;
    let max_priority = u32::from(contract.max_priority);
    check_range("default_priority", u32::from(contract.default_priority), 0, max_priority)?;
    check_range("max_deadline_ms", contract.max_deadline_ms, 1, MAX_DEADLINE_MS)?;
    check_range("default_deadline_ms", contract.default_deadline_ms, 1, contract.max_deadline_ms)
}

fn check_rule(position: usize, rule: &AdapterRule) -> Result<(), ContractError> {
    let field = format!("adapters[{position}].adapter");
    let name = rule.adapter.strip_suffix('*').unwrap_or(&rule.adapter);
    if *rule.adapter != *"*" {
        check_name(&field, name)?;
    }
    if name.contains('*') {
        let problem = format!("`{}` has a `*` before its end", rule.adapter);
        return Err(ContractError::new(field, problem, "use `*` only as the last character"));
    }
    if rule.min_version > rule.max_version {
        let field = format!("adapters[{position}].min_version");
        let problem = format!("{} is above max_version {}", rule.min_version, rule.max_version);
        return Err(ContractError::new(field, problem, "write min_version <= max_version"));
    }
    if rule.max_version == 0 {
        let field = format!("adapters[{position}].max_version");
        return Err(ContractError::new(field, "the value is 0", "count versions from 1"));
    }
    Ok(())
}

fn check_name(field: &str, name: &str) -> Result<(), ContractError> {
    let is_printable = name.chars().all(|c| !c.is_control() && !c.is_whitespace());
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !is_printable {
        let problem = format!("`{}` is not a valid name", name.escape_debug());
        let remedy =
            format!("write 1 to {MAX_NAME_BYTES} bytes without spaces and control characters");
        return Err(ContractError::new(field, problem, remedy));
    }
    Ok(())
}

fn check_count(field: &str, count: usize, limit: usize) -> Result<(), ContractError> {
    if count > limit {
        let problem = format!("the list has {count} entries");
        let remedy = format!("write at most {limit}, using prefixes with `*` where possible");
        return Err(ContractError::new(field, problem, remedy));
    }
    Ok(())
}

fn check_range(field: &str, value: u32, min: u32, max: u32) -> Result<(), ContractError> {
    if value < min || value > max {
        let remedy = format!("write a value from {min} to {max}");
        return Err(ContractError::new(field, format!("the value is {value}"), remedy));
    }
    Ok(())
}
