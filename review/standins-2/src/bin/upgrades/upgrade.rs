//! Replicas are upgraded in place, one after the other: each starts again at its address and under its id.

use std::{
    io::BufReader,
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    fleet::{Fleet, HOST, MACHINES},
    http,
    record::Record,
    replica::{Course, Replica},
};

const REPLICAS: u8 = 4;
/// Replicas that are upgraded: the share of `release` on our pages is half at the most.
const UPGRADED: usize = 2;
/// Time from the end of one replica to that of the next (`gap_s`).
const GAP: Duration = Duration::from_millis(1_000);
/// Time from the end of a replica to its next start.
const RESTART: Duration = Duration::from_millis(400);
const STREAMS: u64 = 72;

const MANIFEST: &str = r#"{"version":1,"routes":[
{"name":"r-draft","hostname":"ficu95.example","path-prefix":"/draft/","kind":"stream","timeout-ms":25000,"slo-ms":1000,"priority":1,"service":"writer","max-attempts":2,"sticky":false,"resumable":true,"gap-slo-ms":250}],
"services":[{"name":"writer","health-path":"/health","max-conns":390,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#;

/// Returns whether the rule was broken.
pub fn run(root: &Path, record: Arc<Record>, has_trouble: bool) -> bool {
    let fleet = Fleet::start(root, Arc::clone(&record));
    fleet.limit_time(Duration::from_secs(100));
    let course = Course {
        events: 60,
        interval: Duration::from_millis(100),
        first_event: Duration::from_millis(50),
    };
    let replicas: Vec<Arc<Replica>> = (1..=REPLICAS)
        .map(|number| {
            let address = SocketAddr::new(fleet.ip(9 + number), 8080);
            let zone = format!("hall-{}", char::from(b'a' + (number - 1) % 3));
            let (id, record) = (format!("i-writer-{number}"), Arc::clone(&record));
            Replica::new(&id, "writer", &zone, address, course.clone(), record)
        })
        .collect();
    replicas.iter().for_each(|replica| replica.start("v1"));
    let list = || replicas.iter().filter_map(|replica| replica.entry()).collect::<Vec<_>>();
    fleet.platform.set(list());
    fleet.put_manifest(MANIFEST);
    fleet.wait_until_ready();
    // All processes have the list by then.
    thread::sleep(Duration::from_secs(3));

    let results = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let front = fleet.front(1 + (number % u64::from(MACHINES)) as u8);
            let (results, record) = (Arc::clone(&results), Arc::clone(&record));
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(10 * number));
                let id = format!("stream-{number:04}");
                let versions = read_stream(front, &id, &record);
                results.lock().expect("no panic").push((id, versions));
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(2_000));
    if has_trouble {
        for replica in &replicas[..UPGRADED] {
            replica.end();
            thread::sleep(RESTART);
            replica.start("v2");
            fleet.platform.set(list());
            thread::sleep(GAP - RESTART);
        }
    }
    for client in clients {
        let _ = client.join();
    }
    let results = results.lock().expect("no panic");
    let mixed: Vec<_> = results.iter().filter(|(_, versions)| versions.len() > 1).collect();
    for (id, versions) in &mixed {
        record.line(&format!("MIXED: stream {id} holds events of {versions:?}"));
    }
    record.line(&format!(
        "{} of {} streams hold events of two software versions; the rule allows 2",
        mixed.len(),
        results.len()
    ));
    let is_broken = mixed.len() > 2;
    is_broken
}

/// Reads a stream to its end and returns the software versions of its events, in their order.
fn read_stream(front: SocketAddr, id: &str, record: &Record) -> Vec<String> {
    let mut versions: Vec<String> = Vec::new();
    let headers = [
        ("Host", HOST),
        ("X-Redwinglatch-Request-Id", id),
        ("X-Redwinglatch-Deadline-Ms", "25000"),
    ];
    let Ok(stream) = http::send(front, "POST", "/draft/text", &headers, "a report") else {
        record.line(&format!("client: {id} has no connection"));
        return versions;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    let mut reader = BufReader::new(stream);
    let head = match http::read_head(&mut reader) {
        Ok(Some(head)) => head,
        end => {
            record.line(&format!("client: {id} gets no answer: {end:?}"));
            return versions;
        }
    };
    let mut text = String::new();
    let end = loop {
        match http::read_chunk(&mut reader) {
            Ok(Some(chunk)) => text += &String::from_utf8_lossy(&chunk),
            Ok(None) => break "is complete".to_owned(),
            Err(error) => break format!("breaks off: {error}"),
        }
    };
    let mut events = Vec::new();
    for line in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        let mut words = line.split(' ');
        let (version, replica) = (words.next().unwrap_or("-"), words.next().unwrap_or("-"));
        let event = words.last().unwrap_or("-");
        if versions.last().is_none_or(|last| last != version) {
            versions.push(version.to_owned());
            events.push(format!("from event {event} on {version} by {replica}"));
        }
    }
    record.line(&format!("client: {id} gets {}, {end}: {}", head.status(), events.join(", ")));
    versions
}
