//! Tests of `redwinglatch bench`: result files, verdicts and exit codes.

use std::path::{Path, PathBuf};
use std::process::Command;

use redwinglatch_report::Report;

/// A directory for the files of one test, removed on drop.
struct TemporaryDir(PathBuf);

impl TemporaryDir {
    fn new(name: &str) -> TemporaryDir {
        let name = format!("bench-{}-{name}", std::process::id());
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&path).expect("the directory for temporary files is writable");
        TemporaryDir(path)
    }
}

impl Drop for TemporaryDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Runs the command in `dir` and returns its exit code, standard output and standard error.
fn bench(dir: &Path, args: &[&str]) -> (Option<i32>, String, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_redwinglatch"))
        .arg("bench")
        .args(args)
        .current_dir(dir)
        .env("NO_COLOR", "1")
        .output()
        .expect("the command line starts");
    let text = |bytes| String::from_utf8(bytes).expect("the output is text");
    (output.status.code(), text(output.stdout), text(output.stderr))
}

/// Guards against a wrong option or file that is reported only after a run of minutes.
#[test]
fn wrong_options_and_files_fail_before_the_run() {
    let dir = TemporaryDir::new("options");
    for args in [&["--only", "speed"][..], &["--seed", "x"], &["zipf"]] {
        let (code, out, err) = bench(&dir.0, args);
        assert_eq!((code, &*out), (Some(2), ""), "{args:?}: {err}");
    }
    let other_seed = Report::new(9, true).to_json().expect("a report encodes");
    std::fs::write(dir.0.join("other.json"), other_seed).expect("the directory is writable");
    std::fs::write(dir.0.join("broken.json"), "{}").expect("the directory is writable");
    for (file, message) in [
        ("none.json", "none.json can't be read"),
        ("broken.json", "broken.json can't be read as a result"),
        ("other.json", "another seed"),
    ] {
        let (code, out, err) = bench(&dir.0, &["--short", "--baseline", file]);
        assert_eq!((code, &*out), (Some(1), ""), "{file}: {err}");
        assert!(err.contains(message), "{file}: {err}");
        assert!(!dir.0.join("target").exists(), "{file}: nothing was run");
    }
}

/// Guards against missing result files, data directories that are not removed, a shortened run that
/// checks times, and a regression that is not reported.
#[test]
fn run_writes_its_files_and_reports_regressions() {
    let dir = TemporaryDir::new("run");
    let (code, _, err) = bench(&dir.0, &["--only", "stream", "--short", "--out", "first"]);
    assert_eq!(code, Some(0), "{err}");
    let mut files: Vec<_> = std::fs::read_dir(dir.0.join("first"))
        .expect("the directory exists")
        .map(|entry| entry.expect("an entry").file_name())
        .collect();
    files.sort();
    assert_eq!(files, ["report.html", "result.json"]);
    let text = std::fs::read_to_string(dir.0.join("first/result.json")).expect("it is text");
    let mut report = Report::from_json(&text).expect("it is a report");
    assert!(report.figures.iter().any(|it| it.name.starts_with("stream: added")), "{text}");

    // Times that no machine can reach.
    report.figures.iter_mut().for_each(|figure| figure.value = 1e-9);
    let write = |report: &Report| {
        let text = report.to_json().expect("a report encodes");
        std::fs::write(dir.0.join("fast.json"), text).expect("the directory is writable");
    };
    write(&report);
    let args = ["--only", "stream", "--baseline", "fast.json"];
    let (code, out, err) = bench(&dir.0, &[&args[..], &["--short"]].concat());
    assert_eq!(code, Some(0), "{err}");
    assert!(out.contains("ratio ") && !out.contains("REGRESSION"), "{out}");
    report.short = false;
    write(&report);
    let (code, out, err) = bench(&dir.0, &args);
    assert_eq!(code, Some(1), "{out}");
    assert!(out.contains("REGRESSION"), "{out}{err}");
    assert!(err.contains("regressions"), "{err}");
}
