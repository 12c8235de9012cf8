//! The timer service.
//!
//! Parts subscribe to a period and get the time of each tick as a message. One task keeps all periods
//! of a thread, so that parts need no timers of their own and a test can tick them by hand.

use {
    std::time::{Duration, Instant},
    tokio::sync::mpsc,
};

/// Handle through which parts subscribe.
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

/// The task that keeps the periods.
#[derive(Debug)]
pub struct TimerTask {
    rx: mpsc::UnboundedReceiver<Subscription>,
    subscriptions: Vec<Subscription>,
}

impl Timer {
    /// Makes the handle and its task.
    pub fn new() -> (Self, TimerTask) {
        let (tx, rx) = mpsc::unbounded_channel();
        (Self { tx }, TimerTask { rx, subscriptions: Vec::new() })
    }

    /// Subscribes to ticks. A subscriber that is late gets one tick for all the periods that it missed.
    pub fn subscribe(&self, period: Duration) -> mpsc::Receiver<Instant> {
        let (tx, rx) = mpsc::channel(1);
        // Without the task the process is stopping, and the receiver reports the end.
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
            // Missed periods are not made up for: after a freeze one tick is enough.
            subscription.next = now + subscription.period;
            !matches!(subscription.tx.try_send(now), Err(mpsc::error::TrySendError::Closed(_)))
        });
    }
}
