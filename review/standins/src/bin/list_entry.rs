//! One entry of the backend list has bytes that can't be read, while all processes are killed and start again.

use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use review_standins::{BROKEN, Fleet, HELD, NOT_RUN, Record, answer, call, finish, has_trouble, serve};

const RECOVERY: Duration = Duration::from_secs(12);
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

fn main() {
    let record = Record::create();
    let is_foreign_entry_listed = Arc::new(AtomicBool::new(false));
    let runs = Arc::new(AtomicUsize::new(0));
    let servers: Vec<String> = (1..=3).map(|number| start_server(number, &record, &runs)).collect();
    let list = start_list(servers, &is_foreign_entry_listed);
    let mut fleet = Fleet::new(list, 3, 2);
    fleet.start_all();
    let manifest = br#"{"version":1,"routes":[{"name":"r-page","hostname":"desk.example","path-prefix":"/page/","kind":"idempotent","timeout-ms":1500,"slo-ms":150,"priority":2,"service":"desk","max-attempts":2,"sticky":false,"resumable":false}],"services":[{"name":"desk","health-path":"/health","max-conns":130,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#;
    let put = fleet.put("PUT", "/api/config", manifest, Duration::from_secs(10));
    if put != Some(200) || !fleet.wait_until_ready(Duration::from_secs(10)) {
        finish(&record, fleet, NOT_RUN, "not run: the fleet did not start");
    }
    record.line("manifest 1 is acknowledged, all entry processes are ready");
    let before = send_for(&fleet, &record, Duration::from_secs(4), "before");
    if has_trouble() {
        is_foreign_entry_listed.store(true, Ordering::Relaxed);
        record.line("the list has one more entry, with bytes that can't be read");
    }
    thread::sleep(Duration::from_secs(3));
    fleet.kill_all();
    record.line("final fault: all processes are killed");
    thread::sleep(Duration::from_millis(500));
    fleet.start_all();
    record.line("all processes are started again");
    thread::sleep(RECOVERY + Duration::from_millis(500));
    let after = send_for(&fleet, &record, Duration::from_secs(8), "after");
    record.line(&format!("runs at servers: {}", runs.load(Ordering::Relaxed)));
    let (served_before, served_after) = (before.0 * 4 >= before.1, after.0 * 4 >= after.1);
    let seen = format!("before: {}/{} served, after: {}/{} served", before.0, before.1, after.0, after.1);
    if !served_before {
        finish(&record, fleet, NOT_RUN, &format!("not run: {seen}"));
    }
    match served_after {
        true => finish(&record, fleet, HELD, &format!("RECOVER held: {seen}")),
        false => finish(&record, fleet, BROKEN, &format!("RECOVER broken: {seen}")),
    }
}

/// Starts a sound server of the service `desk`, and returns its entry in the list.
fn start_server(number: u32, record: &Arc<Record>, runs: &Arc<AtomicUsize>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let id = format!("i-00000{number}");
    let (record, runs, own_id) = (Arc::clone(record), Arc::clone(runs), id.clone());
    let address = serve(listener, move |request| {
        let expected = request.header("x-redwinglatch-expect-instance");
        let echo = [("X-Redwinglatch-Request-Id", request.id())];
        if expected.is_some_and(|expected| expected != own_id) {
            return answer("421 Misdirected Request", &echo, b"");
        }
        if request.path() == "/health" {
            return answer("200 OK", &[("X-Redwinglatch-Instance-Id", &own_id)], b"");
        }
        thread::sleep(Duration::from_millis(10));
        runs.fetch_add(1, Ordering::Relaxed);
        record.line(&format!("run id={} server={own_id}", request.id()));
        let stamp = format!("stamp.{own_id}.{}", request.id());
        let headers = [echo[0], ("X-Redwinglatch-Response-Stamp", &*stamp)];
        answer("200 OK", &headers, b"page")
    });
    format!(
        r#"{{"id":"{id}","service":"desk","address":"{address}","zone":"hall-a","version":"v1","slots":6,"state":"ready","cold-left-ms":0,"born":{}}}"#,
        1_790_000_000_000u64 + u64::from(number),
    )
}

/// Starts the platform's list, with an entry of another writer between the others while `has_foreign` is set.
fn start_list(servers: Vec<String>, has_foreign: &Arc<AtomicBool>) -> SocketAddr {
    let has_foreign = Arc::clone(has_foreign);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    serve(listener, move |request| {
        if request.path().split('?').next() != Some("/replicas") {
            return answer("404 Not Found", &[], b"");
        }
        let mut entries: Vec<Vec<u8>> = servers.iter().map(|entry| entry.clone().into_bytes()).collect();
        if has_foreign.load(Ordering::Relaxed) {
            let foreign = b"{\"id\":\"\xff\xfe\x80\",\"service\":\"other\",\"state\":\"ready\"}";
            entries.insert(1, foreign.to_vec());
        }
        let mut body = br#"{"instances":["#.to_vec();
        body.extend(entries.join(&b','));
        body.extend(br#"],"next-token":null}"#);
        answer("200 OK", &[("Content-Type", "application/json")], &body)
    })
}

/// Sends requests to all entry processes in turn, and returns how many were served and sent.
fn send_for(fleet: &Fleet, record: &Arc<Record>, time: Duration, name: &str) -> (usize, usize) {
    let ends_at = Instant::now() + time;
    let mut requests = Vec::new();
    while Instant::now() < ends_at {
        let entry = 1 + (requests.len() % usize::from(fleet.entries)) as u8;
        let (front, record) = (fleet.front(entry), Arc::clone(record));
        let id = format!("{name}-{}", requests.len() + 1);
        requests.push(thread::spawn(move || is_served(front, &record, &id)));
        thread::sleep(REQUEST_INTERVAL);
    }
    let sent = requests.len();
    let served = requests.into_iter().filter_map(|request| request.join().ok());
    (served.filter(|is_served| *is_served).count(), sent)
}

/// Sends one request, and returns whether it was answered with success.
fn is_served(front: SocketAddr, record: &Record, id: &str) -> bool {
    let headers = [
        ("Host", "desk.example"),
        ("X-Redwinglatch-Request-Id", id),
        ("X-Redwinglatch-Deadline-Ms", "1500"),
    ];
    let limit = Duration::from_millis(1_500);
    record.line(&format!("sent id={id} to={front}"));
    let answered = call(front, "GET", "/page/a", &headers, b"", limit);
    let outcome = match &answered {
        Ok(answer) => format!("{} {}", answer.status(), String::from_utf8_lossy(&answer.body)),
        Err(error) => error.to_string(),
    };
    record.line(&format!("answered id={id} {outcome}"));
    answered.is_ok_and(|answer| {
        answer.status() == 200 && answer.header("x-redwinglatch-response-stamp").is_some()
    })
}
