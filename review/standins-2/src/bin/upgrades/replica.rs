//! A replica of a service without engines that streams answers.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::unix_ms,
    http::{self, Message},
    record::Record,
};

/// How a replica answers.
#[derive(Debug, Clone)]
pub struct Course {
    /// Number of events of a stream, and the time between them.
    pub events: u64,
    pub interval: Duration,
    /// Time that the replica works before the first event.
    pub first_event: Duration,
}

/// One lifetime of a replica's process.
struct Lifetime {
    born: u64,
    version: String,
    stop: Arc<AtomicBool>,
}

/// A replica; its id and address stay over restarts.
pub struct Replica {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub course: Mutex<Course>,
    record: Arc<Record>,
    lifetime: Mutex<Option<Lifetime>>,
    stamps: AtomicU64,
}

impl Replica {
    pub fn new(
        id: &str,
        service: &str,
        zone: &str,
        address: SocketAddr,
        course: Course,
        record: Arc<Record>,
    ) -> Arc<Replica> {
        Arc::new(Replica {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            course: Mutex::new(course),
            record,
            lifetime: Mutex::default(),
            stamps: AtomicU64::new(1),
        })
    }

    /// Starts the replica's process with a version of its software.
    pub fn start(self: &Arc<Self>, version: &str) {
        let listener = TcpListener::bind(self.address).expect("the replica's address is free");
        let stop = Arc::new(AtomicBool::new(false));
        let lifetime =
            Lifetime { born: unix_ms(), version: version.to_owned(), stop: Arc::clone(&stop) };
        self.record.line(&format!("replica {} starts, software {version}", self.id));
        *self.lifetime.lock().expect("no panic") = Some(lifetime);
        let (replica, version, ended) = (Arc::clone(self), version.to_owned(), Arc::clone(&stop));
        let handler = move |request: &Message, stream: &mut TcpStream| {
            replica.answer(request, stream, &version, &ended)
        };
        http::serve(listener, stop, Arc::new(handler));
    }

    /// Ends the replica's process: its connections end, and its port refuses.
    pub fn end(&self) {
        if let Some(lifetime) = self.lifetime.lock().expect("no panic").take() {
            lifetime.stop.store(true, Ordering::Relaxed);
            self.record.line(&format!("replica {} ends", self.id));
        }
    }

    /// Returns the replica's entry in the platform's list.
    pub fn entry(&self) -> Option<String> {
        let lifetime = self.lifetime.lock().expect("no panic");
        let Lifetime { born, version, .. } = lifetime.as_ref()?;
        let Replica { id, service, address, zone, .. } = self;
        Some(format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"{version}\",\"slots\":64,\"state\":\"ready\",\"cold-left-ms\":0,\
             \"id\":\"{id}\",\"born\":{born}}}"
        ))
    }

    fn answer(
        &self,
        request: &Message,
        stream: &mut TcpStream,
        version: &str,
        ended: &AtomicBool,
    ) -> io::Result<bool> {
        let id = request.header("x-redwinglatch-request-id").unwrap_or_default().to_owned();
        let common = [("X-Redwinglatch-Request-Id", &*id)];
        let expected = request.header("x-redwinglatch-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let not_run = [common[0], ("X-Redwinglatch-Not-Executed", "1")];
            http::respond(stream, "421 Misdirected Request", &not_run, "")?;
            return Ok(true);
        }
        if request.path() == "/health" {
            http::respond(stream, "200 OK", &[("X-Redwinglatch-Instance-Id", &self.id)], "")?;
            return Ok(true);
        }
        self.run(request, stream, version, ended, &id)
    }

    fn run(
        &self,
        request: &Message,
        stream: &mut TcpStream,
        version: &str,
        ended: &AtomicBool,
        id: &str,
    ) -> io::Result<bool> {
        let last: u64 =
            request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or_default();
        self.record.line(&format!(
            "replica {} ({version}) runs request {id}, from event {}",
            self.id,
            last + 1
        ));
        let course = self.course.lock().expect("no panic").clone();
        if !self.work_for(stream, course.first_event, ended, id) {
            return Ok(false);
        }
        let stamp = self.stamps.fetch_add(1, Ordering::Relaxed);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             X-Redwinglatch-Request-Id: {id}\r\nX-Redwinglatch-Response-Stamp: {}.{stamp}\r\n\r\n",
            self.id
        );
        stream.write_all(head.as_bytes())?;
        for event in last + 1..=course.events {
            let text = format!("id: {event}\ndata: {version} {} {id} piece {event}\n\n", self.id);
            stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            if event < course.events && !self.work_for(stream, course.interval, ended, id) {
                return Ok(false);
            }
        }
        stream.write_all(b"0\r\n\r\n")?;
        self.record.line(&format!("replica {} ({version}) has ended request {id}", self.id));
        Ok(true)
    }

    /// Works for some time; returns false if the replica has ended or its caller has closed the connection.
    fn work_for(&self, stream: &TcpStream, time: Duration, ended: &AtomicBool, id: &str) -> bool {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if ended.load(Ordering::Relaxed) {
                return false;
            }
            if http::is_closed(stream) {
                self.record.line(&format!(
                    "replica {} drops request {id}: its connection is closed",
                    self.id
                ));
                return false;
            }
            thread::sleep(
                Duration::from_millis(5).min(until.saturating_duration_since(Instant::now())),
            );
        }
        !ended.load(Ordering::Relaxed)
    }
}
