//! A replica ends under its streams, and their clients leave before they go on at the other one.

use std::{
    io::BufReader,
    net::SocketAddr,
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{Fleet, HOST, MACHINES},
    http,
    record::Record,
    replica::{Course, Replica, Work},
};

const MANIFEST: &str = r#"{"version":1,"routes":[
{"name":"r-draft","hostname":"ficu95.example","path-prefix":"/draft/","kind":"stream","timeout-ms":25000,"slo-ms":500,"priority":1,"service":"writer","max-attempts":2,"sticky":false,"resumable":true,"gap-slo-ms":250}],
"services":[{"name":"writer","health-path":"/health","max-conns":390,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#;

fn start(root: &Path, record: &Arc<Record>, course: &Course) -> (Fleet, Vec<Arc<Replica>>) {
    let fleet = Fleet::start(root, Arc::clone(record));
    fleet.limit_time(Duration::from_secs(100));
    let replicas: Vec<Arc<Replica>> = (1..=2u8)
        .map(|number| {
            let address = SocketAddr::new(fleet.ip(9 + number), 8080);
            let zone = format!("hall-{}", char::from(b'a' + number - 1));
            let id = format!("i-writer-{number}");
            Replica::new(&id, "writer", &zone, address, course.clone(), Arc::clone(record))
        })
        .collect();
    replicas.iter().for_each(|replica| replica.start("v1"));
    fleet.platform.set(replicas.iter().filter_map(|replica| replica.entry()).collect());
    fleet.put_manifest(MANIFEST);
    fleet.wait_until_ready();
    thread::sleep(Duration::from_secs(3));
    (fleet, replicas)
}

/// Reads a stream; leaves it after `patience` without an event. Returns when the client left.
fn read(front: SocketAddr, id: &str, patience: Duration, record: &Record) -> Option<u64> {
    let headers = [
        ("Host", HOST),
        ("X-Redwinglatch-Request-Id", id),
        ("X-Redwinglatch-Deadline-Ms", "25000"),
    ];
    let stream = http::send(front, "POST", "/draft/text", &headers, "a report").ok()?;
    stream.set_read_timeout(Some(patience)).ok()?;
    let mut reader = BufReader::new(stream);
    let mut left = None;
    let mut events = 0;
    let end = match http::read_head(&mut reader) {
        Ok(Some(head)) => loop {
            match http::read_chunk(&mut reader) {
                Ok(Some(chunk)) => {
                    events += String::from_utf8_lossy(&chunk).matches("id: ").count()
                }
                Ok(None) => break format!("{} complete", head.status()),
                Err(error) if http::is_timeout(&error) => {
                    left = Some(record.now_ms());
                    break format!(
                        "{}; the client leaves after {} ms of silence",
                        head.status(),
                        patience.as_millis()
                    );
                }
                Err(error) => break format!("{} breaks off: {error}", head.status()),
            }
        },
        Ok(None) => "no answer".to_owned(),
        Err(error) => format!("no answer: {error}"),
    };
    drop(reader);
    record.line(&format!("client: {id} gets {end}, {events} events"));
    left
}

/// Returns whether the rule was broken.
pub fn run(root: &Path, record: Arc<Record>, has_trouble: bool) -> bool {
    let course = Course {
        events: 60,
        interval: Duration::from_millis(60),
        first_event: Duration::from_millis(300),
    };
    let (fleet, replicas) = start(root, &record, &course);
    let started = Instant::now();
    let clients: Vec<_> = (0..12u64)
        .map(|number| {
            let front = fleet.front(1 + (number % u64::from(MACHINES)) as u8);
            let record = Arc::clone(&record);
            thread::spawn(move || {
                let id = format!("stream-{number:04}");
                let left = read(front, &id, Duration::from_secs(2), &record);
                (id, left)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1_500));
    // The other replica is busy: the prompts of the streams that go on there take it some time.
    for replica in &replicas {
        replica.course.lock().unwrap().first_event = Duration::from_millis(5_000);
    }
    if has_trouble {
        replicas[0].end();
    }
    let mut broken = 0;
    let mut all_left = 0;
    let lefts: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    thread::sleep(Duration::from_secs(6));
    let all: Vec<Work> =
        replicas.iter().flat_map(|replica| replica.work.lock().unwrap().clone()).collect();
    for (id, left) in lefts {
        let Some(left) = left else { continue };
        all_left += 1;
        let late = all
            .iter()
            .filter(|work| work.id == id)
            .map(|work| work.to_ms.unwrap_or(u64::MAX))
            .max();
        if late.is_some_and(|to_ms| to_ms > left + 500) {
            broken += 1;
            record.line(&format!("GONE: the client of {id} left at {left} ms; a replica worked on it until {late:?} ms"));
        }
    }
    record.line(&format!("{broken} of {all_left} after {} ms", started.elapsed().as_millis()));
    broken * 4 > all_left
}
