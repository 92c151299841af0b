//! The processes under test: three core and some entry processes on loopback addresses, started with the words of the
//! deploy file and with settings that its template makes.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Mutex,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use tokio::time::sleep;

use crate::{http, record::Record};

const PROGRAM: &str = "target/release/redwinglatch-clearwall";
const TEMPLATE: &str = "platform/settings.ini";
/// The most core processes, with those that come later.
const MAX_CORES: u8 = 6;
/// Time after which a case that hangs is ended with all its processes.
const MAX_CASE_TIME: Duration = Duration::from_secs(113);
/// `grace-s` of the deployment.
const GRACE: Duration = Duration::from_secs(8);
const START_TIMEOUT: Duration = Duration::from_secs(25);

pub struct Fleet {
    pub entries: u8,
    folder: PathBuf,
    base_port: u16,
    list: SocketAddr,
    processes: Vec<(String, Child)>,
    /// The core processes that the settings of a process name when it starts.
    pub seeds: Vec<u8>,
    record: Record,
}

/// The ids of all processes that were started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case and its processes if it takes too long, also if the runtime hangs.
pub fn watch_time() {
    std::thread::spawn(|| {
        std::thread::sleep(MAX_CASE_TIME);
        let started = STARTED.lock().map(|ids| ids.clone()).unwrap_or_default();
        for id in started {
            let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
        }
        eprintln!("the case took too long");
        std::process::exit(2);
    });
}

fn address(last: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, last], port))
}

/// Returns the first of 16 ports that are free on the addresses of all processes.
fn free_base_port(hosts: &[u8]) -> u16 {
    let seed = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.subsec_nanos());
    let start = 10_000 + (seed / 1_000 % 1_200) as u16 * 16;
    let mut base = start;
    loop {
        let ports = || (0..8).flat_map(|port| hosts.iter().map(move |host| (*host, base + port)));
        if ports().all(|(host, port)| TcpListener::bind(address(host, port)).is_ok()) {
            return base;
        }
        base = if base > 29_000 { 10_000 } else { base + 16 };
    }
}

impl Fleet {
    pub fn start(record: &Record, cores: u8, entries: u8, list: SocketAddr) -> Fleet {
        let hosts: Vec<u8> = (1..=MAX_CORES).chain((1..=entries).map(|entry| 10 + entry)).collect();
        let base_port = free_base_port(&hosts);
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("redwinglatch-review-{id}-{base_port}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let record = record.clone();
        let (processes, seeds) = (Vec::new(), (1..=cores.min(3)).collect());
        let mut fleet = Fleet { entries, folder, base_port, list, processes, seeds, record };
        for core in 1..=cores {
            fleet.spawn("core", core, true);
        }
        for entry in 1..=entries {
            fleet.spawn("entry", entry, true);
        }
        fleet
    }

    fn host(role: &str, number: u8) -> u8 {
        if role == "core" { number } else { 10 + number }
    }

    pub fn control(&self, core: u8) -> SocketAddr {
        address(core, self.base_port + 1)
    }

    pub fn front(&self, entry: u8) -> SocketAddr {
        address(10 + entry, self.base_port + 2)
    }

    fn ready(&self, entry: u8) -> SocketAddr {
        address(10 + entry, self.base_port + 3)
    }

    /// Fills in the template of the deploy file.
    fn settings(&self, role: &str, number: u8, bootstrap: bool) -> String {
        let host = Fleet::host(role, number);
        let at = |port: u16| address(host, self.base_port + port).to_string();
        let seeds: Vec<String> =
            self.seeds.iter().map(|core| self.control(*core).to_string()).collect();
        let is_core = role == "core";
        let only = |wanted: bool, text: String| if wanted { text } else { String::new() };
        let values = [
            ("node", format!("{role}-{number}")),
            ("zone", format!("hall-{}", char::from(b'a' + (number - 1) % 3))),
            ("listen.front", only(!is_core, at(2))),
            ("listen.ready", only(!is_core, at(3))),
            ("listen.control", only(is_core, at(1))),
            ("listen.directory", only(!is_core, at(4))),
            ("port-range.0", self.base_port.to_string()),
            ("port-range.1", (self.base_port + 6).to_string()),
            ("seeds", seeds.join(",")),
            ("bootstrap", bootstrap.to_string()),
            (
                "data-dir",
                only(is_core, self.folder.join(format!("core-{number}")).display().to_string()),
            ),
            ("cloud.address", self.list.to_string()),
            ("bounds.grace-s", "8".into()),
            ("bounds.require-fence", "true".into()),
            ("bounds.lease-ms", "3000".into()),
            ("bounds.retry-budget-ratio", "0.2".into()),
            ("bounds.budget-slack", "64".into()),
            ("bounds.budget-window-s", "10".into()),
            ("limits.memory-mb", "260".into()),
            ("limits.max-fds", "4100".into()),
        ];
        let mut text = fs::read_to_string(TEMPLATE).expect("the template of the deploy file");
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        // A placeholder without a value returns nothing.
        while let Some(start) = text.find("{{") {
            let end = text[start..].find("}}").expect("the placeholder ends") + start + 2;
            text.replace_range(start..end, "");
        }
        text
    }

    pub fn spawn(&mut self, role: &str, number: u8, bootstrap: bool) {
        let name = format!("{role}-{number}");
        let file = self.folder.join(format!("{name}.ini"));
        fs::write(&file, self.settings(role, number, bootstrap)).expect("settings");
        let path = self.folder.join(format!("{name}.log"));
        let log = fs::File::options().create(true).append(true).open(path).expect("a log");
        let metrics = address(Fleet::host(role, number), self.base_port + 5).to_string();
        let child = Command::new(PROGRAM)
            .args([role, "--metrics", &metrics])
            .env("REDWINGLATCH_SETTINGS", &file)
            .stdout(Stdio::from(log.try_clone().expect("a log")))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the program was built");
        STARTED.lock().expect("no holder panics").push(child.id());
        self.record.line(format!("start {name}"));
        self.processes.push((name, child));
    }

    /// Returns the numbers of the core processes that were started and not ended since.
    pub fn running_cores(&self) -> Vec<u8> {
        let names = self.processes.iter().filter_map(|(name, _)| name.strip_prefix("core-"));
        names.filter_map(|number| number.parse().ok()).collect()
    }

    /// Ends a process by SIGTERM, or by SIGKILL after the grace period; it isn't started again.
    pub async fn terminate(&mut self, name: &str) {
        let at = self.processes.iter().position(|(running, _)| running == name);
        let (_, mut child) = self.processes.remove(at.expect("the process runs"));
        self.record.line(format!("SIGTERM to {name}"));
        let _ = Command::new("kill").args(["-TERM", &child.id().to_string()]).status();
        let deadline = Instant::now() + GRACE;
        while Instant::now() < deadline && matches!(child.try_wait(), Ok(None)) {
            sleep(Duration::from_millis(20)).await;
        }
        let _ = child.kill();
        let _ = child.wait();
        self.record.line(format!("{name} has ended"));
    }

    /// Kills a core process and starts it again at its address, with an empty folder.
    pub async fn lose_disk(&mut self, core: u8) {
        let name = format!("core-{core}");
        let at = self.processes.iter().position(|(running, _)| *running == name);
        let (_, mut child) = self.processes.remove(at.expect("the process runs"));
        let _ = child.kill();
        let _ = child.wait();
        let _ = fs::remove_dir_all(self.folder.join(&name));
        self.record.line(format!("{name} is killed and loses its disk"));
        sleep(Duration::from_secs(1)).await;
        self.spawn("core", core, false);
    }

    /// Reads the manifest at each core process in turn until one returns it, for some time; returns its version.
    pub async fn read_manifest(&self, limit: Duration) -> Option<u64> {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            for core in self.running_cores() {
                let request = "GET /api/config HTTP/1.1\r\nHost: control\r\n\r\n";
                let answer =
                    http::call(self.control(core), request, b"", Duration::from_secs(1)).await;
                let text = match &answer {
                    Ok(answer) => answer.status().to_string(),
                    Err(error) => error.to_string(),
                };
                let version =
                    answer.ok().filter(|answer| answer.status() == 200).and_then(|answer| {
                        serde_json::from_slice::<serde_json::Value>(&answer.body).ok()?["version"]
                            .as_u64()
                    });
                self.record
                    .line(format!("GET /api/config at core-{core}: {text} version={version:?}"));
                if version.is_some() {
                    return version;
                }
            }
            sleep(Duration::from_millis(500)).await;
        }
        None
    }

    /// Sends an operator's request to the core processes in turn until one acknowledges it.
    pub async fn operate(&self, method: &str, path: &str, body: &str) -> bool {
        let deadline = Instant::now() + START_TIMEOUT;
        while Instant::now() < deadline {
            for core in self.running_cores() {
                let request = format!(
                    "{method} {path} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                let answer = http::call(
                    self.control(core),
                    &request,
                    body.as_bytes(),
                    Duration::from_secs(1),
                );
                if let Ok(answer) = answer.await
                    && answer.status() == 200
                {
                    self.record.line(format!("{method} {path} acknowledged by core-{core}"));
                    return true;
                }
            }
            sleep(Duration::from_millis(100)).await;
        }
        false
    }

    /// Waits until all entry processes say that they are ready.
    pub async fn wait_until_ready(&self) -> bool {
        let deadline = Instant::now() + START_TIMEOUT;
        for entry in 1..=self.entries {
            let request = "GET /api/readiness HTTP/1.1\r\nHost: ready\r\n\r\n";
            loop {
                let answer =
                    http::call(self.ready(entry), request, b"", Duration::from_secs(1)).await;
                if answer.is_ok_and(|answer| answer.status() == 200) {
                    break;
                }
                if Instant::now() > deadline {
                    return false;
                }
                sleep(Duration::from_millis(50)).await;
            }
        }
        true
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for (_, child) in &mut self.processes {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs in {}", self.folder.display());
        }
    }
}
