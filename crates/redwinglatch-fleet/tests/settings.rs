//! Tests of parsing the settings of a process.

use redwinglatch_fleet::{LossTolerance, ProcessRole, ProcessSettings, SettingsError};

const CORE: &str = "[process]\nname = core-1\ndata_centre = hall-a\n[listen]\nfront =\n\
    control = 192.0.2.1:7000\n[fleet]\nlink_port = 7100\n\
    relay_port = 7101\n\
    seeds = 192.0.2.1:7000, 192.0.2.2:7000\nbootstrap = true\ndata_dir = /data/core\n\
    [platform]\nlist_address = 192.0.2.9:80\n[bounds]\ngrace_s = 8\nretry_slack = 64\n";

#[test]
fn core_process_needs_no_caller_address() {
    let settings = ProcessSettings::from_text(CORE, ProcessRole::Core).expect("valid");
    assert_eq!(settings.control, Some("192.0.2.1:7000".parse().expect("an address")));
    assert_eq!((settings.front, settings.seeds.len()), (None, 2));
    assert_eq!((settings.grace_ms, settings.retry_budget.slack), (8_000, 64.0));
    assert!(settings.bootstrap);
    assert_eq!((settings.link_port, settings.relay_port), (7_100, Some(7_101)));
}

#[test]
fn error_names_the_key_that_an_entry_process_requires() {
    let error = ProcessSettings::from_text(CORE, ProcessRole::Entry).expect_err("no front address");
    assert_eq!(error, SettingsError::Missing { section: "listen", key: "front" });
    assert_eq!(error.to_string(), "[listen] front is missing; add it");
}

#[test]
fn error_names_the_malformed_value_and_the_expected_format() {
    let text = CORE.replace("192.0.2.2:7000", "elsewhere");
    let error = ProcessSettings::from_text(&text, ProcessRole::Core).expect_err("a malformed seed");
    let message = error.to_string();
    assert!(message.contains("[fleet] seeds = \"elsewhere\""), "{message}");
    assert!(message.contains("192.0.2.1:7000"), "{message}");
}

/// Guards against a log with fewer voters than the losses of the deployment need, and against a platform that states
/// none.
#[test]
fn tolerated_losses_bound_the_number_of_voters() {
    let tolerance = |values: &str| {
        let text = CORE.replace("[platform]", &format!("{values}\n[platform]"));
        ProcessSettings::from_text(&text, ProcessRole::Core).map(|settings| settings.loss_tolerance)
    };
    let stated = "tolerated_losses = 2\ntolerated_data_centre_losses = 0";
    let expected = LossTolerance { processes: 2, data_centres: 0, regions: 0 };
    assert_eq!(tolerance(stated), Ok(expected));
    assert_eq!(expected.min_voters(), 5);
    let empty = "tolerated_losses =\ntolerated_data_centre_losses =\ntolerated_region_losses =";
    assert_eq!(tolerance(empty), Ok(LossTolerance::default()));
    assert_eq!(LossTolerance::default().min_voters(), 3);
    let data_centre = tolerance("tolerated_data_centre_losses = 1").expect("valid");
    assert_eq!(data_centre.min_voters(), usize::MAX);
    let error = tolerance("tolerated_losses = -1").expect_err("a negative number");
    assert!(error.to_string().contains("[fleet] tolerated_losses = \"-1\""), "{error}");
}

/// Deployments without the setting are served as before.
#[test]
fn prompt_reuse_is_off_unless_set() {
    let parse = |text: &str| ProcessSettings::from_text(text, ProcessRole::Core);
    assert!(!parse(CORE).expect("valid").reuses_prompts);
    let empty = format!("{CORE}[placement]\nprompt_reuse =\n");
    assert!(!parse(&empty).expect("an empty value counts as missing").reuses_prompts);
    let on = format!("{CORE}[placement]\nprompt_reuse = true\n");
    assert!(parse(&on).expect("valid").reuses_prompts);
}

/// Guards against caps in deployments that state none, and against one of their values that is ignored.
#[test]
fn caps_need_a_window() {
    let parse = |text: &str| ProcessSettings::from_text(text, ProcessRole::Core).expect("valid");
    assert_eq!(parse(CORE).caps, None);
    assert_eq!(parse(&format!("{CORE}quota_window_s =\nquota_slack = 11000\n")).caps, None);
    let text = format!("{CORE}quota_window_s = 8\nquota_overage = 0.1\nquota_slack = 11000\n");
    let caps = parse(&text).caps.expect("caps");
    assert_eq!((caps.window_ms, caps.overage_milli, caps.slack), (8_000, 100, 11_000));
}

/// Guards against a deployment that doesn't start because its platform states no limits.
#[test]
fn limits_may_be_missing_or_empty() {
    let limits = |text: &str| {
        let settings = ProcessSettings::from_text(&format!("{CORE}{text}"), ProcessRole::Core);
        settings.map(|settings| (settings.limits.memory_mb, settings.limits.max_fds))
    };
    assert_eq!(limits(""), Ok((160, 4_100)));
    assert_eq!(limits("[limits]\nmemory_mb =\nmax_fds =\n"), Ok((160, 4_100)));
    assert_eq!(limits("[limits]\nmemory_mb = 120.5\nmax_fds = 1000\n"), Ok((120, 1_000)));
    for text in ["memory_mb = 0", "memory_mb = lots", "max_fds = -1", "max_fds = inf"] {
        assert!(limits(&format!("[limits]\n{text}\n")).is_err(), "{text}");
    }
}
