//! A relay on loopback that can cut the link to one address.

use std::{
    io::{Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Interval at which a relay thread checks whether the link is cut or the relay is stopped.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Forwards TCP connections or UDP datagrams to one address while the link is not cut.
pub struct Relay {
    address: SocketAddr,
    link: Arc<Link>,
}

#[derive(Default)]
struct Link {
    is_cut: AtomicBool,
    is_stopped: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

impl Relay {
    /// Starts a relay for TCP.
    pub fn tcp(to: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        listener.set_nonblocking(true).expect("a listener that does not block");
        let relay = Self { address: listener.local_addr().expect("an address"), link: Arc::default() };
        let link = relay.link.clone();
        thread::spawn(move || {
            while !link.is_stopped() {
                match listener.accept() {
                    // On a cut link, the connection is accepted and nothing is forwarded.
                    Ok((caller, _)) if link.is_cut() => link.retain_stream(caller),
                    Ok((caller, _)) => link.connect(caller, to),
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        relay
    }

    /// Starts a relay for UDP. Replies are forwarded to the last sender.
    pub fn udp(to: SocketAddr) -> Self {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        socket.set_read_timeout(Some(POLL_INTERVAL)).expect("a timeout");
        let relay = Self { address: socket.local_addr().expect("an address"), link: Arc::default() };
        let link = relay.link.clone();
        thread::spawn(move || {
            let mut sender = None;
            let mut buf = vec![0; MAX_DATAGRAM_BYTES];
            while !link.is_stopped() {
                let Ok((length, from)) = socket.recv_from(&mut buf) else { continue };
                if from != to {
                    sender = Some(from);
                }
                if let Some(receiver) = if from == to { sender } else { Some(to) }
                    && !link.is_cut()
                {
                    let _ = socket.send_to(&buf[..length], receiver);
                }
            }
        });
        relay
    }

    /// Returns the address that the relay listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops forwarding without closing connections.
    pub fn cut(&self) {
        self.link.is_cut.store(true, Ordering::SeqCst);
    }

    /// Resumes forwarding. Data sent on connections in the meantime arrives late; datagrams are lost.
    pub fn heal(&self) {
        self.link.is_cut.store(false, Ordering::SeqCst);
    }

    /// Closes every connection, which simulates a crash of the peer.
    pub fn reset(&self) {
        self.link.reset();
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.link.is_stopped.store(true, Ordering::SeqCst);
        self.link.reset();
    }
}

impl Link {
    fn is_cut(&self) -> bool {
        self.is_cut.load(Ordering::SeqCst)
    }

    fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::SeqCst)
    }

    fn reset(&self) {
        for stream in self.streams.lock().expect("no thread panicked").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn retain_stream(&self, stream: TcpStream) {
        self.streams.lock().expect("no thread panicked").push(stream);
    }

    fn connect(self: &Arc<Self>, caller: TcpStream, to: SocketAddr) {
        let Ok(server) = TcpStream::connect(to) else { return };
        for (from, to) in [(&caller, &server), (&server, &caller)] {
            let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { return };
            let link = self.clone();
            thread::spawn(move || link.forward(from, to));
        }
        self.retain_stream(caller);
        self.retain_stream(server);
    }

    fn forward(&self, mut from: TcpStream, mut to: TcpStream) {
        let _ = from.set_nonblocking(false);
        let mut buf = [0; 16_384];
        while let Ok(length @ 1..) = from.read(&mut buf) {
            while self.is_cut() && !self.is_stopped() {
                thread::sleep(POLL_INTERVAL);
            }
            if to.write_all(&buf[..length]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    }
}
