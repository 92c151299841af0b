//! Small stand-ins of the platform, its servers and callers, and a fleet of real processes.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Returns whether the case is played with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// What was sent, answered and run, with the seconds since the start.
pub struct Record {
    started_at: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the file that `run.sh` names.
    pub fn create() -> Arc<Record> {
        let path = std::env::var("REVIEW_RECORD").expect("run.sh names the record");
        let file = Mutex::new(File::create(path).expect("the record can be created"));
        Arc::new(Record { started_at: Instant::now(), file })
    }

    pub fn line(&self, text: &str) {
        let seconds = self.started_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no panic");
        writeln!(file, "{seconds:9.3} {text}").expect("the record can be written");
    }
}

#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Method and target of a request, or version and status of an answer.
    pub start: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(found, _)| found.eq_ignore_ascii_case(name)).map(|(_, value)| &**value)
    }

    pub fn method(&self) -> &str {
        self.start.first().map_or("", |text| text)
    }

    pub fn path(&self) -> &str {
        self.start.get(1).map_or("", |text| text)
    }

    pub fn status(&self) -> u16 {
        self.start.get(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn id(&self) -> &str {
        self.header("x-redwinglatch-request-id").unwrap_or("-")
    }
}

fn bad(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

/// Reads the start line and headers of a message.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if message.start.is_empty() {
            if line.is_empty() {
                continue;
            }
            message.start = line.splitn(3, ' ').map(str::to_owned).collect();
        } else if line.is_empty() {
            return Ok(message);
        } else {
            let (name, value) = line.split_once(':').ok_or_else(|| bad("a header without a colon"))?;
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a whole message. An answer without a length or chunks ends with its connection.
pub fn read_message(reader: &mut impl BufRead, is_answer: bool) -> io::Result<Message> {
    let mut message = read_head(reader)?;
    if message.header("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = line.trim().split(';').next().unwrap_or_default();
            let size = usize::from_str_radix(size, 16).map_err(|_| bad("no size of a chunk"))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(message);
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    if let Some(length) = message.header("content-length") {
        let length: usize = length.parse().map_err(|_| bad("a malformed length"))?;
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    } else if is_answer {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(message)
}

/// Returns an answer with a length.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Serves requests one after the other on each connection, until the process ends.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(&Message) -> Vec<u8> + Send + Sync + 'static,
) -> SocketAddr {
    let address = listener.local_addr().expect("bound");
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || -> io::Result<()> {
                let mut writer = stream.try_clone()?;
                let mut reader = BufReader::new(stream);
                loop {
                    let request = read_message(&mut reader, false)?;
                    writer.write_all(&handler(&request))?;
                }
            });
        }
    });
    address
}

/// Sends a request on a new connection and reads the whole answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        text.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\nConnection: close\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    (&stream).write_all(&bytes)?;
    read_message(&mut BufReader::new(&stream), true)
}

/// Core processes of a fleet, with those that join later.
const MAX_CORES: u8 = 5;

/// Real core and entry processes on loopback addresses.
pub struct Fleet {
    program: PathBuf,
    folder: PathBuf,
    base_port: u16,
    list: SocketAddr,
    cores: u8,
    pub entries: u8,
    processes: BTreeMap<String, Child>,
    first_start: bool,
}

impl Fleet {
    /// Prepares a fleet; `list` is the address of the platform's list.
    pub fn new(list: SocketAddr, cores: u8, entries: u8) -> Fleet {
        let root = std::env::var("REVIEW_ROOT").expect("run.sh sets the folder of the repository");
        let folder = std::env::var("REVIEW_TEMP").expect("run.sh sets a temporary folder");
        let program = Path::new(&root).join("target/release/redwinglatch-clearwall");
        if !program.exists() {
            eprintln!("the deploy file's build is missing");
            std::process::exit(NOT_RUN);
        }
        let base_port = free_ports(MAX_CORES.max(cores), entries);
        Fleet {
            program,
            folder: folder.into(),
            base_port,
            list,
            cores,
            entries,
            processes: BTreeMap::new(),
            first_start: true,
        }
    }

    fn address(&self, last: u8, port: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, last], self.base_port + port))
    }

    pub fn control(&self, core: u8) -> SocketAddr {
        self.address(core, 2)
    }

    pub fn front(&self, entry: u8) -> SocketAddr {
        self.address(100 + entry, 3)
    }

    pub fn ready(&self, entry: u8) -> SocketAddr {
        self.address(100 + entry, 4)
    }

    pub fn directory(&self, entry: u8) -> SocketAddr {
        self.address(100 + entry, 5)
    }

    /// Writes the settings of a process as the template `platform/settings.ini` has them, and starts it.
    fn start(&mut self, name: &str, role: &str, listen: &str, metrics: SocketAddr) {
        let seeds: Vec<String> = (1..=self.cores).map(|core| self.control(core).to_string()).collect();
        let data_dir = match role {
            "core" => self.folder.join(name).display().to_string(),
            _ => String::new(),
        };
        let settings = format!(
            "[process]\nname = {name}\ndata_centre = hall-a\n\n[listen]\n{listen}\n[fleet]\n\
             link_port = {}\nrelay_port = {}\nseeds = {}\nbootstrap = {}\ndata_dir = {data_dir}\n\n\
             [platform]\nlist_address = {}\n\n[bounds]\ngrace_s = 8\ncheck_fencing = true\n\
             holder_lease_ms = 3000\nretry_ratio = 0.2\nretry_slack = 64\nretry_window_s = 10\n\n\
             [placement]\nprompt_reuse = true\n\n[limits]\nmemory_mb = 260\nmax_fds = 4100\n",
            self.base_port,
            self.base_port + 1,
            seeds.join(","),
            self.first_start,
            self.list,
        );
        let file = self.folder.join(format!("{name}.ini"));
        fs::write(&file, settings).expect("settings can be written");
        let log = self.folder.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log).expect("a log");
        let child = Command::new(&self.program)
            .args([role, "--settings"])
            .arg(&file)
            .args(["--metrics", &metrics.to_string()])
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the process starts");
        self.processes.insert(name.to_owned(), child);
    }

    pub fn start_core(&mut self, core: u8) {
        let listen = format!("front =\nready =\ncontrol = {}\ndirectory =\n", self.control(core));
        let metrics = self.address(core, 6);
        self.start(&format!("core-{core}"), "core", &listen, metrics);
    }

    pub fn start_entry(&mut self, entry: u8) {
        let (front, ready) = (self.front(entry), self.ready(entry));
        let directory = self.directory(entry);
        let listen = format!("front = {front}\nready = {ready}\ncontrol =\ndirectory = {directory}\n");
        let metrics = self.address(100 + entry, 6);
        self.start(&format!("entry-{entry}"), "entry", &listen, metrics);
    }

    /// Starts all processes. Only the first start has `bootstrap`.
    pub fn start_all(&mut self) {
        for core in 1..=self.cores {
            self.start_core(core);
        }
        for entry in 1..=self.entries {
            self.start_entry(entry);
        }
        self.first_start = false;
    }

    pub fn kill(&mut self, name: &str) {
        let mut child = self.processes.remove(name).expect("it runs");
        child.kill().expect("it can be killed");
        child.wait().expect("it ends");
    }

    pub fn kill_all(&mut self) {
        for child in self.processes.values_mut() {
            let _ = child.kill();
        }
        for child in self.processes.values_mut() {
            let _ = child.wait();
        }
        self.processes.clear();
    }

    pub fn signal(&self, name: &str, signal: &str) {
        let id = self.processes[name].id().to_string();
        let status = Command::new("kill").args(["-s", signal, &id]).status();
        assert!(status.expect("kill runs").success(), "{name} can't be signalled");
    }

    /// Returns the names of processes that have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let processes = self.processes.iter_mut();
        let ended = processes.filter_map(|(name, child)| {
            child.try_wait().expect("it can be waited for").map(|status| format!("{name}: {status}"))
        });
        ended.collect()
    }

    /// Removes the data folder of a core process that has ended: its machine has lost its disk.
    pub fn lose_disk(&self, name: &str) {
        fs::remove_dir_all(self.folder.join(name)).expect("the data folder can be removed");
    }

    /// Sends SIGTERM to a process, waits until it has ended, and forgets it.
    pub fn remove(&mut self, name: &str) {
        self.signal(name, "TERM");
        let mut child = self.processes.remove(name).expect("it runs");
        child.wait().expect("it ends");
    }

    /// Reads the configuration back, as the operator does: any core process, again and again.
    pub fn read_back(&self, limit: Duration) -> Option<Vec<u8>> {
        let deadline = Instant::now() + limit;
        let mut core = 0;
        while Instant::now() < deadline {
            core = core % MAX_CORES + 1;
            let read = call(self.control(core), "GET", "/api/config", &[], b"", Duration::from_secs(1));
            match read {
                Ok(answer) if answer.status() == 200 => return Some(answer.body),
                _ => thread::sleep(Duration::from_millis(100)),
            }
        }
        None
    }

    /// Returns the memory that each process uses, in bytes.
    pub fn memory_bytes(&self) -> Vec<(String, u64)> {
        let memory = self.processes.iter().filter_map(|(name, child)| {
            let status = fs::read_to_string(format!("/proc/{}/status", child.id())).ok()?;
            let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
            let resident_kb: u64 = resident.trim().strip_suffix(" kB")?.parse().ok()?;
            Some((name.clone(), resident_kb * 1_024))
        });
        memory.collect()
    }

    /// Sends a change to core processes until it is acknowledged, as the operator does.
    pub fn put(&self, method: &str, path: &str, body: &[u8], limit: Duration) -> Option<u16> {
        let deadline = Instant::now() + limit;
        let mut core = 0;
        while Instant::now() < deadline {
            core = core % MAX_CORES + 1;
            let headers = [("Content-Type", "application/json")];
            let sent = call(self.control(core), method, path, &headers, body, Duration::from_secs(1));
            match sent.map(|answer| answer.status()) {
                Ok(status) if status < 500 => return Some(status),
                _ => thread::sleep(Duration::from_millis(100)),
            }
        }
        None
    }

    /// Waits until all entry processes say that they are ready.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        (1..=self.entries).all(|entry| {
            while Instant::now() < deadline {
                let limit = Duration::from_secs(1);
                let asked = call(self.ready(entry), "GET", "/api/readiness", &[], b"", limit);
                if asked.is_ok_and(|answer| answer.status() == 200) {
                    return true;
                }
                thread::sleep(Duration::from_millis(50));
            }
            false
        })
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.kill_all();
    }
}

/// Returns the first of seven ports that are free at all addresses.
fn free_ports(cores: u8, entries: u8) -> u16 {
    let hosts: Vec<u8> = (1..=cores).chain((1..=entries).map(|entry| 100 + entry)).collect();
    let seed = std::process::id() as u16;
    for attempt in 0..200u16 {
        let base = 20_000 + seed.wrapping_mul(7).wrapping_add(attempt.wrapping_mul(49)) % 10_000;
        let is_free = hosts.iter().all(|host| {
            (0..7).all(|port| TcpListener::bind(SocketAddr::from(([127, 0, 0, *host], base + port))).is_ok())
        });
        if is_free {
            return base;
        }
    }
    eprintln!("no free ports");
    std::process::exit(NOT_RUN);
}

/// Ends the case with an exit code after the fleet's processes have ended.
pub fn finish(record: &Record, mut fleet: Fleet, code: i32, verdict: &str) -> ! {
    fleet.kill_all();
    record.line(verdict);
    println!("{verdict}");
    std::process::exit(code);
}
