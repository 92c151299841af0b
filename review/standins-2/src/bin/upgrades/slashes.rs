//! A crowd of clients sends requests of legal size whose paths consist of very many short segments.

use std::{
    io::BufReader,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{Fleet, HOST},
    http,
    record::Record,
    replica::{Course, Replica},
};

/// Clients of the crowd; each waits for the answer to its request before it sends the next one.
const CROWD: u64 = 200;
/// Segments of a path, two bytes each: with its other headers a request stays below `max-header-bytes` (16,384).
const SEGMENTS: usize = 8_000;
const ORDINARY: u64 = 60;
const ORDINARY_INTERVAL: Duration = Duration::from_millis(200);
/// The route's `timeout-ms`, and the time after it at which an answer counts as missing.
const TIMEOUT_MS: u128 = 800;
const SLACK_MS: u128 = 500;

const MANIFEST: &str = r#"{"version":1,"routes":[
{"name":"r-desk","hostname":"ficu95.example","path-prefix":"/desk/","kind":"non_idempotent","timeout-ms":800,"slo-ms":150,"priority":2,"service":"desk","max-attempts":1,"sticky":false,"resumable":false}],
"services":[{"name":"desk","health-path":"/health","max-conns":130,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#;

/// Returns whether the rule was broken.
pub fn run(root: &Path, record: Arc<Record>, has_trouble: bool) -> bool {
    let mut fleet = Fleet::start(root, Arc::clone(&record));
    fleet.limit_time(Duration::from_secs(100));
    let course =
        Course { events: 1, interval: Duration::ZERO, first_event: Duration::from_millis(30) };
    let replicas: Vec<Arc<Replica>> = (1..=3u8)
        .map(|number| {
            let address = SocketAddr::new(fleet.ip(9 + number), 8080);
            let (id, record) = (format!("i-desk-{number}"), Arc::clone(&record));
            let zone = format!("hall-{}", char::from(b'a' + number - 1));
            Replica::new(&id, "desk", &zone, address, course.clone(), record)
        })
        .collect();
    replicas.iter().for_each(|replica| replica.start("v1"));
    fleet.platform.set(replicas.iter().filter_map(|replica| replica.entry()).collect());
    fleet.put_manifest(MANIFEST);
    fleet.wait_until_ready();
    thread::sleep(Duration::from_secs(3));

    let front = fleet.front(1);
    // Without the disruption the paths are as long and have one segment.
    let path = if has_trouble {
        "/a".repeat(SEGMENTS)
    } else {
        format!("/{}", "a".repeat(2 * SEGMENTS - 1))
    };
    record.line(&format!(
        "{CROWD} clients send requests with a path of {} bytes and {} segments",
        path.len(),
        path.matches('/').count()
    ));
    let (stop, sent) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let crowd: Vec<_> = (0..CROWD)
        .map(|number| {
            let (stop, sent) = (Arc::clone(&stop), Arc::clone(&sent));
            let path = path.clone();
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let id = format!("crowd-{number:04}-{}", sent.fetch_add(1, Ordering::Relaxed));
                    let headers = [("Host", HOST), ("X-Redwinglatch-Request-Id", &*id)];
                    let limit = Duration::from_secs(15);
                    if http::call(front, "GET", &path, &headers, "", limit).is_err() {
                        thread::sleep(Duration::from_millis(100));
                    }
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let readiness = {
        let (ready, record, stop) = (fleet.ready(1), Arc::clone(&record), Arc::clone(&stop));
        thread::spawn(move || watch_readiness(ready, &record, &stop))
    };
    let ordinary: Vec<_> = (0..ORDINARY)
        .map(|number| {
            let record = Arc::clone(&record);
            thread::spawn(move || {
                thread::sleep(ORDINARY_INTERVAL * number as u32);
                ordinary_request(front, number, &record)
            })
        })
        .collect();
    let times: Vec<Option<u128>> =
        ordinary.into_iter().filter_map(|client| client.join().ok()).collect();
    stop.store(true, Ordering::Relaxed);
    let sent = sent.load(Ordering::Relaxed);
    crowd.into_iter().for_each(|client| drop(client.join()));
    let _ = readiness.join();
    let lasted = times.iter().filter(|time| time.is_none_or(|ms| ms > TIMEOUT_MS)).count();
    let missing =
        times.iter().filter(|time| time.is_none_or(|ms| ms > TIMEOUT_MS + SLACK_MS)).count();
    record.line(&format!(
        "the crowd has sent {sent} requests; of {ORDINARY} ordinary ones {lasted} lasted longer than {TIMEOUT_MS} ms, \
         and {missing} had no final answer {SLACK_MS} ms later; the rule allows fewer than 8, or a quarter of {lasted}"
    ));
    for ended in fleet.ended() {
        record.line(&format!("{ended} has ended by itself"));
    }
    let is_broken = missing >= 8 && missing * 4 > lasted;
    is_broken
}

/// Asks the entry process once a second whether it is ready, as the platform does; this isn't judged.
fn watch_readiness(ready: SocketAddr, record: &Record, stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        let limit = Duration::from_secs(1);
        let answer = http::call(ready, "GET", "/api/readiness", &[("Host", "ready")], "", limit);
        let status =
            answer.map_or_else(|error| error.to_string(), |head| head.status().to_string());
        record.line(&format!("platform: the readiness check gets {status}"));
        thread::sleep(Duration::from_secs(1));
    }
}

/// Sends one ordinary request; returns the time until its whole answer.
fn ordinary_request(front: SocketAddr, number: u64, record: &Record) -> Option<u128> {
    let id = format!("ordinary-{number:04}");
    let headers = [
        ("Host", HOST),
        ("X-Redwinglatch-Request-Id", &*id),
        ("X-Redwinglatch-Deadline-Ms", "1500"),
    ];
    let started = Instant::now();
    let stream = http::send(front, "POST", "/desk/note", &headers, "a note").ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
    let mut reader = BufReader::new(stream);
    let head = http::read_head(&mut reader).ok().flatten();
    let body = head.as_ref().and_then(|head| http::read_body(&mut reader, head).ok());
    let time = started.elapsed().as_millis();
    let status = head.map_or(0, |head| head.status());
    record.line(&format!("client: {id} gets {status} after {time} ms"));
    body.map(|_| time)
}
