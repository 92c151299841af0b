//! The HTTP/1.1 server under each fake.

use std::{
    convert::Infallible,
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex, MutexGuard, Weak,
        atomic::{AtomicBool, Ordering},
    },
};

use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::{AbortHandle, JoinHandle},
};

use crate::{
    answer::{AnswerBody, GuardedBody},
    link::{Link, LinkedSocket},
};

type Serve = dyn Fn(TcpStream) -> Accepted + Send + Sync;

/// An accepted connection.
struct Accepted {
    link: Weak<Link>,
    task: AbortHandle,
    ended: Arc<AtomicBool>,
}

impl Accepted {
    fn is_established(&self) -> bool {
        !self.ended.load(Ordering::SeqCst)
    }
}

/// Listens on a loopback port and hands each request to a handler.
pub(crate) struct FakeServer {
    address: SocketAddr,
    serve: Arc<Serve>,
    connections: Arc<Mutex<Vec<Accepted>>>,
    listener: Mutex<Option<JoinHandle<()>>>,
    changes: Arc<watch::Sender<u64>>,
}

impl FakeServer {
    /// Binds a loopback port and serves it; must be called inside a tokio runtime.
    pub(crate) fn start<H, F>(handler: H) -> io::Result<FakeServer>
    where
        H: Fn(Request<Incoming>, Arc<Link>) -> F + Send + Sync + 'static,
        F: Future<Output = Response<AnswerBody>> + Send + 'static,
    {
        let listener = bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let address = listener.local_addr()?;
        let handler = Arc::new(handler);
        let changes = Arc::new(watch::Sender::new(0));
        let end_changes = changes.clone();
        let serve: Arc<Serve> =
            Arc::new(move |socket| serve_connection(socket, handler.clone(), end_changes.clone()));
        let server = FakeServer {
            address,
            serve,
            connections: Arc::default(),
            listener: Mutex::new(None),
            changes,
        };
        server.listen(listener);
        Ok(server)
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Silences every established connection; with `idle_only`, those without a request.
    pub(crate) fn go_silent(&self, idle_only: bool) {
        self.each_link(|link| {
            if !idle_only || link.is_idle() {
                link.go_silent();
            }
        });
    }

    /// Resets every established connection.
    pub(crate) fn reset_connections(&self) {
        self.each_link(Link::reset);
    }

    /// How many connections are established.
    pub(crate) fn connection_count(&self) -> usize {
        let mut connections = self.connections();
        connections.retain(Accepted::is_established);
        connections.len()
    }

    /// Waits until `count` connections are established.
    pub(crate) async fn wait_for_connections(&self, count: usize) {
        let mut changes = self.changes.subscribe();
        loop {
            changes.borrow_and_update();
            if self.connection_count() == count || changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Closes the listening socket, so that new connections are refused.
    pub(crate) async fn refuse_connections(&self) {
        let listener = self.listener.lock().expect("the listener's lock is sound").take();
        if let Some(task) = listener {
            task.abort();
            let _ = task.await;
        }
    }

    /// Listens again on the same port after [`Self::refuse_connections`].
    pub(crate) fn accept_connections(&self) -> io::Result<()> {
        if self.listener.lock().expect("the listener's lock is sound").is_none() {
            self.listen(bind(self.address)?);
        }
        Ok(())
    }

    /// Stops listening and closes every connection.
    pub(crate) fn stop(&self) {
        if let Some(task) = self.listener.lock().expect("the listener's lock is sound").take() {
            task.abort();
        }
        for connection in self.connections().drain(..) {
            connection.task.abort();
        }
    }

    fn listen(&self, listener: TcpListener) {
        let serve = self.serve.clone();
        let connections = self.connections.clone();
        let changes = self.changes.clone();
        let task = tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let connection = serve(socket);
                let mut connections = connections.lock().expect("the list's lock is sound");
                connections.retain(Accepted::is_established);
                connections.push(connection);
                drop(connections);
                changes.send_modify(|count| *count += 1);
            }
        });
        *self.listener.lock().expect("the listener's lock is sound") = Some(task);
    }

    fn each_link(&self, action: impl Fn(&Link)) {
        for connection in self.connections().iter() {
            if let Some(link) = connection.link.upgrade() {
                action(&link);
            }
        }
    }

    fn connections(&self) -> MutexGuard<'_, Vec<Accepted>> {
        self.connections.lock().expect("the list's lock is sound")
    }
}

impl Drop for FakeServer {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Notes the end of a connection when dropped.
struct EndGuard {
    ended: Arc<AtomicBool>,
    changes: Arc<watch::Sender<u64>>,
}

impl Drop for EndGuard {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::SeqCst);
        self.changes.send_modify(|count| *count += 1);
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

fn serve_connection<H, F>(
    socket: TcpStream,
    handler: Arc<H>,
    changes: Arc<watch::Sender<u64>>,
) -> Accepted
where
    H: Fn(Request<Incoming>, Arc<Link>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<AnswerBody>> + Send + 'static,
{
    let _ = socket.set_nodelay(true);
    let link = Arc::new(Link::default());
    let weak = Arc::downgrade(&link);
    let io = TokioIo::new(LinkedSocket::new(socket, link.clone()));
    let service = service_fn(move |request| {
        let guard = link.begin_request();
        let answer = handler(request, link.clone());
        async move {
            let answer = answer.await;
            Ok::<_, Infallible>(answer.map(|body| GuardedBody::new(body, guard)))
        }
    });
    let ended = Arc::new(AtomicBool::new(false));
    let guard = EndGuard { ended: ended.clone(), changes };
    let task = tokio::spawn(async move {
        // Declared first, so that it is dropped after the connection.
        let _guard = guard;
        if let Err(error) = http1::Builder::new().serve_connection(io, service).await {
            log::debug!("fakes: connection ended: {error}");
        }
    });
    Accepted { link: weak, task: task.abort_handle(), ended }
}
