//! A runner as a process: a model engine without stages, or a plain service.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::parent_id;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::http::{Channel, Message, call, serve};
use crate::json::quote;
use crate::record::{Record, now};

/// Interval of the runner's entries in the store.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const STORE_TIMEOUT: Duration = Duration::from_millis(900);
const SLOTS: usize = 64;
/// Time until the first token, and between events.
const FIRST_TOKEN: Duration = Duration::from_millis(100);
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
/// Tokens of one event.
const STRIDE: usize = 4;
/// Bytes of the answer of a plain service.
const ANSWER: usize = 800;

/// What a runner is told at its start.
#[derive(Debug, Clone)]
pub struct Settings {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    pub zone: String,
    pub store: SocketAddr,
    /// Part of a prompt on which it crashes when it begins to write an answer.
    pub poison: String,
    /// Time of a request at a plain service; none at a model engine.
    pub work: Option<Duration>,
}

impl Settings {
    /// Reads words `NAME=VALUE`.
    pub fn read(words: &[String]) -> Option<Settings> {
        let values: BTreeMap<&str, &str> =
            words.iter().filter_map(|it| it.split_once('=')).collect();
        let text = |name: &str| values.get(name).map(|it| (*it).to_owned());
        Some(Settings {
            id: text("id")?,
            address: text("address")?.parse().ok()?,
            service: text("service")?,
            zone: text("zone")?,
            store: text("store")?.parse().ok()?,
            poison: text("poison")?,
            work: match text("work_ms")?.parse().ok()? {
                0 => None,
                millis => Some(Duration::from_millis(millis)),
            },
        })
    }

    pub fn words(&self) -> Vec<String> {
        let Settings { id, address, service, zone, store, poison, work } = self;
        let work_ms = work.map_or(0, |it| it.as_millis());
        vec![
            format!("id={id}"),
            format!("address={address}"),
            format!("service={service}"),
            format!("zone={zone}"),
            format!("store={store}"),
            format!("poison={poison}"),
            format!("work_ms={work_ms}"),
        ]
    }
}

struct Runner {
    settings: Settings,
    record: Record,
    born: u64,
    n_running: AtomicUsize,
}

/// Serves until the process ends.
pub fn run(settings: Settings, record: &Path) -> io::Result<()> {
    let listener = TcpListener::bind(settings.address)?;
    let record = Record::open(record)?;
    record.add(&format!("started runner={}", settings.id));
    let runner = Arc::new(Runner { settings, record, born: now(), n_running: AtomicUsize::new(0) });
    let served = runner.clone();
    serve(listener, move |channel| served.serve(channel));
    let parent = parent_id();
    // It ends with the run that has started it.
    while parent_id() == parent {
        runner.register();
        std::thread::sleep(HEARTBEAT);
    }
    Ok(())
}

impl Runner {
    /// Writes the runner's entry, as it does at each heartbeat.
    fn register(&self) {
        let Settings { id, address, service, zone, store, .. } = &self.settings;
        let body = format!(
            "{{\"Metadata\":{{\"Name\":{}}},\"Spec\":{{\"Service\":{},\"Address\":\"{address}\",\
             \"Zone\":{},\"Version\":\"v1\",\"Slots\":{SLOTS},\"State\":\"ready\",\"ColdLeftMs\":0,\
             \"Stage\":\"both\",\"Models\":[{{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}}],\
             \"Sequence\":0,\"born\":{}}}}}",
            quote(id),
            quote(service),
            quote(zone),
            self.born
        );
        let path = format!("/v1/objects/servers/{id}");
        let put = call(*store, &format!("PUT {path}"), &[], body.as_bytes(), STORE_TIMEOUT);
        if put.is_ok_and(|it| it.status() == 404) {
            // A failed write is repeated at the next heartbeat.
            let _ = call(*store, "POST /v1/objects/servers", &[], body.as_bytes(), STORE_TIMEOUT);
        }
    }

    fn serve(&self, mut channel: Channel) {
        while let Ok(Some(request)) = channel.read_request() {
            if self.respond(&mut channel, &request).is_err() {
                return;
            }
        }
    }

    fn respond(&self, channel: &mut Channel, request: &Message) -> io::Result<()> {
        let id = &self.settings.id;
        let instance = ("Tarragonferry-Instance-Id", id.clone());
        let expected = request.header("Tarragonferry-Expect-Instance");
        if expected.is_some_and(|it| it != id) {
            return channel.answer("421 Misdirected Request", &[instance], b"");
        }
        match request.path() {
            "/health" => return channel.answer("200 OK", &[instance, self.load()], b""),
            "/v1/kv-list" => {
                let body = b"{\"epoch\":1,\"Next\":0,\"held\":[]}";
                return channel.answer("200 OK", &[], body);
            }
            "/v1/report" => return channel.answer("200 OK", &[], b"{\"Waiting\":0,\"Running\":0}"),
            _ => (),
        }
        let not_run = ("Tarragonferry-Not-Executed", "1".to_owned());
        let Some(attempt) = request.header("Tarragonferry-Attempt-Id") else {
            return channel.answer("400 Bad Request", &[not_run], b"");
        };
        let is_poisoned = self.is_poisoned(request);
        let what = if is_poisoned { "poison" } else { "sound" };
        self.record.add(&format!("arrived attempt={attempt} runner={id} prompt={what}"));
        if SLOTS <= self.n_running.fetch_add(1, Ordering::SeqCst) {
            self.n_running.fetch_sub(1, Ordering::SeqCst);
            let headers = [("Tarragonferry-Attempt-Id", attempt.to_owned()), not_run];
            return channel.answer("503 Service Unavailable", &headers, b"");
        }
        if let Some(work) = self.settings.work {
            std::thread::sleep(work);
            self.record.add(&format!("ran attempt={attempt} runner={id}"));
            self.n_running.fetch_sub(1, Ordering::SeqCst);
            return self.answer(channel, attempt);
        }
        std::thread::sleep(FIRST_TOKEN);
        if is_poisoned {
            self.record.add(&format!("crashed attempt={attempt} runner={id}"));
            std::process::abort();
        }
        let written = self.write(channel, request, attempt);
        self.n_running.fetch_sub(1, Ordering::SeqCst);
        written
    }

    fn is_poisoned(&self, request: &Message) -> bool {
        let parts = request.header("Tarragonferry-Prompt-Prefix").unwrap_or_default();
        let mut ids = parts.split(',').filter_map(|it| it.split_once(':')).map(|it| it.0.trim());
        ids.any(|it| it == self.settings.poison)
    }

    /// Answers a request of a plain service.
    fn answer(&self, channel: &mut Channel, attempt: &str) -> io::Result<()> {
        let headers = [
            ("Tarragonferry-Attempt-Id", attempt.to_owned()),
            ("Tarragonferry-Response-Seal", format!("{attempt}.done")),
            self.load(),
        ];
        channel.answer("200 OK", &headers, &[b'd'; ANSWER])
    }

    /// Writes the events of a stream.
    fn write(&self, channel: &mut Channel, request: &Message, attempt: &str) -> io::Result<()> {
        let tokens = request.header("Tarragonferry-Token-Count").unwrap_or_default();
        let n_tokens = tokens.split_once(',').and_then(|it| it.1.trim().parse().ok());
        let n_events = n_tokens.unwrap_or(STRIDE).div_ceil(STRIDE);
        let first = request.header("Last-Event-Id").and_then(|it| it.parse().ok()).unwrap_or(0);
        channel.begin_chunks(&[
            ("Tarragonferry-Attempt-Id", attempt.to_owned()),
            ("Tarragonferry-Response-Seal", format!("{attempt}.{n_events}")),
            ("Content-Type", "text/event-stream".to_owned()),
            self.load(),
        ])?;
        for event in first..n_events {
            std::thread::sleep(EVENT_INTERVAL);
            channel.send_chunk(format!("id: {}\ndata: tokens\n\n", event + 1).as_bytes())?;
        }
        channel.send_chunk(b"")
    }

    fn load(&self) -> (&'static str, String) {
        let n_running = self.n_running.load(Ordering::SeqCst);
        ("Tarragonferry-Instance-Load", format!("{n_running},0,{SLOTS}"))
    }
}
