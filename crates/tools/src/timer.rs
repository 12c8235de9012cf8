//! A timer that is far more precise than the 1 ms of the runtime's own.
//!
//! One thread per process holds the pending times in order. It sleeps until shortly before the next one
//! and spins for the rest, because a sleeping thread is woken tens of microseconds late.

use {
    std::{
        cmp::Reverse,
        collections::BinaryHeap,
        sync::{
            Arc, Condvar, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
    tokio::sync::oneshot,
};

/// Time before a deadline at which the thread stops sleeping. The kernel adds up to 50 us of timer slack
/// to a sleep and a wake-up takes some time more.
pub(crate) const SPIN: Duration = Duration::from_micros(150);

/// Handle of the timer thread, which ends when the last handle is dropped.
#[derive(Clone, Debug)]
pub struct PreciseTimer {
    owner: Arc<Owner>,
}

#[derive(Debug)]
struct Owner {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    queue: Mutex<Queue>,
    changed: Condvar,
    /// Rises when an earlier deadline than all others is added, so that the spinning thread sees it
    /// without taking the lock.
    generation: AtomicU64,
}

#[derive(Debug, Default)]
struct Queue {
    entries: BinaryHeap<Reverse<Entry>>,
    is_stopped: bool,
}

#[derive(Debug)]
struct Entry {
    at: Instant,
    wake: oneshot::Sender<()>,
}

impl PreciseTimer {
    /// Starts the timer thread.
    pub fn start() -> Self {
        let shared = Arc::<Shared>::default();
        let timer = Self { owner: Arc::new(Owner { shared: shared.clone() }) };
        thread::spawn(move || shared.run());
        timer
    }

    /// Waits until a time.
    pub async fn sleep_until(&self, at: Instant) {
        if at <= Instant::now() {
            return;
        }
        let (wake, woken) = oneshot::channel();
        self.owner.shared.add(Entry { at, wake });
        // The thread outlives every handle, so that the sender is dropped only after it was used.
        let _ = woken.await;
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add(&self, entry: Entry) {
        let mut queue = self.lock();
        let is_earliest = queue.entries.peek().is_none_or(|Reverse(first)| entry.at < first.at);
        queue.entries.push(Reverse(entry));
        drop(queue);
        if is_earliest {
            self.generation.fetch_add(1, Ordering::Release);
            self.changed.notify_one();
        }
    }

    fn run(&self) {
        let mut due = Vec::new();
        loop {
            let mut queue = self.lock();
            let now = Instant::now();
            while queue.entries.peek().is_some_and(|Reverse(first)| first.at <= now) {
                due.extend(queue.entries.pop());
            }
            let next = queue.entries.peek().map(|Reverse(first)| first.at);
            if !due.is_empty() {
                drop(queue);
                for Reverse(entry) in due.drain(..) {
                    // A cancelled sleep has dropped its receiver.
                    let _ = entry.wake.send(());
                }
                continue;
            }
            if queue.is_stopped {
                return;
            }
            match next {
                None => drop(self.changed.wait(queue)),
                Some(at) if at - now > SPIN => drop(self.changed.wait_timeout(queue, at - now - SPIN)),
                Some(at) => {
                    let generation = self.generation.load(Ordering::Acquire);
                    drop(queue);
                    while Instant::now() < at && self.generation.load(Ordering::Acquire) == generation {
                        std::hint::spin_loop();
                    }
                }
            }
        }
    }
}

impl Drop for Owner {
    fn drop(&mut self) {
        self.shared.lock().is_stopped = true;
        self.shared.changed.notify_one();
    }
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.at == other.at
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.cmp(&other.at)
    }
}
