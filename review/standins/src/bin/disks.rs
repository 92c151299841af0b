//! Disks of core machines are lost one at a time, after a change of the core: a machine was replaced as planned
//! (`planned`), all core processes were killed at once (`killed`), or the successor of a machine was itself lost for
//! good and replaced (`successor`).

use std::{
    net::TcpListener,
    thread::sleep,
    time::{Duration, Instant},
};

use review_standins::{BROKEN, Fleet, HELD, NOT_RUN, Record, answer, finish, has_trouble, serve};

/// `catch-up-s` of the site.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Time after a planned replacement; far more than the pages allow for any recovery.
const SETTLED: Duration = Duration::from_secs(40);
/// `recovery-s` of the site.
const RECOVERY: Duration = Duration::from_secs(12);

fn manifest(version: u32) -> Vec<u8> {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-page","hostname":"desk.example","path-prefix":"/page/","kind":"idempotent","timeout-ms":{},"slo-ms":150,"priority":2,"service":"desk","max-attempts":2,"sticky":false,"resumable":false}}],"services":[{{"name":"desk","health-path":"/health","max-conns":130,"protocol":"h1","tls":false}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}}}"#,
        1_500 + version
    )
    .into_bytes()
}

fn main() {
    let mode = std::env::args().nth(1).unwrap_or_default();
    let record = Record::create();
    let list = serve(TcpListener::bind("127.0.0.1:0").expect("a free port"), |_| {
        let body = br#"{"instances":[],"next-token":null}"#;
        answer("200 OK", &[("Content-Type", "application/json")], body)
    });
    let mut fleet = Fleet::new(list, 3, 1);
    fleet.start_all();
    if !put(&fleet, &record, 1) {
        finish(&record, fleet, NOT_RUN, "not run: the first manifest was not acknowledged");
    }
    sleep(Duration::from_secs(2));
    let last_lost = match &*mode {
        "planned" => {
            replace_as_planned(&mut fleet, &record);
            "core-1"
        }
        "killed" => {
            lose_disk(&mut fleet, &record, 3);
            sleep(Duration::from_millis(600));
            if has_trouble() {
                kill_all_cores(&mut fleet, &record);
            }
            "core-1"
        }
        "successor" => {
            replace_with_lost_successor(&mut fleet, &record);
            "core-1"
        }
        _ => finish(&record, fleet, NOT_RUN, "not run: planned, killed or successor"),
    };
    // The machine that came or came back no longer counts as lost after this time.
    sleep(CATCH_UP + Duration::from_secs(2));
    if !put(&fleet, &record, 2) {
        finish(&record, fleet, NOT_RUN, "not run: the second manifest was not acknowledged");
    }
    let number = last_lost.trim_start_matches("core-").parse().expect("a number");
    lose_disk(&mut fleet, &record, number);
    sleep(RECOVERY);
    let asked_at = Instant::now();
    let read = fleet.read_back(Duration::from_secs(15));
    let text = read.as_deref().map_or("nothing".into(), String::from_utf8_lossy);
    record.line(&format!("read back after {:?}: {text}", asked_at.elapsed()));
    let ended = fleet.ended();
    record.line(&format!("processes that ended by themselves: {ended:?}"));
    match read {
        Some(body) if body == manifest(2) => {
            finish(&record, fleet, HELD, "CONFIG held: manifest 2 was read back")
        }
        Some(_) => finish(&record, fleet, BROKEN, "CONFIG broken: another manifest was read back"),
        None => finish(
            &record,
            fleet,
            BROKEN,
            "CONFIG broken: manifest 2 was acknowledged, and no core process returns it",
        ),
    }
}

fn put(fleet: &Fleet, record: &Record, version: u32) -> bool {
    let status = fleet.put("PUT", "/api/config", &manifest(version), Duration::from_secs(10));
    record.line(&format!("manifest {version} sent, answered={status:?}"));
    status == Some(200)
}

/// The machine of a core process is killed and comes back at once with an empty disk.
fn lose_disk(fleet: &mut Fleet, record: &Record, core: u8) {
    let name = format!("core-{core}");
    fleet.kill(&name);
    fleet.lose_disk(&name);
    sleep(Duration::from_millis(100));
    fleet.start_core(core);
    record.line(&format!("{name} was killed, lost its disk and is started again"));
}

/// A new core machine comes, and 4 s later an old one is stopped for good.
fn replace_as_planned(fleet: &mut Fleet, record: &Record) {
    if !has_trouble() {
        return;
    }
    fleet.start_core(4);
    record.line("core-4 is started with an empty disk");
    sleep(CATCH_UP);
    fleet.remove("core-3");
    record.line("core-3 has got SIGTERM and is gone for good");
}

/// A new core machine comes, and an old one is stopped for good. With the disruption, the new one is lost for good
/// first, and another comes in its place.
fn replace_with_lost_successor(fleet: &mut Fleet, record: &Record) {
    fleet.start_core(4);
    record.line("core-4 is started with an empty disk");
    sleep(CATCH_UP + Duration::from_secs(1));
    if has_trouble() {
        fleet.kill("core-4");
        record.line("core-4 is killed and gone for good");
        sleep(Duration::from_secs(1));
        fleet.start_core(5);
        record.line("core-5 is started with an empty disk, in its place");
        sleep(CATCH_UP + Duration::from_secs(1));
    }
    fleet.remove("core-3");
    record.line("core-3 has got SIGTERM and is gone for good");
    sleep(SETTLED);
}

/// All core processes are killed at the same moment and are back within a second, with their disks.
fn kill_all_cores(fleet: &mut Fleet, record: &Record) {
    for core in 1..=3 {
        fleet.kill(&format!("core-{core}"));
    }
    record.line("all core processes are killed");
    sleep(Duration::from_millis(300));
    for core in 1..=3 {
        fleet.start_core(core);
    }
    record.line("all core processes are started again");
}
