//! The connection of a client, shared between its HTTP server and its requests.

use std::cell::RefCell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bamboocart_telemetry::traffic::{Direction, Purpose, count_bytes};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::retry_on_intr;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A timeout that makes a poll return immediately.
const NO_WAIT: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };

/// A TCP stream whose clones share the connection.
#[derive(Clone)]
pub struct ClientStream(Rc<RefCell<TcpStream>>);

impl ClientStream {
    /// Shares a stream.
    pub fn new(stream: TcpStream) -> Self {
        Self(Rc::new(RefCell::new(stream)))
    }

    /// Returns whether the client has closed the connection, or its side of it.
    ///
    /// It asks the operating system, since the event loop learns of it only with a later
    /// event. Returns `false` if the system cannot tell.
    pub fn has_closed(&self) -> bool {
        let stream = self.0.borrow();
        let mut sockets = [PollFd::new(&*stream, PollFlags::RDHUP)];
        let polled = retry_on_intr(|| poll(&mut sockets, Some(&NO_WAIT)));
        polled.is_ok_and(|closed| closed > 0)
    }

    /// Calls a closure with the stream, pinned.
    fn with<T>(&self, call: impl FnOnce(Pin<&mut TcpStream>) -> T) -> T {
        call(Pin::new(&mut self.0.borrow_mut()))
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = self.with(|stream| stream.poll_read(cx, buf));
        count_bytes(Purpose::Client, Direction::Received, buf.filled().len() - before);
        polled
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        count_written(self.with(|stream| stream.poll_write(cx, buf)))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        count_written(self.with(|stream| stream.poll_write_vectored(cx, bufs)))
    }

    fn is_write_vectored(&self) -> bool {
        self.0.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with(|stream| stream.poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with(|stream| stream.poll_shutdown(cx))
    }
}

/// Counts the bytes of a write.
fn count_written(polled: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
    if let Poll::Ready(Ok(bytes)) = polled {
        count_bytes(Purpose::Client, Direction::Sent, bytes);
    }
    polled
}
