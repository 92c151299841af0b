//! Test that contracts survive a restart after a snapshot.

use std::path::Path;
use std::time::Duration;

use redwinglatch_core::Revision;
use redwinglatch_local::{
    Deployment, Fakes, FakesOptions, InstanceAddresses, Layout, OPERATORS_SECRET, Timing,
};
use redwinglatch_metrics::Counter;
use redwinglatch_operators::{ContractListDocument, OperatorClient};
use redwinglatch_server::{DataFolder, Instance, Listeners};
use redwinglatch_settings::Settings;
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::{Instant, sleep};

const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// More than the log entries between two snapshots, so that the log no longer has the first ones.
const CONTRACT_COUNT: usize = 12;

/// Starts the only instance on the data in `dir`, with a snapshot after every five log entries.
async fn start(dir: &Path, folder: DataFolder) -> (Fakes, Instance, OperatorClient) {
    let options = FakesOptions { engines: 1, services: 1, ..FakesOptions::default() };
    let fakes = Fakes::start(&options).expect("loopback ports are free");
    let bind = || async { TcpListener::bind("127.0.0.1:0").await.expect("a port is free") };
    let address = |listener: &TcpListener| listener.local_addr().expect("an address");
    let instances = bind().await;
    // There is no other instance that sends to it, so the port may differ from that of TCP.
    let datagrams = UdpSocket::bind("127.0.0.1:0").await.expect("a port is free");
    let (callers, operators) = (bind().await, bind().await);
    let listeners = Listeners { callers, instances, datagrams, operators };
    let addresses = InstanceAddresses {
        callers: address(&listeners.callers),
        instances: address(&listeners.instances),
        operators: address(&listeners.operators),
    };
    let timing =
        Timing { renew_interval_ms: 100, lease_ms: 1_500, keep_for_s: 1, order_settle_ms: 1_000 };
    let layout = Layout::create(dir, vec![addresses], 1, timing, options, &fakes)
        .expect("the folder is writable");
    let text = layout.settings_text(0).replace("[control]\n", "[control]\nsnapshot_entries = 5\n");
    let settings = Settings::from_str("instance-1.ini", &text).expect("the settings are valid");
    let instance = Instance::start_on(settings, folder, listeners).await.expect("it starts");
    let operator = OperatorClient::new([addresses.operators], OPERATORS_SECRET);
    (fakes, instance, operator)
}

/// Runs one incarnation of the process; at its end all tasks stop without a graceful shutdown.
fn run_incarnation<T>(incarnation: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime starts");
    let result = runtime.block_on(async { tokio::time::timeout(TEST_TIMEOUT, incarnation).await });
    runtime.shutdown_timeout(TEST_TIMEOUT);
    result.expect("the incarnation ends in time")
}

async fn contracts(operator: &OperatorClient) -> ContractListDocument {
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        match operator.contracts().await {
            Ok(contracts) => return contracts,
            Err(error) => assert!(Instant::now() < deadline, "{error}"),
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a restart that loses the changes before the last snapshot: the contracts were
/// missing, and the next snapshot made the loss permanent.
#[test]
fn contracts_before_a_snapshot_survive_a_restart() {
    let name = format!("restart-{}", std::process::id());
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let before = run_incarnation(async {
        let (_fakes, instance, operator) = start(&dir, DataFolder::MayBeNew).await;
        for number in 0..CONTRACT_COUNT {
            let contract = Deployment::contract(&format!("customer-{number}"), "district-");
            let change_id = format!("change-{number}");
            let change = operator.apply_contract(&change_id, Revision(0), &contract).await;
            change.expect("the change is accepted");
        }
        assert!(0 < instance.metrics().counter(Counter::Snapshots), "no snapshot was taken");
        contracts(&operator).await
    });
    assert_eq!(before.contracts.len(), CONTRACT_COUNT);
    let after = run_incarnation(async {
        let (_fakes, _instance, operator) = start(&dir, DataFolder::Existing).await;
        contracts(&operator).await
    });
    let _ = std::fs::remove_dir_all(&dir);
    assert_eq!(after, before);
}
