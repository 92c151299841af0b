//! TCP connections between instances and the calls over them.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use redwinglatch_core::{Incarnation, InstanceId, RefusalReason};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};

use crate::connection::{FrameReader, PING_INTERVAL, write_bytes};
use crate::frame::encode_frame;
use crate::handshake::{SharedSecret, accept_handshake, connect_handshake};
use crate::transport_event::OnEvent;
use crate::{TransportError, TransportErrorKind, TransportEvent};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after a failed connection attempt during which messages fail immediately.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
const QUEUE_CAPACITY: usize = 1024;
/// Size at which queued frames are written instead of batching further ones.
const WRITE_BATCH_BYTES: usize = 64 * 1024;

/// The identity, addresses, secret and limits of an instance's transport.
#[derive(Debug, Clone)]
pub struct TransportSettings {
    /// The id of this instance.
    pub instance: InstanceId,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The addresses of the other instances.
    pub addresses: HashMap<InstanceId, SocketAddr>,
    /// The secret shared by the instances.
    pub secret: SharedSecret,
    /// Maximum number of accepted connections that are open at once.
    pub max_connections: usize,
}

/// A message from another instance.
#[derive(Debug)]
pub struct IncomingMessage<M> {
    /// The sending instance.
    pub from: InstanceId,
    /// The incarnation of the sending process.
    pub incarnation: Incarnation,
    /// The message.
    pub message: M,
    /// Takes the reply, if the sender waits for one.
    pub reply: Option<oneshot::Sender<M>>,
}

#[derive(Serialize, Deserialize)]
enum Envelope<M> {
    Ping,
    OneWay(M),
    Call { request_id: u64, message: M },
    Reply { request_id: u64, message: M },
}

struct OutgoingMessage<M> {
    message: M,
    reply: Option<oneshot::Sender<Result<M, TransportErrorKind>>>,
}

/// Sends messages to the other instances; cheap to clone.
#[derive(Debug)]
pub struct Transport<M> {
    peers: Arc<HashMap<InstanceId, mpsc::Sender<OutgoingMessage<M>>>>,
}

impl<M> Clone for Transport<M> {
    fn clone(&self) -> Transport<M> {
        Transport { peers: self.peers.clone() }
    }
}

impl<M: Serialize + DeserializeOwned + Send + Sync + 'static> Transport<M> {
    /// Starts the tasks that accept and open connections.
    ///
    /// Messages from other instances are sent to `incoming`; `on_refused` is called for each
    /// refused connection.
    pub fn start(
        settings: TransportSettings,
        listener: TcpListener,
        incoming: mpsc::Sender<IncomingMessage<M>>,
        on_refused: impl Fn(RefusalReason) + Send + Sync + 'static,
    ) -> Transport<M> {
        Transport::start_with_events(settings, listener, incoming, move |event| {
            if let TransportEvent::Refused(reason) = event {
                on_refused(reason);
            }
        })
    }

    /// Like [`Transport::start`], but `on_event` also receives the number of bytes sent and
    /// received on all connections.
    pub fn start_with_events(
        settings: TransportSettings,
        listener: TcpListener,
        incoming: mpsc::Sender<IncomingMessage<M>>,
        on_event: impl Fn(TransportEvent) + Send + Sync + 'static,
    ) -> Transport<M> {
        let settings = Arc::new(settings);
        let on_event: OnEvent = Arc::new(on_event);
        let peers = settings
            .addresses
            .iter()
            .filter(|(instance, _)| **instance != settings.instance)
            .map(|(&instance, &address)| {
                let (sender, queue) = mpsc::channel(QUEUE_CAPACITY);
                tokio::spawn(run_peer(
                    settings.clone(),
                    instance,
                    address,
                    queue,
                    on_event.clone(),
                ));
                (instance, sender)
            })
            .collect();
        tokio::spawn(accept_connections(settings, listener, incoming, on_event));
        Transport { peers: Arc::new(peers) }
    }

    /// Sends `message` and waits for the reply.
    ///
    /// # Errors
    ///
    /// Fails when the instance can't be reached or does not reply within `time_limit`; the error's
    /// kind tells whether the message may have been handled.
    pub async fn call(
        &self,
        to: InstanceId,
        message: M,
        time_limit: Duration,
    ) -> Result<M, TransportError> {
        let error = |kind| TransportError { to, kind };
        let (reply, receiver) = oneshot::channel();
        self.enqueue(to, OutgoingMessage { message, reply: Some(reply) }).map_err(error)?;
        match timeout(time_limit, receiver).await {
            Ok(Ok(Ok(reply))) => Ok(reply),
            Ok(Ok(Err(kind))) => Err(error(kind)),
            Ok(Err(_)) => Err(error(TransportErrorKind::ConnectionLost)),
            Err(_) => Err(error(TransportErrorKind::TimedOut)),
        }
    }

    /// Queues `message` without waiting for a reply; it may be lost.
    pub fn send(&self, to: InstanceId, message: M) {
        // Senders of one-way messages repeat them, so a full queue may drop a message.
        let _ = self.enqueue(to, OutgoingMessage { message, reply: None });
    }

    fn enqueue(
        &self,
        to: InstanceId,
        outgoing: OutgoingMessage<M>,
    ) -> Result<(), TransportErrorKind> {
        let queue = self.peers.get(&to).ok_or(TransportErrorKind::UnknownInstance)?;
        queue.try_send(outgoing).map_err(|_| TransportErrorKind::QueueFull)
    }
}

/// Maintains the outgoing connection to one instance.
async fn run_peer<M: Serialize + DeserializeOwned + Send + 'static>(
    settings: Arc<TransportSettings>,
    instance: InstanceId,
    address: SocketAddr,
    mut queue: mpsc::Receiver<OutgoingMessage<M>>,
    on_event: OnEvent,
) {
    let mut failed_at: Option<Instant> = None;
    while let Some(first_message) = queue.recv().await {
        if failed_at.is_some_and(|at| at.elapsed() < RECONNECT_DELAY) {
            fail_call(first_message, TransportErrorKind::NotConnected);
            continue;
        }
        match open_connection(&settings, address, &on_event).await {
            Ok((stream, reader)) => {
                failed_at = None;
                let error = run_connection(stream, reader, first_message, &mut queue).await;
                log::info!("instances: connection to instance {instance} ended: {error}");
            }
            Err(error) => {
                log::debug!("instances: cannot connect to instance {instance}: {error}");
                failed_at = Some(Instant::now());
                fail_call(first_message, TransportErrorKind::NotConnected);
            }
        }
    }
}

async fn open_connection(
    settings: &TransportSettings,
    address: SocketAddr,
    on_event: &OnEvent,
) -> io::Result<(TcpStream, FrameReader)> {
    let mut stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let mut reader = FrameReader::new(on_event.clone());
    let handshake = connect_handshake(
        &mut reader,
        &mut stream,
        &settings.secret,
        settings.instance,
        settings.incarnation,
    );
    timeout(HANDSHAKE_TIMEOUT, handshake).await??;
    Ok((stream, reader))
}

/// Sends queued messages and returns replies to their callers until the connection fails.
async fn run_connection<M: Serialize + DeserializeOwned>(
    stream: TcpStream,
    mut reader: FrameReader,
    first_message: OutgoingMessage<M>,
    queue: &mut mpsc::Receiver<OutgoingMessage<M>>,
) -> io::Error {
    let (mut read_half, mut write_half) = stream.into_split();
    let mut pending = HashMap::new();
    let mut next_request_id = 0;
    let mut pings = ping_interval();
    let mut frames = Vec::new();
    let mut next_message = Some(first_message);
    loop {
        while let Some(outgoing) = next_message {
            append_outgoing(&mut frames, outgoing, &mut pending, &mut next_request_id);
            next_message =
                if frames.len() < WRITE_BATCH_BYTES { queue.try_recv().ok() } else { None };
        }
        if !frames.is_empty() {
            if let Err(error) = write_bytes(&mut write_half, &frames, reader.on_event()).await {
                return error;
            }
            frames.clear();
        }
        tokio::select! {
            envelope = reader.read::<Envelope<M>>(&mut read_half) => match envelope {
                Ok(Envelope::Reply { request_id, message }) => {
                    if let Some(reply) = pending.remove(&request_id) {
                        let reply: oneshot::Sender<Result<M, TransportErrorKind>> = reply;
                        let _ = reply.send(Ok(message));
                    }
                }
                Ok(_) => {}
                Err(error) => return error,
            },
            outgoing = queue.recv() => match outgoing {
                Some(outgoing) => next_message = Some(outgoing),
                None => return io::ErrorKind::ConnectionAborted.into(),
            },
            _ = pings.tick() => {
                // Callers that timed out leave closed channels behind.
                pending.retain(|_, reply| !reply.is_closed());
                frames = encode_frame(&Envelope::<M>::Ping).unwrap_or_default();
            }
        }
    }
}

fn append_outgoing<M: Serialize>(
    frames: &mut Vec<u8>,
    outgoing: OutgoingMessage<M>,
    pending: &mut HashMap<u64, oneshot::Sender<Result<M, TransportErrorKind>>>,
    next_request_id: &mut u64,
) {
    let OutgoingMessage { message, reply } = outgoing;
    let envelope = match reply {
        None => Envelope::OneWay(message),
        Some(reply) => {
            if reply.is_closed() {
                return;
            }
            let request_id = *next_request_id;
            *next_request_id += 1;
            pending.insert(request_id, reply);
            Envelope::Call { request_id, message }
        }
    };
    match encode_frame(&envelope) {
        Ok(frame) => frames.extend_from_slice(&frame),
        Err(error) => log::error!("instances: dropped a message that cannot be encoded: {error}"),
    }
}

fn fail_call<M>(outgoing: OutgoingMessage<M>, kind: TransportErrorKind) {
    if let Some(reply) = outgoing.reply {
        let _ = reply.send(Err(kind));
    }
}

async fn accept_connections<M: Serialize + DeserializeOwned + Send + Sync + 'static>(
    settings: Arc<TransportSettings>,
    listener: TcpListener,
    incoming: mpsc::Sender<IncomingMessage<M>>,
    on_event: OnEvent,
) {
    let permits = Arc::new(Semaphore::new(settings.max_connections));
    while !incoming.is_closed() {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = incoming.closed() => return,
        };
        let Ok((stream, peer)) = accepted else {
            // For example, no file descriptor is free; an immediate retry would spin.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            on_event(TransportEvent::Refused(RefusalReason::TooManyConnections));
            continue;
        };
        let settings = settings.clone();
        let incoming = incoming.clone();
        let on_event = on_event.clone();
        tokio::spawn(async move {
            let error = serve_connection(&settings, stream, incoming, &on_event).await;
            log::debug!("instances: connection from {peer} ended: {error}");
            drop(permit);
        });
    }
}

async fn serve_connection<M: Serialize + DeserializeOwned + Send + 'static>(
    settings: &TransportSettings,
    mut stream: TcpStream,
    incoming: mpsc::Sender<IncomingMessage<M>>,
    on_event: &OnEvent,
) -> io::Error {
    let _ = stream.set_nodelay(true);
    let mut reader = FrameReader::new(on_event.clone());
    let handshake = accept_handshake(&mut reader, &mut stream, &settings.secret);
    let (from, incarnation) = match timeout(HANDSHAKE_TIMEOUT, handshake).await {
        Ok(Ok(identity)) => identity,
        Ok(Err(error)) => {
            on_event(TransportEvent::Refused(RefusalReason::Unauthenticated));
            return error;
        }
        Err(_) => {
            on_event(TransportEvent::Refused(RefusalReason::Unauthenticated));
            return io::ErrorKind::TimedOut.into();
        }
    };
    let (mut read_half, mut write_half) = stream.into_split();
    let (replies, mut reply_queue) = mpsc::channel::<Vec<u8>>(QUEUE_CAPACITY);
    let mut pings = ping_interval();
    loop {
        let frames = tokio::select! {
            envelope = reader.read::<Envelope<M>>(&mut read_half) => {
                let (message, request_id) = match envelope {
                    Ok(Envelope::OneWay(message)) => (message, None),
                    Ok(Envelope::Call { request_id, message }) => (message, Some(request_id)),
                    Ok(Envelope::Ping | Envelope::Reply { .. }) => continue,
                    Err(error) => return error,
                };
                let reply = request_id.map(|request_id| reply_channel(request_id, replies.clone()));
                if incoming
                    .send(IncomingMessage { from, incarnation, message, reply })
                    .await
                    .is_err()
                {
                    return io::ErrorKind::ConnectionAborted.into();
                }
                continue;
            }
            Some(frames) = reply_queue.recv() => frames,
            _ = pings.tick() => encode_frame(&Envelope::<M>::Ping).unwrap_or_default(),
        };
        if let Err(error) = write_bytes(&mut write_half, &frames, reader.on_event()).await {
            return error;
        }
    }
}

/// Creates a channel whose message is sent as the reply to `request_id`.
fn reply_channel<M: Serialize + Send + 'static>(
    request_id: u64,
    replies: mpsc::Sender<Vec<u8>>,
) -> oneshot::Sender<M> {
    let (reply, receiver) = oneshot::channel();
    tokio::spawn(async move {
        let Ok(message) = receiver.await else { return };
        match encode_frame(&Envelope::Reply { request_id, message }) {
            // The connection may have ended in the meantime; then the caller times out.
            Ok(frame) => drop(replies.send(frame).await),
            Err(error) => log::error!("instances: dropped a reply that cannot be encoded: {error}"),
        }
    });
    reply
}

fn ping_interval() -> tokio::time::Interval {
    let mut pings = interval(PING_INTERVAL);
    pings.set_missed_tick_behavior(MissedTickBehavior::Delay);
    pings
}
