//! Datagrams and frames on streams over inputs that are damaged or made up. Guards against panics, memory that an
//! announced length reserves, and a connection that is left in the middle of a frame.

use {
    hemlockford_core::{control::PeerMessage, fleet::FleetMessage},
    hemlockford_fuzz::{Fuzz, Mutator, SEED, postcards},
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

/// Bytes that a decoded message holds at most for each of its own.
const MESSAGE_BYTES: u64 = 512;
const WAIT: Duration = Duration::from_secs(5);

/// Returns the frame of a body, with the checksum that belongs to it.
fn sealed(body: &[u8]) -> Vec<u8> {
    [&[1], &crc32fast::hash(body).to_le_bytes()[..], body].concat()
}

fn check<M: Serialize + DeserializeOwned + PartialEq + Debug>(name: &'static str) {
    let valid = postcards::<Envelope<M>>();
    let mut fuzz = Fuzz::new(name, MESSAGE_BYTES);
    let check = |input: &[u8], envelope: Envelope<M>| {
        let bytes = encode(&envelope, MAX_FRAME_BYTES).expect("encoded");
        assert_eq!(decode::<M>(&bytes).expect("decoded"), envelope);
        // Another form of the same message may be longer, but no part of the input is left over.
        assert!(bytes.len() <= input.len());
    };
    // Past the checksum, so that the body is looked at, and with the checksum damaged as well.
    fuzz.run(&valid, 4_000, |body| decode::<M>(&sealed(body)).ok(), |body, envelope| check(&sealed(body), envelope));
    let frames: Vec<_> = valid.iter().map(|body| sealed(body)).collect();
    fuzz.run(&frames, 4_000, |frame| decode::<M>(frame).ok(), check);
    for body in &valid {
        let followed = [&body[..], &[0]].concat();
        assert!(decode::<M>(&sealed(&followed)).is_err(), "a message followed by another byte");
    }
}

#[test]
fn frames_are_decoded_safely() {
    check::<PeerMessage>("frame of PeerMessage");
    check::<FleetMessage>("frame of FleetMessage");
}

/// Guards against a socket that goes deaf, and one that takes a damaged datagram for a message.
#[actix_rt::test]
async fn a_socket_hears_what_follows_any_datagram() {
    println!("seed {SEED}");
    let mut mutator = Mutator::new(SEED);
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let (socket, address) = (DatagramSocket::new(socket.try_clone().unwrap()).unwrap(), socket.local_addr().unwrap());
    let sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    let valid = encode(&envelope(1), MAX_DATAGRAM_BYTES).unwrap();
    let mut accepted = 0;
    for number in 0..300 {
        let input = if number % 4 == 0 { mutator.random() } else { mutator.mutate(&valid, &valid) };
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

/// Guards against a stream that is read on after a malformed frame, frames in front of it that are lost,
/// acknowledgements of frames that were not taken, and harm to another connection.
#[actix_rt::test]
async fn a_malformed_frame_ends_only_its_connection() {
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
        let whole = [frame(number), frame(number)].concat();
        let damaged = mutator.mutate(&frame(number), &whole);
        // A third whole frame follows, which counts only if the damaged one was whole all the same.
        let (acknowledged, messages) =
            exchange(address, &[whole, damaged.clone(), frame(number)].concat(), &mut rx).await;
        // Frames that were read together with a malformed one are taken and not acknowledged.
        assert!(acknowledged <= messages.len(), "input {:?}", damaged.escape_ascii().to_string());
        let mut rest = &damaged[..];
        let mut expected = 2;
        while let Some(behind) = rest.strip_prefix(&frame(number)[..]) {
            (rest, expected) = (behind, expected + 1);
        }
        // The last frame counts if only whole ones are in front of it.
        expected += usize::from(rest.is_empty());
        assert_eq!(messages, vec![envelope(number); expected], "{:?}", damaged.escape_ascii().to_string());
        closed += usize::from(messages.len() == 2);
    }
    assert!(closed > 100, "{closed} of 200 connections were closed");
    let links = StreamLinks::start([("e2".into(), address)], &options);
    links.send("e2", &envelope(7)).unwrap();
    assert_eq!(actix_rt::time::timeout(WAIT, rx.recv()).await.unwrap().unwrap().0, envelope(7));
    println!("200 connections, {closed} closed after the two whole frames");
}

/// Writes bytes on a connection of its own, closes it and returns the number of acknowledgements and the messages.
async fn exchange(
    address: SocketAddr,
    bytes: &[u8],
    rx: &mut mpsc::UnboundedReceiver<(Envelope<u32>, usize)>,
) -> (usize, Vec<Envelope<u32>>) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The listener may close before it has read all.
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
