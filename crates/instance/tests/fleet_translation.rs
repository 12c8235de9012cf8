//! Requests and answers of the admin listener that take long to translate.

use {
    actix_http::{Method, StatusCode},
    bytes::Bytes,
    hemlockford_core::fleet::ReplicaAnswer,
    hemlockford_instance::{AdminReply, AdminRequest, FleetReplica, PlatformInterface, Settings},
    hemlockford_proxy::Dialect,
    std::{
        net::TcpListener,
        sync::{Arc, Mutex},
        thread::{self, ThreadId},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

/// Maximum time for the replica to form its group and accept a change.
const WAIT: Duration = Duration::from_secs(10);
/// Attempts to find a port that is still free when the instance binds it.
const ATTEMPTS: usize = 16;

/// An interface that takes and returns the product's own text, and records on which thread it translates.
#[derive(Default)]
struct RecordingInterface {
    parsed_on: Mutex<Vec<ThreadId>>,
    formatted_on: Mutex<Vec<ThreadId>>,
}

impl PlatformInterface for RecordingInterface {
    fn dialect(&self) -> Dialect {
        Dialect::default()
    }

    fn parse_request(&self, method: &Method, _: &str, body: &[u8]) -> Option<Result<AdminRequest, AdminReply>> {
        if *method == Method::GET {
            return Some(Ok(AdminRequest::Read));
        }
        self.parsed_on.lock().unwrap().push(thread::current().id());
        Some(Ok(AdminRequest::Submit(std::str::from_utf8(body).unwrap().into())))
    }

    fn build_reply(&self, answer: ReplicaAnswer) -> AdminReply {
        let (status, body) = match answer {
            ReplicaAnswer::Current { text, .. } => {
                self.formatted_on.lock().unwrap().push(thread::current().id());
                (StatusCode::OK, Bytes::from(text.into_string()))
            }
            ReplicaAnswer::Accepted { .. } => (StatusCode::OK, Bytes::new()),
            _ => (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        };
        AdminReply { status, location: None, content_type: "text/plain", body }
    }
}

/// Starts a replica that forms a group of its own; returns it with its admin address.
fn start_replica(interface: &Arc<RecordingInterface>, data: &std::path::Path) -> (FleetReplica, String) {
    let log = slog::Logger::root(slog::Discard, slog::o!());
    for _ in 0..ATTEMPTS {
        let free = || TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let (admin, listen) = (free(), free());
        let settings = format!(
            "[instance]\nid = a\ndata-centre = d\nadmin = {admin}\nlisten = {listen}\ndata = {}\n\
             [fleet]\nrole = replica\nseeds = {listen}\nfirst-start = true\ntolerate = 0\n",
            data.display()
        );
        let settings = Settings::parse(&settings).unwrap();
        let fleet = settings.fleet.clone().unwrap();
        if let Ok(replica) = FleetReplica::start(&settings, &fleet, interface.clone(), &log) {
            return (replica, admin.to_string());
        }
    }
    panic!("no free port");
}

/// Sends a request; returns the status and the body.
async fn call(address: &str, method: &str, body: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = format!("{method} / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {}\r\n\r\n", body.len());
    stream.write_all((head + body).as_bytes()).await.unwrap();
    let mut got = String::new();
    stream.read_to_string(&mut got).await.unwrap();
    let (head, body) = got.split_once("\r\n\r\n").unwrap();
    (head.split(' ').nth(1).unwrap().parse().unwrap(), body.to_owned())
}

fn text(number: u64) -> String {
    let routes: String = (0..300)
        .map(|route| format!("[route r{route}]\nhost = a.example\nprefix = /{route}/\nkind = once\nservice = a\n"))
        .collect();
    format!("[change]\nnumber = {number}\n[service a]\n{routes}")
}

async fn submit(address: &str, number: u64) {
    let submitted = async {
        while call(address, "POST", &text(number)).await.0 != 200 {
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    };
    actix_rt::time::timeout(WAIT, submitted).await.expect("the change is accepted");
}

/// Guards against long configurations that are parsed or formatted on the thread of the replica, which then misses
/// heartbeats and elections, and against reads that each format what was formatted before.
#[actix_rt::test]
async fn long_configurations_do_not_hold_up_the_replica() {
    let (interface, data) = (Arc::new(RecordingInterface::default()), tempfile::tempdir().unwrap());
    let (replica, address) = start_replica(&interface, data.path());
    for number in [1, 2] {
        submit(&address, number).await;
        for _ in 0..3 {
            let reads = (0..4).map(|_| call(&address, "GET", ""));
            for (status, body) in futures_util::future::join_all(reads).await {
                assert_eq!((status, body == text(number)), (200, true));
            }
        }
        assert_eq!(interface.formatted_on.lock().unwrap().len(), number as usize, "each change is formatted once");
    }
    let own = thread::current().id();
    for translated_on in [&interface.parsed_on, &interface.formatted_on] {
        assert!(translated_on.lock().unwrap().iter().all(|thread| *thread != own));
    }
    replica.shut_down().await;
}
