//! Cost of sending and receiving datagrams in the operating system.

use {
    super::Slope,
    error_stack::ResultExt,
    hemlockford_core::errors::{ErrorKind, Result},
    std::{
        net::UdpSocket,
        time::{Duration, Instant},
    },
};

/// Number of bursts for each size of datagram.
const BURST_COUNT: usize = 2_000;
/// Number of datagrams sent before they are received; few enough that none is dropped from a full buffer.
const BURST_LENGTH: usize = 16;
/// Time within which a datagram over loopback arrives unless it was dropped.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time to send and receive a datagram over loopback, by its size.
pub(super) fn datagram() -> Result<Slope> {
    let mut slope = Slope::new(
        "datagram",
        "One datagram over loopback, system calls only",
        "bytes",
        &["us to send (median)", "us to receive (median)"],
    );
    let from = UdpSocket::bind("127.0.0.1:0").change_context(ErrorKind::Io)?;
    let to = UdpSocket::bind("127.0.0.1:0").change_context(ErrorKind::Io)?;
    // A lost datagram ends the measurement with an error instead of blocking it.
    to.set_read_timeout(Some(RECEIVE_TIMEOUT)).change_context(ErrorKind::Io)?;
    let address = to.local_addr().change_context(ErrorKind::Io)?;
    for bytes in [60, 150, 600, 1_200] {
        let data = vec![7; bytes];
        let mut buf = [0; 1_500];
        let (mut send_times, mut receive_times) = (Vec::new(), Vec::new());
        for _ in 0..BURST_COUNT {
            let start = Instant::now();
            for _ in 0..BURST_LENGTH {
                from.send_to(&data, address).change_context(ErrorKind::Io)?;
            }
            let sent = Instant::now();
            for _ in 0..BURST_LENGTH {
                to.recv(&mut buf).change_context(ErrorKind::Io)?;
            }
            send_times.push(sent - start);
            receive_times.push(sent.elapsed());
        }
        slope.push("loopback", bytes as f64, &[median(send_times), median(receive_times)]);
    }
    Ok(slope)
}

/// Returns the median time of one datagram, in microseconds.
fn median(mut bursts: Vec<Duration>) -> f64 {
    bursts.sort_unstable();
    bursts[bursts.len() / 2].as_secs_f64() / BURST_LENGTH as f64 * 1e6
}
