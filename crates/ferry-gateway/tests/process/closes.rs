//! Connections that the gateway closes while bytes of their callers are on the way.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_soak::cluster::Signal;
use ferry_soak::config::Route;
use ferry_soak::endpoint::{Behaviour, N_LARGE_EVENTS, Pool};
use futures_util::future::join_all;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

use crate::harness::{TIMEOUT, head, with_cluster};

/// Last chunk of a complete body.
const LAST_CHUNK: &str = "\r\n0\r\n\r\n";
/// More bytes than the gateway reads before it responds.
const N_BEHIND: usize = 400_000;

/// Reads until the connection ends; returns the text, and whether it ended without an error.
async fn read_to_end(stream: &mut TcpStream, gap: Duration) -> (String, bool) {
    let mut bytes = Vec::new();
    let mut buffer = vec![0; 16 * 1024];
    let is_whole = loop {
        match timeout(TIMEOUT, stream.read(&mut buffer)).await.expect("the connection goes on") {
            Ok(0) => break true,
            Ok(len) => bytes.extend_from_slice(&buffer[..len]),
            Err(_) => break false,
        }
        sleep(gap).await;
    };
    (String::from_utf8_lossy(&bytes).into_owned(), is_whole)
}

#[test]
fn request_behind_a_chunked_body_does_not_cut_the_answer() {
    /// Small, so that the end of the answer waits in the gateway's socket for a while.
    const RECEIVE_BUFFER: u32 = 16 * 1024;
    /// Pause after each read, so that the caller reads more slowly than the endpoint sends.
    const GAP: Duration = Duration::from_millis(1);
    /// Pause before each part behind the request.
    const BETWEEN: Duration = Duration::from_millis(200);
    struct Case {
        name: &'static str,
        /// Sizes of what is sent behind the request, with pauses between.
        behind: &'static [usize],
    }
    let cases = [
        Case { name: "nothing", behind: &[] },
        Case { name: "once", behind: &[10] },
        Case { name: "twice", behind: &[10, 10] },
        Case { name: "large", behind: &[N_BEHIND] },
    ];
    with_cluster("pipelined", 1, async |cluster| {
        let engines = cluster.endpoints.iter().filter(|it| it.pool == Pool::Engine);
        engines.for_each(|it| it.behaviour.set(Behaviour::Large));
        let mut cut = Vec::new();
        for case in cases {
            cluster.checker.record_sent(case.name, Route::Stream, b"body");
            let socket = TcpSocket::new_v4().expect("a socket");
            socket.set_recv_buffer_size(RECEIVE_BUFFER).expect("the size is set");
            let front = cluster.nodes[0].front();
            let mut stream = socket.connect(front).await.expect("the gateway listens");
            let head = head("POST", &Route::Stream.path(), case.name);
            let first = format!(
                "{head}Tarragonferry-Pieces: 1,1\r\nTarragonferry-Piece-Key: k\r\n\
                 Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
            );
            stream.write_all(first.as_bytes()).await.expect("the request is written");
            for len in case.behind {
                sleep(BETWEEN).await;
                let bytes = "x".repeat(*len);
                stream.write_all(bytes.as_bytes()).await.expect("the bytes are written");
            }
            let (text, is_whole) = read_to_end(&mut stream, GAP).await;
            let n_events = text.lines().filter(|it| it.starts_with("data: ")).count();
            if !is_whole || !text.ends_with(LAST_CHUNK) || n_events as u64 != N_LARGE_EVENTS {
                cut.push(format!("{}: {n_events} events, {} bytes", case.name, text.len()));
            }
        }
        assert!(cut.is_empty(), "{cut:#?}");
        assert_eq!(cluster.checker.violations(), Vec::<String>::new());
    });
}

#[test]
fn refusal_reaches_a_caller_that_is_still_sending() {
    /// Bytes written at once, and the pause after them.
    const PART: usize = 64 * 1024;
    const GAP: Duration = Duration::from_millis(5);
    struct Case {
        name: &'static str,
        /// The head, or the start of it.
        start: fn() -> String,
        n_behind: usize,
        status: &'static str,
    }
    let cases = [
        Case {
            name: "a body over the limit",
            start: || head("POST", "/post/x?y=1", "large") + "Content-Length: 3000000\r\n\r\n",
            n_behind: 3_000_000,
            status: "413",
        },
        Case {
            name: "a chunk over the limit",
            start: || {
                head("POST", "/post/x?y=1", "chunk")
                    + "Transfer-Encoding: chunked\r\n\r\n2DC6C0\r\n"
            },
            n_behind: 3_000_000,
            status: "413",
        },
        Case {
            name: "a head over the limit",
            start: || head("GET", "/get/x?y=1", "head") + "Padding: ",
            n_behind: N_BEHIND,
            status: "431",
        },
        Case {
            name: "a head without a meaning",
            start: || "GET / HTTP/1.1\r\nno header\r\n\r\n".to_owned(),
            n_behind: N_BEHIND,
            status: "400",
        },
        Case {
            name: "a length and an encoding",
            start: || {
                head("POST", "/post/x?y=1", "both")
                    + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
            },
            n_behind: N_BEHIND,
            status: "400",
        },
    ];
    with_cluster("refused-early", 1, async |cluster| {
        let mut lost = Vec::new();
        for case in cases {
            let front = cluster.nodes[0].front();
            let mut stream = TcpStream::connect(front).await.expect("the gateway listens");
            let bytes = (case.start)() + &"x".repeat(case.n_behind);
            let mut n_written = 0;
            for part in bytes.as_bytes().chunks(PART) {
                match stream.write_all(part).await {
                    Ok(()) => n_written += part.len(),
                    Err(_) => break,
                }
                sleep(GAP).await;
            }
            let (text, is_whole) = read_to_end(&mut stream, Duration::ZERO).await;
            let status = format!("HTTP/1.1 {} ", case.status);
            if !is_whole || !text.starts_with(&status) || n_written != bytes.len() {
                let line = text.lines().next().unwrap_or_default().to_owned();
                lost.push(format!("{}: {n_written} written, got {line:?}", case.name));
            }
        }
        assert!(lost.is_empty(), "{lost:#?}");
    });
}

/// Requests a stream of large events, and reads its first bytes.
async fn read_first(front: SocketAddr, attempt: &str, n_first: usize) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(16 * 1024).expect("the size is set");
    let mut stream = socket.connect(front).await.expect("the gateway listens");
    let head = head("POST", &Route::Stream.path(), attempt);
    let request = format!(
        "{head}Tarragonferry-Pieces: 1,1\r\nTarragonferry-Piece-Key: k\r\n\
         Content-Length: 4\r\n\r\nbody"
    );
    stream.write_all(request.as_bytes()).await.expect("the request is written");
    let mut first = vec![0; n_first];
    stream.read_exact(&mut first).await.expect("the stream is open");
    stream
}

#[test]
fn stop_does_not_cut_an_answer_whose_end_waits_in_the_process() {
    /// Bytes read before the stop, so that some leave less in the process than its buffer takes.
    const FIRST: usize = 9_000_000;
    const STEP: usize = 40_000;
    const N_CALLERS: usize = 32;
    /// As many as the engines take.
    const N_AT_ONCE: usize = 4;
    /// Longer than the gateway serves on, shorter than it may take to exit.
    const PAUSE: Duration = Duration::from_millis(3_000);
    with_cluster("end-waits", 1, async |mut cluster| {
        let engines = cluster.endpoints.iter().filter(|it| it.pool == Pool::Engine);
        engines.for_each(|it| it.behaviour.set(Behaviour::Large));
        let front = cluster.nodes[0].front();
        let sizes: Vec<usize> = (0..N_CALLERS).map(|it| FIRST + it * STEP).collect();
        let mut callers = Vec::new();
        for sizes in sizes.chunks(N_AT_ONCE) {
            let open = join_all(sizes.iter().map(async |len| {
                let attempt = format!("first-{len}");
                cluster.checker.record_sent(&attempt, Route::Stream, b"body");
                (*len, read_first(front, &attempt, *len).await)
            }));
            callers.extend(open.await);
        }
        sleep(Duration::from_millis(500)).await;
        cluster.nodes[0].signal(Signal::Terminate);
        sleep(PAUSE).await;
        let mut cut = Vec::new();
        // Those that leave most in the process come first; it may exit after them.
        for (len, mut stream) in callers {
            let (text, is_whole) = read_to_end(&mut stream, Duration::ZERO).await;
            if !is_whole || !text.ends_with(LAST_CHUNK) {
                cut.push((len, text.len()));
            }
        }
        assert!(cut.is_empty(), "{} of {N_CALLERS}: {cut:?}", cut.len());
    });
}
