//! Timer service.
//!
//! Components subscribe to a period and receive the time of each tick as a message. One task handles all subscriptions
//! of a thread, so that components do not need their own timers and tests can send ticks directly.

use {
    std::time::{Duration, Instant},
    tokio::sync::mpsc,
};

/// Handle to subscribe to ticks.
#[derive(Clone, Debug)]
pub struct Timer {
    tx: mpsc::UnboundedSender<Subscription>,
}

#[derive(Debug)]
struct Subscription {
    period: Duration,
    next: Instant,
    tx: mpsc::Sender<Instant>,
}

/// Task that sends the ticks.
#[derive(Debug)]
pub struct TimerTask {
    rx: mpsc::UnboundedReceiver<Subscription>,
    subscriptions: Vec<Subscription>,
}

impl Timer {
    /// Creates a handle and its task.
    pub fn new() -> (Self, TimerTask) {
        let (tx, rx) = mpsc::unbounded_channel();
        (Self { tx }, TimerTask { rx, subscriptions: Vec::new() })
    }

    /// Subscribes to ticks. A slow subscriber receives a single tick for all missed periods.
    pub fn subscribe(&self, period: Duration) -> mpsc::Receiver<Instant> {
        let (tx, rx) = mpsc::channel(1);
        // If the task has ended, the process is stopping, and the receiver is closed.
        let _ = self.tx.send(Subscription { period, next: Instant::now() + period, tx });
        rx
    }
}

impl TimerTask {
    /// Sends ticks until every handle is dropped.
    pub async fn run(mut self) {
        loop {
            let next = self.subscriptions.iter().map(|subscription| subscription.next).min();
            let sleep = async {
                match next {
                    Some(next) => actix_rt::time::sleep_until(next.into()).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                subscription = self.rx.recv() => match subscription {
                    Some(subscription) => self.subscriptions.push(subscription),
                    None => return,
                },
                () = sleep => self.tick(Instant::now()),
            }
        }
    }

    fn tick(&mut self, now: Instant) {
        self.subscriptions.retain_mut(|subscription| {
            if now < subscription.next {
                return true;
            }
            // Missed periods are skipped; after a freeze, one tick is sufficient.
            subscription.next = now + subscription.period;
            !matches!(subscription.tx.try_send(now), Err(mpsc::error::TrySendError::Closed(_)))
        });
    }
}
