//! Plain runners, their entries in the store, and clients that send at a steady rate.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::fleet::{Net, Record, SERVER, send};
use crate::http::{self, Answer, Message};
use crate::store::Store;

/// A request that reached a runner, and when.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub attempt: String,
    pub at: Duration,
}

/// A runner of a plain service.
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    zone: &'static str,
    store: Arc<Store>,
    record: Record,
    work: Duration,
    is_open: AtomicBool,
    /// Whether it says in all its answers that it leaves.
    is_leaving: AtomicBool,
    /// The requests a second that it names as its limit; zero for none.
    limit: AtomicU64,
    pub arrivals: Mutex<Vec<Arrival>>,
}

impl Runner {
    pub fn start(
        net: Net,
        last: u8,
        id: &str,
        store: &Arc<Store>,
        record: &Record,
        work: Duration,
    ) -> Arc<Runner> {
        let runner = Arc::new(Runner {
            id: id.to_owned(),
            address: SocketAddr::from((net.ip(last), SERVER)),
            zone: ["a", "b"][usize::from(last % 2)],
            store: store.clone(),
            record: record.clone(),
            work,
            is_open: AtomicBool::new(true),
            is_leaving: AtomicBool::new(false),
            limit: AtomicU64::new(0),
            arrivals: Mutex::default(),
        });
        let (server, open) = (runner.clone(), runner.clone());
        http::serve(
            net.server(last),
            Arc::new(move || open.is_open.load(Ordering::SeqCst)),
            Arc::new(move |it| server.answer(it)),
        );
        runner.register("ready");
        runner
    }

    /// Writes its entry.
    pub fn register(&self, state: &str) {
        let Runner { address, zone, .. } = self;
        let spec = format!(
            "{{\"Service\":\"filing-desk\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\
             \"Version\":\"v1\",\"Slots\":6,\"State\":\"{state}\",\"ColdLeftMs\":0,\
             \"Sequence\":1,\"born\":1700000000000}}"
        );
        let revision = self.store.put("servers", &self.id, &spec);
        self.record.add(format!("the store has {} as {state}, at revision {revision}", self.id));
    }

    /// Begins to leave: it says so in its answers from now on.
    pub fn begin_leaving(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Names a limit in its answers from now on.
    pub fn name_limit(&self, per_second: u64) {
        self.limit.store(per_second, Ordering::SeqCst);
        self.record.add(format!("{} names its limit: {per_second} requests a second", self.id));
    }

    /// Removes its entry.
    pub fn unregister(&self) {
        self.store.remove("servers", &self.id);
        let revision = self.store.revision();
        self.record.add(format!("the store has removed {}, at revision {revision}", self.id));
    }

    /// Exits: its connections end, and no more are accepted.
    pub fn exit(&self) {
        self.is_open.store(false, Ordering::SeqCst);
        // Wakes the listener, so that it closes.
        let _ = std::net::TcpStream::connect(self.address);
        self.record.add(format!("{} exits", self.id));
    }

    fn answer(&self, request: &Message) -> Answer {
        if request.header("tarragonferry-expect-instance").is_some_and(|it| it != self.id) {
            return Answer::new(421, "");
        }
        let Some(attempt) = request.header("tarragonferry-attempt-id") else {
            return Answer::new(200, "");
        };
        let at = self.record.now();
        self.record.add(format!("{attempt} reaches {}", self.id));
        self.arrivals.lock().unwrap().push(Arrival { attempt: attempt.to_owned(), at });
        thread::sleep(self.work);
        let answer = Answer::new(200, format!("{attempt} {}", self.id))
            .with("Tarragonferry-Attempt-Id", attempt)
            .with("Tarragonferry-Response-Seal", "seal")
            .with("Tarragonferry-Instance-Load", "1,0,6");
        let answer = match self.limit.load(Ordering::SeqCst) {
            0 => answer,
            limit => answer.with("Server-Limit", limit.to_string()),
        };
        match self.is_leaving.load(Ordering::SeqCst) {
            true => answer.with("Server-Leaving", "1"),
            false => answer,
        }
    }
}

/// Returns a desired state in which two routes lead to the service.
pub fn config(version: u64) -> String {
    format!(
        "{{\"Version\":{version},\"Routes\":[{{\"Name\":\"fee-check\",\"Host\":\"review.example\",\
         \"PathPrefix\":\"/fee/\",\"Kind\":\"non_idempotent\",\"TimeoutMs\":2000,\
         \"TargetLatencyMs\":300,\"Priority\":2,\"Service\":\"filing-desk\",\"MaxAttempts\":1}},\
         {{\"Name\":\"doc-fetch\",\"Host\":\"review.example\",\"PathPrefix\":\"/doc/\",\
         \"Kind\":\"idempotent\",\"TimeoutMs\":2000,\"TargetLatencyMs\":300,\"Priority\":2,\
         \"Service\":\"filing-desk\",\"MaxAttempts\":2}}],\
         \"Services\":[{{\"Name\":\"filing-desk\",\"MaxConnections\":96}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":1000000,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"review\",\"ApiKeys\":[\"key-of-review\"]}}]}}"
    )
}

/// When each request was sent, and how many ended how.
#[derive(Default)]
pub struct Clients {
    pub sent: Mutex<BTreeMap<String, Duration>>,
    fronts: Mutex<BTreeMap<String, SocketAddr>>,
    pub ended: Mutex<Vec<(Duration, u16)>>,
    /// When a machine passed on an answer, and its body, which names the runner.
    pub answers: Mutex<Vec<(Duration, String, String)>>,
    number: AtomicU64,
    is_quiet: AtomicBool,
    is_over: AtomicBool,
}

impl Clients {
    /// Sends non-idempotent requests to each front in turn, one in each `gap`, until it is told to end.
    pub fn start(fronts: Vec<SocketAddr>, gap: Duration, record: &Record) -> Arc<Clients> {
        let clients = Arc::new(Clients::default());
        let (loops, record) = (clients.clone(), record.clone());
        thread::spawn(move || {
            while !loops.is_over.load(Ordering::SeqCst) {
                if loops.is_quiet.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                }
                let number = loops.number.fetch_add(1, Ordering::SeqCst);
                let front = fronts[number as usize % fronts.len()];
                let (clients, record) = (loops.clone(), record.clone());
                thread::spawn(move || clients.send(front, number, &record));
                thread::sleep(gap);
            }
        });
        clients
    }

    /// Returns the front to which a request was sent.
    pub fn front(&self, attempt: &str) -> Option<String> {
        self.fronts.lock().unwrap().get(attempt).map(|it| it.ip().to_string())
    }

    /// Lets the clients send nothing for a while, or send again.
    pub fn set_quiet(&self, is_quiet: bool) {
        self.is_quiet.store(is_quiet, Ordering::SeqCst);
    }

    pub fn end(&self) {
        self.is_over.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(2_500));
    }

    fn send(&self, front: SocketAddr, number: u64, record: &Record) {
        let attempt = format!("f{number:07x}");
        let at = record.now();
        self.sent.lock().unwrap().insert(attempt.clone(), at);
        self.fronts.lock().unwrap().insert(attempt.clone(), front);
        record.add(format!("client sends {attempt} to {front}"));
        let reply = send(front, "POST", "/fee/x", &attempt, Duration::from_secs(2), "", "fee");
        let status = if reply.is_whole { reply.status } else { 0 };
        record.add(format!("client gets {status} for {attempt}: {}", reply.body));
        self.ended.lock().unwrap().push((at, status));
        let answer = (record.now(), front.ip().to_string(), reply.body);
        self.answers.lock().unwrap().push(answer);
    }
}
