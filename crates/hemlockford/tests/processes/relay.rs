//! A relay on loopback that can cut a link.

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

/// Time after which a relay thread looks whether the link is still whole.
const CHECK: Duration = Duration::from_millis(20);
const DATAGRAM_BYTES: usize = 65_536;

/// Passes TCP connections and UDP datagrams on to one address until it is cut.
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
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
        listener.set_nonblocking(true).expect("a listener that does not block");
        let relay = Self { address: listener.local_addr().expect("an address"), link: Arc::default() };
        let link = relay.link.clone();
        thread::spawn(move || {
            while !link.is_stopped() {
                match listener.accept() {
                    // A cut link is silent: the connection is accepted and nothing passes.
                    Ok((caller, _)) if link.is_cut() => link.keep(caller),
                    Ok((caller, _)) => link.connect(caller, to),
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        relay
    }

    /// Starts a relay for UDP; answers go back to the last sender.
    pub fn udp(to: SocketAddr) -> Self {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
        socket.set_read_timeout(Some(CHECK)).expect("a timeout");
        let relay = Self { address: socket.local_addr().expect("an address"), link: Arc::default() };
        let link = relay.link.clone();
        thread::spawn(move || {
            let mut sender = None;
            let mut buf = vec![0; DATAGRAM_BYTES];
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

    /// Returns the address that passes on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops passing anything on, without closing connections.
    pub fn cut(&self) {
        self.link.is_cut.store(true, Ordering::SeqCst);
    }

    /// Passes on again; what was sent meanwhile on a connection arrives late, datagrams are lost.
    pub fn heal(&self) {
        self.link.is_cut.store(false, Ordering::SeqCst);
    }

    /// Closes every connection, as a crash of the other side would.
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

    fn keep(&self, stream: TcpStream) {
        self.streams.lock().expect("no thread panicked").push(stream);
    }

    fn connect(self: &Arc<Self>, caller: TcpStream, to: SocketAddr) {
        let Ok(server) = TcpStream::connect(to) else { return };
        for (from, to) in [(&caller, &server), (&server, &caller)] {
            let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { return };
            let link = self.clone();
            thread::spawn(move || link.pass(from, to));
        }
        self.keep(caller);
        self.keep(server);
    }

    fn pass(&self, mut from: TcpStream, mut to: TcpStream) {
        let _ = from.set_nonblocking(false);
        let mut buf = [0; 16_384];
        while let Ok(length @ 1..) = from.read(&mut buf) {
            while self.is_cut() && !self.is_stopped() {
                thread::sleep(CHECK);
            }
            if to.write_all(&buf[..length]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    }
}
