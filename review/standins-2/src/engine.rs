//! A model replica: batches, prompts that are read one after the other, adapters that are loaded by orders.
//!
//! It behaves like a sound one, but for what its `Trouble` says.

use std::{
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use serde_json::{Value, json};
use tokio::{
    net::TcpListener,
    sync::watch,
    time::{Instant, sleep, sleep_until},
};

use crate::{
    http::{Connection, Message},
    record::Record,
};

pub const MODEL: &str = "base0";
/// Prompt tokens that are read in a millisecond.
const PROMPT_TOKENS_PER_MS: f64 = 25.8;
/// Tokens in an event, and the time between two events: three steps of 8.2 ms.
const EVENT_TOKENS: u64 = 3;
const EVENT_INTERVAL: Duration = Duration::from_millis(25);
const ADAPTER_LOAD: Duration = Duration::from_millis(250);
const SLOTS: usize = 64;
const QUEUE: usize = 192;
const KV_TOKENS: u64 = 141_097;
/// Events of a stream before the replica falls silent.
const EVENTS_BEFORE_SILENCE: u64 = 11;
const BORN_UNIX_MS: u64 = 1_760_000_000_000;

/// What happened to one request at one replica.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub arrived_ms: u64,
    pub began_ms: Option<u64>,
    /// The time at which the replica stopped working on it, by itself or because its connection was closed.
    pub ended_ms: Option<u64>,
    /// Whether the connection was closed from the other side.
    pub was_left: bool,
    pub last_event_id: Option<u64>,
}

/// What is wrong with a replica.
#[derive(Debug, Clone, Copy, Default)]
pub struct Trouble {
    /// It falls silent once in each stream that begins there, for this long, and goes on: after the head of the
    /// answer where the path ends with `/early`, else after the eleventh event.
    pub silence: Option<Duration>,
    /// It runs requests, and the answers to the first so many of each ten that it begins are lost.
    pub lost_answers_of_ten: usize,
    /// It rejects so many of each ten requests that arrive, spread evenly, and says that it has not run them.
    pub rejected_of_ten: usize,
}

#[derive(Default)]
struct State {
    /// The loaded adapters, with the time at which each one is complete.
    adapters: BTreeMap<String, Instant>,
    seq: u64,
    fence: u64,
    arrivals: usize,
    running: usize,
    waiting: usize,
    /// The time at which the prompts that have arrived are read.
    prompts_read_at: Option<Instant>,
    kept_parts: HashSet<String>,
    runs: Vec<Run>,
}

#[derive(Clone)]
pub struct Engine {
    pub name: &'static str,
    pub address: SocketAddr,
    trouble: Trouble,
    state: Arc<Mutex<State>>,
    alive: Arc<watch::Sender<bool>>,
    record: Record,
}

impl Engine {
    pub async fn start(
        record: &Record,
        name: &'static str,
        adapters: &[&str],
        trouble: Trouble,
    ) -> Engine {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let mut state = State::default();
        for adapter in adapters {
            state.adapters.insert((*adapter).to_owned(), Instant::now());
        }
        let engine = Engine {
            name,
            address,
            trouble,
            state: Arc::new(Mutex::new(state)),
            alive: Arc::new(watch::Sender::new(true)),
            record: record.clone(),
        };
        let accepting = engine.clone();
        let mut alive = engine.alive.subscribe();
        tokio::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    _ = alive.wait_for(|alive| !*alive) => return,
                };
                let Ok((stream, _)) = accepted else { continue };
                let engine = accepting.clone();
                tokio::spawn(async move {
                    let mut alive = engine.alive.subscribe();
                    let mut connection = Connection::new(stream);
                    tokio::select! {
                        () = engine.serve(&mut connection) => {}
                        _ = alive.wait_for(|alive| !*alive) => {}
                    }
                });
            }
        });
        engine
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Ends the replica as a crash of its process does: its port and connections are closed.
    pub fn crash(&self) {
        self.record.line(format!("{} crashes", self.name));
        self.alive.send_replace(false);
    }

    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    fn models(&self) -> Value {
        let state = self.lock();
        let now = Instant::now();
        let loaded = state.adapters.iter().filter(|(_, at)| **at <= now);
        let loaded: Vec<String> = loaded.map(|(name, _)| format!("{name}@1")).collect();
        json!([{ "name": MODEL, "version": 1, "adapters": loaded }])
    }

    /// Returns the entry of the platform's list.
    pub fn entry(&self) -> String {
        json!({
            "service": "writer", "address": self.address.to_string(), "zone": "hall-a", "version": "v1",
            "slots": SLOTS, "state": "ready", "cold-left-ms": 0, "stage": "colocated",
            "models": self.models(), "id": self.name, "born": BORN_UNIX_MS,
        })
        .to_string()
    }

    async fn serve(&self, connection: &mut Connection) {
        while let Ok(Some(request)) = connection.read_request().await {
            let expected = request.header("x-redwinglatch-expect-instance");
            let done = if expected.is_some_and(|expected| expected != self.name) {
                self.refuse(connection, &request, "421 Misdirected Request").await
            } else {
                match (request.method(), request.path()) {
                    ("GET", "/api/report") => {
                        let body = self.report().to_string();
                        connection.answer("200 OK", JSON, body.as_bytes()).await
                    }
                    ("POST", "/api/order") => {
                        let status = self.order(&request.body);
                        connection.answer(status, JSON, b"{}").await
                    }
                    ("GET", "/health") => {
                        let header = format!("X-Redwinglatch-Instance-Id: {}\r\n", self.name);
                        connection.answer("200 OK", &header, b"").await
                    }
                    _ => self.stream(connection, &request).await,
                }
            };
            if done.is_err() {
                return;
            }
        }
    }

    async fn refuse(
        &self,
        connection: &mut Connection,
        request: &Message,
        status: &str,
    ) -> std::io::Result<()> {
        self.record.line(format!("{} refuses {}: {status}", self.name, request.id()));
        let headers = format!(
            "X-Redwinglatch-Request-Id: {}\r\nX-Redwinglatch-Not-Executed: 1\r\nX-Redwinglatch-Instance-Id: {}\r\n",
            request.id(),
            self.name
        );
        connection.answer(status, &headers, b"").await
    }

    fn report(&self) -> Value {
        let models = self.models();
        let state = self.lock();
        let now = Instant::now();
        let coming = state.adapters.iter().filter(|(_, at)| **at > now);
        let coming: Vec<String> = coming.map(|(name, _)| format!("{MODEL}/{name}@1")).collect();
        json!({
            "stage": "colocated", "models": models, "busy": false, "seq": state.seq,
            "queued": state.waiting, "running": state.running, "kv-used": state.running * 1_600,
            "kv-total": KV_TOKENS, "handles": 0, "coming": coming, "born": BORN_UNIX_MS,
            "at-hand": { "in-memory": [MODEL], "on-disk": [MODEL] },
        })
    }

    fn order(&self, body: &[u8]) -> &'static str {
        let order: Value = serde_json::from_slice(body).unwrap_or_default();
        let mut state = self.lock();
        let (Some(fence), Some(_)) = (order["fence"].as_u64(), order["holder"].as_str()) else {
            return "400 Bad Request";
        };
        if fence < state.fence {
            return "412 Precondition Failed";
        }
        state.fence = fence;
        let Some(adapter) = order["adapter"].as_str() else { return "200 OK" };
        let known = state.adapters.get(adapter).copied();
        let is_load = order["op"] == "load";
        match known {
            Some(at) if is_load && at <= Instant::now() => return "200 OK",
            Some(_) if is_load => return "202 Accepted",
            None if !is_load => return "200 OK",
            _ => {}
        }
        if order["precondition"].as_u64().is_some_and(|expected| expected != state.seq) {
            return "409 Conflict";
        }
        state.seq += 1;
        self.record.line(format!("{} is ordered to {} {adapter}", self.name, order["op"]));
        if is_load {
            state.adapters.insert(adapter.to_owned(), Instant::now() + ADAPTER_LOAD);
            return "202 Accepted";
        }
        state.adapters.remove(adapter);
        "200 OK"
    }

    async fn stream(&self, connection: &mut Connection, request: &Message) -> std::io::Result<()> {
        let model = request.header("x-redwinglatch-model").unwrap_or_default();
        let adapter = model.split_once('/').map_or("", |(_, adapter)| adapter);
        let is_loaded = {
            let state = self.lock();
            adapter.is_empty()
                || state.adapters.get(adapter).is_some_and(|at| *at <= Instant::now())
        };
        if !is_loaded {
            return self.refuse(connection, request, "421 Misdirected Request").await;
        }
        let is_rejected = {
            let mut state = self.lock();
            state.arrivals += 1;
            let is_full = state.running + state.waiting >= SLOTS + QUEUE;
            is_full || (state.arrivals - 1) * 7 % 10 < self.trouble.rejected_of_ten
        };
        if is_rejected {
            return self.refuse(connection, request, "503 Service Unavailable").await;
        }
        let run = self.arrive(request);
        let course = Course::of(request);
        let begins_at = self.read_prompt(request, course.next_event);
        tokio::select! {
            () = sleep_until(begins_at) => {}
            () = connection.closed() => {
                self.end(run, true);
                return Err(std::io::ErrorKind::ConnectionAborted.into());
            }
        }
        let is_lost = self.begin(run);
        let outcome = self.generate(connection, request, course, is_lost).await;
        self.end(run, outcome.is_err());
        outcome
    }

    fn arrive(&self, request: &Message) -> usize {
        let last_event_id = request.header("last-event-id").and_then(|text| text.parse().ok());
        let arrived_ms = self.record.now_ms();
        let mut state = self.lock();
        state.waiting += 1;
        state.runs.push(Run {
            id: request.id().to_owned(),
            arrived_ms,
            began_ms: None,
            ended_ms: None,
            was_left: false,
            last_event_id,
        });
        let run = state.runs.len() - 1;
        drop(state);
        self.record.line(format!(
            "{} gets {} last-event-id={last_event_id:?} deadline-ms={:?}",
            self.name,
            request.id(),
            request.header("x-redwinglatch-deadline-ms"),
        ));
        run
    }

    /// Returns when the prompt is read: behind those that came before, without the parts that are kept.
    fn read_prompt(&self, request: &Message, next_event: u64) -> Instant {
        let mut state = self.lock();
        let prefix = request.header("x-redwinglatch-prompt-prefix").unwrap_or_default();
        let mut tokens = next_event * EVENT_TOKENS;
        for part in prefix.split(',') {
            let (id, count) = part.split_once(':').unwrap_or(("", "0"));
            if state.kept_parts.insert(id.to_owned()) {
                tokens += count.parse::<u64>().unwrap_or(0);
            }
        }
        let start = state.prompts_read_at.unwrap_or_else(Instant::now).max(Instant::now());
        let read_at =
            start + Duration::from_secs_f64(tokens as f64 / PROMPT_TOKENS_PER_MS / 1_000.0);
        state.prompts_read_at = Some(read_at);
        read_at
    }

    /// Begins a run, and returns whether its answer is lost.
    fn begin(&self, run: usize) -> bool {
        let now_ms = self.record.now_ms();
        let mut state = self.lock();
        state.waiting -= 1;
        state.running += 1;
        state.runs[run].began_ms = Some(now_ms);
        let begun = state.runs.iter().filter(|run| run.began_ms.is_some()).count();
        let id = state.runs[run].id.clone();
        drop(state);
        self.record.line(format!("{} begins to run {id}", self.name));
        (begun - 1) % 10 < self.trouble.lost_answers_of_ten
    }

    fn end(&self, run: usize, was_left: bool) {
        let now_ms = self.record.now_ms();
        let mut state = self.lock();
        if state.runs[run].began_ms.is_some() {
            state.running -= 1;
        } else {
            state.waiting -= 1;
        }
        state.runs[run].ended_ms = Some(now_ms);
        state.runs[run].was_left = was_left;
        let id = state.runs[run].id.clone();
        drop(state);
        let how = if was_left { "its connection was closed" } else { "complete" };
        self.record.line(format!("{} ends {id}: {how}", self.name));
    }

    async fn pause(
        &self,
        connection: &mut Connection,
        request: &Message,
        silence: Duration,
    ) -> std::io::Result<()> {
        self.record.line(format!("{} is silent on {}", self.name, request.id()));
        wait(connection, silence).await?;
        self.record.line(format!("{} goes on with {}", self.name, request.id()));
        Ok(())
    }

    async fn generate(
        &self,
        connection: &mut Connection,
        request: &Message,
        course: Course,
        is_lost: bool,
    ) -> std::io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             X-Redwinglatch-Request-Id: {}\r\nX-Redwinglatch-Response-Stamp: {}.{}\r\n\
             X-Redwinglatch-Weight-Versions: 1\r\n\r\n",
            request.id(),
            self.name,
            request.id(),
        );
        if !is_lost {
            connection.write(head.as_bytes()).await?;
        }
        let is_first_run = request.header("last-event-id").is_none();
        let silence =
            self.trouble.silence.filter(|_| is_first_run && course.events > EVENTS_BEFORE_SILENCE);
        let silent_after =
            if request.path().ends_with("/early") { 0 } else { EVENTS_BEFORE_SILENCE };
        if let Some(silence) = silence.filter(|_| silent_after == 0) {
            self.pause(connection, request, silence).await?;
        }
        for event in course.next_event..course.events {
            let event_text = format!("id: {event}\ndata: piece {event} of {}\n\n", request.id());
            if !is_lost {
                connection.write_chunk(event_text.as_bytes()).await?;
            }
            match silence.filter(|_| event + 1 == silent_after) {
                Some(silence) => self.pause(connection, request, silence).await?,
                None => wait(connection, EVENT_INTERVAL).await?,
            }
        }
        if is_lost {
            self.record.line(format!("{} has run {}; its answer is lost", self.name, request.id()));
            connection.closed().await;
            return Ok(());
        }
        connection.write(b"0\r\n\r\n").await
    }
}

/// Waits, unless the connection is closed.
async fn wait(connection: &mut Connection, time: Duration) -> std::io::Result<()> {
    tokio::select! {
        () = sleep(time) => Ok(()),
        () = connection.closed() => Err(std::io::ErrorKind::ConnectionAborted.into()),
    }
}

const JSON: &str = "Content-Type: application/json\r\n";

/// Which events of a stream are generated.
#[derive(Clone, Copy)]
struct Course {
    next_event: u64,
    events: u64,
}

impl Course {
    fn of(request: &Message) -> Course {
        let last = request.header("last-event-id").and_then(|text| text.parse::<u64>().ok());
        let usage = request.header("x-redwinglatch-token-usage").unwrap_or_default();
        let output = usage.split_once(',').and_then(|(_, text)| text.parse::<u64>().ok());
        let events = output.unwrap_or(60).div_ceil(EVENT_TOKENS);
        Course { next_event: last.map_or(0, |last| last + 1), events }
    }
}
