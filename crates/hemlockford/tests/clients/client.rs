//! One connection of a crowd.

use std::{
    io::{ErrorKind, Read, Write},
    net::TcpStream,
    sync::atomic::{AtomicBool, AtomicUsize, Ordering},
    thread,
    time::Duration,
};

/// Time after which a blocked operation is repeated, so that the end of the test is noticed.
const BLOCKED_FOR: Duration = Duration::from_millis(200);
/// Number of blocked operations in a row after which nothing more is expected of the connection.
const MAX_BLOCKED: usize = 10;
/// Pause between two bytes of a slow client.
const SLOW_PAUSE: Duration = Duration::from_millis(100);

/// One connection of a crowd. Its operations return whether the connection may be used further.
pub struct Client<'a> {
    pub number: usize,
    stream: TcpStream,
    stop: &'a AtomicBool,
    settled: &'a AtomicUsize,
    has_settled: bool,
}

impl<'a> Client<'a> {
    /// Connects; `None` if the connection is refused.
    pub fn connect(number: usize, address: &str, stop: &'a AtomicBool, settled: &'a AtomicUsize) -> Option<Self> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_write_timeout(Some(BLOCKED_FOR)).ok()?;
        stream.set_read_timeout(Some(BLOCKED_FOR)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Self { number, stream, stop, settled, has_settled: false })
    }

    /// Writes data until the peer has blocked for long or has closed the connection.
    pub fn send(&mut self, mut data: &[u8]) -> bool {
        let mut blocked = 0;
        while !data.is_empty() {
            match self.stream.write(data) {
                Ok(length) => {
                    data = &data[length..];
                    blocked = 0;
                }
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    blocked += 1;
                    if blocked >= MAX_BLOCKED {
                        self.settle();
                    }
                }
                Err(_) => return false,
            }
            if self.stop.load(Ordering::SeqCst) {
                return false;
            }
        }
        true
    }

    /// Writes data, one byte at a time with pauses.
    pub fn send_slowly(&mut self, data: &[u8]) -> bool {
        self.settle();
        data.iter().all(|byte| {
            thread::sleep(SLOW_PAUSE);
            self.send(&[*byte])
        })
    }

    /// Reads an answer, one byte at a time with pauses.
    pub fn read_slowly(&mut self) {
        self.settle();
        while !self.stop.load(Ordering::SeqCst) {
            thread::sleep(SLOW_PAUSE);
            match self.stream.read(&mut [0]) {
                Ok(0) => return,
                Ok(_) => {}
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => return,
            }
        }
    }

    /// Keeps the connection open until the peer closes it or the test ends.
    pub fn hold(&mut self) {
        self.settle();
        while !self.stop.load(Ordering::SeqCst) {
            thread::sleep(SLOW_PAUSE);
            if matches!(self.stream.peek(&mut [0]), Ok(0)) {
                return;
            }
        }
    }

    fn settle(&mut self) {
        if !self.has_settled {
            self.has_settled = true;
            self.settled.fetch_add(1, Ordering::SeqCst);
        }
    }
}

impl Drop for Client<'_> {
    fn drop(&mut self) {
        self.settle();
    }
}
