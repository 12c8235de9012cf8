//! Cost of a datagram in the operating system.

use {
    super::Slope,
    error_stack::ResultExt,
    hemlockford_core::errors::{ErrorKind, Result},
    std::{
        net::UdpSocket,
        time::{Duration, Instant},
    },
};

const REPETITIONS: usize = 2_000;
/// Datagrams sent before they are received, so that none is dropped for want of room.
const BURST: usize = 16;

/// Time of a datagram that is sent and received over loopback, against its size.
pub(super) fn datagram() -> Result<Slope> {
    let mut slope = Slope::new(
        "datagram",
        "One datagram over loopback, system calls only",
        "bytes",
        &["us to send (median)", "us to receive (median)"],
    );
    let from = UdpSocket::bind("127.0.0.1:0").change_context(ErrorKind::Io)?;
    let to = UdpSocket::bind("127.0.0.1:0").change_context(ErrorKind::Io)?;
    let address = to.local_addr().change_context(ErrorKind::Io)?;
    for bytes in [60, 150, 600, 1_200] {
        let data = vec![7; bytes];
        let mut buf = [0; 1_500];
        let (mut sending, mut receiving) = (Vec::new(), Vec::new());
        for _ in 0..REPETITIONS {
            let start = Instant::now();
            for _ in 0..BURST {
                from.send_to(&data, address).change_context(ErrorKind::Io)?;
            }
            let sent = Instant::now();
            for _ in 0..BURST {
                to.recv(&mut buf).change_context(ErrorKind::Io)?;
            }
            sending.push(sent - start);
            receiving.push(sent.elapsed());
        }
        slope.push("loopback", bytes as f64, &[median(sending), median(receiving)]);
    }
    Ok(slope)
}

/// Returns the median time of one datagram, in microseconds.
fn median(mut bursts: Vec<Duration>) -> f64 {
    bursts.sort_unstable();
    bursts[bursts.len() / 2].as_secs_f64() / BURST as f64 * 1e6
}
