//! Transports with malformed input, failed peers and full queues.

use {
    hemlockford_core::errors::ErrorKind,
    hemlockford_net::{
        DatagramSocket, Envelope, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, NetOptions, StreamLinks, StreamListener, Timer,
        decode, encode,
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        io::{Read, Write},
        net::{TcpListener, TcpStream, UdpSocket},
        time::Duration,
    },
    tokio::{io::AsyncWriteExt, sync::mpsc},
};

const SEED: u64 = 11;
const WAIT: Duration = Duration::from_secs(5);

fn envelope(message: &str) -> Envelope<String> {
    Envelope { from: "e1".into(), incarnation: 3, message: message.into() }
}

/// Guards against accepting a corrupted message.
#[test]
fn every_flipped_bit_is_detected() {
    let bytes = encode(&envelope("hello"), MAX_DATAGRAM_BYTES).unwrap();
    for bit in 0..bytes.len() * 8 {
        let mut damaged = bytes.clone();
        damaged[bit / 8] ^= 1 << (bit % 8);
        assert!(decode::<String>(&damaged).is_err(), "bit {bit}");
    }
}

/// Guards against panics and unbounded allocations with random or truncated input.
#[test]
fn garbage_and_truncation_are_errors() {
    println!("seed {SEED}");
    let mut rng = SmallRng::seed_from_u64(SEED);
    for _ in 0..10_000 {
        let garbage: Vec<u8> = (0..rng.random_range(0..200)).map(|_| rng.random()).collect();
        assert!(decode::<Vec<String>>(&garbage).is_err());
    }
    let bytes = encode(&envelope("hello"), MAX_DATAGRAM_BYTES).unwrap();
    for length in 0..bytes.len() {
        assert!(decode::<String>(&bytes[..length]).is_err());
    }
}

/// Guards against datagrams that the network would fragment or drop.
#[test]
fn a_message_over_the_limit_is_rejected() {
    let report = encode(&envelope(&"x".repeat(MAX_DATAGRAM_BYTES)), MAX_DATAGRAM_BYTES).unwrap_err();
    assert_eq!(*report.current_context(), ErrorKind::Limit);
}

/// Guards against a socket that is unusable after a malformed datagram.
#[actix_rt::test]
async fn a_socket_remains_usable_after_a_malformed_datagram() {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    let socket = DatagramSocket::new(socket).unwrap();
    let sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    sender.send_to(b"garbage", address).unwrap();
    sender.send_to(&[0; 2_000], address).unwrap();
    assert!(socket.receive::<String>().await.is_err());
    assert!(socket.receive::<String>().await.is_err());
    socket.send(address, &envelope("after")).unwrap();
    assert_eq!(socket.receive::<String>().await.unwrap().0, envelope("after"));
}

fn listen() -> (std::net::SocketAddr, mpsc::UnboundedReceiver<(Envelope<String>, usize)>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let listener = StreamListener::new(listener, NetOptions::default()).unwrap();
    let (tx, rx) = mpsc::unbounded_channel();
    actix_rt::spawn(listener.run(tx));
    (address, rx)
}

/// Guards against effects of a forged length on other connections.
#[actix_rt::test]
async fn a_forged_length_closes_only_its_connection() {
    let (address, mut rx) = listen();
    for forged in [u32::MAX, MAX_FRAME_BYTES as u32 + 1] {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.write_all(&forged.to_le_bytes()).unwrap();
        stream.set_read_timeout(Some(WAIT)).unwrap();
        let read = actix_rt::task::spawn_blocking(move || stream.read(&mut [0])).await.unwrap();
        assert!(matches!(read, Ok(0)) || read.is_err_and(|e| e.kind() == std::io::ErrorKind::ConnectionReset));
    }
    let links = StreamLinks::start([("e2".into(), address)], &NetOptions::default());
    assert!(links.send("e2", &envelope("whole")).unwrap() > 0);
    let received = actix_rt::time::timeout(WAIT, rx.recv()).await.unwrap().unwrap();
    assert_eq!(received.0, envelope("whole"));
}

/// Guards against a sender that stays disconnected after its peer has restarted.
#[actix_rt::test]
async fn a_link_reconnects_to_a_restarted_peer() {
    let stopped = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = stopped.local_addr().unwrap();
    drop(stopped);
    let links = StreamLinks::start([("e2".into(), address)], &NetOptions::default());
    links.send("e2", &envelope("lost")).unwrap();
    actix_rt::time::sleep(Duration::from_millis(100)).await;
    let listener = StreamListener::new(TcpListener::bind(address).unwrap(), NetOptions::default()).unwrap();
    let (tx, mut rx) = mpsc::unbounded_channel::<(Envelope<String>, usize)>();
    actix_rt::spawn(listener.run(tx));
    let received = actix_rt::time::timeout(WAIT, async {
        loop {
            links.send("e2", &envelope("again")).unwrap();
            let wait = actix_rt::time::timeout(Duration::from_millis(50), rx.recv());
            if let Ok(Some(received)) = wait.await {
                return received.0;
            }
        }
    });
    assert_eq!(received.await.unwrap(), envelope("again"));
}

/// Guards against memory that grows while a peer is unreachable.
#[actix_rt::test]
async fn messages_beyond_the_queue_are_dropped() {
    let options = NetOptions { max_queued_messages: 4, ..NetOptions::default() };
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let links = StreamLinks::start([("e2".into(), listener.local_addr().unwrap())], &options);
    let sent = (0..100).filter(|_| links.send("e2", &envelope("x")).unwrap() > 0).count();
    assert_eq!(sent, options.max_queued_messages);
}

/// Guards against a burst of ticks for a slow subscriber.
#[actix_rt::test]
async fn a_slow_subscriber_gets_one_tick() {
    let (timer, task) = Timer::new();
    actix_rt::spawn(task.run());
    let mut rx = timer.subscribe(Duration::from_millis(5));
    actix_rt::time::sleep(Duration::from_millis(60)).await;
    rx.recv().await.unwrap();
    assert!(rx.try_recv().is_err());
    actix_rt::time::timeout(WAIT, rx.recv()).await.unwrap().unwrap();
}

/// Guards against a message of an unknown kind, such as another version sends, that closes its connection again and again
/// together with the messages behind it, and against one that is skipped without a trace.
#[actix_rt::test]
async fn an_unreadable_message_is_skipped() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (tx, mut rx) = mpsc::unbounded_channel::<(Envelope<Option<u32>>, usize)>();
    let (unreadable_tx, mut unreadable) = mpsc::unbounded_channel();
    let listener = StreamListener::new(listener, NetOptions::default()).unwrap().with_unreadable(unreadable_tx);
    actix_rt::spawn(listener.run(tx));
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    for number in 0..3_u32 {
        // Variant 7 of an enum with two variants, and a message with a field too many.
        for unknown in [vec![7, 1], vec![1, 5, 9]] {
            let unknown = Envelope { from: "e1".into(), incarnation: 1, message: Raw(unknown) };
            let known = Envelope { from: "e1".into(), incarnation: 1, message: Some(number) };
            for frame in [encode(&unknown, MAX_FRAME_BYTES).unwrap(), encode(&known, MAX_FRAME_BYTES).unwrap()] {
                stream.write_all(&(frame.len() as u32).to_le_bytes()).await.unwrap();
                stream.write_all(&frame).await.unwrap();
            }
            let (received, _) = rx.recv().await.expect("the connection stays open");
            assert_eq!(received.message, Some(number));
            let report = unreadable.recv().await.expect("a report");
            assert_eq!(report.peer, stream.local_addr().unwrap());
        }
    }
}

/// Bytes that are encoded as they are.
struct Raw(Vec<u8>);

impl serde::Serialize for Raw {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        use serde::ser::SerializeTuple;
        let mut tuple = serializer.serialize_tuple(self.0.len())?;
        self.0.iter().try_for_each(|byte| tuple.serialize_element(byte))?;
        tuple.end()
    }
}
