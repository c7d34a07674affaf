//! A connection whose bytes and waits are told to the budget.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};

use futures::io::{AsyncRead, AsyncWrite};
use oxbowbend_core::memory::{Buffer, Kind, Phase, FIRST_BUFFER};

use crate::memory::{Charge, ConnectionHandle};

/// Bytes of a head that is being read; clones share them.
#[derive(Clone, Debug)]
pub(super) struct HeadCharge {
    handle: Arc<ConnectionHandle>,
    charge: Arc<Mutex<Option<(Charge, usize)>>>,
}

impl HeadCharge {
    pub(super) fn new(handle: Arc<ConnectionHandle>) -> HeadCharge {
        HeadCharge { handle, charge: Arc::default() }
    }

    /// Charges bytes that have been read while no request is in progress.
    fn read(&self, bytes: usize) -> io::Result<()> {
        match self.handle.phase() {
            Phase::Idle => self.handle.set_phase(Phase::Head),
            Phase::Head => {}
            // The bytes of a body are charged by whoever keeps them.
            Phase::Body | Phase::Running | Phase::Response => return Ok(()),
        }
        let mut held = self.charge.lock().expect("no panic under lock");
        let new = || (Charge::new(self.handle.clone(), Kind::Connections), 0);
        let (charge, read) = held.get_or_insert_with(new);
        *read += bytes;
        if *read > FIRST_BUFFER {
            self.handle.record_grown(Buffer::Read);
        }
        charge.grow(bytes).map_err(|e| io::Error::new(io::ErrorKind::OutOfMemory, e))
    }

    /// The head is complete: its bytes are the request's from now on. Returns how many were read.
    pub(super) fn take(&self) -> usize {
        let held = self.charge.lock().expect("no panic under lock").take();
        held.map_or(0, |(_, read)| read)
    }
}

/// A stream that tells the budget what is read and when writing has to wait.
pub(super) struct Watched<S> {
    stream: S,
    head: Option<HeadCharge>,
    is_blocked: bool,
}

impl<S> Watched<S> {
    pub(super) fn new(stream: S, head: Option<HeadCharge>) -> Watched<S> {
        Watched { stream, head, is_blocked: false }
    }

    fn note_wait(&mut self, is_blocked: bool) {
        if let Some(head) = self.head.as_ref().filter(|_| is_blocked != self.is_blocked) {
            head.handle.set_blocked(is_blocked);
        }
        self.is_blocked = is_blocked;
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Watched<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if let (Poll::Ready(Ok(n @ 1..)), Some(head)) = (&read, &self.head) {
            head.read(*n)?;
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Watched<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.note_wait(written.is_pending());
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
