//! One connection's part in the budget of the process.

use {
    crate::{
        client_budget::ClientBudget,
        memory_budget::{ClientId, ClientState},
    },
    std::{cell::Cell, sync::Arc},
    tokio::sync::Notify,
};

/// Change of the held bytes below which the budget is not told.
const REPORTED_BYTES: usize = 4 * 1_024;
/// Amount of data that counts as progress. A client that sends a byte now and then makes none.
const PROGRESS_BYTES: usize = 16 * 1_024;

/// One connection's part in the budget of the process, until it is dropped.
#[derive(Debug)]
pub struct ClientGuard {
    budget: ClientBudget,
    id: ClientId,
    closer: Arc<Notify>,
    state: Cell<ClientState>,
    held: Cell<usize>,
    reported: Cell<usize>,
    /// Data since the last progress.
    moved: Cell<usize>,
}

/// One call in progress, until it is dropped.
#[derive(Debug)]
pub(crate) struct CallPermit<'a>(&'a ClientGuard);

impl ClientGuard {
    pub(crate) fn new(budget: ClientBudget, id: ClientId, closer: Arc<Notify>) -> Self {
        Self {
            budget,
            id,
            closer,
            state: Cell::new(ClientState::Head),
            held: Cell::new(0),
            reported: Cell::new(0),
            moved: Cell::new(0),
        }
    }

    /// Waits until the connection must be closed.
    pub async fn closed(&self) {
        self.closer.notified().await;
    }

    /// Sets what the connection waits for.
    pub fn set_state(&self, state: ClientState) {
        let before = self.state.replace(state);
        if before != state {
            self.budget.set_state(self.id, before, state);
        }
    }

    /// Returns what the connection waits for.
    pub fn state(&self) -> ClientState {
        self.state.get()
    }

    /// Records data that the client sent or took.
    pub fn moved(&self, bytes: usize) {
        self.moved.set(self.moved.get() + bytes);
        if self.moved.get() >= PROGRESS_BYTES {
            self.moved.set(0);
            self.budget.progress(self.id);
        }
    }

    /// Changes the bytes that are held for the client for one purpose.
    pub fn hold(&self, before: usize, after: usize) {
        let held = self.held.get().saturating_sub(before) + after;
        self.held.set(held);
        if held.abs_diff(self.reported.get()) >= REPORTED_BYTES {
            self.reported.set(held);
            self.budget.hold(self.id, held);
        }
    }

    /// Whether memory is short, so that nothing is held that is not needed.
    pub(crate) fn is_tight(&self) -> bool {
        self.budget.is_tight()
    }

    /// Begins a call; `None` if there are too many. Lets a connection that is closed for it end before it returns.
    pub(crate) async fn begin_call(&self) -> Option<CallPermit<'_>> {
        let (is_admitted, has_closed) = self.budget.begin_call(self.id);
        let permit = is_admitted.then(|| CallPermit(self));
        if has_closed {
            tokio::task::yield_now().await;
        }
        permit
    }
}

impl Drop for ClientGuard {
    fn drop(&mut self) {
        self.budget.remove(self.id, self.state.get());
    }
}

impl Drop for CallPermit<'_> {
    fn drop(&mut self) {
        self.0.budget.end_call(self.0.id);
    }
}
