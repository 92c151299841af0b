//! The HTTP/1.1 server that each fake runs on.

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
    connection_control::{ConnectionControl, ControlledSocket},
    response::{GuardedBody, ResponseBody},
};

type ServeConnection = dyn Fn(TcpStream) -> Connection + Send + Sync;

/// An accepted connection.
struct Connection {
    control: Weak<ConnectionControl>,
    task: AbortHandle,
    has_ended: Arc<AtomicBool>,
}

impl Connection {
    fn is_established(&self) -> bool {
        !self.has_ended.load(Ordering::SeqCst)
    }
}

/// Listens on a loopback port and passes each request to a handler.
pub(crate) struct FakeServer {
    address: SocketAddr,
    serve: Arc<ServeConnection>,
    connections: Arc<Mutex<Vec<Connection>>>,
    listener: Mutex<Option<JoinHandle<()>>>,
    changes: Arc<watch::Sender<u64>>,
}

impl FakeServer {
    /// Binds a loopback port and serves it; must be called inside a tokio runtime.
    pub(crate) fn start<H, F>(handler: H) -> io::Result<FakeServer>
    where
        H: Fn(Request<Incoming>, Arc<ConnectionControl>) -> F + Send + Sync + 'static,
        F: Future<Output = Response<ResponseBody>> + Send + 'static,
    {
        let listener = bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let address = listener.local_addr()?;
        let handler = Arc::new(handler);
        let changes = Arc::new(watch::Sender::new(0));
        let end_changes = changes.clone();
        let serve: Arc<ServeConnection> =
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

    /// Stops reading and writing on all established connections, or with `idle_only` on those
    /// without a request in progress.
    pub(crate) fn stall_connections(&self, idle_only: bool) {
        self.for_each_connection(|control| {
            if !idle_only || control.is_idle() {
                control.stall();
            }
        });
    }

    /// Resets every established connection.
    pub(crate) fn reset_connections(&self) {
        self.for_each_connection(ConnectionControl::reset);
    }

    /// Returns the number of established connections.
    pub(crate) fn connection_count(&self) -> usize {
        let mut connections = self.connections();
        connections.retain(Connection::is_established);
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
        let listener = self.listener.lock().expect("the listener's mutex is not poisoned").take();
        if let Some(task) = listener {
            task.abort();
            let _ = task.await;
        }
    }

    /// Listens again on the same port after [`Self::refuse_connections`].
    pub(crate) fn accept_connections(&self) -> io::Result<()> {
        if self.listener.lock().expect("the listener's mutex is not poisoned").is_none() {
            self.listen(bind(self.address)?);
        }
        Ok(())
    }

    /// Stops listening and closes every connection.
    pub(crate) fn stop(&self) {
        if let Some(task) =
            self.listener.lock().expect("the listener's mutex is not poisoned").take()
        {
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
                let mut connections =
                    connections.lock().expect("the connection list's mutex is not poisoned");
                connections.retain(Connection::is_established);
                connections.push(connection);
                drop(connections);
                changes.send_modify(|count| *count += 1);
            }
        });
        *self.listener.lock().expect("the listener's mutex is not poisoned") = Some(task);
    }

    fn for_each_connection(&self, action: impl Fn(&ConnectionControl)) {
        for connection in self.connections().iter() {
            if let Some(control) = connection.control.upgrade() {
                action(&control);
            }
        }
    }

    fn connections(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.connections.lock().expect("the connection list's mutex is not poisoned")
    }
}

impl Drop for FakeServer {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Marks the connection as ended when dropped, and notifies waiters.
struct ConnectionEndGuard {
    has_ended: Arc<AtomicBool>,
    changes: Arc<watch::Sender<u64>>,
}

impl Drop for ConnectionEndGuard {
    fn drop(&mut self) {
        self.has_ended.store(true, Ordering::SeqCst);
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
) -> Connection
where
    H: Fn(Request<Incoming>, Arc<ConnectionControl>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let _ = socket.set_nodelay(true);
    let control = Arc::new(ConnectionControl::default());
    let weak_control = Arc::downgrade(&control);
    let io = TokioIo::new(ControlledSocket::new(socket, control.clone()));
    let service = service_fn(move |request| {
        let guard = control.begin_request();
        let response = handler(request, control.clone());
        async move {
            let response = response.await;
            Ok::<_, Infallible>(response.map(|body| GuardedBody::new(body, guard)))
        }
    });
    let has_ended = Arc::new(AtomicBool::new(false));
    let guard = ConnectionEndGuard { has_ended: has_ended.clone(), changes };
    let task = tokio::spawn(async move {
        // Declared first so that it is dropped after the connection.
        let _guard = guard;
        if let Err(error) = http1::Builder::new().serve_connection(io, service).await {
            log::debug!("fakes: connection ended: {error}");
        }
    });
    Connection { control: weak_control, task: task.abort_handle(), has_ended }
}
