//! The platform's metadata store: objects, lists, watches, status reports of runners, and a copy from
//! which it may come back.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::Json;

const SERVERS: &str = "servers";
/// Interval at which runners report their status, and after how many silent ones an entry is removed.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
const SILENT_INTERVALS: u32 = 3;

/// A kind and a name.
type Key = (String, String);

#[derive(Debug, Clone)]
struct Object {
    revision: u64,
    spec: Json,
}

#[derive(Debug, Clone)]
struct Change {
    revision: u64,
    key: Key,
    spec: Json,
    is_removed: bool,
}

/// What the store has, and what a copy of it has.
#[derive(Debug, Clone, Default)]
struct Content {
    revision: u64,
    objects: BTreeMap<Key, Object>,
    history: Vec<Change>,
}

impl Content {
    fn put(&mut self, key: Key, spec: Json) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        self.objects.insert(key.clone(), Object { revision, spec: spec.clone() });
        self.history.push(Change { revision, key, spec, is_removed: false });
        revision
    }

    fn remove(&mut self, key: &Key) {
        if let Some(object) = self.objects.remove(key) {
            self.revision += 1;
            let (revision, key, spec) = (self.revision, key.clone(), object.spec);
            self.history.push(Change { revision, key, spec, is_removed: true });
        }
    }
}

/// An answer that has told a gateway of the entries of runners.
#[derive(Debug, Clone)]
pub struct Told {
    pub gateway: usize,
    pub at: Instant,
    pub era: u64,
    pub revision: u64,
}

#[derive(Debug, Default)]
struct State {
    content: Content,
    copy: Option<Content>,
    era: u64,
    is_away: bool,
    /// How often the watches that waited were cut off.
    n_cuts: u64,
    /// Last status report of each runner with an entry.
    reported: BTreeMap<String, Instant>,
    told: Vec<Told>,
}

/// The store. Each gateway has an address of its own for it, which tells who asks.
#[derive(Debug, Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    /// Starts the store with an address for each gateway.
    pub fn start(addresses: &[SocketAddr]) -> io::Result<Arc<Store>> {
        let store = Arc::new(Store::default());
        {
            let mut state = store.lock();
            state.content.revision = 100;
            state.era = 1;
        }
        for (gateway, address) in addresses.iter().enumerate() {
            let store = store.clone();
            let respond = move |request: &Message, stream: &mut TcpStream| {
                store.respond(gateway, request, stream)
            };
            http::serve(*address, || true, respond)?;
        }
        let registrar = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(50));
                registrar.expire();
            }
        });
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes an object as the operator does; returns its revision.
    pub fn put(&self, kind: &str, name: &str, spec: Json) -> u64 {
        let mut state = self.lock();
        let revision = state.content.put((kind.to_owned(), name.to_owned()), spec);
        self.changed.notify_all();
        revision
    }

    /// Takes a runner's status report; returns whether the store was there to take it. Only what differs in
    /// more than the number of the report is a change.
    pub fn report(&self, id: &str, entry: Json) -> bool {
        let mut state = self.lock();
        if state.is_away {
            return false;
        }
        state.reported.insert(id.to_owned(), Instant::now());
        let key = (SERVERS.to_owned(), id.to_owned());
        let known = state.content.objects.get(&key);
        let is_same =
            known.is_some_and(|it| it.spec.without("Sequence") == entry.without("Sequence"));
        if !is_same {
            state.content.put(key, entry);
            self.changed.notify_all();
        }
        true
    }

    /// Removes the entry of a runner that leaves; returns the revision and the time of the ack.
    pub fn leave(&self, id: &str) -> (u64, Instant) {
        let mut state = self.lock();
        state.reported.remove(id);
        state.content.remove(&(SERVERS.to_owned(), id.to_owned()));
        self.changed.notify_all();
        (state.content.revision, Instant::now())
    }

    pub fn has_entry(&self, id: &str) -> bool {
        self.lock().content.objects.contains_key(&(SERVERS.to_owned(), id.to_owned()))
    }

    /// Takes the copy from which the store may come back.
    pub fn take_copy(&self) {
        let mut state = self.lock();
        state.copy = Some(state.content.clone());
    }

    /// The store is away from now on: it answers nothing.
    pub fn go_away(&self) {
        self.lock().is_away = true;
        self.changed.notify_all();
    }

    /// The store comes back from the copy. Of the runners that the copy lists it knows only that they were
    /// there, so that their silence begins now.
    pub fn come_back(&self) {
        let mut state = self.lock();
        if let Some(copy) = state.copy.clone() {
            state.content = copy;
            state.era += 1;
        }
        state.is_away = false;
        let now = Instant::now();
        let keys = state.content.objects.keys().filter(|it| it.0 == SERVERS);
        state.reported = keys.map(|it| (it.1.clone(), now)).collect();
        self.changed.notify_all();
    }

    /// Cuts off the watches that wait.
    pub fn cut_watches(&self) {
        self.lock().n_cuts += 1;
        self.changed.notify_all();
    }

    /// Returns the answers that have told gateways of the entries of runners.
    pub fn told(&self) -> Vec<Told> {
        self.lock().told.clone()
    }

    /// Removes the entries of runners that have been silent for too long.
    fn expire(&self) {
        let mut state = self.lock();
        if state.is_away {
            return;
        }
        let is_silent = |it: &Instant| HEARTBEAT * SILENT_INTERVALS < it.elapsed();
        let silent = state.reported.iter().filter(|it| is_silent(it.1));
        let silent: Vec<String> = silent.map(|it| it.0.clone()).collect();
        for id in silent {
            state.reported.remove(&id);
            state.content.remove(&(SERVERS.to_owned(), id));
            self.changed.notify_all();
        }
    }

    fn respond(
        &self,
        gateway: usize,
        request: &Message,
        stream: &mut TcpStream,
    ) -> io::Result<bool> {
        if self.lock().is_away {
            return Ok(false);
        }
        let (path, query) = request.head.target();
        let mut parts = path.trim_start_matches("/v1/objects/").splitn(3, '/').map(decode);
        let kind = parts.next().unwrap_or_default();
        let name = parts.next();
        let (status, body) = match (request.head.method(), name) {
            ("GET", None) => match parameter(query, "Watch") {
                Some(from) => {
                    let wait = Duration::from_millis(parameter(query, "WaitMs").unwrap_or(0));
                    match self.watch(gateway, &kind, from, wait) {
                        Some(answer) => answer,
                        None => return Ok(false),
                    }
                }
                None => self.list(gateway, &kind),
            },
            ("GET", Some(name)) => self.read(&kind, &name),
            ("POST", _) => self.write(&kind, None, &request.body),
            ("PUT", Some(name)) => self.write(&kind, Some(name), &request.body),
            ("DELETE", Some(name)) => self.delete(&kind, &name, parameter(query, "Revision")),
            _ => (404, Json::Null),
        };
        let era = self.lock().era.to_string();
        let headers = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
        http::answer(stream, status, &headers, body.to_string().as_bytes())?;
        Ok(true)
    }

    fn list(&self, gateway: usize, kind: &str) -> (u16, Json) {
        let mut state = self.lock();
        state.note_told(gateway, kind);
        let objects = state.content.objects.iter().filter(|it| it.0.0 == kind);
        let items = objects.map(|(key, it)| object(&key.1, it.revision, &it.spec)).collect();
        let answer = Json::object(&[
            ("Items", Json::List(items)),
            ("Truncated", Json::Bool(false)),
            ("StoreRevision", Json::number(state.content.revision)),
        ]);
        (200, answer)
    }

    fn read(&self, kind: &str, name: &str) -> (u16, Json) {
        let state = self.lock();
        match state.content.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(it) => (200, object(name, it.revision, &it.spec)),
            None => (404, Json::Null),
        }
    }

    /// Waits for changes; none if the watch is cut off.
    fn watch(&self, gateway: usize, kind: &str, from: u64, wait: Duration) -> Option<(u16, Json)> {
        let until = Instant::now() + wait;
        let mut state = self.lock();
        let (era, n_cuts) = (state.era, state.n_cuts);
        if state.content.revision < from {
            return Some((410, Json::Null));
        }
        loop {
            if state.is_away || state.era != era || state.n_cuts != n_cuts {
                return None;
            }
            let history = state.content.history.iter();
            let changes = history.filter(|it| from < it.revision && it.key.0 == kind);
            let events: Vec<Json> = changes.map(event).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                state.note_told(gateway, kind);
                let revision = Json::number(state.content.revision);
                let fields = [("events", Json::List(events)), ("StoreRevision", revision)];
                return Some((200, Json::object(&fields)));
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn write(&self, kind: &str, name: Option<String>, body: &[u8]) -> (u16, Json) {
        let Some(body) = Json::parse(body) else { return (400, Json::Null) };
        let metadata = body.get("Metadata");
        let named = metadata.and_then(|it| it.get("Name")?.as_text().map(str::to_owned));
        let expected = metadata.and_then(|it| it.get("Revision")?.as_number());
        let is_new = name.is_none();
        let Some(name) = name.or(named) else { return (400, Json::Null) };
        let spec = body.get("Spec").cloned().unwrap_or(Json::Null);
        let mut state = self.lock();
        let key = (kind.to_owned(), name.clone());
        match state.content.objects.get(&key) {
            Some(known) if is_new || expected.is_some_and(|it| it != known.revision) => {
                (409, object(&name, known.revision, &known.spec))
            }
            None if !is_new => (404, Json::Null),
            Some(known) if known.spec == spec => (200, object(&name, known.revision, &spec)),
            Some(_) | None => {
                let revision = state.content.put(key, spec.clone());
                self.changed.notify_all();
                (200, object(&name, revision, &spec))
            }
        }
    }

    fn delete(&self, kind: &str, name: &str, expected: Option<u64>) -> (u16, Json) {
        let mut state = self.lock();
        let key = (kind.to_owned(), name.to_owned());
        match state.content.objects.get(&key) {
            None => (404, Json::Null),
            Some(it) if expected.is_some_and(|revision| revision != it.revision) => {
                (409, object(name, it.revision, &it.spec))
            }
            Some(_) => {
                state.content.remove(&key);
                self.changed.notify_all();
                (200, Json::object(&[]))
            }
        }
    }
}

impl State {
    fn note_told(&mut self, gateway: usize, kind: &str) {
        if kind == SERVERS {
            let (at, era, revision) = (Instant::now(), self.era, self.content.revision);
            self.told.push(Told { gateway, at, era, revision });
        }
    }
}

fn object(name: &str, revision: u64, spec: &Json) -> Json {
    let metadata = [("Name", Json::text(name)), ("Revision", Json::number(revision))];
    Json::object(&[("Metadata", Json::object(&metadata)), ("Spec", spec.clone())])
}

fn event(change: &Change) -> Json {
    let object = object(&change.key.1, change.revision, &change.spec);
    Json::object(&[("Object", object), ("Removed", Json::Bool(change.is_removed))])
}

fn parameter(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|it| it.split_once('='));
    pairs.find(|it| it.0 == name)?.1.parse().ok()
}

/// Decodes the percent-encoding of a part of a path.
fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, others)) = rest.split_first() {
        let code = others.get(..2).and_then(|it| std::str::from_utf8(it).ok());
        match code.and_then(|it| u8::from_str_radix(it, 16).ok()) {
            Some(byte) if *first == b'%' => {
                bytes.push(byte);
                rest = &others[2..];
            }
            _ => {
                bytes.push(*first);
                rest = others;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
