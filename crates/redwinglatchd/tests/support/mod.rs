//! A deployment of daemon processes on loopback that tests can kill, suspend and restart.

use std::fs::File;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use redwinglatch_core::{Contract, Revision};
use redwinglatch_fakes::FakeCaller;
use redwinglatch_local::{
    CALLERS_SECRET, Deployment, Fakes, FakesOptions, InstanceAddresses, Layout, OPERATORS_SECRET,
    Timing,
};
use redwinglatch_operators::{OperatorClient, StatusDocument};
use tokio::time::{Instant, sleep};

/// Short intervals, so that a test covers several failovers; their ratios match the defaults.
pub(crate) const TIMING: Timing =
    Timing { renew_interval_ms: 250, lease_ms: 1_500, keep_for_s: 1, order_settle_ms: 1_000 };
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Daemon processes and the fake servers that they use.
pub(crate) struct Cluster {
    pub(crate) fakes: Fakes,
    pub(crate) layout: Layout,
    children: Vec<Option<Child>>,
}

#[allow(dead_code, reason = "each test file uses some of the methods")]
impl Cluster {
    /// Starts `instances` daemons, the first `replicas` of them with a log replica.
    pub(crate) async fn start(
        name: &str,
        instances: usize,
        replicas: usize,
        options: FakesOptions,
    ) -> Cluster {
        let fakes = Fakes::start(&options).unwrap();
        let dir = std::env::temp_dir().join(format!("redwinglatch-{name}-{}", std::process::id()));
        let addresses = free_addresses(instances);
        let layout = Layout::create(dir, addresses, replicas, TIMING, options, &fakes).unwrap();
        let mut cluster = Cluster { fakes, layout, children: Vec::new() };
        for position in 0..instances {
            cluster.children.push(None);
            cluster.spawn_new(position);
        }
        cluster
    }

    /// Starts the daemon at `position` on its existing data folder.
    pub(crate) fn spawn(&mut self, position: usize) {
        self.spawn_with(position, &[]);
    }

    /// Starts the daemon at `position` and creates its log replica if it has none.
    pub(crate) fn spawn_new(&mut self, position: usize) {
        self.spawn_with(position, &["--init"]);
    }

    fn spawn_with(&mut self, position: usize, arguments: &[&str]) {
        let settings = self.file_path(position, "ini");
        std::fs::write(&settings, self.layout.settings_text(position)).unwrap();
        let log = File::options().create(true).append(true).open(self.file_path(position, "log"));
        let child = Command::new(env!("CARGO_BIN_EXE_redwinglatchd"))
            .arg("--config")
            .arg(&settings)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log.unwrap())
            .spawn()
            .unwrap();
        self.children[position] = Some(child);
    }

    fn file_path(&self, position: usize, extension: &str) -> PathBuf {
        self.layout.dir().join(format!("instance-{}.{extension}", position + 1))
    }

    /// Kills a daemon without notice, as the loss of its machine would.
    pub(crate) fn kill(&mut self, position: usize) {
        if let Some(mut child) = self.children[position].take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    /// Waits for the daemon at `position` to exit and returns its exit code; `None` if it is still
    /// running after [`START_TIMEOUT`] or was ended by a signal.
    pub(crate) async fn exit_code(&mut self, position: usize) -> Option<i32> {
        let child = self.children[position].as_mut().unwrap();
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            if let Some(status) = child.try_wait().unwrap() {
                self.children[position] = None;
                return status.code();
            }
            if deadline < Instant::now() {
                return None;
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Requests a graceful stop with SIGTERM.
    pub(crate) fn terminate(&self, position: usize) {
        self.signal(position, "-TERM");
    }

    /// Suspends a daemon's process; its connections stay open but unresponsive.
    pub(crate) fn suspend(&self, position: usize) {
        self.signal(position, "-STOP");
    }

    /// Resumes a suspended daemon.
    pub(crate) fn resume(&self, position: usize) {
        self.signal(position, "-CONT");
    }

    fn signal(&self, position: usize, signal: &str) {
        let child = self.children[position].as_ref().unwrap();
        let status = Command::new("kill").arg(signal).arg(child.id().to_string()).status();
        assert!(status.unwrap().success());
    }

    /// The address at which the instance at `position` accepts callers.
    pub(crate) fn callers_address(&self, position: usize) -> SocketAddr {
        self.layout.addresses(position).callers
    }

    /// Returns a client that sends requests as `customer`.
    pub(crate) fn caller(&self, customer: &str) -> FakeCaller {
        FakeCaller::new(customer, CALLERS_SECRET)
    }

    /// Returns an operator client that tries the instances in order, starting at `first`.
    pub(crate) fn operator(&self, first: usize) -> OperatorClient {
        let count = self.layout.instance_count();
        let addresses: Vec<SocketAddr> = (0..count)
            .map(|offset| self.layout.addresses((first + offset) % count).operators)
            .collect();
        OperatorClient::new(addresses, OPERATORS_SECRET).rounds(8)
    }

    /// Applies the first contract of a customer; retries until the deployment accepts changes.
    pub(crate) async fn apply_first_contract(&self, contract: &Contract) -> Revision {
        let operator = self.operator(0);
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            match operator.apply_contract("first", Revision(0), contract).await {
                Ok(change) => return change.revision,
                Err(error) if deadline < Instant::now() => panic!("no contract: {error}"),
                Err(_) => sleep(Duration::from_millis(200)).await,
            }
        }
    }

    /// Waits until the instances at `positions` have a valid serving lease.
    pub(crate) async fn wait_until_serving(&self, positions: &[usize]) {
        for position in positions {
            let operator = OperatorClient::new(
                vec![self.layout.addresses(*position).operators],
                OPERATORS_SECRET,
            );
            let deadline = Instant::now() + START_TIMEOUT;
            while !operator.status().await.is_ok_and(|status| status.lease.is_valid) {
                assert!(Instant::now() < deadline, "instance {} never served", position + 1);
                sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// The status reported by the instance at `position`.
    pub(crate) async fn status(&self, position: usize) -> Option<StatusDocument> {
        let address = self.layout.addresses(position).operators;
        OperatorClient::new(vec![address], OPERATORS_SECRET).status().await.ok()
    }

    /// The position of the only cell's coordinator, as reported by the instance at `queried`.
    pub(crate) async fn coordinator_position(&self, queried: usize) -> usize {
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            let status = self.status(queried).await;
            let known = status.as_ref().and_then(|status| status.coordinators.first());
            if let Some(known) = known {
                return known.instance.0 as usize - 1;
            }
            assert!(Instant::now() < deadline, "no coordinator");
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// The position of the control leader, as reported by the instance at `queried`.
    pub(crate) async fn leader_position(&self, queried: usize) -> Option<usize> {
        let leader = self.status(queried).await?.leader?;
        Some(leader.instance.0 as usize - 1)
    }

    /// A contract for adapters whose names start with `prefix`, and the plain service.
    pub(crate) fn contract(customer: &str, prefix: &str) -> Contract {
        Deployment::contract(customer, prefix)
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for position in 0..self.children.len() {
            self.kill(position);
        }
        if std::thread::panicking() {
            eprintln!("daemon logs are kept in {}", self.layout.dir().display());
        } else {
            let _ = std::fs::remove_dir_all(self.layout.dir());
        }
    }
}

/// First port; all ports are below the kernel's ephemeral range. A port in that range could be
/// taken by an outgoing connection before the daemon starts or while a killed daemon is down.
const FIRST_PORT: u16 = 12_000;
const PORT_COUNT: u16 = 18_000;

/// Returns addresses with free ports. All ports stay bound until the last is found, so that they
/// differ.
fn free_addresses(instances: usize) -> Vec<InstanceAddresses> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    // Test programs that run concurrently start at different ports.
    let start = (std::process::id().wrapping_mul(97) % u32::from(PORT_COUNT)) as u16;
    let mut listeners = Vec::new();
    for _ in 0..PORT_COUNT {
        if listeners.len() == 3 * instances {
            break;
        }
        let offset = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (start + offset % PORT_COUNT) % PORT_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if let (Ok(listener), Ok(_)) = (TcpListener::bind(address), UdpSocket::bind(address)) {
            listeners.push(listener);
        }
    }
    assert_eq!(listeners.len(), 3 * instances, "too few free ports");
    let addresses: Vec<SocketAddr> =
        listeners.iter().map(|listener| listener.local_addr().unwrap()).collect();
    addresses
        .chunks(3)
        .map(|chunk| InstanceAddresses {
            callers: chunk[0],
            instances: chunk[1],
            operators: chunk[2],
        })
        .collect()
}
