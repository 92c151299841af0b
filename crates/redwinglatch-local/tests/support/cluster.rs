//! Instances that a test can kill without a planned stop. Each has a runtime of its own.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use redwinglatch_core::Revision;
use redwinglatch_fakes::{CallerRequest, CallerResponse, FakeCaller};
use redwinglatch_local::{
    CALLERS_SECRET, Deployment, Fakes, FakesOptions, InstanceAddresses, Layout, OPERATORS_SECRET,
    Timing,
};
use redwinglatch_metrics::Metrics;
use redwinglatch_operators::OperatorClient;
use redwinglatch_server::{DataFolder, Instance, Listeners};
use redwinglatch_settings::Settings;
use tokio::runtime::{Builder, Runtime};
use tokio::time::{Instant, sleep};

use super::CUSTOMER;

struct Node {
    runtime: Runtime,
    /// Kept because dropping it closes the instance's sockets.
    instance: Instance,
}

/// Several instances that use one set of fakes.
pub(crate) struct Cluster {
    pub(crate) fakes: Fakes,
    layout: Layout,
    nodes: Vec<Option<Node>>,
    dir: PathBuf,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for position in 0..self.nodes.len() {
            self.kill(position);
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

fn bind() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    listener
}

fn bind_tcp_and_udp() -> (TcpListener, UdpSocket) {
    // The UDP port of a free TCP port is nearly always free too.
    for _ in 0..16 {
        let listener = bind();
        if let Ok(socket) = UdpSocket::bind(listener.local_addr().unwrap()) {
            socket.set_nonblocking(true).unwrap();
            return (listener, socket);
        }
    }
    panic!("no port is free for both TCP and UDP");
}

impl Cluster {
    /// Starts `instances` instances, the first `replicas` of them with a data directory, and
    /// applies a contract.
    pub(crate) async fn start(name: &str, instances: usize, replicas: usize) -> Cluster {
        let dir = std::env::temp_dir().join(format!("redwinglatch-{name}-{}", std::process::id()));
        let options = FakesOptions::default();
        let timing = Timing {
            renew_interval_ms: 200,
            lease_ms: 1_500,
            keep_for_s: 1,
            order_settle_ms: 1_000,
        };
        let fakes = Fakes::start(&options).unwrap();
        for number in 0..8 {
            fakes.weight_store.add(format!("wall-{number}"), 1);
        }
        let (mut sockets, mut addresses) = (Vec::new(), Vec::new());
        for _ in 0..instances {
            let (callers, operators, (peers, datagrams)) = (bind(), bind(), bind_tcp_and_udp());
            addresses.push(InstanceAddresses {
                callers: callers.local_addr().unwrap(),
                instances: peers.local_addr().unwrap(),
                operators: operators.local_addr().unwrap(),
            });
            sockets.push((callers, peers, datagrams, operators));
        }
        let layout = Layout::create(&dir, addresses, replicas, timing, options, &fakes).unwrap();
        let mut nodes = Vec::new();
        for (position, (callers, peers, datagrams, operators)) in sockets.into_iter().enumerate() {
            let text = layout.settings_text(position);
            let settings = Settings::from_str("instance.ini", &text).unwrap();
            let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build();
            let runtime = runtime.unwrap();
            let starting = runtime.spawn(async move {
                let listener = |it| tokio::net::TcpListener::from_std(it).unwrap();
                let listeners = Listeners {
                    callers: listener(callers),
                    instances: listener(peers),
                    datagrams: tokio::net::UdpSocket::from_std(datagrams).unwrap(),
                    operators: listener(operators),
                };
                Instance::start_on(settings, DataFolder::MayBeNew, listeners).await.unwrap()
            });
            let instance = starting.await.unwrap();
            nodes.push(Some(Node { runtime, instance }));
        }
        let cluster = Cluster { fakes, layout, nodes, dir };
        let contract = Deployment::contract(CUSTOMER, "wall-");
        let operator = cluster.operator(0);
        let deadline = Instant::now() + Duration::from_secs(20);
        while let Err(error) = operator.apply_contract("first", Revision(0), &contract).await {
            assert!(Instant::now() < deadline, "the contract was not accepted in time: {error}");
            sleep(Duration::from_millis(100)).await;
        }
        cluster
    }

    /// Stops an instance and closes all its connections at once, as if its machine had failed.
    pub(crate) fn kill(&mut self, position: usize) {
        if let Some(Node { runtime, instance }) = self.nodes[position].take() {
            drop(instance);
            runtime.shutdown_background();
        }
    }

    pub(crate) fn operator(&self, position: usize) -> OperatorClient {
        let address = self.layout.addresses(position).operators;
        OperatorClient::new(vec![address], OPERATORS_SECRET).rounds(1)
    }

    pub(crate) fn metrics(&self, position: usize) -> Arc<Metrics> {
        self.nodes[position].as_ref().unwrap().instance.metrics().clone()
    }

    pub(crate) fn address(&self, position: usize) -> SocketAddr {
        self.layout.addresses(position).callers
    }

    pub(crate) async fn send(&self, position: usize, request: &CallerRequest) -> CallerResponse {
        let caller = FakeCaller::new(CUSTOMER, CALLERS_SECRET);
        caller.send(self.address(position), request).await.unwrap()
    }

    /// Repeats `request` until the response has `status` and `code`; panics after `limit`.
    pub(crate) async fn send_until(
        &self,
        position: usize,
        request: &CallerRequest,
        status: u16,
        code: Option<&str>,
        limit: Duration,
    ) -> CallerResponse {
        let deadline = Instant::now() + limit;
        loop {
            let response = self.send(position, request).await;
            let error = &response.body["error"];
            if response.status == status && code.is_none_or(|it| error["code"] == it) {
                return response;
            }
            assert!(
                Instant::now() < deadline,
                "no response with {status} {code:?} in time: {}",
                response.body
            );
            sleep(Duration::from_millis(20)).await;
        }
    }
}
