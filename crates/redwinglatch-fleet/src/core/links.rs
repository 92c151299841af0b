//! Links of a core process to entry processes and to other core processes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use redwinglatch_core::ReplicaId;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
};

use crate::{
    link::{self, Frame, LinkSender, ReconnectDelay},
    message::FleetMessage,
    metrics::Metrics,
};

use super::driver::DriverEvent;

/// Delay after a failed attempt to accept a link.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Frames that may wait for a slow core process: several batches of log entries with whole
/// configurations.
const MAX_QUEUED_BYTES: usize = 8 << 20;

/// Accepts links of other processes.
pub(super) async fn accept(
    listener: TcpListener,
    events: mpsc::Sender<DriverEvent>,
    metrics: Arc<Metrics>,
) {
    let mut next_link = 0;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                next_link += 1;
                tokio::spawn(receive(stream, next_link, events.clone(), Arc::clone(&metrics)));
            }
            Err(error) => {
                log::warn!("core: cannot accept a link: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn receive(
    stream: TcpStream,
    link: u64,
    events: mpsc::Sender<DriverEvent>,
    metrics: Arc<Metrics>,
) {
    if let Err(error) = link::set_tcp_timeouts(&stream, Duration::from_millis(1_500)) {
        log::debug!("core: cannot set the timeouts of a link: {error}");
    }
    let (sender, mut reader) = link::split(stream, MAX_QUEUED_BYTES, &metrics);
    let error = loop {
        match reader.next().await {
            Ok(FleetMessage::Ping) => {}
            Ok(message) => {
                let event = DriverEvent::MessageReceived { link, sender: sender.clone(), message };
                if events.send(event).await.is_err() {
                    return;
                }
            }
            Err(error) => break error,
        }
    };
    log::debug!("core: link {link} closed: {error}");
    // The driver ends only with the process.
    let _ = events.send(DriverEvent::LinkClosed { link }).await;
}

/// Keeps a link to another core process established and passes its sender to the driver.
pub(super) async fn dial(
    address: SocketAddr,
    own: (ReplicaId, SocketAddr),
    events: mpsc::Sender<DriverEvent>,
    metrics: Arc<Metrics>,
) {
    let (replica, own_link) = own;
    let mut reconnect_delay = ReconnectDelay::default();
    loop {
        let delay = match link::connect(address).await {
            Ok(stream) => {
                let (sender, mut reader) = link::split(stream, MAX_QUEUED_BYTES, &metrics);
                sender.send(&FleetMessage::CoreHello { replica, link: own_link });
                let event = DriverEvent::CoreConnected { address, sender: sender.clone() };
                if events.send(event).await.is_err() {
                    return;
                }
                while let Ok(message) = reader.next().await {
                    if matches!(message, FleetMessage::Ping) {
                        continue;
                    }
                    let event = DriverEvent::CoreMessageReceived { address, message };
                    if events.send(event).await.is_err() {
                        return;
                    }
                }
                log::info!("core: the link to {address} was closed");
                reconnect_delay.after_loss()
            }
            Err(error) => {
                log::debug!("core: cannot connect to {address}: {error}");
                reconnect_delay.after_failure()
            }
        };
        tokio::time::sleep(delay).await;
    }
}

/// An outgoing link to another core process.
#[derive(Debug)]
struct CoreLink {
    address: SocketAddr,
    sender: Option<LinkSender>,
    /// Whether the process understands questions about engines.
    understands_reach: bool,
    /// Whether the process understands requests for credits.
    understands_credits: bool,
    /// Set once the process has shown that it understands `CoreStopping`.
    understands_stop: bool,
}

/// The outgoing links to other core processes.
#[derive(Debug, Default)]
pub(super) struct CoreLinks {
    links: Vec<CoreLink>,
}

impl CoreLinks {
    /// Registers a link to `address`; returns false if it is already registered.
    pub(super) fn add(&mut self, address: SocketAddr) -> bool {
        if self.links.iter().any(|link| link.address == address) {
            return false;
        }
        self.links.push(CoreLink {
            address,
            sender: None,
            understands_reach: false,
            understands_credits: false,
            understands_stop: false,
        });
        true
    }

    fn link_mut(&mut self, address: SocketAddr) -> Option<&mut CoreLink> {
        self.links.iter_mut().find(|link| link.address == address)
    }

    pub(super) fn connected(&mut self, address: SocketAddr, sender: LinkSender) {
        if let Some(link) = self.link_mut(address) {
            link.sender = Some(sender);
            // The process may have been replaced by one of an older version.
            link.understands_reach = false;
            link.understands_credits = false;
            link.understands_stop = false;
        }
    }

    /// Records that the process at `address` understands requests for credits.
    pub(super) fn understands_credits(&mut self, address: SocketAddr) {
        if let Some(link) = self.link_mut(address) {
            link.understands_credits = true;
        }
    }

    /// Sends a request for credits if the process at `address` understands it; returns whether it was queued.
    pub(super) fn send_credit_request(&self, address: SocketAddr, message: &FleetMessage) -> bool {
        let mut links = self.links.iter();
        links.any(|link| link.address == address && link.understands_credits)
            && self.send(address, message)
    }

    /// Records that the process at `address` understands announcements that a core process stops.
    pub(super) fn understands_stop(&mut self, address: SocketAddr) {
        if let Some(link) = self.link_mut(address) {
            link.understands_stop = true;
        }
    }

    /// Records that the process at `address` understands questions about engines.
    pub(super) fn understands_reach(&mut self, address: SocketAddr) {
        if let Some(link) = self.link_mut(address) {
            link.understands_reach = true;
        }
    }

    /// Returns the addresses to which a link is established.
    pub(super) fn connected_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        let is_connected =
            |link: &&CoreLink| link.sender.as_ref().is_some_and(|sender| !sender.is_closed());
        self.links.iter().filter(is_connected).map(|link| link.address)
    }

    /// Sends a message if the link to `address` is established; returns whether it was queued.
    pub(super) fn send(&self, address: SocketAddr, message: &FleetMessage) -> bool {
        let link = self.links.iter().find(|link| link.address == address);
        link.and_then(|link| link.sender.as_ref()).is_some_and(|sender| sender.send(message))
    }

    pub(super) fn send_all(&self, message: &FleetMessage) {
        self.send_where(message, |_| true);
    }

    /// Sends a message to all processes that understand questions about engines.
    pub(super) fn send_reach(&self, message: &FleetMessage) {
        self.send_where(message, |link| link.understands_reach);
    }

    /// Announces a stop to all processes that understand the announcement.
    pub(super) fn send_stop_announcement(&self, message: &FleetMessage) {
        self.send_where(message, |link| link.understands_stop);
    }

    fn send_where(&self, message: &FleetMessage, is_wanted: impl Fn(&CoreLink) -> bool) {
        let frame = Frame::encode(message);
        let wanted = self.links.iter().filter(|link| is_wanted(link));
        for sender in wanted.filter_map(|link| link.sender.as_ref()) {
            sender.send_frame(frame.clone());
        }
    }
}
