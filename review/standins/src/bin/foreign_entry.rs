//! One entry of the backend list comes from another writer and lacks fields; it has the id and address of a server of
//! another service.

use std::{
    net::TcpListener,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use review_standins::{BROKEN, Fleet, HELD, NOT_RUN, Record, answer, call, finish, has_trouble, serve};

const REQUEST_INTERVAL: Duration = Duration::from_millis(40);

/// Requests that were run by a server of a service to which their route doesn't lead.
static MISROUTED: AtomicUsize = AtomicUsize::new(0);

struct Server {
    id: String,
    address: std::net::SocketAddr,
    service: &'static str,
    born: u64,
}

fn main() {
    let record = Record::create();
    let servers = vec![
        start_server(&record, 1, "desk", "/page/"),
        start_server(&record, 2, "desk", "/page/"),
        start_server(&record, 3, "ledger", "/book/"),
    ];
    let is_foreign_entry_listed = Arc::new(AtomicBool::new(false));
    let list = start_list(servers, Arc::clone(&is_foreign_entry_listed));
    let mut fleet = Fleet::new(list, 3, 2);
    fleet.start_all();
    let manifest = br#"{"version":1,"routes":[{"name":"r-page","hostname":"desk.example","path-prefix":"/page/","kind":"non_idempotent","timeout-ms":1500,"slo-ms":150,"priority":2,"service":"desk","max-attempts":1,"sticky":false,"resumable":false},{"name":"r-book","hostname":"desk.example","path-prefix":"/book/","kind":"non_idempotent","timeout-ms":1500,"slo-ms":150,"priority":2,"service":"ledger","max-attempts":1,"sticky":false,"resumable":false}],"services":[{"name":"desk","health-path":"/health","max-conns":130,"protocol":"h1","tls":false},{"name":"ledger","health-path":"/health","max-conns":130,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#;
    let put = fleet.put("PUT", "/api/config", manifest, Duration::from_secs(10));
    if put != Some(200) || !fleet.wait_until_ready(Duration::from_secs(10)) {
        finish(&record, fleet, NOT_RUN, "not run: the fleet did not start");
    }
    record.line("manifest 1 is acknowledged, all entry processes are ready");
    let before = send_for(&fleet, &record, Duration::from_secs(3), "before");
    if has_trouble() {
        is_foreign_entry_listed.store(true, Ordering::Relaxed);
        record.line("the list has one more entry, without cold-left-ms and born");
    }
    thread::sleep(Duration::from_secs(3));
    let after = send_for(&fleet, &record, Duration::from_secs(6), "after");
    let misrouted = MISROUTED.load(Ordering::Relaxed);
    let seen = format!("{misrouted} of {} requests ran at a server of ledger; {before} were sent before", after);
    record.line(&format!("processes that ended by themselves: {:?}", fleet.ended()));
    match misrouted {
        0 => finish(&record, fleet, HELD, &format!("ROUTE held: {seen}")),
        _ => finish(&record, fleet, BROKEN, &format!("ROUTE broken: {seen}")),
    }
}

/// Starts a sound server, which runs what names it in `X-Redwinglatch-Expect-Instance` or names none.
fn start_server(
    record: &Arc<Record>,
    number: u64,
    service: &'static str,
    own_paths: &'static str,
) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let id = format!("i-00000{number}");
    let (record, own_id) = (Arc::clone(record), id.clone());
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
        if !request.path().starts_with(own_paths) {
            MISROUTED.fetch_add(1, Ordering::Relaxed);
        }
        let (id, path) = (request.id(), request.path());
        record.line(&format!("run id={id} path={path} server={own_id} service={service}"));
        let stamp = format!("stamp.{own_id}.{id}");
        let headers = [echo[0], ("X-Redwinglatch-Response-Stamp", &*stamp)];
        answer("200 OK", &headers, service.as_bytes())
    });
    Server { id, address, service, born: 1_790_000_000_000 + number }
}

/// Starts the platform's list.
fn start_list(servers: Vec<Server>, has_foreign: Arc<AtomicBool>) -> std::net::SocketAddr {
    serve(TcpListener::bind("127.0.0.1:0").expect("a free port"), move |request| {
        if request.path().split('?').next() != Some("/replicas") {
            return answer("404 Not Found", &[], b"");
        }
        let sound = servers.iter().map(|Server { id, address, service, born }| {
            format!(
                r#"{{"id":"{id}","service":"{service}","address":"{address}","zone":"hall-a","version":"v1","slots":6,"state":"ready","cold-left-ms":0,"born":{born}}}"#
            )
        });
        let mut entries: Vec<String> = sound.collect();
        if has_foreign.load(Ordering::Relaxed) {
            let Server { id, address, .. } = &servers[2];
            entries.push(format!(
                r#"{{"id":"{id}","service":"desk","address":"{address}","zone":"hall-a","version":"v1","slots":6,"state":"ready"}}"#
            ));
        }
        let body = format!(r#"{{"instances":[{}],"next-token":null}}"#, entries.join(","));
        answer("200 OK", &[("Content-Type", "application/json")], body.as_bytes())
    })
}

/// Sends requests for `desk` to all entry processes in turn, and returns how many were sent.
fn send_for(fleet: &Fleet, record: &Arc<Record>, time: Duration, name: &str) -> usize {
    let ends_at = Instant::now() + time;
    let mut requests = Vec::new();
    while Instant::now() < ends_at {
        let entry = 1 + (requests.len() % usize::from(fleet.entries)) as u8;
        let (front, record) = (fleet.front(entry), Arc::clone(record));
        let id = format!("{name}-{}", requests.len() + 1);
        requests.push(thread::spawn(move || {
            let headers = [
                ("Host", "desk.example"),
                ("X-Redwinglatch-Request-Id", &*id),
                ("X-Redwinglatch-Deadline-Ms", "1500"),
            ];
            record.line(&format!("sent id={id} path=/page/a to={front}"));
            let answered = call(front, "POST", "/page/a", &headers, b"form", Duration::from_millis(1_500));
            let outcome = match answered {
                Ok(answer) => format!("{} {}", answer.status(), String::from_utf8_lossy(&answer.body)),
                Err(error) => error.to_string(),
            };
            record.line(&format!("answered id={id} {outcome}"));
        }));
        thread::sleep(REQUEST_INTERVAL);
    }
    let sent = requests.len();
    requests.into_iter().for_each(|request| drop(request.join()));
    sent
}
