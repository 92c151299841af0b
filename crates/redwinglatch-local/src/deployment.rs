//! A running local deployment.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use redwinglatch_core::Contract;
use redwinglatch_fakes::FakeCaller;
use redwinglatch_operators::OperatorClient;
use redwinglatch_server::{DataFolder, Instance, Listeners};
use redwinglatch_settings::Settings;
use tokio::net::{TcpListener, UdpSocket};

use crate::{
    CALLERS_SECRET, Fakes, FakesOptions, InstanceAddresses, Layout, OPERATORS_SECRET, Timing,
};

/// Instances that run in this process, and the fakes of the systems that they use.
pub struct Deployment {
    /// The fakes of the external systems.
    pub fakes: Fakes,
    layout: Layout,
    instances: Vec<Option<Instance>>,
}

impl Deployment {
    /// Starts `instances` instances. The first `replicas` of them have a data directory below
    /// `dir`.
    ///
    /// # Errors
    ///
    /// Fails when a port can't be opened or an instance can't start.
    pub async fn start(
        dir: impl Into<PathBuf>,
        instances: usize,
        replicas: usize,
        timing: Timing,
        options: FakesOptions,
    ) -> io::Result<Deployment> {
        let fakes = Fakes::start(&options)?;
        let mut listeners = Vec::new();
        let mut addresses = Vec::new();
        for _ in 0..instances {
            let callers = TcpListener::bind("127.0.0.1:0").await?;
            let (peers, datagrams) = bind_tcp_and_udp().await?;
            let operators = TcpListener::bind("127.0.0.1:0").await?;
            addresses.push(InstanceAddresses {
                callers: callers.local_addr()?,
                instances: peers.local_addr()?,
                operators: operators.local_addr()?,
            });
            listeners.push(Listeners { callers, instances: peers, datagrams, operators });
        }
        let layout = Layout::create(dir, addresses, replicas, timing, options, &fakes)?;
        let mut deployment = Deployment { fakes, layout, instances: Vec::new() };
        for (position, listeners) in listeners.into_iter().enumerate() {
            let settings = deployment.settings(position)?;
            let instance = Instance::start_on(settings, DataFolder::MayBeNew, listeners)
                .await
                .map_err(io::Error::other)?;
            deployment.instances.push(Some(instance));
        }
        Ok(deployment)
    }

    fn settings(&self, position: usize) -> io::Result<Settings> {
        let name = format!("instance-{}.ini", position + 1);
        let settings = Settings::from_str(&name, &self.layout.settings_text(position));
        settings.map_err(|error| {
            let problems = error.problems.iter().map(ToString::to_string);
            io::Error::other(problems.collect::<Vec<_>>().join("; "))
        })
    }

    /// The addresses, directories and settings.
    #[must_use]
    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    /// The instance at `position`, counted from 0, unless it was stopped.
    #[must_use]
    pub fn instance(&self, position: usize) -> Option<&Instance> {
        self.instances.get(position)?.as_ref()
    }

    /// Removes an instance from the deployment and returns it, so that it can be stopped.
    #[must_use]
    pub fn take_instance(&mut self, position: usize) -> Option<Instance> {
        self.instances.get_mut(position)?.take()
    }

    /// The address at which the instance at `position` serves callers.
    #[must_use]
    pub fn callers_address(&self, position: usize) -> SocketAddr {
        self.layout.addresses(position).callers
    }

    /// Creates a caller of `customer`.
    #[must_use]
    pub fn caller(&self, customer: &str) -> FakeCaller {
        FakeCaller::new(customer, CALLERS_SECRET)
    }

    /// Creates an operators' client that tries the instances in order.
    #[must_use]
    pub fn operator(&self) -> OperatorClient {
        let count = self.layout.instance_count();
        let addresses: Vec<SocketAddr> =
            (0..count).map(|position| self.layout.addresses(position).operators).collect();
        OperatorClient::new(addresses, OPERATORS_SECRET)
    }

    /// Creates a contract that allows every adapter named `prefix…`, and the plain service.
    #[must_use]
    pub fn contract(customer: &str, prefix: &str) -> Contract {
        Contract {
            customer: customer.into(),
            adapters: vec![redwinglatch_core::AdapterRule {
                adapter: format!("{prefix}*").into(),
                min_version: 1,
                max_version: 9,
            }],
            services: vec![Fakes::SERVICE.into()],
            request_rate_per_s: 1_000,
            concurrent_requests: 200,
            token_rate_per_s: 100_000,
            load_share_permille: 500,
            default_priority: 5,
            max_priority: 9,
            default_deadline_ms: 20_000,
            max_deadline_ms: 120_000,
        }
    }
}

/// Binds TCP and UDP to the same free port.
async fn bind_tcp_and_udp() -> io::Result<(TcpListener, UdpSocket)> {
    let mut last_error = io::Error::from(io::ErrorKind::AddrInUse);
    // The UDP port of a free TCP port is nearly always free too.
    for _ in 0..16 {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}
