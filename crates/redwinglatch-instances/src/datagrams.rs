//! Small calls between instances over UDP.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use redwinglatch_core::{Incarnation, InstanceId, RefusalReason};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use crate::handshake::{PROOF_BYTES, SharedSecret};
use crate::{Incoming, TransportError, TransportErrorKind, TransportSettings};

/// The largest datagram; it fits into one packet on every usual path.
pub const DATAGRAM_LIMIT_BYTES: usize = 1_200;

const QUEUE_MESSAGES: usize = 256;
/// Answers awaited at once; older ones are forgotten, their callers' timeouts cover that.
const MAX_PENDING: usize = 4_096;

#[derive(Serialize, Deserialize)]
struct Packet<M> {
    from: InstanceId,
    incarnation: Incarnation,
    request_id: u64,
    kind: PacketKind<M>,
}

#[derive(Serialize, Deserialize)]
enum PacketKind<M> {
    Call(M),
    Reply(M),
    /// The reply exceeds [`DATAGRAM_LIMIT_BYTES`]; the caller asks over TCP.
    ReplyTooLarge,
}

type Answer<M> = oneshot::Sender<Result<M, TransportErrorKind>>;

struct Outgoing<M> {
    to: SocketAddr,
    message: M,
    reply: Answer<M>,
}

/// Makes small calls over UDP; cheap to clone.
///
/// A call does not share the fate of a TCP connection that went silent. Datagrams are
/// authenticated with the instances' secret, may be lost, doubled or reordered, and are never
/// repeated here, so only idempotent messages with a sequence of their own go this way.
#[derive(Debug)]
pub struct Datagrams<M> {
    addresses: Arc<HashMap<InstanceId, SocketAddr>>,
    queue: mpsc::Sender<Outgoing<M>>,
}

impl<M> Clone for Datagrams<M> {
    fn clone(&self) -> Datagrams<M> {
        Datagrams { addresses: self.addresses.clone(), queue: self.queue.clone() }
    }
}

impl<M: Serialize + DeserializeOwned + Send + 'static> Datagrams<M> {
    /// Starts the task that owns `socket`.
    ///
    /// Calls of other instances go to `incoming`; `count` is called for each datagram that is
    /// refused.
    pub fn start(
        settings: &TransportSettings,
        socket: UdpSocket,
        incoming: mpsc::Sender<Incoming<M>>,
        count: impl Fn(RefusalReason) + Send + Sync + 'static,
    ) -> Datagrams<M> {
        let (queue, outgoing) = mpsc::channel(QUEUE_MESSAGES);
        let (replies, reply_queue) = mpsc::channel(QUEUE_MESSAGES);
        let task = DatagramTask {
            socket,
            instance: settings.instance,
            incarnation: settings.incarnation,
            secret: settings.secret.clone(),
            incoming,
            replies,
            count: Box::new(count),
            pending: HashMap::new(),
            // A reply to a call of an earlier process must not match a call of this one.
            next_request_id: fastrand::u64(..),
        };
        tokio::spawn(task.run(outgoing, reply_queue));
        Datagrams { addresses: Arc::new(settings.addresses.clone()), queue }
    }

    /// Sends `message` once and waits for the reply.
    ///
    /// # Errors
    ///
    /// Fails when no reply comes within `limit`, or when the message or the reply is too large for
    /// a datagram; the same call may then be made over TCP.
    pub async fn call(
        &self,
        to: InstanceId,
        message: M,
        limit: Duration,
    ) -> Result<M, TransportError> {
        let error = |kind| TransportError { to, kind };
        let address = self.addresses.get(&to).copied();
        let address = address.ok_or_else(|| error(TransportErrorKind::UnknownInstance))?;
        let (reply, answer) = oneshot::channel();
        let outgoing = Outgoing { to: address, message, reply };
        self.queue.try_send(outgoing).map_err(|_| error(TransportErrorKind::QueueFull))?;
        match timeout(limit, answer).await {
            Ok(Ok(Ok(reply))) => Ok(reply),
            Ok(Ok(Err(kind))) => Err(error(kind)),
            Ok(Err(_)) => Err(error(TransportErrorKind::ConnectionLost)),
            Err(_) => Err(error(TransportErrorKind::TimedOut)),
        }
    }
}

struct Reply<M> {
    to: SocketAddr,
    request_id: u64,
    message: M,
}

struct DatagramTask<M> {
    socket: UdpSocket,
    instance: InstanceId,
    incarnation: Incarnation,
    secret: SharedSecret,
    incoming: mpsc::Sender<Incoming<M>>,
    replies: mpsc::Sender<Reply<M>>,
    count: Box<dyn Fn(RefusalReason) + Send + Sync>,
    pending: HashMap<u64, Answer<M>>,
    next_request_id: u64,
}

impl<M: Serialize + DeserializeOwned + Send + 'static> DatagramTask<M> {
    async fn run(
        mut self,
        mut outgoing: mpsc::Receiver<Outgoing<M>>,
        mut replies: mpsc::Receiver<Reply<M>>,
    ) {
        let mut buffer = [0; DATAGRAM_LIMIT_BYTES + 1];
        while !self.incoming.is_closed() {
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((size, from)) => self.received(from, &buffer[..size]),
                    // An ICMP error of an earlier datagram; its caller's timeout covers that.
                    Err(error) => log::debug!("instances: no datagram was received: {error}"),
                },
                Some(call) = outgoing.recv() => self.send_call(call).await,
                Some(reply) = replies.recv() => self.send_reply(reply).await,
            }
        }
    }

    fn received(&mut self, from: SocketAddr, datagram: &[u8]) {
        let Some(packet) = self.open::<Packet<M>>(datagram) else {
            (self.count)(RefusalReason::Unauthenticated);
            return;
        };
        let request_id = packet.request_id;
        match packet.kind {
            PacketKind::Call(message) => {
                let reply = self.reply_later(from, request_id);
                let (from, incarnation) = (packet.from, packet.incarnation);
                let incoming = Incoming { from, incarnation, message, reply: Some(reply) };
                // A full queue is the same as a lost datagram.
                let _ = self.incoming.try_send(incoming);
            }
            PacketKind::Reply(message) => self.answer(request_id, Ok(message)),
            PacketKind::ReplyTooLarge => {
                self.answer(request_id, Err(TransportErrorKind::TooLarge));
            }
        }
    }

    fn open<T: DeserializeOwned>(&self, datagram: &[u8]) -> Option<T> {
        let (proof, body) = datagram.split_first_chunk::<PROOF_BYTES>()?;
        if !self.secret.verifies(body, proof) {
            return None;
        }
        postcard::from_bytes(body).ok()
    }

    fn answer(&mut self, request_id: u64, answer: Result<M, TransportErrorKind>) {
        if let Some(reply) = self.pending.remove(&request_id) {
            // The caller may have given up.
            let _ = reply.send(answer);
        }
    }

    fn reply_later(&self, to: SocketAddr, request_id: u64) -> oneshot::Sender<M> {
        let (reply, answer) = oneshot::channel();
        let replies = self.replies.clone();
        tokio::spawn(async move {
            if let Ok(message) = answer.await {
                let _ = replies.send(Reply { to, request_id, message }).await;
            }
        });
        reply
    }

    async fn send_call(&mut self, call: Outgoing<M>) {
        let request_id = self.next_request_id;
        self.next_request_id = self.next_request_id.wrapping_add(1);
        match self.send(call.to, request_id, PacketKind::Call(call.message)).await {
            Ok(()) => {
                if MAX_PENDING <= self.pending.len() {
                    self.pending.retain(|_, reply| !reply.is_closed());
                }
                self.pending.insert(request_id, call.reply);
            }
            Err(kind) => drop(call.reply.send(Err(kind))),
        }
    }

    async fn send_reply(&mut self, reply: Reply<M>) {
        let Reply { to, request_id, message } = reply;
        let sent = self.send(to, request_id, PacketKind::Reply(message)).await;
        if sent == Err(TransportErrorKind::TooLarge) {
            let _ = self.send(to, request_id, PacketKind::ReplyTooLarge).await;
        }
    }

    async fn send(
        &self,
        to: SocketAddr,
        request_id: u64,
        kind: PacketKind<M>,
    ) -> Result<(), TransportErrorKind> {
        let (from, incarnation) = (self.instance, self.incarnation);
        let packet = Packet { from, incarnation, request_id, kind };
        let datagram = self.seal(&packet).map_err(|_| TransportErrorKind::TooLarge)?;
        let sent = self.socket.send_to(&datagram, to).await;
        sent.map(drop).map_err(|_| TransportErrorKind::NotConnected)
    }

    fn seal(&self, packet: &Packet<M>) -> io::Result<Vec<u8>> {
        let datagram = vec![0; PROOF_BYTES];
        let mut datagram = postcard::to_extend(packet, datagram).map_err(io::Error::other)?;
        if DATAGRAM_LIMIT_BYTES < datagram.len() {
            return Err(io::ErrorKind::InvalidInput.into());
        }
        let proof = self.secret.proof_of(&datagram[PROOF_BYTES..]);
        datagram[..PROOF_BYTES].copy_from_slice(&proof);
        Ok(datagram)
    }
}
