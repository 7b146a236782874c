use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::key::FrameMac;
use super::*;

const TIMEOUT: Duration = Duration::from_secs(20);

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn body(text: &'static str) -> Body {
    Body {
        kind: Kind::Lookup,
        payload: Bytes::from_static(text.as_bytes()),
    }
}

fn options(router: &str, keys: &[&str]) -> LinkOptions {
    let keys: Vec<Arc<str>> = keys.iter().map(|key| (*key).into()).collect();
    LinkOptions {
        identity: PeerIdentity {
            router: router.into(),
            incarnation: 7,
            address: loopback(),
        },
        keys: PeerKeys::new(&keys).expect("at least one key is given"),
        times: LinkTimes {
            ping_after: Duration::from_millis(40),
            silence_timeout: Duration::from_millis(120),
            min_backoff: Duration::from_millis(5),
            max_backoff: Duration::from_millis(20),
            ..LinkTimes::default()
        },
        max_accepted_connections: 16,
    }
}

async fn start(router: &str, keys: &[&str]) -> (Links, Inbound) {
    Links::bind(options(router, keys))
        .await
        .expect("loopback can be bound")
}

#[tokio::test]
async fn open_relay_connection_carries_bytes_after_the_reply() {
    let (server, _inbound) = start("server", &["k"]).await;
    let (client, _client_inbound) = start("client", &["k"]).await;
    let mut requests = server.accept_relays();
    let connect = |text| Body {
        kind: Kind::Connect,
        ..body(text)
    };
    let serving = async {
        let request = requests.recv().await.expect("a request arrives");
        assert_eq!(&*request.from.router, "client");
        assert_eq!(request.body, connect("a"));
        let mut stream = request.reply(connect("b")).await.expect("the peer reads");
        let mut bytes = [0; 3];
        stream.read_exact(&mut bytes).await.expect("bytes arrive");
        stream.write_all(&bytes).await.expect("the peer reads");
    };
    let opening = async {
        let to = server.identity().address;
        let opened = client.open_relay(to, connect("a"), TIMEOUT).await;
        let (reply, mut stream) = opened.expect("the request is served");
        assert_eq!(reply, connect("b"));
        stream.write_all(b"xyz").await.expect("the peer reads");
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).await.expect("bytes arrive");
        assert_eq!(bytes, b"xyz");
    };
    tokio::join!(serving, opening);
}

/// Starts a router that replies to each request with the request's payload.
async fn start_echo(keys: &[&str]) -> SocketAddr {
    let (links, mut inbound) = start("echo", keys).await;
    let address = links.identity().address;
    tokio::spawn(async move {
        let _links = links;
        while let Some(event) = inbound.recv().await {
            if let Some(reply) = event.reply {
                reply.send(event.body);
            }
        }
    });
    address
}

/// Starts a proxy to `target`. Setting the returned flag stalls the replies on the connections that are open at that
/// time.
async fn start_proxy(target: SocketAddr) -> (SocketAddr, Arc<AtomicBool>) {
    let listener = TcpListener::bind(loopback())
        .await
        .expect("loopback can be bound");
    let address = listener.local_addr().expect("the socket is bound");
    let is_stalled = Arc::new(AtomicBool::new(false));
    let stall_flag = Arc::clone(&is_stalled);
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            // A new connection works even if earlier ones are stalled.
            stall_flag.store(false, Ordering::SeqCst);
            let server = TcpStream::connect(target)
                .await
                .expect("the target listens");
            let (client_read, client_write) = client.into_split();
            let (server_read, server_write) = server.into_split();
            tokio::spawn(forward(client_read, server_write, None));
            tokio::spawn(forward(
                server_read,
                client_write,
                Some(Arc::clone(&stall_flag)),
            ));
        }
    });
    (address, is_stalled)
}

async fn forward(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    is_stalled: Option<Arc<AtomicBool>>,
) {
    let mut stalled = false;
    let mut buffer = [0; 4_096];
    while let Ok(count) = from.read(&mut buffer).await {
        if count == 0 {
            return;
        }
        stalled |= is_stalled
            .as_ref()
            .is_some_and(|is_stalled| is_stalled.load(Ordering::SeqCst));
        if !stalled && to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

#[yare::parameterized(
    same_key = { &["0123456789abcdef"], &["0123456789abcdef"], true },
    rotation_first_step = { &["old-old-old-old-old"], &["old-old-old-old-old", "new-new-new-new-new"], true },
    rotation_middle = { &["old-old-old-old-old", "new-new-new-new-new"], &["new-new-new-new-new", "old-old-old-old-old"], true },
    other_key = { &["0123456789abcdef"], &["fedcba9876543210"], false },
    rotation_skipped = { &["old-old-old-old-old"], &["new-new-new-new-new", "old-old-old-old-old"], false },
)]
#[test_macro(tokio::test)]
async fn request_keys(own: &[&str], theirs: &[&str], answered: bool) {
    let echo = start_echo(theirs).await;
    let (links, _inbound) = start("asker", own).await;
    let reply = links.request(echo, body("hello"), TIMEOUT).await;
    assert_eq!(reply, answered.then(|| body("hello")));
}

/// A body above the size limit panicked in its sender, which may be the control thread.
#[tokio::test]
async fn send_body_too_large_is_dropped_and_counted() {
    let (receiver, _inbound) = start("receiver", &["0123456789abcdef"]).await;
    let (sender, _sender_inbound) = start("sender", &["0123456789abcdef"]).await;
    let large = Body {
        kind: Kind::Lookup,
        payload: vec![0; MAX_PAYLOAD_BYTES + 1].into(),
    };
    assert!(!sender.send(receiver.identity().address, large));
    assert_eq!(sender.traffic().get(Kind::Lookup).dropped_frames, 1);
}

#[tokio::test]
async fn send_event_names_sender() {
    let (receiver, mut inbound) = start("receiver", &["0123456789abcdef"]).await;
    let (sender, _sender_inbound) = start("sender", &["0123456789abcdef"]).await;
    assert!(sender.send(receiver.identity().address, body("note")));
    let event = inbound.recv().await.expect("the body arrives");
    assert_eq!(&event.from, sender.identity());
    assert_eq!(event.body, body("note"));
    assert!(event.reply.is_none());
    let sent = sender.traffic().get(Kind::Lookup);
    assert_eq!(sent.sent_bytes, wire_bytes(&body("note")) as u64);
    assert_eq!(
        receiver.traffic().get(Kind::Lookup).received_bytes,
        sent.sent_bytes
    );
}

#[tokio::test]
async fn request_silent_connection_is_replaced() {
    let echo = start_echo(&["0123456789abcdef"]).await;
    let (proxy, is_stalled) = start_proxy(echo).await;
    let (links, _inbound) = start("asker", &["0123456789abcdef"]).await;
    assert!(links.request(proxy, body("one"), TIMEOUT).await.is_some());
    is_stalled.store(true, Ordering::SeqCst);
    let mut timeouts = 0;
    let retries = async {
        while links
            .request(proxy, body("two"), Duration::from_millis(50))
            .await
            .is_none()
        {
            timeouts += 1;
            // A request during the backoff fails immediately.
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, retries)
        .await
        .expect("the silent connection is replaced");
    assert!(timeouts > 0, "the proxy did not stall");
}

#[tokio::test]
async fn send_no_receiver_drops_and_counts() {
    let (receiver, inbound) = start("receiver", &["0123456789abcdef"]).await;
    let (sender, _sender_inbound) = start("sender", &["0123456789abcdef"]).await;
    drop(inbound);
    assert!(sender.send(receiver.identity().address, body("lost")));
    while receiver.traffic().get(Kind::Lookup).received_frames == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(receiver.traffic().get(Kind::Lookup).dropped_frames, 1);
}

#[tokio::test]
async fn send_unreachable_peer_drops_and_counts() {
    let unused = TcpListener::bind(loopback())
        .await
        .expect("loopback can be bound");
    let address = unused.local_addr().expect("the socket is bound");
    drop(unused);
    let (links, _inbound) = start("asker", &["0123456789abcdef"]).await;
    assert!(
        links
            .request(address, body("lost"), TIMEOUT)
            .await
            .is_none()
    );
    assert_eq!(links.traffic().get(Kind::Lookup).dropped_frames, 1);
}

#[yare::parameterized(
    modified = { |frames: &mut Vec<Bytes>| { let mut bytes = frames[0].to_vec(); bytes[17] ^= 1; frames[0] = bytes.into(); } },
    replayed = { |frames: &mut Vec<Bytes>| frames.insert(1, frames[0].clone()) },
    dropped = { |frames: &mut Vec<Bytes>| { frames.remove(0); } },
    reordered = { |frames: &mut Vec<Bytes>| frames.swap(0, 1) },
    truncated = { |frames: &mut Vec<Bytes>| frames[0] = Bytes::from_static(b"short") },
)]
fn verify_tampered_frames_fails(tamper: fn(&mut Vec<Bytes>)) {
    let mut sending = FrameMac::new("0123456789abcdef", "label", b"transcript");
    let mut frames: Vec<Bytes> = ["one", "two", "three"]
        .map(|text| sending.sign(text.as_bytes()))
        .into();
    tamper(&mut frames);
    let mut receiving = FrameMac::new("0123456789abcdef", "label", b"transcript");
    let verified: Result<Vec<_>, _> = frames
        .into_iter()
        .map(|frame| receiving.verify(frame))
        .collect();
    verified.expect_err("the modification is detected");
}

/// Accepts one connection as a router of an older version, which announces no kinds; returns the kinds that it gets.
async fn accept_as_old_router(listener: TcpListener) -> Vec<i32> {
    let (stream, _) = listener.accept().await.expect("a peer connects");
    let mut framed = handshake::frame_stream(stream);
    let own = options("old", &["a"]);
    let role = handshake::Role::Responder;
    let shaken = handshake::perform_with(&mut framed, &own.identity, &own.keys, role, 0);
    let mut session = shaken.await.expect("the keys are equal");
    let mut kinds = Vec::new();
    while kinds.last() != Some(&(Kind::Work as i32)) {
        let read = framed.next().await.expect("the connection stays open");
        let signed = read.expect("frames can be read").freeze();
        let verified = session.receiving.verify(signed).expect("frames are signed");
        let frame = frame::Frame::decode(verified).expect("frames can be decoded");
        kinds.push(frame.kind);
    }
    kinds
}

/// A router of an older version closes the connection on a kind that it does not know, with all other messages on it.
#[tokio::test]
async fn send_newer_kind_is_kept_from_older_router() {
    let listener = TcpListener::bind(loopback())
        .await
        .expect("loopback can be bound");
    let to = listener.local_addr().expect("the socket is bound");
    let old = tokio::spawn(accept_as_old_router(listener));
    let (links, _inbound) = start("new", &["a"]).await;
    let quota = Body {
        kind: Kind::Quota,
        payload: Bytes::new(),
    };
    let work = Body {
        kind: Kind::Work,
        payload: Bytes::new(),
    };
    let reply = links.request(to, quota, TIMEOUT);
    assert_eq!(reply.await, None, "the request fails at once");
    assert!(links.send(to, work));
    let kinds = tokio::time::timeout(TIMEOUT, old).await;
    let kinds = kinds.expect("the message arrives").expect("no panic");
    assert_eq!(kinds, [Kind::Work as i32]);
}

/// A message of a newer version closed the connection with all other messages on it.
#[tokio::test]
async fn receive_unknown_kind_keeps_connection() {
    let (links, mut inbound) = start("new", &["a"]).await;
    let to = links.identity().address;
    let stream = TcpStream::connect(to).await.expect("the router listens");
    let mut framed = handshake::frame_stream(stream);
    let own = options("newer", &["a"]);
    let role = handshake::Role::Initiator;
    let shaken = handshake::perform(&mut framed, &own.identity, &own.keys, role);
    let mut session = shaken.await.expect("the keys are equal");
    for kind in [9_999, Kind::Lookup as i32] {
        let frame = frame::Frame {
            kind,
            ..frame::Frame::new(0, false, body("x"))
        };
        let signed = session.sending.sign(&frame.encode_to_vec());
        framed
            .send(signed)
            .await
            .expect("the connection stays open");
    }
    let event = tokio::time::timeout(TIMEOUT, inbound.recv()).await;
    let event = event.expect("the second message arrives").expect("no end");
    assert_eq!(event.body, body("x"));
}
