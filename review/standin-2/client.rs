//! Clients that send streaming requests to gateways.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::http::Channel;
use crate::record::{Record, now};

pub const HOST: &str = "gen.example";
pub const API_KEY: &str = "9dnn2ctnfzs989anu6ws";
pub const TIME_LIMIT: Duration = Duration::from_millis(5_000);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes of a request's body.
const BODY: usize = 2_000;

/// A request, as its client sends it.
#[derive(Debug, Clone)]
pub struct Request {
    pub attempt: String,
    pub path: String,
    /// Parts of the prompt, as `ID:TOKENS`.
    pub parts: String,
    pub n_tokens: usize,
}

/// What a client got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outcome {
    /// Zero without an answer.
    pub status: u16,
    pub n_events: usize,
    /// Whether the answer came to its end.
    pub is_whole: bool,
}

/// Sends a request over a new channel and reads the answer to its end.
pub fn send(front: SocketAddr, request: &Request) -> Outcome {
    let mut outcome = Outcome { status: 0, n_events: 0, is_whole: false };
    // What has arrived by then is the outcome of a channel that breaks.
    let _ = exchange(front, request, &mut outcome);
    outcome
}

fn exchange(front: SocketAddr, request: &Request, outcome: &mut Outcome) -> io::Result<()> {
    let mut channel = Channel::open(front, CONNECT_TIMEOUT)?;
    channel.stream.set_read_timeout(Some(TIME_LIMIT))?;
    let headers = [
        ("Host", HOST.to_owned()),
        ("Tarragonferry-Attempt-Id", request.attempt.clone()),
        ("Tarragonferry-Model", "m".to_owned()),
        ("Tarragonferry-Token-Count", format!("1800,{}", request.n_tokens)),
        ("Tarragonferry-Prompt-Prefix", request.parts.clone()),
        ("Tarragonferry-Deadline-Remaining", TIME_LIMIT.as_millis().to_string()),
        ("Api-Key", API_KEY.to_owned()),
    ];
    // No two requests are alike.
    let body: Vec<u8> = request.attempt.bytes().cycle().take(BODY).collect();
    channel.send(&format!("POST {} HTTP/1.1", request.path), &headers, &body)?;
    let mut head = channel.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    outcome.status = head.status();
    if outcome.status != 200 {
        channel.read_body(&mut head, true)?;
        outcome.is_whole = true;
        return Ok(());
    }
    while let Some(chunk) = channel.read_chunk()? {
        outcome.n_events += chunk.windows(2).filter(|it| it == b"\n\n").count();
    }
    outcome.is_whole = true;
    Ok(())
}

/// Draws numbers, equal for equal seeds.
#[derive(Debug, Clone)]
pub struct Numbers {
    state: u64,
}

impl Numbers {
    pub fn new(seed: u64) -> Numbers {
        Numbers { state: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1 }
    }

    pub fn next(&mut self) -> u64 {
        self.state ^= self.state << 13;
        self.state ^= self.state >> 7;
        self.state ^= self.state << 17;
        self.state
    }
}

/// Clients that send sound requests at a steady rate, to all gateways in turns.
pub struct SoundTraffic {
    is_over: Arc<AtomicBool>,
    sender: Option<JoinHandle<()>>,
}

impl SoundTraffic {
    /// Each request has one of the common first parts, a part of its session and one of its own.
    pub fn start(
        fronts: Vec<SocketAddr>,
        path: &str,
        first_parts: &'static [&'static str],
        n_tokens: usize,
        interval: Duration,
        record: &Record,
    ) -> SoundTraffic {
        let is_over = Arc::new(AtomicBool::new(false));
        let (ended, record, path) = (is_over.clone(), record.clone(), path.to_owned());
        let sender = std::thread::spawn(move || {
            let mut numbers = Numbers::new(now());
            let count = Arc::new(AtomicU64::new(0));
            let mut next = Instant::now();
            let mut clients = Vec::new();
            while !ended.load(Ordering::SeqCst) {
                next += interval;
                std::thread::sleep(next.saturating_duration_since(Instant::now()));
                let n_sent = count.fetch_add(1, Ordering::SeqCst);
                let front = fronts[n_sent as usize % fronts.len()];
                let first = first_parts[numbers.next() as usize % first_parts.len()];
                let request = Request {
                    attempt: format!("{:016x}", numbers.next()),
                    path: path.clone(),
                    parts: format!(
                        "{first}:341,5e55{:04x}:227,{:012x}:250",
                        numbers.next() % 40,
                        numbers.next() >> 16
                    ),
                    n_tokens,
                };
                let record = record.clone();
                clients.push(std::thread::spawn(move || {
                    ask(front, n_sent as usize, &request, "sound", &record);
                }));
                clients.retain(|it| !it.is_finished());
            }
            for client in clients {
                // A client that has panicked has no line for its answer.
                let _ = client.join();
            }
        });
        SoundTraffic { is_over, sender: Some(sender) }
    }

    pub fn stop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        if let Some(sender) = self.sender.take() {
            let _ = sender.join();
        }
    }
}

impl Drop for SoundTraffic {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Sends a request and records it, and what its client gets.
pub fn ask(front: SocketAddr, number: usize, request: &Request, what: &str, record: &Record) {
    let attempt = &request.attempt;
    record.add(&format!("sent attempt={attempt} to={front} number={number} prompt={what}"));
    let Outcome { status, n_events, is_whole } = send(front, request);
    record.add(&format!(
        "answered attempt={attempt} prompt={what} status={status} events={n_events} whole={is_whole}"
    ));
}
