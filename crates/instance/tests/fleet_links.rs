//! Tests of the connections between running instances of a fleet.

use {
    hemlockford_core::fleet::FleetMessage,
    hemlockford_instance::{AdminReply, AdminRequest, FleetEntry, PlatformInterface, Settings},
    hemlockford_net::{Envelope, MAX_FRAME_BYTES, encode},
    hemlockford_proxy::Dialect,
    std::{net::TcpListener, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

/// Maximum time for an acknowledgement.
const WAIT: Duration = Duration::from_secs(5);
/// Attempts to find a port that is still free when the instance binds it.
const ATTEMPTS: usize = 16;

/// An interface that accepts no admin requests.
struct EmptyInterface;

impl PlatformInterface for EmptyInterface {
    fn dialect(&self) -> Dialect {
        Dialect::default()
    }

    fn parse_request(&self, _: &actix_http::Method, _: &str, _: &[u8]) -> Option<Result<AdminRequest, AdminReply>> {
        None
    }

    fn build_reply(&self, _: hemlockford_core::fleet::ReplicaAnswer) -> AdminReply {
        AdminReply {
            status: actix_http::StatusCode::OK,
            location: None,
            content_type: "text/plain",
            body: bytes::Bytes::new(),
        }
    }
}

/// Starts an entry; returns it with its address for other instances.
fn start_entry() -> (FleetEntry, String) {
    let log = slog::Logger::root(slog::Discard, slog::o!());
    for _ in 0..ATTEMPTS {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let listen = listener.local_addr().unwrap().to_string();
        drop(listener);
        let settings = format!(
            "[instance]\nid = e\ncallers = 127.0.0.1:0\nadmin = 127.0.0.1:0\nlisten = {listen}\n\
             [fleet]\nrole = entry\nseeds = {listen}\n"
        );
        let settings = Settings::parse(&settings).unwrap();
        if let Ok(entry) =
            FleetEntry::start(&settings, settings.fleet.as_ref().unwrap(), Arc::new(EmptyInterface), &log)
        {
            return (entry, listen);
        }
    }
    panic!("no free port");
}

/// Guards against an instance of a fleet that uses the network options of a roster. It would not acknowledge frames,
/// and the sender would continue to use a connection that the network dropped without a reset.
#[actix_rt::test]
async fn an_instance_acknowledges_frames() {
    let (_entry, address) = start_entry();
    let message = FleetMessage::RecordRequest(vec!["s".into()]);
    let bytes = encode(&Envelope { from: "127.0.0.1:1".into(), incarnation: 1, message }, MAX_FRAME_BYTES).unwrap();
    let mut stream = TcpStream::connect(&address).await.unwrap();
    stream.write_u32_le(bytes.len() as u32).await.unwrap();
    stream.write_all(&bytes).await.unwrap();
    let ack = actix_rt::time::timeout(WAIT, stream.read_u8()).await;
    assert!(matches!(ack, Ok(Ok(_))), "no acknowledgement: {ack:?}");
}
