//! Datagrams and frames on streams with corrupted and random inputs. Guards against panics, memory that is allocated for
//! a forged length, and reading from the middle of a frame after an error.

use {
    hemlockford_core::{control::PeerMessage, fleet::FleetMessage},
    hemlockford_fuzz::{Fuzzer, Mutator, SEED, valid_encodings},
    hemlockford_net::{
        DatagramSocket, Envelope, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, NetOptions, StreamLinks, StreamListener, decode,
        encode,
    },
    serde::{Serialize, de::DeserializeOwned},
    std::{
        fmt::Debug,
        net::{SocketAddr, TcpListener, UdpSocket},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        sync::mpsc,
    },
};

/// Maximum memory of a decoded message per encoded byte.
const MESSAGE_BYTES: u64 = 512;
const WAIT: Duration = Duration::from_secs(5);

/// Returns a message with the given body and a valid checksum.
fn with_checksum(body: &[u8]) -> Vec<u8> {
    [&[1], &crc32fast::hash(body).to_le_bytes()[..], body].concat()
}

fn check<M: Serialize + DeserializeOwned + PartialEq + Debug>(name: &'static str) {
    let valid = valid_encodings::<Envelope<M>>();
    let mut fuzz = Fuzzer::new(name, MESSAGE_BYTES);
    let check = |input: &[u8], envelope: Envelope<M>| {
        let bytes = encode(&envelope, MAX_FRAME_BYTES).expect("encoded");
        assert_eq!(decode::<M>(&bytes).expect("decoded"), envelope);
        // The input may encode the same message less compactly, but all of it must have been read.
        assert!(bytes.len() <= input.len());
    };
    // First with a valid checksum, so that the body is decoded, and then with the checksum corrupted as well.
    fuzz.run(
        &valid,
        4_000,
        |body| decode::<M>(&with_checksum(body)).ok(),
        |body, envelope| check(&with_checksum(body), envelope),
    );
    let frames: Vec<_> = valid.iter().map(|body| with_checksum(body)).collect();
    fuzz.run(&frames, 4_000, |frame| decode::<M>(frame).ok(), check);
    for body in &valid {
        let followed = [&body[..], &[0]].concat();
        assert!(decode::<M>(&with_checksum(&followed)).is_err(), "a message followed by another byte");
    }
}

#[test]
fn frames_are_decoded_safely() {
    check::<PeerMessage>("frame of PeerMessage");
    check::<FleetMessage>("frame of FleetMessage");
}

/// Guards against a socket that stops receiving after a malformed datagram, or that accepts a corrupted one.
#[actix_rt::test]
async fn a_socket_receives_after_any_datagram() {
    println!("seed {SEED}");
    let mut mutator = Mutator::new(SEED);
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let (socket, address) = (DatagramSocket::new(socket.try_clone().unwrap()).unwrap(), socket.local_addr().unwrap());
    let sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    let valid = encode(&envelope(1), MAX_DATAGRAM_BYTES).unwrap();
    let mut accepted = 0;
    for number in 0..300 {
        let input = if number % 4 == 0 { mutator.random_bytes() } else { mutator.mutate(&valid, &valid) };
        sender.send_to(&input, address).unwrap();
        sender.send_to(&encode(&envelope(number), MAX_DATAGRAM_BYTES).unwrap(), address).unwrap();
        if let Ok((received, _)) = receive(&socket).await {
            accepted += 1;
            assert_eq!((input, received), (valid.clone(), envelope(1)));
        }
        assert_eq!(receive(&socket).await.unwrap().0, envelope(number));
    }
    println!("300 datagrams, {accepted} accepted");
}

async fn receive(socket: &DatagramSocket) -> hemlockford_core::errors::Result<(Envelope<u32>, usize)> {
    actix_rt::time::timeout(WAIT, socket.receive()).await.expect("a datagram in time")
}

fn envelope(message: u32) -> Envelope<u32> {
    Envelope { from: "e1".into(), incarnation: 3, message }
}

/// Guards against reading a stream after a malformed frame, loss of the frames before it, acknowledgements of frames that
/// were not accepted, and effects on other connections.
#[actix_rt::test]
async fn a_malformed_frame_closes_only_its_connection() {
    println!("seed {SEED}");
    let mut mutator = Mutator::new(SEED);
    let options = NetOptions { ack_timeout: Some(Duration::from_secs(1)), ..NetOptions::default() };
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (tx, mut rx) = mpsc::unbounded_channel::<(Envelope<u32>, usize)>();
    actix_rt::spawn(StreamListener::new(listener, options.clone()).unwrap().run(tx));
    let frame = |number: u32| {
        let body = encode(&envelope(number), MAX_FRAME_BYTES).unwrap();
        [&(body.len() as u32).to_le_bytes()[..], &body].concat()
    };
    let mut closed = 0;
    for number in 0..200 {
        let valid = [frame(number), frame(number)].concat();
        let mutated = mutator.mutate(&frame(number), &valid);
        // Another valid frame follows; it is accepted only if the mutated bytes are valid frames.
        let (acknowledged, messages) =
            exchange(address, &[valid, mutated.clone(), frame(number)].concat(), &mut rx).await;
        // Frames that were read together with a malformed one are accepted but not acknowledged.
        assert!(acknowledged <= messages.len(), "input {:?}", mutated.escape_ascii().to_string());
        let mut rest = &mutated[..];
        let mut expected = 2;
        while let Some(remaining) = rest.strip_prefix(&frame(number)[..]) {
            (rest, expected) = (remaining, expected + 1);
        }
        // The last frame is accepted if there are only valid frames before it.
        expected += usize::from(rest.is_empty());
        assert_eq!(messages, vec![envelope(number); expected], "{:?}", mutated.escape_ascii().to_string());
        closed += usize::from(messages.len() == 2);
    }
    assert!(closed > 100, "{closed} of 200 connections were closed");
    let links = StreamLinks::start([("e2".into(), address)], &options);
    links.send("e2", &envelope(7)).unwrap();
    assert_eq!(actix_rt::time::timeout(WAIT, rx.recv()).await.unwrap().unwrap().0, envelope(7));
    println!("200 connections, {closed} closed after the first two frames");
}

/// Writes bytes to a new connection, closes it and returns the number of acknowledgements and the received messages.
async fn exchange(
    address: SocketAddr,
    bytes: &[u8],
    rx: &mut mpsc::UnboundedReceiver<(Envelope<u32>, usize)>,
) -> (usize, Vec<Envelope<u32>>) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The listener may close the connection before it has read all bytes.
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
    let (mut acks, mut buf) = (0, [0; 64]);
    while let Ok(Ok(read)) = actix_rt::time::timeout(WAIT, stream.read(&mut buf)).await {
        if read == 0 {
            break;
        }
        acks += read;
    }
    let mut messages = Vec::new();
    while let Ok((message, _)) = rx.try_recv() {
        messages.push(message);
    }
    (acks, messages)
}
