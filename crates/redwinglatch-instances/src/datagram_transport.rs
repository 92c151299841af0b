//! Small request-reply calls between instances over UDP.

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

use crate::handshake::{DATAGRAM_PROOF_BYTES, SharedSecret};
use crate::{
    IncomingMessage, TransportError, TransportErrorKind, TransportEvent, TransportSettings,
};

/// Maximum size of a datagram; it fits into one packet on all common network paths.
pub const DATAGRAM_LIMIT_BYTES: usize = 1_200;

const QUEUE_CAPACITY: usize = 256;
/// Number of pending calls above which calls whose callers timed out are removed.
const PENDING_CLEANUP_THRESHOLD: usize = 4_096;

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
    /// The reply exceeds [`DATAGRAM_LIMIT_BYTES`]; the caller may repeat the call over TCP.
    ReplyTooLarge,
}

type ReplySender<M> = oneshot::Sender<Result<M, TransportErrorKind>>;

struct OutgoingCall<M> {
    to: SocketAddr,
    message: M,
    reply: ReplySender<M>,
}

/// Makes small calls over UDP; cheap to clone.
///
/// Calls do not depend on a TCP connection, which may stall. Datagrams are authenticated with the
/// secret that the instances share. They may be lost, duplicated or reordered and are never resent
/// here, so only idempotent messages with their own sequence numbers may be sent this way.
#[derive(Debug)]
pub struct DatagramTransport<M> {
    addresses: Arc<HashMap<InstanceId, SocketAddr>>,
    queue: mpsc::Sender<OutgoingCall<M>>,
}

impl<M> Clone for DatagramTransport<M> {
    fn clone(&self) -> DatagramTransport<M> {
        DatagramTransport { addresses: self.addresses.clone(), queue: self.queue.clone() }
    }
}

impl<M: Serialize + DeserializeOwned + Send + 'static> DatagramTransport<M> {
    /// Starts the task that owns `socket`.
    ///
    /// Calls from other instances are sent to `incoming`; `on_event` receives refused datagrams and
    /// the number of bytes sent and received.
    pub fn start(
        settings: &TransportSettings,
        socket: UdpSocket,
        incoming: mpsc::Sender<IncomingMessage<M>>,
        on_event: impl Fn(TransportEvent) + Send + Sync + 'static,
    ) -> DatagramTransport<M> {
        let (queue, outgoing) = mpsc::channel(QUEUE_CAPACITY);
        let (replies, reply_queue) = mpsc::channel(QUEUE_CAPACITY);
        let task = DatagramTask {
            socket,
            instance: settings.instance,
            incarnation: settings.incarnation,
            secret: settings.secret.clone(),
            incoming,
            replies,
            on_event: Box::new(on_event),
            pending: HashMap::new(),
            // A reply to a call of an earlier incarnation must not match a call of this one.
            next_request_id: fastrand::u64(..),
        };
        tokio::spawn(task.run(outgoing, reply_queue));
        DatagramTransport { addresses: Arc::new(settings.addresses.clone()), queue }
    }

    /// Sends `message` once and waits for the reply.
    ///
    /// # Errors
    ///
    /// Fails when the instance is unknown, the queue is full, no reply arrives within `time_limit`,
    /// or the message or its reply is too large for a datagram; in the last case the same call may
    /// be made over TCP.
    pub async fn call(
        &self,
        to: InstanceId,
        message: M,
        time_limit: Duration,
    ) -> Result<M, TransportError> {
        let error = |kind| TransportError { to, kind };
        let address = self.addresses.get(&to).copied();
        let address = address.ok_or_else(|| error(TransportErrorKind::UnknownInstance))?;
        let (reply, receiver) = oneshot::channel();
        let outgoing = OutgoingCall { to: address, message, reply };
        self.queue.try_send(outgoing).map_err(|_| error(TransportErrorKind::QueueFull))?;
        match timeout(time_limit, receiver).await {
            Ok(Ok(Ok(reply))) => Ok(reply),
            Ok(Ok(Err(kind))) => Err(error(kind)),
            Ok(Err(_)) => Err(error(TransportErrorKind::ConnectionLost)),
            Err(_) => Err(error(TransportErrorKind::TimedOut)),
        }
    }
}

struct OutgoingReply<M> {
    to: SocketAddr,
    request_id: u64,
    message: M,
}

struct DatagramTask<M> {
    socket: UdpSocket,
    instance: InstanceId,
    incarnation: Incarnation,
    secret: SharedSecret,
    incoming: mpsc::Sender<IncomingMessage<M>>,
    replies: mpsc::Sender<OutgoingReply<M>>,
    on_event: Box<dyn Fn(TransportEvent) + Send + Sync>,
    pending: HashMap<u64, ReplySender<M>>,
    next_request_id: u64,
}

impl<M: Serialize + DeserializeOwned + Send + 'static> DatagramTask<M> {
    async fn run(
        mut self,
        mut outgoing: mpsc::Receiver<OutgoingCall<M>>,
        mut replies: mpsc::Receiver<OutgoingReply<M>>,
    ) {
        let mut buffer = [0; DATAGRAM_LIMIT_BYTES + 1];
        while !self.incoming.is_closed() {
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((size, from)) => self.handle_datagram(from, &buffer[..size]),
                    // An ICMP error for an earlier datagram, whose caller times out.
                    Err(error) => log::debug!("instances: cannot receive a datagram: {error}"),
                },
                Some(call) = outgoing.recv() => self.send_call(call).await,
                Some(reply) = replies.recv() => self.send_reply(reply).await,
            }
        }
    }

    fn handle_datagram(&mut self, from: SocketAddr, datagram: &[u8]) {
        (self.on_event)(TransportEvent::Received(datagram.len()));
        let Some(packet) = self.decode_verified::<Packet<M>>(datagram) else {
            (self.on_event)(TransportEvent::Refused(RefusalReason::Unauthenticated));
            return;
        };
        let request_id = packet.request_id;
        match packet.kind {
            PacketKind::Call(message) => {
                let reply = self.reply_channel(from, request_id);
                let (from, incarnation) = (packet.from, packet.incarnation);
                let incoming = IncomingMessage { from, incarnation, message, reply: Some(reply) };
                // A full queue has the same effect as a lost datagram.
                let _ = self.incoming.try_send(incoming);
            }
            PacketKind::Reply(message) => self.complete_call(request_id, Ok(message)),
            PacketKind::ReplyTooLarge => {
                self.complete_call(request_id, Err(TransportErrorKind::TooLarge));
            }
        }
    }

    fn decode_verified<T: DeserializeOwned>(&self, datagram: &[u8]) -> Option<T> {
        let (proof, body) = datagram.split_first_chunk::<DATAGRAM_PROOF_BYTES>()?;
        if !self.secret.is_valid_datagram_proof(body, proof) {
            return None;
        }
        postcard::from_bytes(body).ok()
    }

    fn complete_call(&mut self, request_id: u64, result: Result<M, TransportErrorKind>) {
        if let Some(reply) = self.pending.remove(&request_id) {
            // The caller may have timed out.
            let _ = reply.send(result);
        }
    }

    fn reply_channel(&self, to: SocketAddr, request_id: u64) -> oneshot::Sender<M> {
        let (reply, receiver) = oneshot::channel();
        let replies = self.replies.clone();
        tokio::spawn(async move {
            if let Ok(message) = receiver.await {
                let _ = replies.send(OutgoingReply { to, request_id, message }).await;
            }
        });
        reply
    }

    async fn send_call(&mut self, call: OutgoingCall<M>) {
        let request_id = self.next_request_id;
        self.next_request_id = self.next_request_id.wrapping_add(1);
        match self.send(call.to, request_id, PacketKind::Call(call.message)).await {
            Ok(()) => {
                if PENDING_CLEANUP_THRESHOLD <= self.pending.len() {
                    self.pending.retain(|_, reply| !reply.is_closed());
                }
                self.pending.insert(request_id, call.reply);
            }
            Err(kind) => drop(call.reply.send(Err(kind))),
        }
    }

    async fn send_reply(&mut self, reply: OutgoingReply<M>) {
        let OutgoingReply { to, request_id, message } = reply;
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
        let datagram = self.encode_with_proof(&packet).map_err(|_| TransportErrorKind::TooLarge)?;
        let sent = self.socket.send_to(&datagram, to).await;
        (self.on_event)(TransportEvent::Sent(datagram.len()));
        sent.map(drop).map_err(|_| TransportErrorKind::NotConnected)
    }

    fn encode_with_proof(&self, packet: &Packet<M>) -> io::Result<Vec<u8>> {
        let datagram = vec![0; DATAGRAM_PROOF_BYTES];
        let mut datagram = postcard::to_extend(packet, datagram).map_err(io::Error::other)?;
        if DATAGRAM_LIMIT_BYTES < datagram.len() {
            return Err(io::ErrorKind::InvalidInput.into());
        }
        let proof = self.secret.datagram_proof(&datagram[DATAGRAM_PROOF_BYTES..]);
        datagram[..DATAGRAM_PROOF_BYTES].copy_from_slice(&proof);
        Ok(datagram)
    }
}
