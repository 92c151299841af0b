//! Control of an accepted connection, which a test can stall or reset.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU8, AtomicUsize, Ordering},
    },
    task::{Context, Poll, Waker},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

const OPEN: u8 = 0;
const STALLED: u8 = 1;
const RESET: u8 = 2;

/// The state of one accepted connection, shared by its socket and the fake's methods.
#[derive(Debug, Default)]
pub(crate) struct ConnectionControl {
    state: AtomicU8,
    requests_in_progress: AtomicUsize,
    wakers: Mutex<[Option<Waker>; 2]>,
}

impl ConnectionControl {
    /// Stops all reading and writing; the connection stays open.
    pub(crate) fn stall(&self) {
        let _ = self.state.compare_exchange(OPEN, STALLED, Ordering::SeqCst, Ordering::SeqCst);
    }

    /// Closes the connection with a TCP reset.
    pub(crate) fn reset(&self) {
        self.state.store(RESET, Ordering::SeqCst);
        let wakers =
            std::mem::take(&mut *self.wakers.lock().expect("the wakers' mutex is not poisoned"));
        wakers.into_iter().flatten().for_each(Waker::wake);
    }

    /// Whether no request is in progress.
    pub(crate) fn is_idle(&self) -> bool {
        self.requests_in_progress.load(Ordering::SeqCst) == 0
    }

    /// Counts a request as in progress until the guard is dropped.
    pub(crate) fn begin_request(self: &Arc<Self>) -> RequestGuard {
        self.requests_in_progress.fetch_add(1, Ordering::SeqCst);
        RequestGuard(self.clone())
    }

    fn poll_usable(&self, direction: usize, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The waker is stored before the state is read, so that no reset is missed.
        self.wakers.lock().expect("the wakers' mutex is not poisoned")[direction] =
            Some(cx.waker().clone());
        match self.state.load(Ordering::SeqCst) {
            OPEN => Poll::Ready(Ok(())),
            STALLED => Poll::Pending,
            _ => Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
        }
    }
}

/// Counts a request as in progress until dropped.
#[derive(Debug)]
pub(crate) struct RequestGuard(Arc<ConnectionControl>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.requests_in_progress.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A socket whose reads and writes are subject to its [`ConnectionControl`].
#[derive(Debug)]
pub(crate) struct ControlledSocket {
    socket: TcpStream,
    control: Arc<ConnectionControl>,
}

impl ControlledSocket {
    pub(crate) fn new(socket: TcpStream, control: Arc<ConnectionControl>) -> ControlledSocket {
        ControlledSocket { socket, control }
    }
}

impl Drop for ControlledSocket {
    fn drop(&mut self) {
        if self.control.state.load(Ordering::SeqCst) == RESET {
            // A zero linger time makes closing the socket send a TCP reset instead of a FIN.
            let _ = self.socket.set_zero_linger();
        }
    }
}

impl AsyncRead for ControlledSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        std::task::ready!(self.control.poll_usable(0, cx))?;
        Pin::new(&mut self.socket).poll_read(cx, buf)
    }
}

impl AsyncWrite for ControlledSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        std::task::ready!(self.control.poll_usable(1, cx))?;
        Pin::new(&mut self.socket).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        std::task::ready!(self.control.poll_usable(1, cx))?;
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        std::task::ready!(self.control.poll_usable(1, cx))?;
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
