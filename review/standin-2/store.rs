//! The platform's store: objects by kind and name, lists, watches, and entries that expire.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Channel, Message, serve};
use crate::json::{Json, quote};

/// Silence after which the entry of a server is removed: three status reports.
const ENTRY_TTL: Duration = Duration::from_millis(3_600);
const SERVERS: &str = "servers";

#[derive(Debug, Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
    status: String,
    written_at: Instant,
}

impl Object {
    fn json(&self, name: &str) -> String {
        format!(
            "{{\"Metadata\":{{\"Name\":{},\"Revision\":{},\"CreateRev\":{},\"Finalizers\":[],\
             \"Deleting\":false}},\"Spec\":{},\"Status\":{}}}",
            quote(name),
            self.revision,
            self.created,
            self.spec,
            self.status
        )
    }
}

#[derive(Debug)]
struct Event {
    revision: u64,
    kind: String,
    is_removed: bool,
    object: String,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
}

impl State {
    fn record(&mut self, kind: &str, name: &str, is_removed: bool, object: &Object) {
        let object = object.json(name);
        let revision = self.revision;
        self.events.push(Event { revision, kind: kind.to_owned(), is_removed, object });
    }

    fn write(&mut self, kind: &str, name: &str, spec: &str) -> String {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(known) = self.objects.get_mut(&key).filter(|it| it.spec == spec) {
            known.written_at = Instant::now();
            return known.json(name);
        }
        self.revision += 1;
        let revision = self.revision;
        let created = self.objects.get(&key).map_or(revision, |it| it.created);
        let written_at = Instant::now();
        let (spec, status) = (spec.to_owned(), "null".to_owned());
        let object = Object { revision, created, spec, status, written_at };
        self.record(kind, name, false, &object);
        let json = object.json(name);
        self.objects.insert(key, object);
        json
    }

    fn remove(&mut self, kind: &str, name: &str) -> bool {
        let Some(object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return false;
        };
        self.revision += 1;
        let object = Object { revision: self.revision, ..object };
        self.record(kind, name, true, &object);
        true
    }

    fn expire(&mut self) -> bool {
        let is_silent = |it: &(&(String, String), &Object)| {
            it.0.0 == SERVERS && ENTRY_TTL < it.1.written_at.elapsed()
        };
        let silent: Vec<String> =
            self.objects.iter().filter(is_silent).map(|it| it.0.1.clone()).collect();
        silent.iter().filter(|it| self.remove(SERVERS, it)).count() != 0
    }
}

/// A store that is served at an address.
#[derive(Debug, Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Store> {
        let listener = TcpListener::bind(address)?;
        let store = Store { state: Arc::default() };
        store.state.0.lock().unwrap().revision = 100;
        let served = store.clone();
        serve(listener, move |channel| served.serve(channel));
        let expired = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(100));
                if expired.state.0.lock().unwrap().expire() {
                    expired.state.1.notify_all();
                }
            }
        });
        Ok(store)
    }

    /// Writes an object as the operator does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.state.0.lock().unwrap().write(kind, name, spec);
        self.state.1.notify_all();
    }

    fn serve(&self, mut channel: Channel) {
        while let Ok(Some(request)) = channel.read_request() {
            let (status, body) = self.respond(&request);
            let headers =
                [("Content-Type", "application/json".to_owned()), ("Store-Era", "1".to_owned())];
            if channel.answer(status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Message) -> (&'static str, String) {
        let Some(path) = request.path().strip_prefix("/v1/objects/") else {
            return ("404 Not Found", "{}".to_owned());
        };
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind.to_owned(), Some(decode(name))),
            None => (path.to_owned(), None),
        };
        match (request.method(), name) {
            ("GET", None) => match request.query("Watch").and_then(|it| it.parse().ok()) {
                Some(from) => {
                    let wait = request.query("WaitMs").and_then(|it| it.parse().ok());
                    self.watch(&kind, from, Duration::from_millis(wait.unwrap_or(0)))
                }
                None => self.list(&kind),
            },
            ("GET", Some(name)) => {
                let state = self.state.0.lock().unwrap();
                match state.objects.get(&(kind, name.clone())) {
                    Some(it) => ("200 OK", it.json(&name)),
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            ("POST", None) => self.create(&kind, request),
            ("PUT", Some(name)) => self.replace(&kind, &name, request),
            ("DELETE", Some(name)) => {
                let is_removed = self.state.0.lock().unwrap().remove(&kind, &name);
                self.state.1.notify_all();
                (if is_removed { "200 OK" } else { "404 Not Found" }, "{}".to_owned())
            }
            _ => ("405 Method Not Allowed", "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str) -> (&'static str, String) {
        let state = self.state.0.lock().unwrap();
        let items = state.objects.iter().filter(|it| it.0.0 == kind);
        let items: Vec<String> = items.map(|it| it.1.json(&it.0.1)).collect();
        let revision = state.revision;
        let items = items.join(",");
        let body =
            format!("{{\"Items\":[{items}],\"Truncated\":false,\"StoreRevision\":{revision}}}");
        ("200 OK", body)
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration) -> (&'static str, String) {
        let end = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        if state.revision < from {
            return ("410 Gone", "{}".to_owned());
        }
        loop {
            let new = state.events.iter().filter(|it| from < it.revision && it.kind == kind);
            let new: Vec<String> = new
                .map(|it| format!("{{\"Removed\":{},\"Object\":{}}}", it.is_removed, it.object))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !new.is_empty() || left.is_zero() {
                let (events, revision) = (new.join(","), state.revision);
                return (
                    "200 OK",
                    format!("{{\"events\":[{events}],\"StoreRevision\":{revision}}}"),
                );
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn create(&self, kind: &str, request: &Message) -> (&'static str, String) {
        let Some(body) = Json::read(&request.text()) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let name = body.get("Metadata").and_then(|it| it.get("Name")).and_then(Json::text);
        let Some(name) = name else { return ("400 Bad Request", "{}".to_owned()) };
        let mut state = self.state.0.lock().unwrap();
        if let Some(known) = state.objects.get(&(kind.to_owned(), name.to_owned())) {
            return ("409 Conflict", known.json(name));
        }
        let spec = body.get("Spec").map_or("null".to_owned(), Json::raw);
        let json = state.write(kind, name, &spec);
        self.state.1.notify_all();
        ("200 OK", json)
    }

    fn replace(&self, kind: &str, name: &str, request: &Message) -> (&'static str, String) {
        let Some(body) = Json::read(&request.text()) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let wanted = body.get("Metadata").and_then(|it| it.get("Revision")).and_then(Json::number);
        let wanted = wanted.or(request.query("Revision").and_then(|it| it.parse().ok()));
        let mut state = self.state.0.lock().unwrap();
        let Some(known) = state.objects.get(&(kind.to_owned(), name.to_owned())) else {
            return ("404 Not Found", "{}".to_owned());
        };
        if wanted.is_some_and(|it| it != known.revision) {
            return ("409 Conflict", known.json(name));
        }
        let spec = body.get("Spec").map_or("null".to_owned(), Json::raw);
        let json = state.write(kind, name, &spec);
        self.state.1.notify_all();
        ("200 OK", json)
    }
}

/// Decodes a part of a path.
fn decode(text: &str) -> String {
    let mut out = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let code = tail.get(..2).and_then(|it| std::str::from_utf8(it).ok());
        let code = code.and_then(|it| u8::from_str_radix(it, 16).ok());
        match (first, code) {
            (b'%', Some(code)) => {
                out.push(code);
                rest = &tail[2..];
            }
            _ => {
                out.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
