//! A sound backend: it announces itself, answers its health path and runs requests as PROTOCOL.md says.

use crate::{http, record::Record};
use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

const HEARTBEAT: Duration = Duration::from_millis(1_500);
const SLOTS: usize = 2;
const QUEUE: usize = 4;

/// A request that a backend ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: f64,
    pub attempt: String,
    pub service: String,
    /// The key that was passed on.
    pub credential: Option<String>,
    /// The tenant in whose name it was passed on.
    pub tenant: Option<String>,
}

/// What a backend is.
#[derive(Clone, Debug)]
pub struct Profile {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub work: Duration,
}

/// A running backend.
#[derive(Clone)]
pub struct Backend {
    profile: Profile,
    is_up: Arc<AtomicBool>,
    busy: Arc<AtomicUsize>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
}

impl Backend {
    /// Starts a backend that announces itself at one of the given control addresses.
    pub fn start(
        profile: Profile,
        control: Vec<SocketAddr>,
        runs: Arc<Mutex<Vec<Run>>>,
        record: &Record,
    ) -> Result<Self, String> {
        let listener = TcpListener::bind(profile.address).map_err(|e| format!("{}: {e}", profile.address))?;
        let backend = Self {
            profile,
            is_up: Arc::new(AtomicBool::new(true)),
            busy: Arc::default(),
            connections: Arc::default(),
            runs,
            record: record.clone(),
        };
        let (accepting, beating) = (backend.clone(), backend.clone());
        thread::spawn(move || accepting.accept(listener));
        thread::spawn(move || beating.beat(&control));
        Ok(backend)
    }

    pub fn address(&self) -> SocketAddr {
        self.profile.address
    }

    /// Ends the backend as a crash does: connections are reset, new ones are refused, nothing is announced.
    pub fn crash(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        // Wakes the thread that accepts, which then drops the listener.
        let _ = TcpStream::connect(self.profile.address);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.record.line(&format!("backend {} ({}) crashes", self.profile.id, self.profile.service));
    }

    fn accept(self, listener: TcpListener) {
        for stream in listener.incoming() {
            if !self.is_up.load(Ordering::SeqCst) {
                return;
            }
            let Ok(stream) = stream else { continue };
            let _ = stream.set_nodelay(true);
            if let Ok(copy) = stream.try_clone() {
                self.connections.lock().unwrap().push(copy);
            }
            let backend = self.clone();
            thread::spawn(move || backend.serve(stream));
        }
    }

    fn serve(self, mut stream: TcpStream) {
        let mut received = Vec::new();
        let mut buffer = [0; 16 * 1024];
        loop {
            let Some(end) = received.windows(4).position(|window| window == b"\r\n\r\n") else {
                match stream.read(&mut buffer) {
                    Ok(0) | Err(_) => return,
                    Ok(length) => received.extend_from_slice(&buffer[..length]),
                }
                continue;
            };
            let head = String::from_utf8_lossy(&received[..end + 4]).into_owned();
            let length: usize = http::header(&head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            while received.len() < end + 4 + length {
                match stream.read(&mut buffer) {
                    Ok(0) | Err(_) => return,
                    Ok(length) => received.extend_from_slice(&buffer[..length]),
                }
            }
            received.drain(..end + 4 + length);
            if !self.is_up.load(Ordering::SeqCst) || stream.write_all(&self.answer(&head)).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &str) -> Vec<u8> {
        let id = &self.profile.id;
        let path = head.split(' ').nth(1).unwrap_or_default();
        let load = |busy: usize| format!("{},{},{SLOTS},100", busy.min(SLOTS), busy.saturating_sub(SLOTS));
        if path == "/health" {
            let load = load(self.busy.load(Ordering::SeqCst));
            return format!(
                "HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nBackend-Load: {load}\r\nContent-Length: 0\r\n\r\n"
            )
            .into();
        }
        let attempt = http::header(head, "attempt-id").unwrap_or_default().to_owned();
        let refuse = |status: &str| {
            format!("HTTP/1.1 {status}\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n").into()
        };
        if http::header(head, "expect-instance").is_some_and(|expected| expected != id) {
            return refuse("421 Misdirected Request");
        }
        let busy = self.busy.fetch_add(1, Ordering::SeqCst) + 1;
        if busy > SLOTS + QUEUE {
            self.busy.fetch_sub(1, Ordering::SeqCst);
            return refuse("503 Service Unavailable");
        }
        let at = self.record.now();
        let service = self.profile.service.clone();
        let [credential, tenant] = ["credential", "tenant"].map(|name| http::header(head, name).map(str::to_owned));
        let shown = [("Credential", &credential), ("Tenant", &tenant)];
        let shown: String =
            shown.iter().filter_map(|(name, value)| Some(format!(", {name}: {}", value.as_ref()?))).collect();
        self.record.line(&format!("backend {id} ({service}) runs {attempt}{shown}"));
        self.runs.lock().unwrap().push(Run { at, attempt: attempt.clone(), service, credential, tenant });
        thread::sleep(self.profile.work);
        let load = load(self.busy.fetch_sub(1, Ordering::SeqCst) - 1);
        let body = format!("answer of {} to {attempt}", self.profile.service);
        format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: {id}.{attempt}\r\n\
             Backend-Load: {load}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .into()
    }

    fn beat(&self, control: &[SocketAddr]) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis());
        let Profile { id, service, zone, address, .. } = &self.profile;
        for sequence in 1.. {
            if !self.is_up.load(Ordering::SeqCst) {
                return;
            }
            let body = format!(
                r#"{{"address":"{address}","born":{born},"info":{{"service":"{service}","version":"v1","zone":"{zone}","capacity":{SLOTS}}},"status":{{"state":"ready","sequence":{sequence},"warmup_left_s":0}}}}"#
            );
            let path = format!("/v1/Instances.Heartbeat/{id}");
            for turn in 0..control.len() {
                let node = control[(sequence + turn) % control.len()];
                let json = [("Content-Type", "application/json")];
                let answer = http::call(node, "POST", &path, &json, body.as_bytes(), Duration::from_secs(1));
                if answer.is_ok_and(|answer| answer.status == 200) {
                    break;
                }
            }
            thread::sleep(HEARTBEAT);
        }
    }
}

/// Sends heartbeats of another writer, in which the field `version` is missing, for the addresses of running backends.
pub fn other_writer(service: String, addresses: Vec<SocketAddr>, control: Vec<SocketAddr>, record: Record) {
    let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis());
    let mut answers = 0;
    for sequence in 1.. {
        for (place, address) in addresses.iter().enumerate() {
            let body = format!(
                r#"{{"address":"{address}","born":{born},"info":{{"service":"{service}","zone":"zone-a","capacity":{SLOTS}}},"status":{{"state":"ready","sequence":{sequence},"warmup_left_s":0}}}}"#
            );
            let path = format!("/v1/Instances.Heartbeat/x-{place}");
            let node = control[(sequence + place) % control.len()];
            let json = [("Content-Type", "application/json")];
            let answer = http::call(node, "POST", &path, &json, body.as_bytes(), Duration::from_secs(1));
            let answer = answer.map_or_else(|error| error, |answer| answer.status.to_string());
            if answers < 6 {
                answers += 1;
                record.line(&format!("another writer: heartbeat {path} without a version, {address}: {answer}"));
            }
        }
        thread::sleep(HEARTBEAT);
    }
}
