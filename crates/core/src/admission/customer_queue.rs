//! Queue of the waiting calls of one customer.

use {
    super::QueuedCall,
    crate::ids::{CallId, CustomerId},
    std::collections::VecDeque,
};

/// Waiting calls of one customer of a service.
#[derive(Debug, Default)]
pub(super) struct CustomerQueue {
    pub(super) customer: CustomerId,
    pub(super) weight: f64,
    pub(super) deficit: f64,
    /// Whether the customer is in the round-robin rotation.
    pub(super) is_in_rotation: bool,
    lookups: VecDeque<QueuedCall>,
    uploads: VecDeque<QueuedCall>,
    /// Slot time given to uploads beyond that given to look-ups while both were waiting.
    upload_lead: f64,
}

impl CustomerQueue {
    pub(super) fn len(&self) -> usize {
        self.lookups.len() + self.uploads.len()
    }

    pub(super) fn push_back(&mut self, queued: QueuedCall) {
        self.queue(queued.upload).push_back(queued);
    }

    /// Returns whether the next call is an upload, or `None` if no call may be taken. Uploads and look-ups of
    /// a customer get equal slot time while both wait, so that a batch of uploads does not delay the
    /// look-ups.
    pub(super) fn next_is_upload(&self, with_uploads: bool) -> Option<bool> {
        match (self.lookups.is_empty(), self.uploads.is_empty() || !with_uploads) {
            (true, true) => None,
            (false, true) => Some(false),
            (true, false) => Some(true),
            (false, false) => Some(self.upload_lead < 0.0),
        }
    }

    pub(super) fn pop(&mut self, upload: bool, cost: f64) -> Option<QueuedCall> {
        let queued = self.queue(upload).pop_front()?;
        if self.lookups.is_empty() || self.uploads.is_empty() {
            self.upload_lead = 0.0;
        } else {
            self.upload_lead += if upload { cost } else { -cost };
        }
        Some(queued)
    }

    pub(super) fn remove(&mut self, call: CallId, upload: bool) -> bool {
        let queue = self.queue(upload);
        let position = queue.iter().position(|queued| queued.call == call);
        position.is_some_and(|position| queue.remove(position).is_some())
    }

    fn queue(&mut self, upload: bool) -> &mut VecDeque<QueuedCall> {
        if upload { &mut self.uploads } else { &mut self.lookups }
    }

    pub(super) fn drain(&mut self) -> impl Iterator<Item = QueuedCall> + '_ {
        self.lookups.drain(..).chain(self.uploads.drain(..))
    }
}
