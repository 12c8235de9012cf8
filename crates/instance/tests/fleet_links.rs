//! Links between the instances of a fleet, as a running instance uses them.

use {
    hemlockford_core::fleet::FleetMessage,
    hemlockford_instance::{AdminReply, AdminRequest, FleetEntry, PlatformInterface, Settings},
    hemlockford_net::{Envelope, MAX_FRAME_BYTES, encode},
    hemlockford_proxy::Dialect,
    std::{net::TcpListener, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

const WAIT: Duration = Duration::from_secs(5);
/// Attempts at finding a port that nobody takes before the instance does.
const ATTEMPTS: usize = 16;

/// An interface that takes no requests.
struct Closed;

impl PlatformInterface for Closed {
    fn dialect(&self) -> Dialect {
        Dialect::default()
    }

    fn parse_request(&self, _: &actix_http::Method, _: &str, _: &[u8]) -> Option<Result<AdminRequest, AdminReply>> {
        None
    }

    fn build_reply(&self, _: hemlockford_core::fleet::ReplicaAnswer) -> AdminReply {
        AdminReply { status: actix_http::StatusCode::OK, content_type: "text/plain", body: bytes::Bytes::new() }
    }
}

/// Starts an entry; returns it with the address at which it hears other instances.
fn start() -> (FleetEntry, String) {
    let log = slog::Logger::root(slog::Discard, slog::o!());
    for _ in 0..ATTEMPTS {
        let probe = TcpListener::bind("127.0.0.1:0").unwrap();
        let listen = probe.local_addr().unwrap().to_string();
        drop(probe);
        let settings = format!(
            "[instance]\nid = e\ncallers = 127.0.0.1:0\nadmin = 127.0.0.1:0\nlisten = {listen}\n\
             [fleet]\nrole = entry\nseeds = {listen}\n"
        );
        let settings = Settings::parse(&settings).unwrap();
        if let Ok(entry) = FleetEntry::start(&settings, settings.fleet.as_ref().unwrap(), Rc::new(Closed), &log) {
            return (entry, listen);
        }
    }
    panic!("no free port");
}

/// Guards against an instance of a fleet whose network is built with the options of a roster: frames are not
/// acknowledged, so that a connection that a network dropped without a reset is used for good.
#[actix_rt::test]
async fn an_instance_acknowledges_frames() {
    let (_entry, address) = start();
    let message = FleetMessage::RecordRequest(vec!["s".into()]);
    let bytes = encode(&Envelope { from: "127.0.0.1:1".into(), incarnation: 1, message }, MAX_FRAME_BYTES).unwrap();
    let mut stream = TcpStream::connect(&address).await.unwrap();
    stream.write_u32_le(bytes.len() as u32).await.unwrap();
    stream.write_all(&bytes).await.unwrap();
    let ack = actix_rt::time::timeout(WAIT, stream.read_u8()).await;
    assert!(matches!(ack, Ok(Ok(_))), "no acknowledgement: {ack:?}");
}
