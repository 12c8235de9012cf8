//! Holds back what follows a request of an admin connection until the answer is written.

use {
    std::{
        cell::{Cell, RefCell},
        task::{Context, Waker},
    },
    tokio::sync::Notify,
};

/// Holds back what follows a request of an admin connection until the answer is written. The HTTP service would otherwise
/// decode all requests that a client sends ahead and keep all answers that it does not read.
#[derive(Default)]
pub(crate) struct AnswerGate {
    is_closed: Cell<bool>,
    /// Whether a request that was read waits for its turn. Reading more would only lengthen the queue.
    is_awaited: Cell<bool>,
    opened: Notify,
    reader: RefCell<Option<Waker>>,
}

impl AnswerGate {
    /// Closes the gate because a complete request is being handled.
    pub(crate) fn close(&self) {
        self.is_closed.set(true);
    }

    /// Opens the gate because the answers so far are written.
    pub(crate) fn open(&self) {
        self.is_closed.set(false);
        self.opened.notify_waiters();
        self.wake_reader();
    }

    /// Waits until the answers so far are written.
    pub(crate) async fn pass(&self) {
        while self.is_closed.get() {
            self.is_awaited.set(true);
            self.opened.notified().await;
        }
        self.is_awaited.set(false);
        self.wake_reader();
    }

    /// Returns whether data may be read. If not, the reader is woken when it may.
    pub(crate) fn may_read(&self, cx: &Context<'_>) -> bool {
        let may_read = !self.is_closed.get() && !self.is_awaited.get();
        if !may_read {
            self.reader.replace(Some(cx.waker().clone()));
        }
        may_read
    }

    fn wake_reader(&self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }
}
