//! Even distribution of the callers' connections among the workers of an instance.

use {
    std::{
        net::{SocketAddr, TcpStream},
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
    },
    tokio::sync::mpsc,
};

/// A connection that another worker accepted and handed over.
pub(crate) type HandedOver = (TcpStream, SocketAddr, ConnectionCount);

/// One worker's part in balancing accepted connections.
///
/// All workers accept from one listener, and whichever wakes up first gets the connection. As connections are
/// long-lived, chance would decide for a long time which worker carries most of the calls. A worker therefore hands a
/// new connection over to the worker with the fewest connections.
#[derive(Debug)]
pub struct WorkerBalancer {
    index: usize,
    counts: Arc<[AtomicUsize]>,
    workers: Vec<mpsc::UnboundedSender<HandedOver>>,
    pub(crate) received: mpsc::UnboundedReceiver<HandedOver>,
}

/// Counts one connection of a worker until it is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionCount {
    counts: Arc<[AtomicUsize]>,
    worker: usize,
}

impl WorkerBalancer {
    /// Creates the balancers for all workers of an instance.
    ///
    /// ```
    /// assert_eq!(hemlockford_proxy::WorkerBalancer::for_workers(2).len(), 2);
    /// ```
    pub fn for_workers(workers: usize) -> Vec<Self> {
        let counts: Arc<[_]> = (0..workers).map(|_| AtomicUsize::new(0)).collect();
        let (senders, receivers): (Vec<_>, Vec<_>) = (0..workers).map(|_| mpsc::unbounded_channel()).unzip();
        let ends = receivers.into_iter().enumerate();
        ends.map(|(index, received)| Self { index, counts: counts.clone(), workers: senders.clone(), received })
            .collect()
    }

    /// Counts a connection of this worker.
    pub(crate) fn count_own(&self) -> ConnectionCount {
        self.count_for(self.index)
    }

    /// Returns the channel to the worker with the fewest connections, unless this worker has as few.
    pub(crate) fn less_loaded(&self) -> Option<(&mpsc::UnboundedSender<HandedOver>, ConnectionCount)> {
        let count = |worker: usize| self.counts[worker].load(Ordering::Relaxed);
        let least_loaded = (0..self.counts.len()).min_by_key(|worker| count(*worker))?;
        let is_less = count(least_loaded) < count(self.index);
        is_less.then(|| (&self.workers[least_loaded], self.count_for(least_loaded)))
    }

    fn count_for(&self, worker: usize) -> ConnectionCount {
        self.counts[worker].fetch_add(1, Ordering::Relaxed);
        ConnectionCount { counts: self.counts.clone(), worker }
    }
}

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        self.counts[self.worker].fetch_sub(1, Ordering::Relaxed);
    }
}
