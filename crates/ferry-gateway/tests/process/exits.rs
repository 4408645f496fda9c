//! Requests that end around the exit of a stopped gateway.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_soak::checker::Checker;
use ferry_soak::cluster::{Cluster, Signal};
use ferry_soak::config::Route;
use ferry_soak::endpoint::{Behaviour, response_body};
use futures_util::future::join_all;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::harness::{TIMEOUT, head, with_cluster};

/// Port at which a gateway takes requests of its peers.
const RELAY_PORT: u16 = 7_741;
/// A gateway decides to exit this long after the signal, or once nothing is in progress any longer.
const DECISION: Duration = Duration::from_millis(2_800);
/// Time between the ends of requests; a run takes much longer.
const STEP: Duration = Duration::from_millis(4);

/// What of a request arrives before the signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Early {
    Nothing,
    PartOfHead,
    HeadAndPartOfBody,
    /// A whole request, which is answered, and a part of the next one on the same connection.
    FirstRequest,
}

/// What a caller got for a request.
#[derive(Debug, PartialEq, Eq)]
enum Answer {
    Whole,
    NotRun,
    /// The connection ended, or could not be opened.
    Closed,
    Other(String),
}

struct Caller<'a> {
    early: Early,
    to: SocketAddr,
    attempt: String,
    checker: &'a Checker,
}

impl Caller<'_> {
    fn request(&self, attempt: &str) -> (String, String) {
        self.checker.record_sent(attempt, Route::Post, b"body");
        let head = head("POST", &Route::Post.path(), attempt);
        (format!("{head}Content-Length: 4\r\n\r\n"), "body".to_owned())
    }

    /// Opens the connection, and sends what arrives early; returns what is left.
    async fn start(&self) -> Option<(TcpStream, Vec<u8>)> {
        let mut stream = TcpStream::connect(self.to).await.ok()?;
        if self.early == Early::FirstRequest {
            let first = format!("{}-first", self.attempt);
            let (head, body) = self.request(&first);
            stream.write_all((head + &body).as_bytes()).await.ok()?;
            assert_eq!(read_answer(&mut stream, &first).await, Answer::Whole, "{first}");
        }
        let (head, body) = self.request(&self.attempt);
        let n_early = match self.early {
            Early::Nothing => 0,
            Early::PartOfHead | Early::FirstRequest => head.len() / 2,
            Early::HeadAndPartOfBody => head.len() + body.len() / 2,
        };
        let bytes = (head + &body).into_bytes();
        stream.write_all(&bytes[..n_early]).await.ok()?;
        Some((stream, bytes[n_early..].to_vec()))
    }

    async fn finish(&self, open: Option<(TcpStream, Vec<u8>)>) -> Answer {
        let Some((mut stream, rest)) = open else { return Answer::Closed };
        // A connection that has ended is seen by the read.
        let _ = stream.write_all(&rest).await;
        read_answer(&mut stream, &self.attempt).await
    }
}

/// Reads until the response is complete or the connection ends.
async fn read_answer(stream: &mut TcpStream, attempt: &str) -> Answer {
    let whole = response_body(attempt, b"body");
    let mut text = String::new();
    let mut buffer = [0; 4096];
    while !text.ends_with(&whole) {
        match timeout(TIMEOUT, stream.read(&mut buffer)).await.expect("the request ends") {
            Ok(len @ 1..) => text.push_str(&String::from_utf8_lossy(&buffer[..len])),
            Ok(0) | Err(_) => break,
        }
    }
    match text.lines().next() {
        None => Answer::Closed,
        Some(line) if line.starts_with("HTTP/1.1 200") && text.ends_with(&whole) => Answer::Whole,
        Some(line) if line.starts_with("HTTP/1.1 503") => Answer::NotRun,
        Some(_) => Answer::Other(text),
    }
}

/// Waits until a process has ended by itself.
async fn wait_exit(cluster: &mut Cluster) {
    let ended = async {
        while cluster.nodes[0].exit_status().is_none() {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(TIMEOUT, ended).await.expect("the gateway ends");
}

/// Stops a gateway, sends the last bytes of all requests around its exit, and returns the answers.
async fn stop_while_requests_end(
    cluster: &mut Cluster,
    early: &[Early],
    first: Duration,
    n_steps: u32,
) -> Vec<(String, Answer)> {
    let checker = cluster.checker.clone();
    let ports = [cluster.nodes[0].front(), cluster.nodes[0].address(RELAY_PORT)];
    let mut callers = Vec::new();
    for (port, early) in (0..2).flat_map(|port| early.iter().map(move |it| (port, *it))) {
        for step in 0..n_steps {
            let attempt = format!("{early:?}-{port}-{step}");
            callers.push((step, Caller { early, to: ports[port], attempt, checker: &checker }));
        }
    }
    let mut open = Vec::new();
    for (_, caller) in &callers {
        open.push(caller.start().await);
    }
    cluster.nodes[0].signal(Signal::Terminate);
    let stopped = Instant::now();
    let answers = callers.iter().zip(open).map(async |((step, caller), open)| {
        sleep_until(stopped + first + STEP * *step).await;
        (caller.attempt.clone(), caller.finish(open).await)
    });
    let node = &mut cluster.nodes[0];
    let again = async {
        sleep(DECISION).await;
        node.signal(Signal::Terminate);
    };
    let ((), answers) = tokio::join!(again, join_all(answers));
    answers
}

/// Guards against requests that end as the process exits, reach an endpoint and get no answer.
#[test]
fn request_that_ends_as_the_gateway_exits_is_answered_or_never_run() {
    struct Case {
        name: &'static str,
        early: &'static [Early],
        /// When the first request ends, after the signal.
        first: Duration,
        n_steps: u32,
        /// What some of them get.
        expected: Answer,
    }
    let cases = [
        Case {
            name: "exits-idle",
            early: &[Early::Nothing, Early::PartOfHead, Early::FirstRequest],
            first: DECISION + STEP,
            n_steps: 24,
            expected: Answer::NotRun,
        },
        // Each of them is in progress as the next one ends, so that the decision comes later.
        Case {
            name: "exits-busy",
            early: &[Early::Nothing, Early::PartOfHead, Early::FirstRequest],
            first: DECISION - 15 * STEP,
            n_steps: 45,
            expected: Answer::Whole,
        },
        // The decision waits for their bodies.
        Case {
            name: "exits-bodies",
            early: &[Early::HeadAndPartOfBody, Early::PartOfHead],
            first: DECISION + STEP,
            n_steps: 24,
            expected: Answer::Whole,
        },
    ];
    for case in cases {
        with_cluster(case.name, 1, async |mut cluster| {
            cluster.endpoints.iter().for_each(|it| it.behaviour.set(Behaviour::Slow(6)));
            let checker = cluster.checker.clone();
            let answers =
                stop_while_requests_end(&mut cluster, case.early, case.first, case.n_steps).await;
            wait_exit(&mut cluster).await;
            let mut lost = Vec::new();
            for (attempt, answer) in &answers {
                let runs = checker.runs(attempt).len();
                let is_true = match answer {
                    Answer::Whole => runs == 1,
                    Answer::NotRun | Answer::Closed => runs == 0,
                    Answer::Other(_) => false,
                };
                if !is_true {
                    lost.push(format!("{attempt}: {answer:?}, {runs} runs"));
                }
            }
            let n_expected = answers.iter().filter(|it| it.1 == case.expected).count();
            assert!(
                lost.is_empty(),
                "{}, {} of {}: {lost:#?}",
                case.name,
                lost.len(),
                answers.len()
            );
            assert!(0 < n_expected, "{}: {answers:?}", case.name);
            assert_eq!(checker.violations(), Vec::<String>::new(), "{}", case.name);
        });
    }
}
