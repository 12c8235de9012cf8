//! Links on demand, with acknowledged frames.

use {
    hemlockford_net::{Envelope, NetOptions, StreamLinks, StreamListener},
    std::{
        net::{SocketAddr, TcpListener},
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        sync::mpsc,
    },
};

const WAIT: Duration = Duration::from_secs(5);
const MEGABYTE: usize = 1 << 20;

type Received = mpsc::UnboundedReceiver<(Envelope<String>, usize)>;

fn envelope(message: &str) -> Envelope<String> {
    Envelope { from: "127.0.0.1:1".into(), incarnation: 3, message: message.into() }
}

fn listen(options: &NetOptions) -> (String, Received) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let listener = StreamListener::new(listener, options.clone()).unwrap();
    let (tx, rx) = mpsc::unbounded_channel();
    actix_rt::spawn(listener.run(tx));
    (address, rx)
}

/// Returns a listener whose connections are handled by the test.
fn bind() -> (tokio::net::TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    (tokio::net::TcpListener::from_std(listener).unwrap(), address.to_string())
}

async fn accept(listener: &tokio::net::TcpListener) -> TcpStream {
    actix_rt::time::timeout(WAIT, listener.accept()).await.expect("no connection").unwrap().0
}

async fn receive(rx: &mut Received) -> String {
    actix_rt::time::timeout(WAIT, rx.recv()).await.expect("no message").unwrap().0.message
}

/// Reads one frame; `None` if the connection ends first.
async fn read_frame(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let length = stream.read_u32_le().await.ok()?;
    let mut frame = vec![0; length as usize];
    stream.read_exact(&mut frame).await.ok()?;
    Some(frame)
}

/// Guards against links that are not opened to an address on demand, and against links to names that are not addresses.
#[actix_rt::test]
async fn links_are_opened_to_addresses_on_demand() {
    let options = NetOptions::fleet();
    let (address, mut rx) = listen(&options);
    let links = StreamLinks::on_demand(&options);
    assert_eq!(links.len(), 0);
    assert_eq!(links.send("e2", &envelope("x")).unwrap(), 0);
    for round in 0..50 {
        assert!(links.send(&address, &envelope(&round.to_string())).unwrap() > 0);
        assert_eq!(receive(&mut rx).await, round.to_string());
    }
    assert_eq!(links.len(), 1);
    let fixed = StreamLinks::start([], &options);
    assert_eq!(fixed.send(&address, &envelope("x")).unwrap(), 0, "a link was opened to an unknown peer");
}

/// Guards against continued use of a connection that was dropped by the network without a reset.
#[actix_rt::test]
async fn a_silent_connection_is_replaced_after_a_second() {
    let (listener, address) = bind();
    let links = StreamLinks::on_demand(&NetOptions::fleet());
    links.send(&address, &envelope("lost")).unwrap();
    let mut silent = accept(&listener).await;
    assert!(read_frame(&mut silent).await.is_some());
    let written = Instant::now();
    // The end of the stream shows when the link closed the connection.
    let closed = actix_rt::time::timeout(WAIT, silent.read(&mut [0])).await.expect("the connection was not closed");
    assert_eq!(closed.unwrap(), 0);
    let waited = written.elapsed();
    assert!((900..2_000).contains(&waited.as_millis()), "closed after {waited:?}");
    links.send(&address, &envelope("again")).unwrap();
    let mut next = accept(&listener).await;
    let frame = read_frame(&mut next).await.unwrap();
    assert!(frame.windows(5).any(|part| part == b"again"));
}

/// Guards against a message that is delayed because it is the first one on a connection that went silent while idle.
#[actix_rt::test]
async fn a_message_does_not_wait_for_a_connection_that_went_silent_while_idle() {
    let (listener, address) = bind();
    let links = StreamLinks::on_demand(&NetOptions::fleet());
    links.send(&address, &envelope("before")).unwrap();
    let mut silent = accept(&listener).await;
    assert!(read_frame(&mut silent).await.is_some());
    silent.write_all(&[1]).await.unwrap();
    actix_rt::time::sleep(Duration::from_secs(3)).await;
    links.send(&address, &envelope("after")).unwrap();
    let mut next = actix_rt::time::timeout(Duration::from_millis(500), listener.accept()).await;
    let (stream, _) = next.as_mut().expect("the message was sent on the old connection").as_mut().unwrap();
    assert!(read_frame(stream).await.is_some());
}

/// Guards against closing connections whose frames are acknowledged, and against loss of their messages.
#[actix_rt::test]
async fn an_acknowledged_connection_stays_open() {
    let (listener, address) = bind();
    let links = StreamLinks::on_demand(&NetOptions::fleet());
    links.send(&address, &envelope("0")).unwrap();
    let mut stream = accept(&listener).await;
    for round in 1..6 {
        assert!(read_frame(&mut stream).await.is_some());
        stream.write_all(&[1]).await.unwrap();
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        links.send(&address, &envelope(&round.to_string())).unwrap();
    }
    assert!(read_frame(&mut stream).await.is_some());
}

/// Guards against treating a connection as dropped while a large frame is sent over a slow network.
#[actix_rt::test]
async fn a_large_frame_has_a_longer_timeout() {
    let (listener, address) = bind();
    let links = StreamLinks::on_demand(&NetOptions::fleet());
    links.send(&address, &envelope(&"x".repeat(MEGABYTE))).unwrap();
    let mut stream = accept(&listener).await;
    assert!(read_frame(&mut stream).await.is_some());
    actix_rt::time::sleep(Duration::from_millis(1_500)).await;
    stream.write_all(&[1]).await.unwrap();
    links.send(&address, &envelope("after")).unwrap();
    assert!(read_frame(&mut stream).await.is_some(), "the connection was closed too early");
}

/// Guards against loss of frames that arrive in pieces or together, and against missing or extra acknowledgements.
#[actix_rt::test]
async fn every_frame_is_acknowledged_with_one_byte() {
    let options = NetOptions::fleet();
    let (address, mut rx) = listen(&options);
    let bytes = hemlockford_net::encode(&envelope("piece"), 1_000).unwrap();
    let mut frame = u32::try_from(bytes.len()).unwrap().to_le_bytes().to_vec();
    frame.extend(bytes);
    let mut stream = TcpStream::connect(&address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    for part in frame.chunks(7) {
        stream.write_all(part).await.unwrap();
        actix_rt::time::sleep(Duration::from_millis(2)).await;
    }
    stream.write_all(&frame.repeat(3)).await.unwrap();
    let mut acks = [0; 4];
    actix_rt::time::timeout(WAIT, stream.read_exact(&mut acks)).await.expect("no acknowledgement").unwrap();
    for _ in 0..4 {
        assert_eq!(receive(&mut rx).await, "piece");
    }
    let more = actix_rt::time::timeout(Duration::from_millis(100), stream.read(&mut acks)).await;
    assert!(more.is_err(), "more acknowledgements than frames");
}

/// Guards against connections that stay open to failed instances, and against idle links that cannot be opened again.
#[actix_rt::test]
async fn an_idle_link_is_closed() {
    let options = NetOptions { idle_timeout: Some(Duration::from_millis(200)), ..NetOptions::fleet() };
    let (address, mut rx) = listen(&options);
    let links = StreamLinks::on_demand(&options);
    for round in 0..3 {
        links.send(&address, &envelope(&round.to_string())).unwrap();
        assert_eq!(receive(&mut rx).await, round.to_string());
        assert_eq!(links.len(), 1);
        actix_rt::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(links.len(), 0, "the idle link is still open");
    }
}

/// Guards against unbounded memory for queued large messages, to one peer and to many peers at once.
#[actix_rt::test]
async fn queued_large_messages_are_bounded() {
    let options =
        NetOptions { max_queued_bytes: 3 * MEGABYTE, max_total_queued_bytes: 6 * MEGABYTE, ..NetOptions::fleet() };
    let links = StreamLinks::on_demand(&options);
    let large = envelope(&"x".repeat(MEGABYTE));
    let mut listeners = Vec::new();
    let mut sent = Vec::new();
    for _ in 0..5 {
        let (listener, address) = bind();
        listeners.push(listener);
        sent.push((0..10).filter(|_| links.send(&address, &large).unwrap() > 0).count());
        assert!(links.send(&address, &envelope("small")).unwrap() > 0, "a small message was dropped");
    }
    assert_eq!(sent, [2, 2, 1, 0, 0]);
}

/// Guards against a configuration of the maximum size that is not received, and against memory that is kept for it
/// afterwards.
#[actix_rt::test]
async fn the_longest_configuration_arrives() {
    let options = NetOptions::fleet();
    let (address, mut rx) = listen(&options);
    let links = StreamLinks::on_demand(&options);
    let message = "x".repeat(MEGABYTE);
    for _ in 0..5 {
        assert!(links.send(&address, &envelope(&message)).unwrap() > MEGABYTE);
        assert!(receive(&mut rx).await == message);
    }
}
