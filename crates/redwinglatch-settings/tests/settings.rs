//! Tests of settings files: defaults, problems as they are shown, and arbitrary text.

use std::net::SocketAddr;

use miette::{GraphicalReportHandler, GraphicalTheme};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use redwinglatch_core::{InstanceId, ReplicaId};
use redwinglatch_settings::{FencingMode, PoolKind, Settings, SettingsError, SettingsErrorKind};

const MINIMAL_SETTINGS: &str = "\
[instance]
id = 1
data_centre = hall-a
region = great-lakes
callers_address = 192.0.2.1:7000
instances_address = 192.0.2.1:7001
operators_address = 192.0.2.1:7002

[secrets]
operators_file = /etc/redwinglatch/operators
instances_file = /etc/redwinglatch/instances
callers_file = /etc/redwinglatch/callers

[state]
data_dir = /var/lib/redwinglatch
replica_id = 1

[replica.1]
instance = 1

[instance.1]
data_centre = hall-a
callers_address = 192.0.2.1:7000
instances_address = 192.0.2.1:7001
operators_address = 192.0.2.1:7002

[platform]
list_address = 198.51.100.1:8000

[cell.scope-writer]
parallel_loads = 1
load_ms = 333
stall_weight = 3

[pool.scope-writer]
kind = engine
cell = scope-writer
model = scope-writer
step_ms = 30

[pool.dispatch-desk]
kind = service
backends = 198.51.100.9:9000, [2001:db8::9]:9000
";

fn render(error: &SettingsError) -> String {
    let handler = GraphicalReportHandler::new_themed(GraphicalTheme::none()).with_width(100);
    let mut page = String::new();
    handler.render_report(&mut page, error).expect("a string takes any text");
    page
}

fn problems_of(text: &str) -> Vec<(SettingsErrorKind, String)> {
    let error = Settings::from_str("small.ini", text).expect_err("the text has a problem");
    error.problems.iter().map(|problem| (problem.kind, problem.to_string())).collect()
}

/// Guards against a default that differs from the one of the design page.
#[test]
fn defaults_match_the_design_page() {
    let settings = Settings::from_str("small.ini", MINIMAL_SETTINGS).expect("the text is valid");
    let control = settings.control;
    assert_eq!((control.renew_interval_ms, control.lease_ms), (1_000, 4_000));
    assert_eq!((control.clock_drift_permille, control.leader_lease_ms), (10, 800));
    assert_eq!((control.holder_lease_ms(), control.granter_lease_ms()), (3_960, 4_040));
    assert_eq!(control.election_timeout_ms, 1_000);
    assert_eq!((control.snapshot_entries, control.snapshot_bytes), (1_000, 4_194_304));
    let callers = settings.callers;
    assert_eq!((callers.keep_for_s, callers.max_body_bytes), (30, 1_048_576));
    assert_eq!((callers.max_header_bytes, callers.keep_alive_ms), (16_384, 5_000));
    assert_eq!(callers.write_stall_ms, 10_000);
    assert_eq!(settings.platform.poll_ms, 1_000);
    assert_eq!(settings.cells[0].load_starvation_ms, 10_000);
    assert_eq!(settings.state.as_ref().map(|state| state.replica_id), Some(ReplicaId(1)));
    assert_eq!(settings.replicas[0].instance, InstanceId(1));

    let [service, engine] = &*settings.pools else { panic!("two pools") };
    assert_eq!((service.kind.clone(), service.backends.len()), (PoolKind::Service, 2));
    assert_eq!((engine.stall_ms, engine.report_ms), (1_000, 500));
    let engine = engine.engine().expect("the pool has engines");
    assert_eq!((engine.order_timeout_ms, engine.order_settle_ms), (1_000, 2_000));
    assert_eq!(engine.fencing, FencingMode::Ignored);
}

/// Guards against problems that are reported one at a time, and against a message without
/// file, section, key, value or remedy.
#[test]
fn all_problems_are_reported_at_once() {
    let text = MINIMAL_SETTINGS
        .replace("region = great-lakes\n", "")
        .replace("192.0.2.1:7002\n\n[secrets]", "lakeshore:7002\nmax_connections =\n\n[secrets]")
        .replace("list_address = 198.51.100.1:8000", "list_address = 198.51.100.1")
        .replace("parallel_loads = 1", "parallel_loads = 1\nparallel_loads = 2")
        .replace(
            "step_ms = 30",
            "order_settle_ms = many\nstep_ms = 30 ms\nstall_s = 1\ncolour = red",
        )
        + "[control]\nlease_ms = 4s\nrenew_interval_ms = 0\n[extra]\na = 1\n[extra]\n";
    let error = Settings::from_str("small.ini", &text).expect_err("the text has problems");
    let expected = include_str!("all_problems.txt");
    assert_eq!(render(&error), expected, "\n{}", render(&error));
}

/// Guards against values that are each within range but together break a guarantee.
#[test]
fn contradictions_are_reported() {
    let control = |lines: &str| format!("{MINIMAL_SETTINGS}[control]\n{lines}\n");
    let cases = [
        (control("clock_drift_permille = 1000"), "clock_drift_permille = 1000: the drift is above"),
        (control("renew_interval_ms = 3960"), "renew_interval_ms = 3960: a lease of 4000 ms"),
        (control("leader_lease_ms = 1000"), "election_timeout_ms = 1000: the election timeout is"),
        (control("leader_lease_ms = 991"), "which is 1001 ms with the drift"),
        (control("lease_ms = 8000"), "take 10080 ms, but an accepted change has to be in force"),
        (
            MINIMAL_SETTINGS.replace("[instance.1]", "[instance.2]"),
            "lacks `[instance.1]`, this instance",
        ),
        (MINIMAL_SETTINGS.replacen("hall-a", "hall-b", 1), "`[instance]` has data_centre = hall-b"),
        (
            MINIMAL_SETTINGS.replace(":7001", ":7000"),
            "`[instance.1] callers_address` has the same address",
        ),
        (MINIMAL_SETTINGS.replace("[replica.1]\ninstance = 1", ""), "no instance holds a replica"),
        (MINIMAL_SETTINGS.replace("replica_id = 1", "replica_id = 2"), "no `[replica.2]` exists"),
        (
            MINIMAL_SETTINGS.replace("[replica.1]\n", "[replica.1]\ninstance = 1\n[replica.2]\n"),
            "is on the",
        ),
        (
            MINIMAL_SETTINGS.replace("[replica.1]\ninstance = 1", "[replica.1]\ninstance = 7"),
            "no `[instance",
        ),
        (
            MINIMAL_SETTINGS.replace("cell = scope-writer", "cell = other"),
            "no `[cell.other]` exists",
        ),
        (
            MINIMAL_SETTINGS.replace("kind = engine", "kind = service"),
            "only pools of kind = engine",
        ),
        (
            MINIMAL_SETTINGS.replace("step_ms = 30", "step_ms = 30\norder_settle_ms = 999"),
            "longer than a new",
        ),
        (
            MINIMAL_SETTINGS.replace("step_ms = 30", "step_ms = 30\norder_timeout_ms = 3960"),
            "a lease lasts 3960",
        ),
        (format!("{MINIMAL_SETTINGS}[cell.spare]\nparallel_loads=1\nload_ms=1\n"), "no pool"),
    ];
    for (text, expected) in cases {
        let problems = problems_of(&text);
        let is_found = problems.iter().any(|(kind, message)| {
            matches!(kind, SettingsErrorKind::Contradiction | SettingsErrorKind::MissingSection)
                && message.contains(expected)
        });
        assert!(is_found, "expected {expected:?} in {problems:#?}");
    }
    let without_state =
        MINIMAL_SETTINGS.replace("[state]\ndata_dir = /var/lib/redwinglatch\nreplica_id = 1\n", "");
    assert!(problems_of(&without_state)[0].1.ends_with("`[state]` is missing"));
}

/// Guards against a kind of problem that is never reported, by a text for each kind.
#[test]
fn each_kind_of_problem_is_reported() {
    let cases = [
        ("[instance\n".to_owned(), SettingsErrorKind::Syntax),
        (format!("key = 1\n{MINIMAL_SETTINGS}"), SettingsErrorKind::UnknownKey),
        (format!("{MINIMAL_SETTINGS}[extra]\n"), SettingsErrorKind::UnknownSection),
        (format!("{MINIMAL_SETTINGS}[instance.02]\n"), SettingsErrorKind::UnknownSection),
        (
            format!("{MINIMAL_SETTINGS}[pool.a b]\nkind = service\n"),
            SettingsErrorKind::UnknownSection,
        ),
        (format!("{MINIMAL_SETTINGS}[instance.1]\n"), SettingsErrorKind::Duplicate),
        (
            MINIMAL_SETTINGS.replace("9000, ", "9000, 198.51.100.9:9000, "),
            SettingsErrorKind::Duplicate,
        ),
        (MINIMAL_SETTINGS.replace("[platform]\n", "[x]\n"), SettingsErrorKind::MissingSection),
        (MINIMAL_SETTINGS.replace("step_ms = 30\n", ""), SettingsErrorKind::MissingValue),
        (MINIMAL_SETTINGS.replace("load_ms = 333", "load_s = 1"), SettingsErrorKind::BadUnit),
        (MINIMAL_SETTINGS.replace("load_ms = 333", "load_ms = 0.3"), SettingsErrorKind::BadUnit),
        (
            MINIMAL_SETTINGS.replace("stall_weight = 3", "stall_weight = NaN"),
            SettingsErrorKind::BadValue,
        ),
        (MINIMAL_SETTINGS.replace("kind = service", "kind = plain"), SettingsErrorKind::BadValue),
        (
            MINIMAL_SETTINGS.replace("198.51.100.1:8000", "0.0.0.0:8000"),
            SettingsErrorKind::BadAddress,
        ),
        (
            MINIMAL_SETTINGS.replace("198.51.100.1:8000", "198.51.100.1:0"),
            SettingsErrorKind::BadAddress,
        ),
    ];
    for (text, expected) in cases {
        let problems = problems_of(&text);
        assert!(problems.iter().any(|(kind, _)| *kind == expected), "{expected:?}: {problems:#?}");
    }
    let error = Settings::from_file("no/such/file.ini").expect_err("the file does not exist");
    assert_eq!(error.problems[0].kind, SettingsErrorKind::Unreadable);
}

/// Guards against a malformed line that is joined to the next one or reported with the wrong line
/// number.
#[test]
fn malformed_lines_are_reported_all_at_once() {
    let text =
        "\u{feff}; comment\n[control\nlease_ms 4000\n\n= 5\n[callers]\nkeep_for_s = 1\n[x]y]\n";
    let messages: Vec<_> = problems_of(text).into_iter().map(|(_, message)| message).collect();
    let expected = [
        "small.ini: line 2, `[control`, is neither a heading nor a `key = value` line",
        "small.ini: line 3, `lease_ms 4000`, is neither a heading nor a `key = value` line",
        "small.ini: line 5, `= 5`, is neither a heading nor a `key = value` line",
        "small.ini: line 8, `[x]y]`, is neither a heading nor a `key = value` line",
    ];
    assert_eq!(messages, expected);
    let with_byte_order_mark = format!("\u{feff}{MINIMAL_SETTINGS}").replace('\n', "\r\n");
    assert!(Settings::from_str("small.ini", &with_byte_order_mark).is_ok());
}

/// A valid settings text, and the same text after a few random edits.
#[derive(Debug, Clone)]
struct EditedSettings {
    valid: String,
    edited: String,
}

impl Arbitrary for EditedSettings {
    fn arbitrary(g: &mut Gen) -> EditedSettings {
        let mut number = |low: u64, high: u64| low + u64::arbitrary(g) % (high - low + 1);
        let lease_ms = number(2_000, 6_000);
        let valid = MINIMAL_SETTINGS
            .replace("load_ms = 333", &format!("load_ms = {}", number(1, 600_000)))
            .replace(
                "weight = 3\n",
                &format!("weight = {}\n", number(0, 1_000_000) as f64 / 1_000.0),
            )
            .replace("region = great-lakes", &format!("region = kraj-č{}", number(0, 99)))
            .replace("step_ms = 30", &format!("step_ms = {}\nstall_ms = 300", number(1, 60_000)))
            + &format!("[control]\nlease_ms = {lease_ms}\nrenew_interval_ms = {}", lease_ms / 4);
        let mut characters: Vec<char> = valid.chars().collect();
        for _ in 0..number(1, 8) {
            let at = number(0, characters.len() as u64 - 1) as usize;
            let parts = ['[', ']', '=', '\n', '.', ';', '#', '"', '\\', '0', ' ', '\u{feff}'];
            match number(0, 2) {
                0 => characters[at] = parts[number(0, 11) as usize],
                1 => characters.insert(at, parts[number(0, 11) as usize]),
                _ => drop(characters.remove(at)),
            }
        }
        EditedSettings { valid, edited: characters.into_iter().collect() }
    }
}

fn seeded_quickcheck(tests: u64) -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 7)).tests(tests)
}

/// Guards against a panic on arbitrary text.
#[test]
fn no_text_makes_the_parser_panic() {
    fn fails_without_panic(text: String) -> bool {
        Settings::from_str("any.ini", &text).is_err()
    }
    fn handles_edited_text(text: EditedSettings) -> bool {
        match Settings::from_str("any.ini", &text.edited) {
            Ok(settings) => Settings::from_str("again.ini", &settings.to_string()) == Ok(settings),
            Err(error) => !error.problems.is_empty() && !render(&error).is_empty(),
        }
    }
    seeded_quickcheck(2_000).quickcheck(fails_without_panic as fn(String) -> bool);
    seeded_quickcheck(2_000).quickcheck(handles_edited_text as fn(EditedSettings) -> bool);
}

/// Guards against a value that is lost or changed when settings are rendered.
#[test]
fn rendered_settings_parse_back() {
    fn parses_back(text: EditedSettings) -> bool {
        let settings = Settings::from_str("any.ini", &text.valid).expect("the text is valid");
        Settings::from_str("rendered.ini", &settings.to_string()) == Ok(settings)
    }
    seeded_quickcheck(300).quickcheck(parses_back as fn(EditedSettings) -> bool);
}

/// Guards against an address in a list that is parsed to another one than written.
#[test]
fn addresses_are_parsed_as_written() {
    let settings = Settings::from_str("small.ini", MINIMAL_SETTINGS).expect("the text is valid");
    let expected: SocketAddr = "[2001:db8::9]:9000".parse().expect("an address");
    assert_eq!(settings.pools[0].backends[1], expected);
}
