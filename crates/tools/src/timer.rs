//! High-precision timer. The timer of the runtime has a resolution of only 1 ms.
//!
//! A dedicated thread keeps the pending deadlines in order. It sleeps until shortly before the next one and then spins,
//! because a sleeping thread wakes up tens of microseconds late.

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

/// Time before a deadline at which a thread stops sleeping and spins. The kernel adds up to 50 us of timer slack to a
/// sleep, and the wake-up itself takes some more time.
pub(crate) const SPIN_TIME: Duration = Duration::from_micros(150);

/// Handle of a timer thread, which ends when the last handle is dropped.
#[derive(Clone, Debug)]
pub struct PreciseTimer {
    thread: Arc<TimerThread>,
}

#[derive(Debug)]
struct TimerThread {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    queue: Mutex<Queue>,
    changed: Condvar,
    /// Incremented when a deadline earlier than all others is added, so that the spinning thread notices without taking
    /// the lock.
    generation: AtomicU64,
}

#[derive(Debug, Default)]
struct Queue {
    entries: BinaryHeap<Reverse<Entry>>,
    is_stopped: bool,
}

#[derive(Debug)]
struct Entry {
    deadline: Instant,
    wake: oneshot::Sender<()>,
}

impl PreciseTimer {
    /// Starts the timer thread.
    pub fn start() -> Self {
        let shared = Arc::<Shared>::default();
        let timer = Self { thread: Arc::new(TimerThread { shared: shared.clone() }) };
        thread::spawn(move || shared.run());
        timer
    }

    /// Waits until the given time.
    pub async fn sleep_until(&self, deadline: Instant) {
        if deadline <= Instant::now() {
            return;
        }
        let (wake, wake_rx) = oneshot::channel();
        self.thread.shared.add(Entry { deadline, wake });
        // The thread outlives every handle, so the sender is never dropped before it is used.
        let _ = wake_rx.await;
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add(&self, entry: Entry) {
        let mut queue = self.lock();
        let is_earliest = queue.entries.peek().is_none_or(|Reverse(first)| entry.deadline < first.deadline);
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
            while queue.entries.peek().is_some_and(|Reverse(first)| first.deadline <= now) {
                due.extend(queue.entries.pop());
            }
            let next = queue.entries.peek().map(|Reverse(first)| first.deadline);
            if !due.is_empty() {
                drop(queue);
                for Reverse(entry) in due.drain(..) {
                    // Sending fails if the sleep was cancelled.
                    let _ = entry.wake.send(());
                }
                continue;
            }
            if queue.is_stopped {
                return;
            }
            match next {
                None => drop(self.changed.wait(queue)),
                Some(at) if at - now > SPIN_TIME => drop(self.changed.wait_timeout(queue, at - now - SPIN_TIME)),
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

impl Drop for TimerThread {
    fn drop(&mut self) {
        self.shared.lock().is_stopped = true;
        self.shared.changed.notify_one();
    }
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.deadline == other.deadline
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
        self.deadline.cmp(&other.deadline)
    }
}
