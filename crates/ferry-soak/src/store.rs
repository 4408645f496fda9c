//! A simulation of the platform's store: objects with revisions, lists and watches.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ferry_model::SortedMap;
use ferry_platform::store::OBJECTS_PATH;
use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use percent_encoding::percent_decode_str;
use serde_json::{Value, json};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::server::{Body, ListenerHandle, full_response, serve};

/// How the store responds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreBehaviour {
    Healthy,
    /// Responds with status 503.
    Unavailable,
    /// Executes writes and closes the connection without a response.
    LosesResponses,
    /// Delays each response.
    Slow(Duration),
    /// Closes each connection without a response.
    Disconnects,
    /// Watches return no changes, but a revision after those that they missed.
    MissesChanges,
}

/// Number of objects in a page of a list.
const PAGE_SIZE: usize = 5;

/// An object as text, which need not be valid.
#[derive(Debug, Clone)]
struct StoredObject {
    revision: u64,
    text: Bytes,
}

#[derive(Debug)]
struct Event {
    kind: String,
    object: StoredObject,
    is_removed: bool,
}

type Objects = SortedMap<(String, String), StoredObject>;

/// Kinds that operators and endpoints write.
const FOREIGN_KINDS: [&str; 2] = ["config", "servers"];

#[derive(Debug)]
pub struct Store {
    behaviour: Cell<StoreBehaviour>,
    /// How often it has come back from a copy.
    era: Cell<u64>,
    /// The objects of a copy, and its revision.
    copy: RefCell<Option<(Objects, u64)>>,
    /// Delay of each page of a list except the first.
    page_delay: Cell<Duration>,
    revision: Cell<u64>,
    /// The change history up to this revision has been discarded.
    compacted: Cell<u64>,
    objects: RefCell<Objects>,
    events: RefCell<Vec<Event>>,
    changed: Notify,
    /// How often watches that wait were cut off.
    n_cuts: Cell<u64>,
}

impl Store {
    pub fn new() -> Rc<Store> {
        Rc::new(Store {
            behaviour: Cell::new(StoreBehaviour::Healthy),
            era: Cell::new(1),
            copy: RefCell::default(),
            page_delay: Cell::new(Duration::ZERO),
            revision: Cell::new(1),
            compacted: Cell::new(0),
            objects: RefCell::default(),
            events: RefCell::default(),
            changed: Notify::new(),
            n_cuts: Cell::new(0),
        })
    }

    pub async fn listen(self: &Rc<Store>, address: SocketAddr) -> std::io::Result<ListenerHandle> {
        let store = self.clone();
        serve(address, move |request| {
            let store = store.clone();
            async move { store.respond(request).await }
        })
        .await
    }

    pub fn set_behaviour(&self, behaviour: StoreBehaviour) {
        self.behaviour.set(behaviour);
    }

    pub fn set_page_delay(&self, delay: Duration) {
        self.page_delay.set(delay);
    }

    /// Discards the change history, so that clients must list all objects again.
    pub fn compact(&self) {
        self.compacted.set(self.revision.get());
        self.events.borrow_mut().clear();
        self.changed.notify_waiters();
    }

    /// Cuts off the watches that wait, and nothing else.
    pub fn cut_watches(&self) {
        self.n_cuts.set(self.n_cuts.get() + 1);
        self.changed.notify_waiters();
    }

    /// Copies all objects.
    pub fn take_copy(&self) {
        self.copy.replace(Some((self.objects.borrow().clone(), self.revision.get())));
    }

    /// Comes back from the copy, if there is one: what gateways wrote since is gone, and what operators
    /// and endpoints wrote is written again under other revisions.
    pub fn restore(&self) {
        let Some((objects, revision)) = self.copy.borrow().clone() else { return };
        let lost = self.objects.replace(objects);
        self.revision.set(revision);
        self.compacted.set(0);
        self.events.borrow_mut().clear();
        self.era.set(self.era.get() + 1);
        let is_foreign = |it: &(String, String)| FOREIGN_KINDS.contains(&it.0.as_str());
        let gone: Vec<(String, String)> = {
            let objects = self.objects.borrow();
            objects.keys().filter(|it| is_foreign(it) && !lost.contains_key(*it)).cloned().collect()
        };
        gone.iter().for_each(|(kind, name)| self.remove(kind, name));
        for ((kind, name), object) in lost.iter().rev().filter(|it| is_foreign(it.0)) {
            match serde_json::from_slice::<Value>(&object.text) {
                Ok(value) => drop(self.put(kind, name, value["Spec"].clone())),
                Err(_) => self.put_text(kind, name, object.text.clone()),
            }
        }
        self.changed.notify_waiters();
    }

    /// Returns the names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let objects = self.objects.borrow();
        objects.keys().filter(|it| it.0 == kind).map(|it| it.1.clone()).collect()
    }

    /// Creates or replaces an object, and returns its text.
    pub fn put(&self, kind: &str, name: &str, spec: Value) -> Bytes {
        let revision = self.next_revision();
        let object = json!({
            "Metadata": { "Name": name, "Revision": revision, "CreateRev": revision },
            "Spec": spec, "Status": null,
        });
        self.insert(kind, name, StoredObject { revision, text: object.to_string().into() })
    }

    /// Creates or replaces an object by a text that need not be valid.
    pub fn put_text(&self, kind: &str, name: &str, text: impl Into<Bytes>) {
        let revision = self.next_revision();
        self.insert(kind, name, StoredObject { revision, text: text.into() });
    }

    fn insert(&self, kind: &str, name: &str, object: StoredObject) -> Bytes {
        self.objects.borrow_mut().insert((kind.to_owned(), name.to_owned()), object.clone());
        let text = object.text.clone();
        self.record(kind, object, false);
        text
    }

    /// Removes an object if it exists.
    pub fn remove(&self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        let Some(object) = self.objects.borrow_mut().remove(&key) else { return };
        let revision = self.next_revision();
        self.record(kind, StoredObject { revision, ..object }, true);
    }

    fn next_revision(&self) -> u64 {
        self.revision.set(self.revision.get() + 1);
        self.revision.get()
    }

    fn record(&self, kind: &str, object: StoredObject, is_removed: bool) {
        let event = Event { kind: kind.to_owned(), object, is_removed };
        self.events.borrow_mut().push(event);
        self.changed.notify_waiters();
    }

    async fn respond(&self, request: Request<Incoming>) -> Option<Response<Body>> {
        match self.behaviour.get() {
            StoreBehaviour::Unavailable => {
                return Some(full_response(StatusCode::SERVICE_UNAVAILABLE, ""));
            }
            StoreBehaviour::Disconnects => return None,
            StoreBehaviour::Slow(time) => tokio::time::sleep(time).await,
            StoreBehaviour::Healthy
            | StoreBehaviour::LosesResponses
            | StoreBehaviour::MissesChanges => (),
        }
        let (parts, body) = request.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        let path = parts.uri.path().strip_prefix(OBJECTS_PATH)?.to_owned();
        let query = parts.uri.query().unwrap_or_default().to_owned();
        let is_write = parts.method != Method::GET;
        let response = match (parts.method, path.split_once('/')) {
            (Method::GET, None) => match parameter(&query, "Watch") {
                Some(from) => self.watch(&path, from, parameter(&query, "WaitMs")?).await?,
                None => self.list(&path, text(&query, "After").as_deref()).await,
            },
            (Method::POST, None) => self.create(&path, &body)?,
            (Method::PUT, Some((kind, name))) => {
                self.replace(kind, name, &serde_json::from_slice(&body).ok()?)
            }
            (Method::DELETE, Some((kind, name))) => {
                self.remove(kind, name);
                full_response(StatusCode::OK, "")
            }
            _ => full_response(StatusCode::NOT_FOUND, ""),
        };
        let is_lost = is_write && self.behaviour.get() == StoreBehaviour::LosesResponses;
        let mut response = response;
        response.headers_mut().insert("store-era", self.era.get().into());
        (!is_lost).then_some(response)
    }

    fn create(&self, kind: &str, body: &[u8]) -> Option<Response<Body>> {
        let object: Value = serde_json::from_slice(body).ok()?;
        let name = object["Metadata"]["Name"].as_str()?.to_owned();
        let key = (kind.to_owned(), name.clone());
        if let Some(present) = self.objects.borrow().get(&key) {
            return Some(full_response(StatusCode::CONFLICT, present.text.clone()));
        }
        let created = self.put(kind, &name, object["Spec"].clone());
        Some(full_response(StatusCode::OK, created))
    }

    /// Replaces an object, if it has the revision that the call names.
    fn replace(&self, kind: &str, name: &str, object: &Value) -> Response<Body> {
        let key = (kind.to_owned(), name.to_owned());
        let Some(present) = self.objects.borrow().get(&key).cloned() else {
            return full_response(StatusCode::NOT_FOUND, "");
        };
        let expected = &object["Metadata"]["Revision"];
        if !expected.is_null() && *expected != present.revision {
            return full_response(StatusCode::CONFLICT, present.text);
        }
        full_response(StatusCode::OK, self.put(kind, name, object["Spec"].clone()))
    }

    async fn list(&self, kind: &str, after: Option<&str>) -> Response<Body> {
        if after.is_some() {
            tokio::time::sleep(self.page_delay.get()).await;
        }
        let objects = self.objects.borrow();
        let is_listed =
            |key: &(String, String)| key.0 == kind && after.is_none_or(|it| it < key.1.as_str());
        let mut items: Vec<&[u8]> =
            objects.iter().filter(|(key, _)| is_listed(key)).map(|(_, it)| &*it.text).collect();
        let is_truncated = PAGE_SIZE < items.len();
        items.truncate(PAGE_SIZE);
        let revision = self.revision.get();
        let end = format!("],\"Truncated\":{is_truncated},\"StoreRevision\":{revision}}}");
        let page = [b"{\"Items\":[", &items.join(&b","[..])[..], end.as_bytes()].concat();
        full_response(StatusCode::OK, page)
    }

    /// Returns the changes after a revision; none if the watch is cut off.
    async fn watch(&self, kind: &str, from: u64, wait: u64) -> Option<Response<Body>> {
        let n_cuts = self.n_cuts.get();
        let until = Instant::now() + Duration::from_millis(wait);
        loop {
            if from < self.compacted.get() || self.revision.get() < from {
                return Some(full_response(StatusCode::GONE, ""));
            }
            if n_cuts != self.n_cuts.get() {
                return None;
            }
            let changed = self.changed.notified();
            let events = match self.behaviour.get() {
                StoreBehaviour::MissesChanges => Vec::new(),
                _ => self.events_since(kind, from),
            };
            if !events.is_empty() || until <= Instant::now() {
                let revision = self.revision.get();
                let end = format!("],\"StoreRevision\":{revision}}}");
                let events = events.join(&b","[..]);
                let body = [b"{\"events\":[", &events[..], end.as_bytes()].concat();
                return Some(full_response(StatusCode::OK, body));
            }
            // After a change or the timeout, the loop checks for events again.
            let _ = tokio::time::timeout_at(until, changed).await;
        }
    }

    fn events_since(&self, kind: &str, from: u64) -> Vec<Vec<u8>> {
        let events = self.events.borrow();
        let newer = events.iter().filter(|it| from < it.object.revision && it.kind == kind);
        let text = |it: &Event| {
            let start = format!("{{\"Removed\":{},\"Object\":", it.is_removed);
            [start.as_bytes(), &it.object.text, b"}"].concat()
        };
        newer.map(text).collect()
    }
}

fn parameter(query: &str, name: &str) -> Option<u64> {
    text(query, name).and_then(|it| it.parse().ok())
}

fn text(query: &str, name: &str) -> Option<String> {
    let mut pairs = query.split('&').filter_map(|it| it.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    Some(percent_decode_str(value).decode_utf8_lossy().into_owned())
}
