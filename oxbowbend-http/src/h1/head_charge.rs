//! A connection whose bytes and waits are told to the budget.

use std::io;
use std::sync::{Arc, Mutex};
use std::task::Poll;

use oxbowbend_core::memory::{Buffer, Kind, Phase, FIRST_BUFFER};

use super::observed::Observer;
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

/// Tells the budget what is read and when writing has to wait.
pub(super) struct BudgetObserver {
    head: HeadCharge,
    is_blocked: bool,
}

impl BudgetObserver {
    pub(super) fn new(head: HeadCharge) -> BudgetObserver {
        BudgetObserver { head, is_blocked: false }
    }
}

impl Observer for BudgetObserver {
    fn after_read(&mut self, bytes: usize) -> io::Result<()> {
        match bytes {
            0 => Ok(()),
            n => self.head.read(n),
        }
    }

    fn after_write(&mut self, written: &Poll<io::Result<usize>>) {
        let was_blocked = std::mem::replace(&mut self.is_blocked, written.is_pending());
        if was_blocked != self.is_blocked {
            self.head.handle.set_blocked(self.is_blocked);
        }
    }
}
