//! Requests for a few adapters come at once; an engine has places for them, but not the memory.

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use review_standins::{
    BROKEN, Fleet, HELD, Message, NOT_RUN, Record, answer, finish, has_trouble, read_message, serve,
};

const SLOTS: usize = 64;
const WEIGHTS_MB: u64 = 67_600;
const MODEL_MB: u64 = 65_500;
const ADAPTER_MB: u64 = 400;
const ADAPTER_SLOTS: usize = 20;
const LOAD_TIME: Duration = Duration::from_millis(250);
const RESTART_TIME: Duration = Duration::from_secs(3);
const EVENTS: usize = 57;

/// Adapters that are asked for; five fit beside the model.
fn adapters() -> usize {
    if has_trouble() { 8 } else { 4 }
}

#[derive(Default)]
struct State {
    /// The start of the process; it changes with every restart.
    lifetime: u64,
    has_model: bool,
    /// The loaded adapters, and those that are loading, with the end of their load.
    adapters: BTreeMap<String, Instant>,
    sequence: u64,
    fence: u64,
    is_down: bool,
}

struct Engine {
    id: String,
    record: Arc<Record>,
    state: Mutex<State>,
    running: AtomicUsize,
}

static EXCEEDED: AtomicUsize = AtomicUsize::new(0);
static CUT: AtomicUsize = AtomicUsize::new(0);

fn main() {
    let record = Record::create();
    let engine = Arc::new(Engine {
        id: "i-000001".into(),
        record: Arc::clone(&record),
        state: Mutex::new(State { lifetime: 1, has_model: true, ..State::default() }),
        running: AtomicUsize::new(0),
    });
    let address = engine.start();
    let listed = Arc::clone(&engine);
    let list = serve(TcpListener::bind("127.0.0.1:0").expect("a free port"), move |_| {
        let entry = format!(
            r#"{{"instances":[{{"id":"{}","service":"writer","address":"{address}","zone":"hall-a","version":"v1","slots":{SLOTS},"state":"ready","cold-left-ms":0,"stage":"colocated",{}}}],"next-token":null}}"#,
            listed.id,
            listed.description()
        );
        answer("200 OK", &[("Content-Type", "application/json")], entry.as_bytes())
    });
    let mut fleet = Fleet::new(list, 3, 2);
    fleet.start_all();
    let manifest = format!(
        r#"{{"version":1,"routes":[{{"name":"r-draft","hostname":"draft.example","path-prefix":"/draft/","kind":"stream","timeout-ms":15000,"slo-ms":800,"priority":1,"service":"writer","max-attempts":1,"sticky":true,"resumable":false,"gap-slo-ms":250}}],"services":[{{"name":"writer","health-path":"/health","max-conns":390,"protocol":"h1","tls":false,"engine":{{"slots":{SLOTS},"kv-capacity":141097,"kv-token-bytes":327680,"link-mbps":740000.0,"moves":true,"backups":true,"stride":3,"max-count":12,"host-mb":130000.0,"disk-mb":380000.0,"pin-ms":4000.0,"hold-ms":2000.0,"handle_s":5.0,"models":[{{"name":"base","weights-mb":{MODEL_MB}.0,"load-s":3.9,"adapters":3000,"adapter-mb":{ADAPTER_MB}.0,"warm-s":0.57,"disk-s":1.6}}],"weights-mb":{WEIGHTS_MB}.0,"adapter-slots":{ADAPTER_SLOTS},"loads-per-s":3.0}}}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}}}"#
    );
    let put = fleet.put("PUT", "/api/config", manifest.as_bytes(), Duration::from_secs(10));
    if put != Some(200) || !fleet.wait_until_ready(Duration::from_secs(15)) {
        finish(&record, fleet, NOT_RUN, "not run: the fleet did not start");
    }
    sleep(Duration::from_secs(2));
    let mut callers = Vec::new();
    for number in 0..120 {
        let front = fleet.front(1 + (number % 2) as u8);
        let (record, adapter) = (Arc::clone(&record), 1 + number % adapters());
        callers.push(thread::spawn(move || ask(&record, front, number, adapter)));
        sleep(Duration::from_millis(100));
    }
    let whole = callers.into_iter().filter_map(|caller| caller.join().ok()).filter(|is_whole| *is_whole);
    let whole = whole.count();
    record.line(&format!("processes that ended by themselves: {:?}", fleet.ended()));
    let (exceeded, cut) = (EXCEEDED.load(Ordering::Relaxed), CUT.load(Ordering::Relaxed));
    let seen = format!(
        "{exceeded} orders beyond weights-mb, {cut} streams cut by crashes, {whole} of 120 answers whole"
    );
    match exceeded {
        0 => finish(&record, fleet, HELD, &format!("LIMIT held: {seen}")),
        _ => finish(&record, fleet, BROKEN, &format!("LIMIT broken: {seen}")),
    }
}

impl Engine {
    fn start(self: &Arc<Engine>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let engine = Arc::clone(self);
        thread::spawn(move || {
            let mut listener = Some(listener);
            loop {
                let accepting = listener.take().unwrap_or_else(|| TcpListener::bind(address).expect("its port"));
                accepting.set_nonblocking(true).expect("a listener");
                while !engine.state.lock().expect("no panic").is_down {
                    match accepting.accept() {
                        Ok((stream, _)) => {
                            stream.set_nonblocking(false).expect("a stream");
                            let engine = Arc::clone(&engine);
                            thread::spawn(move || engine.serve_connection(stream));
                        }
                        Err(_) => sleep(Duration::from_millis(2)),
                    }
                }
                drop(accepting);
                sleep(RESTART_TIME);
                let mut state = engine.state.lock().expect("no panic");
                let lifetime = state.lifetime + 1;
                *state = State { lifetime, ..State::default() };
                engine.record.line(&format!("{} is started again, empty", engine.id));
            }
        });
        address
    }

    /// Returns what the engine says of itself.
    fn description(&self) -> String {
        let state = self.state.lock().expect("no panic");
        let loaded = state.adapters.iter().filter(|(_, ends_at)| **ends_at <= Instant::now());
        let loaded: Vec<String> = loaded.map(|(name, _)| format!("\"{name}@1\"")).collect();
        let model = format!(r#"{{"name":"base","version":1,"adapters":[{}]}}"#, loaded.join(","));
        let model = if state.has_model { model } else { String::new() };
        format!(r#""models":[{model}],"born":{}"#, 1_790_000_000_000 + state.lifetime)
    }

    fn serve_connection(&self, mut stream: TcpStream) {
        let lifetime = self.state.lock().expect("no panic").lifetime;
        let mut reader = BufReader::new(stream.try_clone().expect("a stream"));
        while let Ok(request) = read_message(&mut reader, false) {
            if self.has_ended(lifetime) {
                return;
            }
            let expected = request.header("x-redwinglatch-expect-instance");
            let response = if expected.is_some_and(|expected| expected != self.id) {
                answer("421 Misdirected Request", &[("X-Redwinglatch-Request-Id", request.id())], b"")
            } else if request.path() == "/api/report" {
                self.report()
            } else if request.path() == "/api/order" {
                match self.carry_out(&String::from_utf8_lossy(&request.body)) {
                    Some(status) => answer(status, &[], b"{}"),
                    None => return,
                }
            } else if request.path().starts_with("/draft/") {
                match self.run(&request, lifetime, &mut stream) {
                    Some(response) => response,
                    None => return,
                }
            } else {
                answer("200 OK", &[("X-Redwinglatch-Instance-Id", &*self.id)], b"")
            };
            if stream.write_all(&response).is_err() {
                return;
            }
        }
    }

    fn has_ended(&self, lifetime: u64) -> bool {
        let state = self.state.lock().expect("no panic");
        state.is_down || state.lifetime != lifetime
    }

    fn report(&self) -> Vec<u8> {
        let description = self.description();
        let state = self.state.lock().expect("no panic");
        let now = self.running.load(Ordering::Relaxed);
        let coming = state.adapters.iter().filter(|(_, ends_at)| **ends_at > Instant::now());
        let coming: Vec<String> = coming.map(|(name, _)| format!("\"base/{name}@1\"")).collect();
        let body = format!(
            r#"{{"stage":"colocated",{description},"busy":false,"seq":{},"queued":0,"running":{now},"kv-used":{},"kv-total":141097,"handles":0,"coming":[{}]}}"#,
            state.sequence,
            now * 1_500,
            coming.join(",")
        );
        answer("200 OK", &[], body.as_bytes())
    }

    /// Carries an order out and returns the status of its answer, or `None` if the engine crashes.
    fn carry_out(&self, order: &str) -> Option<&'static str> {
        let text = |name: &str| Some(order.split_once(&format!("\"{name}\":\""))?.1.split('"').next()?.to_owned());
        let number = |name: &str| -> Option<u64> {
            let rest = order.split_once(&format!("\"{name}\":"))?.1;
            rest.split([',', '}']).next()?.trim().parse().ok()
        };
        let mut state = self.state.lock().expect("no panic");
        let fence = number("fence").unwrap_or_default();
        let adapter = text("adapter");
        let status = if fence < state.fence {
            "412 Precondition Failed"
        } else {
            state.fence = fence;
            let is_loaded = |name: &String| state.adapters.get(name).map(|ends_at| *ends_at <= Instant::now());
            match (text("op").as_deref(), &adapter) {
                (Some("load"), Some(name)) if is_loaded(name) == Some(true) => "200 OK",
                (Some("load"), Some(name)) if is_loaded(name) == Some(false) => "202 Accepted",
                (Some("load"), None) if state.has_model => "200 OK",
                (Some("unload"), Some(name)) if is_loaded(name).is_none() => "200 OK",
                _ if number("precondition").is_some_and(|expected| expected != state.sequence) => "409 Conflict",
                (Some("load"), Some(name)) => {
                    state.sequence += 1;
                    state.adapters.insert(name.clone(), Instant::now() + LOAD_TIME);
                    "202 Accepted"
                }
                (Some("load"), None) => {
                    state.sequence += 1;
                    state.has_model = true;
                    "202 Accepted"
                }
                (_, Some(name)) => {
                    state.sequence += 1;
                    state.adapters.remove(name);
                    "200 OK"
                }
                (_, None) => {
                    state.sequence += 1;
                    state.has_model = false;
                    state.adapters.clear();
                    "200 OK"
                }
            }
        };
        let used_mb = u64::from(state.has_model) * MODEL_MB + state.adapters.len() as u64 * ADAPTER_MB;
        self.record.line(&format!("order {order} answered={status} used_mb={used_mb} of {WEIGHTS_MB}"));
        if used_mb > WEIGHTS_MB || state.adapters.len() > ADAPTER_SLOTS {
            EXCEEDED.fetch_add(1, Ordering::Relaxed);
            self.record.line(&format!("{} crashes: it was ordered to load more than it holds", self.id));
            state.is_down = true;
            return None;
        }
        Some(status)
    }

    /// Runs a request; returns the answer to one that it doesn't run, or the end of a whole stream.
    fn run(&self, request: &Message, lifetime: u64, stream: &mut TcpStream) -> Option<Vec<u8>> {
        let id = request.id();
        let echo = ("X-Redwinglatch-Request-Id", id);
        let adapter = request.header("x-redwinglatch-model").and_then(|model| model.split_once('/'));
        let (_, adapter) = adapter.unwrap_or_default();
        let is_loaded = {
            let state = self.state.lock().expect("no panic");
            state.has_model && state.adapters.get(adapter).is_some_and(|ends_at| *ends_at <= Instant::now())
        };
        if !is_loaded {
            return Some(answer("421 Misdirected Request", &[echo], b""));
        }
        if self.running.fetch_add(1, Ordering::Relaxed) >= SLOTS {
            self.running.fetch_sub(1, Ordering::Relaxed);
            return Some(answer("503 Service Unavailable", &[echo, ("X-Redwinglatch-Not-Executed", "1")], b""));
        }
        self.record.line(&format!("run id={id} adapter={adapter}"));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Redwinglatch-Request-Id: {id}\r\n\
             X-Redwinglatch-Response-Stamp: stamp.{id}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let mut is_open = stream.write_all(head.as_bytes()).is_ok();
        for number in 1..=EVENTS {
            if self.has_ended(lifetime) {
                CUT.fetch_add(1, Ordering::Relaxed);
                self.record.line(&format!("run id={id} is cut by the crash"));
                is_open = false;
            }
            let event = format!("id: {number}\ndata: text\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            is_open = is_open && stream.write_all(chunk.as_bytes()).is_ok();
            if !is_open {
                break;
            }
            sleep(Duration::from_millis(30));
        }
        self.running.fetch_sub(1, Ordering::Relaxed);
        is_open.then(|| b"0\r\n\r\n".to_vec())
    }
}

/// Sends a request for an adapter, and returns whether its answer is a whole success.
fn ask(record: &Record, front: SocketAddr, number: usize, adapter: usize) -> bool {
    let (id, model) = (format!("r{number}"), format!("base/a{adapter}"));
    let headers = [
        ("Host", "draft.example"),
        ("X-Redwinglatch-Request-Id", &*id),
        ("X-Redwinglatch-Model", &*model),
        ("X-Redwinglatch-Token-Usage", "410,80"),
        ("X-Redwinglatch-Prompt-Prefix", "5c1e07a2:210,91bd3f06:140,e4402b7d:60"),
        ("X-Redwinglatch-Deadline-Ms", "15000"),
    ];
    record.line(&format!("sent id={id} model={model}"));
    let answered = review_standins::call(front, "POST", "/draft/a", &headers, b"prompt", Duration::from_secs(16));
    let events = |answer: &Message| String::from_utf8_lossy(&answer.body).matches("id: ").count();
    match answered {
        Ok(answer) => {
            record.line(&format!("answered id={id} {} events={}", answer.status(), events(&answer)));
            answer.status() == 200 && events(&answer) == EVENTS
        }
        Err(error) => {
            record.line(&format!("answered id={id} broken off: {error}"));
            false
        }
    }
}
