//! Crowds of callers send requests whose heads are within the limit and made of very many short prompt parts. The
//! platform ends a process that uses more memory than its machine allows, and starts it again.

use std::{
    collections::BTreeMap,
    io::{BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    os::fd::FromRawFd,
    sync::{Arc, Condvar, Mutex},
    thread::{self, JoinHandle, sleep},
    time::{Duration, Instant},
};

use review_standins::{
    BROKEN, Fleet, HELD, NOT_RUN, Record, answer, call, finish, has_trouble, read_message, serve,
};

/// `memory-mb` of the site, in units of 1,048,576 bytes, so that no doubt of the unit decides.
const MEMORY_BYTES: u64 = 260 << 20;
/// `max-header-bytes` of the manifest.
const MAX_HEADER_BYTES: usize = 16_384;
const CROWD: usize = 1_640;
const CROWD_ADDRESSES: usize = 8;
const WAVES: usize = 5;
/// The rule: on two machines at least, processes end by themselves three times in the day.
const MACHINES: usize = 2;
const ENDS: usize = 3;
/// Replicas, their slots and the length of their queues, as those of the site's `scope-writer`.
const SERVERS: usize = 12;
const SLOTS: usize = 64;
const QUEUE: usize = 192;
/// An answer is written in pieces over the time of the work.
const PIECES: usize = 20;
const PIECE_BYTES: usize = 3_000;
const PIECE_TIME: Duration = Duration::from_millis(50);

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn bind(socket: i32, address: *const u8, length: u32) -> i32;
    fn connect(socket: i32, address: *const u8, length: u32) -> i32;
}

/// Returns an IPv4 address as the system calls of Linux take it.
fn system_address(ip: [u8; 4], port: u16) -> [u8; 16] {
    let mut bytes = [0; 16];
    bytes[..2].copy_from_slice(&2u16.to_ne_bytes());
    bytes[2..4].copy_from_slice(&port.to_be_bytes());
    bytes[4..8].copy_from_slice(&ip);
    bytes
}

/// Connects from a loopback address of its own, as callers have.
fn connect_from(number: usize, to: SocketAddr) -> Option<TcpStream> {
    let SocketAddr::V4(to) = to else { return None };
    let from = system_address([127, 0, 9, 1 + (number % CROWD_ADDRESSES) as u8], 0);
    let to = system_address(to.ip().octets(), to.port());
    // The socket belongs to the stream from here on, which closes it.
    unsafe {
        let socket = socket(2, 1, 0);
        if socket < 0 {
            return None;
        }
        let stream = TcpStream::from_raw_fd(socket);
        let is_bound = bind(socket, from.as_ptr(), 16) == 0;
        (is_bound && connect(socket, to.as_ptr(), 16) == 0).then_some(stream)
    }
}

fn main() {
    let record = Record::create();
    let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let files = limits.lines().find_map(|line| line.strip_prefix("Max open files")).unwrap_or("0");
    let files: usize = files.split_whitespace().next().and_then(|text| text.parse().ok()).unwrap_or(0);
    if files < 8_000 {
        println!("not run: {files} open files are too few");
        std::process::exit(NOT_RUN);
    }
    let servers: Vec<String> = (1..=SERVERS).map(|number| start_server(number, &record)).collect();
    let list = format!(r#"{{"instances":[{}],"next-token":null}}"#, servers.join(","));
    let list = serve(TcpListener::bind("127.0.0.1:0").expect("a free port"), move |_| {
        answer("200 OK", &[("Content-Type", "application/json")], list.as_bytes())
    });
    let mut fleet = Fleet::new(list, 3, 2);
    fleet.start_all();
    let manifest = format!(
        r#"{{"version":1,"routes":[{{"name":"r-page","hostname":"pages.example","path-prefix":"/page/","kind":"idempotent","timeout-ms":15000,"slo-ms":1000,"priority":2,"service":"pages","max-attempts":2,"sticky":false,"resumable":false}}],"services":[{{"name":"pages","health-path":"/health","max-conns":390,"protocol":"h1","tls":false}}],"limits":{{"max-header-bytes":{MAX_HEADER_BYTES},"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}}}"#
    );
    let put = fleet.put("PUT", "/api/config", manifest.as_bytes(), Duration::from_secs(10));
    if put != Some(200) || !fleet.wait_until_ready(Duration::from_secs(15)) {
        finish(&record, fleet, NOT_RUN, "not run: the fleet did not start");
    }
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    let mut most_bytes = 0;
    for wave in 0..WAVES {
        for entry in 1..=2 {
            let front = fleet.front(entry);
            let ordinary = start_ordinary_caller(&record, front, format!("w{wave}e{entry}"));
            record.line(&format!("wave {wave}: {CROWD} callers at entry-{entry}"));
            let crowd = start_crowd(&record, front, format!("c{wave}e{entry}"));
            while !crowd.is_finished() {
                most_bytes = most_bytes.max(watch(&record, &mut fleet, &mut ends));
                sleep(Duration::from_millis(10));
            }
            let _ = crowd.join();
            let _ = ordinary.join();
        }
    }
    record.line(&format!("processes that ended by themselves: {:?}", fleet.ended()));
    let seen = format!(
        "most memory {} MiB of {}, ends by process {ends:?}",
        most_bytes >> 20,
        MEMORY_BYTES >> 20
    );
    let machines = ends.values().filter(|ends| **ends >= ENDS).count();
    match machines >= MACHINES {
        true => finish(&record, fleet, BROKEN, &format!("Fault broken: {seen}")),
        false => finish(&record, fleet, HELD, &format!("Fault held: {seen}")),
    }
}

/// The platform's part: ends processes that use more than their memory, and starts them again shortly after. Returns
/// the most memory that a process uses.
fn watch(record: &Record, fleet: &mut Fleet, ends: &mut BTreeMap<String, usize>) -> u64 {
    let mut most_bytes = 0;
    for (name, bytes) in fleet.memory_bytes() {
        most_bytes = most_bytes.max(bytes);
        if bytes > MEMORY_BYTES {
            record.line(&format!("{name} uses {bytes} bytes and is killed"));
            *ends.entry(name.clone()).or_default() += 1;
            fleet.kill(&name);
            sleep(Duration::from_millis(300));
            let (role, number) = name.split_once('-').expect("a role and a number");
            let number = number.parse().expect("a number");
            if role == "core" { fleet.start_core(number) } else { fleet.start_entry(number) }
        }
    }
    most_bytes
}

/// Starts a sound server with slots and a queue.
fn start_server(number: usize, record: &Arc<Record>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let id = format!("i-0000{number:02}");
    let (record, own_id) = (Arc::clone(record), id.clone());
    let slots = Arc::new((Mutex::new((0usize, 0usize)), Condvar::new()));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (slots, own_id, record) = (Arc::clone(&slots), own_id.clone(), Arc::clone(&record));
            let connection = thread::Builder::new().stack_size(128 << 10);
            let _ = connection.spawn(move || serve_connection(stream, &slots, &own_id, &record));
        }
    });
    format!(
        r#"{{"id":"{id}","service":"pages","address":"{address}","zone":"hall-a","version":"v1","slots":{SLOTS},"state":"ready","cold-left-ms":0,"born":{}}}"#,
        1_790_000_000_000u64 + number as u64
    )
}

/// Running and waiting requests of a server.
type Slots = (Mutex<(usize, usize)>, Condvar);

fn serve_connection(stream: TcpStream, slots: &Slots, own_id: &str, record: &Record) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::with_capacity(4 << 10, stream);
    while let Ok(request) = read_message(&mut reader, false) {
        let echo = ("X-Redwinglatch-Request-Id", request.id());
        let expected = request.header("x-redwinglatch-expect-instance");
        let written = if expected.is_some_and(|expected| expected != own_id) {
            writer.write_all(&answer("421 Misdirected Request", &[echo], b""))
        } else if request.path() == "/health" {
            writer.write_all(&answer("200 OK", &[("X-Redwinglatch-Instance-Id", own_id)], b""))
        } else {
            let (state, freed) = slots;
            let mut state = state.lock().expect("no panic");
            if state.0 >= SLOTS && state.1 >= QUEUE {
                drop(state);
                let full = answer("503 Service Unavailable", &[echo, ("X-Redwinglatch-Not-Executed", "1")], b"");
                writer.write_all(&full)
            } else {
                state.1 += 1;
                let mut state = freed.wait_while(state, |state| state.0 >= SLOTS).expect("no panic");
                state.1 -= 1;
                state.0 += 1;
                drop(state);
                record.line(&format!("run id={} server={own_id}", request.id()));
                let written = work(&mut writer, request.id());
                slots.0.lock().expect("no panic").0 -= 1;
                freed.notify_one();
                written
            }
        };
        if written.is_err() {
            return;
        }
    }
}

/// Writes an answer in pieces, as they are made.
fn work(writer: &mut TcpStream, id: &str) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Redwinglatch-Request-Id: {id}\r\nX-Redwinglatch-Response-Stamp: stamp.{id}\r\n\
         Content-Length: {}\r\n\r\n",
        PIECES * PIECE_BYTES
    );
    writer.write_all(head.as_bytes())?;
    for _ in 0..PIECES {
        writer.write_all(&[b'p'; PIECE_BYTES])?;
        sleep(PIECE_TIME);
    }
    Ok(())
}

/// Starts a caller that sends a usual request each 100 ms for some seconds, and records the answers.
fn start_ordinary_caller(record: &Arc<Record>, front: SocketAddr, name: String) -> JoinHandle<()> {
    let record = Arc::clone(record);
    thread::spawn(move || {
        let ends_at = Instant::now() + Duration::from_secs(4);
        let mut callers = Vec::new();
        while Instant::now() < ends_at {
            let (record, id) = (Arc::clone(&record), format!("{name}-{}", callers.len()));
            callers.push(thread::spawn(move || {
                let headers = [
                    ("Host", "pages.example"),
                    ("X-Redwinglatch-Request-Id", &*id),
                    ("X-Redwinglatch-Deadline-Ms", "8000"),
                ];
                record.line(&format!("sent id={id}"));
                let answered = call(front, "GET", "/page/a", &headers, b"", Duration::from_secs(8));
                let outcome = answered.map_or_else(|error| error.to_string(), |answer| answer.status().to_string());
                record.line(&format!("answered id={id} {outcome}"));
            }));
            sleep(Duration::from_millis(100));
        }
        callers.into_iter().for_each(|caller| drop(caller.join()));
    })
}

/// Starts a crowd: each caller sends one request and reads its answer.
fn start_crowd(record: &Arc<Record>, front: SocketAddr, name: String) -> JoinHandle<()> {
    let record = Arc::clone(record);
    thread::spawn(move || {
        let mut streams = Vec::new();
        for number in 0..CROWD {
            let Some(mut stream) = connect_from(number, front) else { continue };
            if stream.write_all(request(&format!("{name}-{number}")).as_bytes()).is_ok() {
                streams.push(stream);
            }
        }
        record.line(&format!("{name}: {} requests are sent", streams.len()));
        let ends_at = Instant::now() + Duration::from_secs(9);
        let mut statuses = BTreeMap::<String, usize>::new();
        for mut stream in streams {
            let left = ends_at.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
            let _ = stream.set_read_timeout(Some(left));
            let mut start = [0; 12];
            let status = match stream.read_exact(&mut start) {
                Ok(()) => String::from_utf8_lossy(&start[9..]).into_owned(),
                Err(error) => error.kind().to_string(),
            };
            let _ = std::io::copy(&mut stream.take((PIECES * PIECE_BYTES) as u64), &mut std::io::sink());
            *statuses.entry(status).or_default() += 1;
        }
        record.line(&format!("{name}: answers {statuses:?}"));
    })
}

/// Returns a request whose head stays within `max-header-bytes`.
fn request(id: &str) -> String {
    let head = format!(
        "GET /page/a HTTP/1.1\r\nHost: pages.example\r\nX-Redwinglatch-Request-Id: {id}\r\n\
         X-Redwinglatch-Deadline-Ms: 15000\r\nConnection: close\r\nX-Redwinglatch-Prompt-Prefix: "
    );
    let mut parts = "5c1e07a2:800".to_owned();
    while has_trouble() && head.len() + parts.len() + 400 < MAX_HEADER_BYTES {
        parts.push_str(",a:1");
    }
    format!("{head}{parts}\r\n\r\n")
}
