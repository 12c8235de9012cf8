//! A relay in front of one instance that can cut the link from any other instance.

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

/// Time after which a relay thread looks whether the test has ended.
const CHECK: Duration = Duration::from_millis(20);
/// Bytes in front of the sender's name in a message: version and checksum.
const PREFIX_BYTES: usize = 5;
const DATAGRAM_BYTES: usize = 2_048;

/// Passes messages on to one instance. Its own port stays the same when the instance restarts, so that
/// no port has to be chosen before an instance has bound it.
pub struct PeerRelay {
    pub address: SocketAddr,
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    target: Mutex<Option<SocketAddr>>,
    cut: Mutex<HashSet<String>>,
    is_stopped: AtomicBool,
}

impl PeerRelay {
    pub fn start() -> Self {
        let (listener, socket) = bind_both();
        let address = listener.local_addr().expect("an address");
        let state = Arc::<State>::default();
        let (streams, datagrams) = (state.clone(), state.clone());
        thread::spawn(move || streams.accept(&listener));
        thread::spawn(move || datagrams.pass_datagrams(&socket));
        Self { address, state }
    }

    /// Sets the address of the instance, once it runs.
    pub fn set_target(&self, target: Option<SocketAddr>) {
        *self.state.target.lock().expect("no thread panicked") = target;
    }

    /// Cuts the link from an instance: datagrams are lost, connections stall.
    pub fn cut(&self, from: &str) {
        self.state.cut.lock().expect("no thread panicked").insert(from.into());
    }

    pub fn heal(&self, from: &str) {
        self.state.cut.lock().expect("no thread panicked").remove(from);
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
        self.cut.lock().expect("no thread panicked").contains(from)
    }

    fn target(&self) -> Option<SocketAddr> {
        *self.target.lock().expect("no thread panicked")
    }

    fn pass_datagrams(&self, socket: &UdpSocket) {
        let mut buf = [0; DATAGRAM_BYTES];
        while !self.is_stopped() {
            let Ok((length, _)) = socket.recv_from(&mut buf) else { continue };
            let from = sender(&buf[..length]);
            if let Some(target) = self.target().filter(|_| from.is_none_or(|from| !self.is_cut(&from))) {
                let _ = socket.send_to(&buf[..length], target);
            }
        }
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        while !self.is_stopped() {
            match listener.accept() {
                Ok((stream, _)) => {
                    let state = self.clone();
                    thread::spawn(move || state.pass_stream(stream));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    /// Passes one direction on; the receiving instance never writes to the connection.
    fn pass_stream(&self, mut from: TcpStream) -> Option<()> {
        from.set_nonblocking(false).ok()?;
        from.set_read_timeout(Some(CHECK)).ok()?;
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
            // The first read starts with a frame: its length and then the message.
            if name.is_none() {
                name = sender(buf[..length].get(4..)?);
            }
            while name.as_ref().is_some_and(|name| self.is_cut(name)) && !self.is_stopped() {
                thread::sleep(CHECK);
            }
            to.write_all(&buf[..length]).ok()?;
        }
        None
    }
}

/// Reads the sender's name, which is the first field of a message.
fn sender(message: &[u8]) -> Option<String> {
    let length = usize::from(*message.get(PREFIX_BYTES)?);
    let name = message.get(PREFIX_BYTES + 1..)?.get(..length)?;
    String::from_utf8(name.to_vec()).ok()
}

/// Binds one port for TCP and UDP.
fn bind_both() -> (TcpListener, UdpSocket) {
    loop {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
        listener.set_nonblocking(true).expect("a listener that does not block");
        if let Ok(socket) = UdpSocket::bind(listener.local_addr().expect("an address")) {
            socket.set_read_timeout(Some(CHECK)).expect("a timeout");
            return (listener, socket);
        }
    }
}
