//! Connections that reach their limits or the end of the router while a request is on its way.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use salvo::http::{StatusCode, Version};
use tokio::runtime::Builder;
use yare::parameterized;

use super::*;
use crate::listener::bind_listener;
use crate::settings::{RouterSettings, Times};

/// How long a test waits for what must come.
const PATIENCE: Duration = Duration::from_secs(30);
/// How long a caller waits before it goes on.
const PAUSE: Duration = Duration::from_millis(150);
/// The limit on idle connections, which a request comes before.
const LIMIT: Duration = Duration::from_secs(1);
/// The number of connections that the router has not accepted when it is told to stop.
const QUEUED_CONNECTIONS: usize = 20;
const REQUEST: &[u8] = b"GET /v1/entries HTTP/1.1\r\nhost: router\r\n\r\n";

/// A server for callers on a single thread, which a test can keep from running.
struct Entry {
    address: SocketAddr,
    server: Arc<RunningServer>,
    runtime: Runtime,
}

impl Entry {
    fn start(times: Times) -> Self {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let mut settings: RouterSettings =
            parse_json(include_str!("../../../examples/router.json")).unwrap();
        settings.times = times;
        let (shared, _events) = Shared::new(settings, runtime.handle()).unwrap();
        let listener = bind_listener((Ipv4Addr::LOCALHOST, 0).into()).unwrap();
        let address = listener.local_addr().unwrap();
        let server = serve_callers(&runtime, listener, &Arc::new(shared)).unwrap();
        Self {
            address,
            server: Arc::new(server),
            runtime,
        }
    }

    /// Gives the server no processor for `time`.
    fn starve(&self, time: Duration) {
        let (started, has_started) = std::sync::mpsc::channel();
        self.runtime.spawn(async move {
            started.send(()).unwrap();
            thread::sleep(time);
        });
        has_started.recv().unwrap();
    }

    fn connect(&self) -> TcpStream {
        let caller = TcpStream::connect(self.address).unwrap();
        caller.set_read_timeout(Some(PATIENCE)).unwrap();
        caller
    }

    /// Stops the server in the background; the thread returns whether it ended in time, and how long that took.
    fn stop(&self, limit: Duration) -> thread::JoinHandle<(bool, Duration)> {
        let (server, runtime) = (Arc::clone(&self.server), self.runtime.handle().clone());
        thread::spawn(move || {
            let began = Instant::now();
            let ended = runtime.block_on(server.stop(limit));
            (ended, began.elapsed())
        })
    }
}

fn idle_limit() -> Times {
    Times {
        idle_timeout_ms: LIMIT.as_millis() as u64,
        ..Times::default()
    }
}

/// Reads a whole response, in lower case.
fn read_response(caller: &mut TcpStream) -> io::Result<String> {
    let mut response = String::new();
    let mut bytes = [0; 4_096];
    loop {
        let read = caller.read(&mut bytes)?;
        if read == 0 {
            let message = format!("closed after {response:?}");
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, message));
        }
        response += &String::from_utf8_lossy(&bytes[..read]).to_lowercase();
        let Some((head, body)) = response.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        if length.is_some_and(|length| length.parse() == Ok(body.len())) {
            return Ok(response);
        }
    }
}

fn exchange(caller: &mut TcpStream) -> io::Result<String> {
    caller.write_all(REQUEST)?;
    read_response(caller)
}

/// Asserts that a response says that its request did not run, and that the connection closes.
#[track_caller]
fn assert_refused(response: io::Result<String>) {
    let response = response.expect("the request gets a response");
    assert!(response.starts_with("http/1.1 503 "), "{response}");
    assert!(response.contains("\r\nconnection: close\r\n"), "{response}");
    let run = format!("\r\n{}: not-run\r\n", crate::protocol::HEADER_RUN);
    assert!(response.contains(&run.to_lowercase()), "{response}");
}

/// A caller sent a request before its connection had been idle for too long, and the router, short of processor time, read
/// it later. It closed the connection and dropped the request.
#[parameterized(
    idle = { idle_limit() },
    header = { Times { header_timeout_ms: LIMIT.as_millis() as u64, ..Times::default() } },
)]
fn starved_server_request_before_the_limit_is_answered(times: Times) {
    let entry = Entry::start(times);
    let mut caller = entry.connect();
    exchange(&mut caller).unwrap();
    entry.starve(LIMIT * 2);
    thread::sleep(PAUSE);
    exchange(&mut caller).expect("the request gets a response");
}

/// The timer of the connection fired, and the request arrived before the router could act on it or look at its sockets.
#[test]
fn starved_server_request_that_is_not_reported_is_answered() {
    let entry = Entry::start(idle_limit());
    let mut caller = entry.connect();
    exchange(&mut caller).unwrap();
    let (passed, has_passed) = std::sync::mpsc::channel();
    // One of the two runs before the connection, in whichever order the runtime takes the timers that fired.
    for delay in [LIMIT / 2, LIMIT + PAUSE] {
        let passed = passed.clone();
        entry.runtime.spawn(async move {
            tokio::time::sleep(delay).await;
            passed.send(()).unwrap();
            thread::sleep(LIMIT / 2);
        });
    }
    entry.starve(LIMIT * 2);
    has_passed.recv().unwrap();
    exchange(&mut caller).expect("the request gets a response");
}

#[test]
fn idle_connection_is_closed() {
    let entry = Entry::start(idle_limit());
    let mut caller = entry.connect();
    exchange(&mut caller).unwrap();
    let closed = read_response(&mut caller).unwrap_err();
    assert_eq!(closed.kind(), io::ErrorKind::UnexpectedEof, "{closed}");
}

#[test]
fn stop_new_connection_is_refused() {
    let entry = Entry::start(Times::default());
    let stopping = entry.stop(PATIENCE);
    thread::sleep(PAUSE);
    let connected = TcpStream::connect(entry.address);
    assert_refused(connected.and_then(|mut caller| exchange(&mut caller)));
    assert!(stopping.join().unwrap().0);
}

#[test]
fn stop_first_request_of_open_connection_is_refused() {
    let entry = Entry::start(Times::default());
    let mut caller = entry.connect();
    let stopping = entry.stop(PATIENCE);
    thread::sleep(PAUSE);
    assert_refused(exchange(&mut caller));
    assert!(stopping.join().unwrap().0);
}

#[test]
fn stop_request_of_kept_connection_is_refused() {
    let entry = Entry::start(Times::default());
    let mut caller = entry.connect();
    exchange(&mut caller).unwrap();
    let stopping = entry.stop(PATIENCE);
    thread::sleep(PAUSE);
    assert_refused(exchange(&mut caller));
    assert!(stopping.join().unwrap().0);
}

/// A connection over HTTP/2 has no header that closes it, and its frames are not all parts of requests.
#[test]
fn stop_request_over_http2_is_refused() {
    let entry = Entry::start(Times::default());
    let client = reqwest::Client::builder()
        .no_proxy()
        .http2_prior_knowledge()
        .build()
        .unwrap();
    let caller = Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .unwrap();
    let url = format!("http://{}/v1/entries", entry.address);
    let exchange = || caller.block_on(client.get(&url).send()).unwrap();
    exchange();
    let stopping = entry.stop(PATIENCE);
    thread::sleep(PAUSE);
    let response = exchange();
    assert_eq!(response.version(), Version::HTTP_2);
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(response.headers()[crate::protocol::HEADER_RUN], "not-run");
    drop(response);
    assert!(stopping.join().unwrap().0);
}

#[test]
fn stop_connections_in_the_queue_are_answered() {
    let entry = Entry::start(Times::default());
    entry.starve(LIMIT);
    let mut callers: Vec<_> = (0..QUEUED_CONNECTIONS).map(|_| entry.connect()).collect();
    for caller in &mut callers {
        caller.write_all(REQUEST).unwrap();
    }
    let stopping = entry.stop(PATIENCE);
    let responses = callers.iter_mut().map(read_response);
    let lost = responses.filter(|response| response.is_err()).count();
    assert_eq!(lost, 0, "of {QUEUED_CONNECTIONS} requests");
    assert!(stopping.join().unwrap().0);
}

#[test]
fn stop_without_requests_ends_before_the_limit() {
    let entry = Entry::start(Times::default());
    let mut kept = entry.connect();
    exchange(&mut kept).unwrap();
    let _unused = entry.connect();
    let (ended, took) = entry.stop(PATIENCE).join().unwrap();
    assert!(ended && took < PATIENCE / 2, "{took:?}");
    let closed = read_response(&mut kept).unwrap_err();
    assert_eq!(closed.kind(), io::ErrorKind::UnexpectedEof, "{closed}");
}
