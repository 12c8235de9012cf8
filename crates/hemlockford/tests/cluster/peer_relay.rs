//! A relay in front of an instance that can cut the link from any other instance.

use std::{
    collections::HashSet,
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Interval at which a relay thread checks whether the relay was stopped or a cut link was restored.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Size of the header in front of the sender's name in a message: the version and a checksum.
const HEADER_BYTES: usize = 5;
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// Forwards messages to one instance. The port of the relay stays the same when the instance restarts, so that the
/// instance can bind any free port.
pub struct PeerRelay {
    pub address: SocketAddr,
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    target: Mutex<Option<SocketAddr>>,
    cut_senders: Mutex<HashSet<String>>,
    is_stopped: AtomicBool,
}

impl PeerRelay {
    pub fn start() -> Self {
        let (listener, socket) = bind_tcp_and_udp();
        let address = listener.local_addr().expect("an address");
        let state = Arc::<State>::default();
        let (streams, datagrams) = (state.clone(), state.clone());
        thread::spawn(move || streams.accept_connections(&listener));
        thread::spawn(move || datagrams.forward_datagrams(&socket));
        Self { address, state }
    }

    /// Sets the address of the instance, or `None` while it is not running.
    pub fn set_target(&self, target: Option<SocketAddr>) {
        *self.state.target.lock().expect("no thread panicked") = target;
    }

    /// Cuts the link from an instance: its datagrams are dropped and its connections stall.
    pub fn cut(&self, from: &str) {
        self.state.cut_senders.lock().expect("no thread panicked").insert(from.into());
    }

    pub fn heal(&self, from: &str) {
        self.state.cut_senders.lock().expect("no thread panicked").remove(from);
    }
}

impl Drop for PeerRelay {
    fn drop(&mut self) {
        self.state.is_stopped.store(true, Ordering::SeqCst);
    }
}

impl State {
    fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::SeqCst)
    }

    fn is_cut(&self, from: &str) -> bool {
        self.cut_senders.lock().expect("no thread panicked").contains(from)
    }

    fn target(&self) -> Option<SocketAddr> {
        *self.target.lock().expect("no thread panicked")
    }

    fn forward_datagrams(&self, socket: &UdpSocket) {
        let mut buf = [0; MAX_DATAGRAM_BYTES];
        while !self.is_stopped() {
            let Ok((length, _)) = socket.recv_from(&mut buf) else { continue };
            let from = sender_name(&buf[..length]);
            if let Some(target) = self.target().filter(|_| from.is_none_or(|from| !self.is_cut(&from))) {
                let _ = socket.send_to(&buf[..length], target);
            }
        }
    }

    fn accept_connections(self: &Arc<Self>, listener: &TcpListener) {
        while !self.is_stopped() {
            match listener.accept() {
                Ok((stream, _)) => {
                    let state = self.clone();
                    thread::spawn(move || state.forward_stream(stream));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    /// Forwards the data of a connection in one direction only, because the receiving instance never writes to it.
    fn forward_stream(&self, mut from: TcpStream) -> Option<()> {
        from.set_nonblocking(false).ok()?;
        from.set_read_timeout(Some(POLL_INTERVAL)).ok()?;
        let mut to = TcpStream::connect(self.target()?).ok()?;
        to.set_nodelay(true).ok()?;
        let mut name = None;
        let mut buf = [0; 16_384];
        while !self.is_stopped() {
            let length = match from.read(&mut buf) {
                Ok(0) => return None,
                Ok(length) => length,
                Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => continue,
                Err(_) => return None,
            };
            // The first read starts with a frame, which is the length of a message and then the message.
            if name.is_none() {
                name = sender_name(buf[..length].get(4..)?);
            }
            while name.as_ref().is_some_and(|name| self.is_cut(name)) && !self.is_stopped() {
                thread::sleep(POLL_INTERVAL);
            }
            to.write_all(&buf[..length]).ok()?;
        }
        None
    }
}

/// Reads the sender's name, which is the first field of a message.
fn sender_name(message: &[u8]) -> Option<String> {
    let length = usize::from(*message.get(HEADER_BYTES)?);
    let name = message.get(HEADER_BYTES + 1..)?.get(..length)?;
    String::from_utf8(name.to_vec()).ok()
}

/// Binds the same port for TCP and UDP.
fn bind_tcp_and_udp() -> (TcpListener, UdpSocket) {
    loop {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        listener.set_nonblocking(true).expect("a listener that does not block");
        if let Ok(socket) = UdpSocket::bind(listener.local_addr().expect("an address")) {
            socket.set_read_timeout(Some(POLL_INTERVAL)).expect("a timeout");
            return (listener, socket);
        }
    }
}
