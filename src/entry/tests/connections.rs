//! Connections that reach their limits or the end of the router while a request is on its way.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

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
