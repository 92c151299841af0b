//! Connections of a core process to entry processes and to other core processes.

use std::{net::SocketAddr, time::Duration};

use redwinglatch_core::ReplicaId;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
};

use crate::{
    link::{self, LinkSender},
    message::FleetMessage,
};

use super::driver::Input;

/// How long to wait before another connection attempt.
const REDIAL_PAUSE: Duration = Duration::from_millis(200);

/// Accepts connections of other processes.
pub(super) async fn accept(listener: TcpListener, inputs: mpsc::Sender<Input>) {
    let mut next_link = 0;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                next_link += 1;
                tokio::spawn(serve(stream, next_link, inputs.clone()));
            }
            Err(error) => {
                log::warn!("core: cannot accept a link: {error}");
                tokio::time::sleep(REDIAL_PAUSE).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, link: u64, inputs: mpsc::Sender<Input>) {
    if let Err(error) = link::set_tcp_timeouts(&stream, Duration::from_millis(1_500)) {
        log::debug!("core: cannot set the timeouts of a link: {error}");
    }
    let (sender, mut reader) = link::split(stream);
    let ended = loop {
        match reader.next().await {
            Ok(FleetMessage::Ping) => {}
            Ok(message) => {
                let input = Input::Received { link, sender: sender.clone(), message };
                if inputs.send(input).await.is_err() {
                    return;
                }
            }
            Err(error) => break error,
        }
    };
    log::debug!("core: link {link} ends: {ended}");
    // The driver ends only with the process.
    let _ = inputs.send(Input::LinkEnded { link }).await;
}

/// Keeps a connection to another core process and hands its sender to the driver.
pub(super) async fn dial(
    address: SocketAddr,
    own: (ReplicaId, SocketAddr),
    inputs: mpsc::Sender<Input>,
) {
    let (replica, own_link) = own;
    loop {
        match link::connect(address).await {
            Ok(stream) => {
                let (sender, mut reader) = link::split(stream);
                sender.send(FleetMessage::CoreHello { replica, link: own_link });
                let dialed = Input::Dialed { address, sender: sender.clone() };
                if inputs.send(dialed).await.is_err() {
                    return;
                }
                while let Ok(message) = reader.next().await {
                    if matches!(message, FleetMessage::Ping) {
                        continue;
                    }
                    if inputs.send(Input::Answered { message }).await.is_err() {
                        return;
                    }
                }
                log::info!("core: lost the link to {address}");
            }
            Err(error) => log::debug!("core: cannot connect to {address}: {error}"),
        }
        tokio::time::sleep(REDIAL_PAUSE).await;
    }
}

/// The links to the other core processes.
#[derive(Debug, Default)]
pub(super) struct CoreLinks {
    dialed: Vec<(SocketAddr, Option<LinkSender>)>,
}

impl CoreLinks {
    /// Starts to keep a link to `address` unless there is one, and returns whether it did.
    pub(super) fn add(&mut self, address: SocketAddr) -> bool {
        if self.dialed.iter().any(|(known, _)| *known == address) {
            return false;
        }
        self.dialed.push((address, None));
        true
    }

    pub(super) fn connected(&mut self, address: SocketAddr, sender: LinkSender) {
        if let Some((_, link)) = self.dialed.iter_mut().find(|(known, _)| *known == address) {
            *link = Some(sender);
        }
    }

    pub(super) fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.dialed.iter().map(|(address, _)| *address)
    }

    /// Sends a message if the link to `address` works.
    pub(super) fn send(&self, address: SocketAddr, message: FleetMessage) -> bool {
        let link = self.dialed.iter().find(|(known, _)| *known == address);
        link.and_then(|(_, sender)| sender.as_ref()).is_some_and(|sender| sender.send(message))
    }

    pub(super) fn send_all(&self, message: &FleetMessage) {
        for (_, sender) in &self.dialed {
            if let Some(sender) = sender {
                sender.send(message.clone());
            }
        }
    }
}
