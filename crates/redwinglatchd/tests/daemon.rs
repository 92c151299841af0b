//! Tests of the daemon's command line.

use std::path::PathBuf;
use std::process::{Command, Output};

fn run(args: &[&str]) -> (Option<i32>, String, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_redwinglatchd")).args(args).output();
    let Output { status, stdout, stderr } = output.expect("the daemon starts");
    let text = |bytes| String::from_utf8(bytes).expect("the output is text");
    (status.code(), text(stdout), text(stderr))
}

fn example(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name);
    path.to_str().expect("the path is text").to_owned()
}

/// Guards against a start with invalid options or settings, and against an exit code that a service
/// manager would take for success.
#[test]
fn exit_codes_are_as_documented() {
    for args in [&[][..], &["--check"], &["--config"], &["--config", "a.ini", "extra"]] {
        let (code, out, err) = run(args);
        assert_eq!((code, &*out), (Some(2), ""), "{args:?}");
        assert!(err.starts_with("Error: "), "{err}");
    }
    let (code, out, err) = run(&["--help"]);
    assert_eq!((code, &*err), (Some(0), ""));
    assert!(out.contains("--config=FILE"), "{out}");

    let valid = example("lakeshore/instance-1.ini");
    let (code, out, err) = run(&["--config", &valid, "--check"]);
    assert_eq!((code, &*err), (Some(0), ""));
    assert!(out.ends_with("the settings of instance 1 are valid\n"), "{out}");

    // A contract file is not a settings file: every section is reported as faulty.
    let contract = example("lakeshore/contracts/north-shore.ini");
    for args in [&["--config", &*contract, "--check"][..], &["--config", &contract]] {
        let (code, out, err) = run(args);
        assert_eq!((code, &*out), (Some(1), ""), "{args:?}");
        for part in ["[contract]: no such section", "[instance]: the section is missing", "help:"] {
            assert!(err.contains(part), "{part}: {err}");
        }
    }
}
