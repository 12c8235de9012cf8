//! A crowd of clients that misbehave in the same way.

use {
    crate::{client::Client, deployment::Deployment, target::Target},
    std::{
        sync::atomic::{AtomicBool, AtomicUsize, Ordering},
        thread,
        time::{Duration, Instant},
    },
};

/// Maximum time for the clients to send all that they send.
const SETTLE_LIMIT: Duration = Duration::from_secs(15);
/// Time for which the crowd presses on after that.
const PRESS_FOR: Duration = Duration::from_secs(2);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Size of an answer, unless the clients read slowly.
const ANSWER_BYTES: usize = 700;

/// Plays a crowd of `count` connections and checks the deployment.
pub fn check(target: Target, count: usize, behave: fn(&mut Client<'_>, Target)) {
    check_with_answers(ANSWER_BYTES, target, count, behave);
}

/// Like `check`, with answers of `answer_bytes`.
pub fn check_with_answers(answer_bytes: usize, target: Target, count: usize, behave: fn(&mut Client<'_>, Target)) {
    let mut deployment = Deployment::start(answer_bytes);
    let address = target.address(&deployment);
    let (stop, settled) = (AtomicBool::new(false), AtomicUsize::new(0));
    thread::scope(|scope| {
        let _stop = StopOnDrop(&stop);
        for number in 0..count {
            let (address, stop, settled) = (&address, &stop, &settled);
            scope.spawn(move || match Client::connect(number, address, stop, settled) {
                Some(mut client) => behave(&mut client, target),
                None => {
                    settled.fetch_add(1, Ordering::SeqCst);
                }
            });
        }
        let end = Instant::now() + SETTLE_LIMIT;
        while settled.load(Ordering::SeqCst) < count && Instant::now() < end {
            deployment.sample();
            thread::sleep(SAMPLE_INTERVAL);
        }
        let end = Instant::now() + PRESS_FOR;
        while Instant::now() < end {
            deployment.sample();
            thread::sleep(SAMPLE_INTERVAL);
        }
        deployment.check_ordinary();
        deployment.check_usage();
    });
}

/// Ends the clients, also if a check fails.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}
