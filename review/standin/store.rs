//! A stand-in of the platform's store, as PROTOCOL.md and the news describe it.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Message};
use crate::json::{Json, quote};

/// Objects in a page of a list.
const PAGE: usize = 50;

#[derive(Debug, Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
}

#[derive(Debug, Clone)]
struct Event {
    revision: u64,
    kind: String,
    name: String,
    object: Object,
    is_removed: bool,
}

/// What a copy of the store holds.
#[derive(Debug, Clone, Default)]
pub struct Contents {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
}

#[derive(Debug, Default)]
struct State {
    contents: Contents,
    /// Number of times that the store came back from a copy.
    era: u64,
    is_down: bool,
    /// Counts the moments at which all waiting watches are cut off.
    n_cuts: u64,
}

#[derive(Debug, Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start(listener: TcpListener) -> Arc<Store> {
        let store = Arc::new(Store::default());
        store.state.lock().unwrap().contents.revision = 100;
        store.state.lock().unwrap().era = 1;
        let server = store.clone();
        http::serve(listener, Arc::new(|| true), Arc::new(move |it| server.answer(it)));
        store
    }

    pub fn revision(&self) -> u64 {
        self.state.lock().unwrap().contents.revision
    }

    /// Writes an object; one that is not changed by it keeps its revision.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut state = self.state.lock().unwrap();
        let revision = put(&mut state.contents, kind, name, spec);
        self.changed.notify_all();
        revision
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.lock().unwrap();
        remove(&mut state.contents, kind, name);
        self.changed.notify_all();
    }

    pub fn set_down(&self, is_down: bool) {
        let mut state = self.state.lock().unwrap();
        state.is_down = is_down;
        state.n_cuts += 1;
        self.changed.notify_all();
    }

    pub fn copy(&self) -> Contents {
        self.state.lock().unwrap().contents.clone()
    }

    /// Comes back from a copy: what was written since is gone, and the era rises.
    pub fn restore(&self, copy: Contents) {
        let mut state = self.state.lock().unwrap();
        state.contents = copy;
        state.era += 1;
    }

    fn answer(&self, request: &Message) -> Answer {
        let era = self.state.lock().unwrap().era;
        self.respond(request).with("Store-Era", era.to_string())
    }

    fn respond(&self, request: &Message) -> Answer {
        if self.state.lock().unwrap().is_down {
            return Answer::new(503, "");
        }
        let target = &request.start[1];
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let Some(path) = path.strip_prefix("/v1/objects/") else { return Answer::new(404, "") };
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|it| it.split_once('='));
            pairs.find(|it| it.0 == name).map(|it| it.1.to_owned())
        };
        let number = |name: &str| parameter(name).and_then(|it| it.parse::<u64>().ok());
        match (request.start[0].as_str(), name) {
            ("GET", "") => match number("Watch") {
                Some(from) => self.watch(kind, from, number("WaitMs").unwrap_or(0)),
                None => self.list(kind, parameter("After").unwrap_or_default()),
            },
            ("GET", name) => self.get(kind, name),
            ("POST", "") => self.write(kind, None, request),
            ("PUT", name) => self.write(kind, Some(name.trim_end_matches("/status")), request),
            ("DELETE", name) => {
                let mut state = self.state.lock().unwrap();
                let key = (kind.to_owned(), name.to_owned());
                let Some(found) = state.contents.objects.get(&key).cloned() else {
                    return Answer::new(404, "");
                };
                if number("Revision").is_some_and(|it| it != found.revision) {
                    return Answer::new(409, text(name, &found));
                }
                remove(&mut state.contents, kind, name);
                self.changed.notify_all();
                Answer::new(200, "{}")
            }
            _ => Answer::new(404, ""),
        }
    }

    fn get(&self, kind: &str, name: &str) -> Answer {
        let state = self.state.lock().unwrap();
        match state.contents.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(object) => Answer::new(200, text(name, object)),
            None => Answer::new(404, ""),
        }
    }

    fn list(&self, kind: &str, after: String) -> Answer {
        let state = self.state.lock().unwrap();
        let objects = state.contents.objects.iter();
        let listed: Vec<String> = objects
            .filter(|it| it.0.0 == kind && after < it.0.1)
            .map(|it| text(&it.0.1, it.1))
            .collect();
        let is_truncated = PAGE < listed.len();
        let items = listed[..listed.len().min(PAGE)].join(",");
        let revision = state.contents.revision;
        Answer::new(
            200,
            format!(
                "{{\"Items\":[{items}],\"Truncated\":{is_truncated},\"StoreRevision\":{revision}}}"
            ),
        )
    }

    fn watch(&self, kind: &str, from: u64, wait: u64) -> Answer {
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        let n_cuts = state.n_cuts;
        loop {
            if state.n_cuts != n_cuts {
                return Answer::cut();
            }
            let contents = &state.contents;
            if contents.revision < from {
                return Answer::new(410, "");
            }
            let newer = contents.events.iter().filter(|it| from < it.revision && it.kind == kind);
            let events: Vec<String> = newer
                .map(|it| {
                    let object = text(&it.name, &it.object);
                    format!("{{\"Object\":{object},\"Removed\":{}}}", it.is_removed)
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), contents.revision);
                return Answer::new(
                    200,
                    format!("{{\"events\":[{events}],\"StoreRevision\":{revision}}}"),
                );
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn write(&self, kind: &str, name: Option<&str>, request: &Message) -> Answer {
        let Some(body) = Json::parse(&request.text()) else { return Answer::new(400, "") };
        let metadata = body.get("Metadata");
        let named = metadata.and_then(|it| it.get("Name")).and_then(Json::text);
        let Some(object) = name.or(named) else { return Answer::new(400, "") };
        let expected = metadata.and_then(|it| it.get("Revision")).and_then(Json::number);
        let mut state = self.state.lock().unwrap();
        let found = state.contents.objects.get(&(kind.to_owned(), object.to_owned())).cloned();
        match (&found, name) {
            (Some(found), None) => return Answer::new(409, text(object, found)),
            (None, Some(_)) => return Answer::new(404, ""),
            (Some(found), Some(_)) if expected.is_some_and(|it| it != found.revision) => {
                return Answer::new(409, text(object, found));
            }
            _ => (),
        }
        let spec = body.get("Spec").map_or("null".to_owned(), Json::write);
        put(&mut state.contents, kind, object, &spec);
        let written = state.contents.objects[&(kind.to_owned(), object.to_owned())].clone();
        self.changed.notify_all();
        Answer::new(200, text(object, &written))
    }
}

fn put(contents: &mut Contents, kind: &str, name: &str, spec: &str) -> u64 {
    let key = (kind.to_owned(), name.to_owned());
    if let Some(same) = contents.objects.get(&key).filter(|it| it.spec == spec) {
        return same.revision;
    }
    contents.revision += 1;
    let revision = contents.revision;
    let created = contents.objects.get(&key).map_or(revision, |it| it.created);
    let object = Object { revision, created, spec: spec.to_owned() };
    contents.objects.insert(key, object.clone());
    let (kind, name) = (kind.to_owned(), name.to_owned());
    contents.events.push(Event { revision, kind, name, object, is_removed: false });
    revision
}

fn remove(contents: &mut Contents, kind: &str, name: &str) {
    let Some(object) = contents.objects.remove(&(kind.to_owned(), name.to_owned())) else { return };
    contents.revision += 1;
    let revision = contents.revision;
    let (kind, name) = (kind.to_owned(), name.to_owned());
    contents.events.push(Event { revision, kind, name, object, is_removed: true });
}

fn text(name: &str, object: &Object) -> String {
    let Object { revision, created, spec } = object;
    let name = quote(name);
    format!(
        "{{\"Metadata\":{{\"Name\":{name},\"Revision\":{revision},\"CreateRev\":{created},\
         \"Finalizers\":[],\"Deleting\":false}},\"Spec\":{spec},\"Status\":null}}"
    )
}
