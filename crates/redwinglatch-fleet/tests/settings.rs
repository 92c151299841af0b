//! Settings of a process.

use redwinglatch_fleet::{ProcessSettings, Role, SettingsError};

const CORE: &str = "[process]\nname = core-1\ndata_centre = hall-a\n[listen]\nfront =\n\
    control = 192.0.2.1:7000\n[fleet]\nlink_port = 7100\n\
    seeds = 192.0.2.1:7000, 192.0.2.2:7000\nbootstrap = true\ndata_dir = /data/core\n\
    [platform]\nlist_address = 192.0.2.9:80\n[bounds]\ngrace_s = 8\nretry_slack = 64\n";

#[test]
fn a_core_process_needs_no_address_for_callers() {
    let settings = ProcessSettings::from_text(CORE, Role::Core).expect("valid");
    assert_eq!(settings.control, Some("192.0.2.1:7000".parse().expect("an address")));
    assert_eq!((settings.front, settings.seeds.len()), (None, 2));
    assert_eq!((settings.grace_ms, settings.retry_budget.slack), (8_000, 64));
    assert!(settings.bootstrap);
}

#[test]
fn what_an_entry_process_needs_is_named() {
    let error = ProcessSettings::from_text(CORE, Role::Entry).expect_err("no front address");
    assert_eq!(error, SettingsError::Missing { section: "listen", key: "front" });
    assert_eq!(error.to_string(), "[listen] front is missing; add it");
}

#[test]
fn a_malformed_value_is_named_with_what_is_expected() {
    let text = CORE.replace("192.0.2.2:7000", "elsewhere");
    let error = ProcessSettings::from_text(&text, Role::Core).expect_err("a malformed seed");
    let message = error.to_string();
    assert!(message.contains("[fleet] seeds = \"elsewhere\""), "{message}");
    assert!(message.contains("192.0.2.1:7000"), "{message}");
}
