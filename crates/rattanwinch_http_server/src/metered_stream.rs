use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;

use crate::connection_table::TableEntry;
use crate::port_state::PortState;

/// A connection's socket, which tells the sweeper what arrives. It is dropped with the connection,
/// also after an upgrade to another protocol.
#[derive(Debug)]
pub(crate) struct MeteredStream {
    pub(crate) socket: TcpStream,
    pub(crate) port: Arc<PortState>,
    pub(crate) entry: TableEntry,
    pub(crate) _permit: OwnedSemaphorePermit,
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let poll = Pin::new(&mut self.socket).poll_read(cx, buf);
        let received = buf.filled().len() - before;
        if received > 0 {
            self.entry
                .connection
                .add_received(received, self.port.now());
        }
        poll
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.socket).poll_write(cx, buf);
        self.note_sent(&poll);
        poll
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.socket).poll_write_vectored(cx, bufs);
        self.note_sent(&poll);
        poll
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

impl MeteredStream {
    fn note_sent(&self, poll: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(1..)) = poll {
            self.entry.connection.set_active(self.port.now());
        }
    }
}
