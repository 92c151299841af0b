//! The processes of a small deployment: nine machines with an entry process, three of them also with a core process.

use std::{
    collections::HashMap,
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex, atomic::AtomicBool},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Message},
    record::Record,
};

/// Machines with an entry process, and those of them with a core process.
pub const MACHINES: u8 = 9;
const CORES: u8 = 3;
pub const HOST: &str = "ficu95.example";
/// How far the platform's list lags (`max-lag-ms`).
const LIST_LAG: Duration = Duration::from_millis(800);
const PORTS: [u16; 8] = [7380, 7381, 8141, 8143, 8144, 8149, 9464, 9465];

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a date after 1970").as_millis() as u64
}

/// The platform's list of replicas, as it was `LIST_LAG` ago.
pub struct Platform {
    pub address: SocketAddr,
    versions: Mutex<Vec<(Instant, Vec<String>)>>,
}

impl Platform {
    fn start(address: SocketAddr) -> Arc<Platform> {
        let platform = Arc::new(Platform { address, versions: Mutex::default() });
        let listener = TcpListener::bind(address).expect("the list's address is free");
        let list = Arc::clone(&platform);
        let handler = move |_: &Message, stream: &mut std::net::TcpStream| {
            let body =
                format!("{{\"instances\":[{}],\"next-token\":null}}", list.shown().join(","));
            http::respond(stream, "200 OK", &[("Content-Type", "application/json")], &body)?;
            Ok(true)
        };
        http::serve(listener, Arc::new(AtomicBool::new(false)), Arc::new(handler));
        platform
    }

    /// Sets the entries; they are shown after the list's lag.
    pub fn set(&self, entries: Vec<String>) {
        self.versions.lock().expect("no panic").push((Instant::now(), entries));
    }

    fn shown(&self) -> Vec<String> {
        let versions = self.versions.lock().expect("no panic");
        let mut shown = versions.iter().rev().filter(|(set_at, _)| set_at.elapsed() >= LIST_LAG);
        shown.next().map(|(_, entries)| entries.clone()).unwrap_or_default()
    }
}

pub struct Fleet {
    pub platform: Arc<Platform>,
    pub record: Arc<Record>,
    root: PathBuf,
    folder: PathBuf,
    network: [u8; 2],
    processes: HashMap<String, Child>,
}

impl Fleet {
    /// Chooses free addresses, and starts the platform and all processes.
    pub fn start(root: &Path, record: Arc<Record>) -> Fleet {
        let network = free_network().expect("free loopback addresses");
        let folder = std::env::temp_dir().join(format!(
            "redwinglatch-review-{}-{}",
            std::process::id(),
            unix_ms()
        ));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let platform = Platform::start(SocketAddr::new(ip(network, 100), 8142));
        let mut fleet = Fleet {
            platform,
            record,
            root: root.to_owned(),
            folder,
            network,
            processes: HashMap::new(),
        };
        (1..=CORES).for_each(|machine| fleet.spawn(machine, "core", true));
        (1..=MACHINES).for_each(|machine| fleet.spawn(machine, "entry", true));
        fleet
    }

    pub fn ip(&self, last: u8) -> IpAddr {
        ip(self.network, last)
    }

    pub fn front(&self, machine: u8) -> SocketAddr {
        SocketAddr::new(self.ip(machine), 8149)
    }

    pub fn ready(&self, machine: u8) -> SocketAddr {
        SocketAddr::new(self.ip(machine), 8141)
    }

    pub fn control(&self, machine: u8) -> SocketAddr {
        SocketAddr::new(self.ip(machine), 8144)
    }

    /// Starts a process with the command of the deploy file and the project's template of settings.
    pub fn spawn(&mut self, machine: u8, role: &str, bootstrap: bool) {
        let name = format!("{role}-{machine}");
        let settings = self.folder.join(format!("{name}.ini"));
        fs::write(&settings, self.settings(machine, role, bootstrap)).expect("settings");
        let log = self.folder.join(format!("{name}.log"));
        let log = fs::File::options().create(true).append(true).open(log).expect("a log");
        let port = if role == "core" { 9465 } else { 9464 };
        let child = Command::new(self.root.join("target/release/redwinglatch-clearwall"))
            .args([role, "--metrics", &format!("{}:{port}", self.ip(machine))])
            .current_dir(&self.root)
            .env("REDWINGLATCH_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the process starts");
        self.record.line(&format!("started {name}, process {}", child.id()));
        self.processes.insert(name, child);
    }

    fn settings(&self, machine: u8, role: &str, bootstrap: bool) -> String {
        let template = self.root.join("platform/settings.ini");
        let mut text = fs::read_to_string(template).expect("the template of the settings");
        let data = self.folder.join(format!("data-{role}-{machine}"));
        fs::create_dir_all(&data).expect("a data folder");
        let seeds: Vec<String> = (1..=CORES).map(|m| self.control(m).to_string()).collect();
        let zone = char::from(b'a' + (machine - 1) % 3);
        let address = |port: u16| SocketAddr::new(self.ip(machine), port).to_string();
        // The figures are those of the Clearwall sheet.
        let values = [
            ("node", format!("front-hall-{zone}-{}", (machine - 1) / 3 + 1)),
            ("zone", format!("hall-{zone}")),
            ("listen.front", address(8149)),
            ("listen.ready", address(8141)),
            ("listen.control", address(8144)),
            ("listen.directory", address(8143)),
            ("port-range.0", "7380".to_owned()),
            ("port-range.1", "7381".to_owned()),
            ("seeds", seeds.join(",")),
            ("bootstrap", bootstrap.to_string()),
            ("data-dir", data.display().to_string()),
            ("cloud.address", self.platform.address.to_string()),
            ("bounds.grace-s", "8".to_owned()),
            ("bounds.require-fence", "true".to_owned()),
            ("bounds.lease-ms", "3000".to_owned()),
            ("bounds.retry-budget-ratio", "0.2".to_owned()),
            ("bounds.budget-slack", "64".to_owned()),
            ("bounds.budget-window-s", "10".to_owned()),
            ("limits.memory-mb", "260".to_owned()),
            ("limits.max-fds", "4100".to_owned()),
        ];
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        // Fields that the deployment doesn't have are rendered as nothing.
        while let Some(start) = text.find("{{") {
            let end = text[start..].find("}}").map_or(text.len(), |end| start + end + 2);
            text.replace_range(start..end, "");
        }
        text
    }

    /// Sends a manifest until it is acknowledged.
    pub fn put_manifest(&self, manifest: &str) {
        let deadline = Instant::now() + Duration::from_secs(20);
        for machine in (1..=CORES).cycle() {
            let put = http::call(
                self.control(machine),
                "PUT",
                "/api/config",
                &[("Host", "control"), ("Content-Type", "application/json")],
                manifest,
                Duration::from_secs(2),
            );
            if put.as_ref().is_ok_and(|response| response.status() == 200) {
                return self.record.line("the manifest is acknowledged");
            }
            if Instant::now() > deadline {
                self.cannot_run("no core process acknowledged the manifest");
            }
            thread::sleep(Duration::from_millis(100));
        }
    }

    /// Waits until all entry processes are ready.
    pub fn wait_until_ready(&self) {
        let deadline = Instant::now() + Duration::from_secs(20);
        for machine in 1..=MACHINES {
            loop {
                let headers = [("Host", "ready")];
                let limit = Duration::from_secs(1);
                let ready =
                    http::call(self.ready(machine), "GET", "/api/readiness", &headers, "", limit);
                if ready.is_ok_and(|response| response.status() == 200) {
                    break;
                }
                if Instant::now() > deadline {
                    self.cannot_run("an entry process isn't ready");
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        self.record.line("all entry processes are ready");
    }

    /// Returns the processes that have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for (name, child) in &mut self.processes {
            if let Ok(Some(status)) = child.try_wait() {
                ended.push(format!("{name} ({status})"));
            }
        }
        ended
    }

    /// Ends the run because the case can't be judged.
    pub fn cannot_run(&self, why: &str) -> ! {
        self.record.line(&format!("the case can't run: {why}"));
        self.processes.values().map(Child::id).for_each(kill);
        std::process::exit(2);
    }

    /// Ends all processes and this one with code 2 if the run takes too long.
    pub fn limit_time(&self, limit: Duration) {
        let ids: Vec<u32> = self.processes.values().map(Child::id).collect();
        let record = Arc::clone(&self.record);
        thread::spawn(move || {
            thread::sleep(limit);
            record.line("the run takes too long");
            ids.into_iter().for_each(kill);
            std::process::exit(2);
        });
    }
}

impl Drop for Fleet {
    /// Ends all processes and removes the folder, unless KEEP is set.
    fn drop(&mut self) {
        for (_, mut child) in self.processes.drain() {
            // The process may have ended.
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn kill(id: u32) {
    let _ = Command::new("sh").args(["-c", &format!("kill -KILL {id}")]).status();
}

fn ip(network: [u8; 2], last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, network[0], network[1], last))
}

/// Finds a loopback network on which all addresses of the run are free.
fn free_network() -> Option<[u8; 2]> {
    let seed = unix_ms() ^ (u64::from(std::process::id()) << 7);
    (0..50u64).find_map(|attempt| {
        let mixed = (seed + attempt * 7_919).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let network = [100 + (mixed >> 40) as u8 % 100, (mixed >> 48) as u8];
        let machines = (1..=MACHINES).flat_map(|m| PORTS.map(|port| (m, port)));
        let servers = (10..30).map(|last| (last, 8080));
        let mut all = machines.chain(servers).chain([(100, 8142)]);
        let is_free = |(last, port)| TcpListener::bind((ip(network, last), port)).is_ok();
        all.all(is_free).then_some(network)
    })
}
