//! Tests of contract files: parsing, problems and rendering.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use redwinglatch_core::{AdapterRule, Contract};
use redwinglatch_settings::{ContractFile, SettingsErrorKind};

const NORTH_CONTRACT: &str = "\
[contract]
customer = lakeshore-north
adapters = scope-north-* 1-, brick 2, limestone 3-5
services = dispatch-desk
request_rate_per_s = 20
concurrent_requests = 40
token_rate_per_s = 4000
load_share_permille = 250
max_priority = 7
";

/// Guards against an adapter rule that is parsed to other versions than written, and against a
/// default that differs from the documented one.
#[test]
fn contract_is_read_as_written() {
    let file = ContractFile::from_str("north.ini", NORTH_CONTRACT).expect("the text is valid");
    let contract = &file.contract;
    let rules: Vec<_> = contract
        .adapters
        .iter()
        .map(|rule| (&*rule.adapter, rule.min_version, rule.max_version))
        .collect();
    assert_eq!(rules, [("scope-north-*", 1, u32::MAX), ("brick", 2, 2), ("limestone", 3, 5)]);
    assert_eq!(contract.services, ["dispatch-desk".into()]);
    assert_eq!((contract.default_priority, contract.max_priority), (4, 7));
    assert_eq!((contract.default_deadline_ms, contract.max_deadline_ms), (30_000, 120_000));
    assert_eq!((contract.request_rate_per_s, contract.concurrent_requests), (20, 40));
    assert_eq!((contract.token_rate_per_s, contract.load_share_permille), (4_000, 250));
}

/// Guards against problems that are reported one at a time or without section, key and value.
#[test]
fn all_problems_of_a_contract_are_reported_at_once() {
    let text = NORTH_CONTRACT
        .replace("brick 2, limestone 3-5", "brick, limestone 5-3, sand stone, slate 0-1")
        .replace("services = dispatch-desk", "services = dispatch desk")
        .replace("request_rate_per_s", "request_rate_per_min")
        .replace("max_priority = 7", "max_priority = 3\nmax_deadline_ms = 1000");
    let error = ContractFile::from_str("north.ini", &text).expect_err("the text has problems");
    let lines: Vec<String> = error.problems.iter().map(ToString::to_string).collect();
    let expected = [
        "north.ini [contract] adapters = brick: the rule has no versions",
        "north.ini [contract] adapters = limestone 5-3: the lowest version is above the highest",
        "north.ini [contract] adapters = sand stone: the versions are not whole numbers above 0",
        "north.ini [contract] adapters = slate 0-1: the versions are not whole numbers above 0",
        "north.ini [contract] services = dispatch desk: the name has a character that is not \
         allowed",
        "north.ini [contract] request_rate_per_s: the key is missing and has no default",
        "north.ini [contract] default_priority = 4: the default is above max_priority = 3",
        "north.ini [contract] default_deadline_ms = 30000: the default is above max_deadline_ms \
         = 1000",
        "north.ini [contract] request_rate_per_min = 20: the key is not known in this section",
    ];
    assert_eq!(lines, expected);
    assert_eq!(error.problems[6].kind, SettingsErrorKind::Contradiction);
    assert_eq!(error.to_string(), "north.ini has 9 problems");
}

#[derive(Debug, Clone)]
struct ArbitraryContract(Contract);

impl Arbitrary for ArbitraryContract {
    fn arbitrary(g: &mut Gen) -> ArbitraryContract {
        let mut number = |low: u32, high: u32| low + u32::arbitrary(g) % (high - low + 1);
        let adapters = (0..number(0, 4)).map(|index| {
            let min_version = number(1, 9);
            let max_version = if number(0, 2) == 0 { u32::MAX } else { min_version + number(0, 3) };
            let name = ["*", "a", "scope-*", "kapitola-č.1"][number(0, 3) as usize];
            let adapter = format!("{index}{name}").into();
            AdapterRule { adapter, min_version, max_version }
        });
        let adapters = adapters.collect();
        let max_priority = number(0, 9) as u8;
        let max_deadline_ms = number(1, 3_600_000);
        ArbitraryContract(Contract {
            customer: format!("customer-{}", number(0, 99)).into(),
            adapters,
            services: (0..number(0, 3)).map(|index| format!("desk-{index}").into()).collect(),
            request_rate_per_s: number(1, 1_000_000),
            concurrent_requests: number(1, 1_000_000),
            token_rate_per_s: number(1, 100_000_000),
            load_share_permille: number(0, 1_000) as u16,
            default_priority: number(0, u32::from(max_priority)) as u8,
            max_priority,
            default_deadline_ms: number(1, max_deadline_ms),
            max_deadline_ms,
        })
    }
}

fn seeded_quickcheck(tests: u64) -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 7)).tests(tests)
}

/// Guards against a limit that is lost or changed when a contract is rendered.
#[test]
fn rendered_contract_parses_back() {
    fn parses_back(ArbitraryContract(contract): ArbitraryContract) -> bool {
        let file = ContractFile { contract };
        ContractFile::from_str("rendered.ini", &file.to_string()) == Ok(file)
    }
    seeded_quickcheck(500).quickcheck(parses_back as fn(ArbitraryContract) -> bool);
}

/// Guards against a panic on arbitrary text.
#[test]
fn no_text_makes_the_contract_parser_panic() {
    fn fails_without_panic(text: String) -> bool {
        ContractFile::from_str("any.ini", &text).is_err()
    }
    fn handles_any_value(value: String, line: usize) -> bool {
        let mut lines: Vec<&str> = NORTH_CONTRACT.lines().collect();
        let index = line % lines.len();
        let key = lines[index].split('=').next().unwrap_or_default();
        let edited = format!("{key}= {value}");
        lines[index] = &edited;
        match ContractFile::from_str("any.ini", &lines.join("\n")) {
            Ok(file) => ContractFile::from_str("again.ini", &file.to_string()) == Ok(file),
            Err(error) => !error.problems.is_empty(),
        }
    }
    seeded_quickcheck(1_000).quickcheck(fails_without_panic as fn(String) -> bool);
    seeded_quickcheck(2_000).quickcheck(handles_any_value as fn(String, usize) -> bool);
}
