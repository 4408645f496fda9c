//! Follows the objects in the platform's store, and registers this instance there.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ferry_model::{GatewayEndpoint, StorePosition};
use ferry_platform::store::{self, Kind, Object, Registration};
use ferry_platform::{FormatError, desired, endpoints};
use ferry_serve::{EvacuatedZones, Event, Metric, StoreUpdate};
use http::{Method, StatusCode};
use rand::RngExt;
use tokio::time::Instant;

use super::{Client, RESPONSE_TIMEOUT, StoreError, is_watcher};
use crate::client::InternalCall;
use crate::driver::Driver;

/// Pause after a change of endpoints, so that the next call returns several changes. It is as short on all
/// instances while entries are missing that may come back.
const CHANGE_INTERVAL: Duration = Duration::from_millis(300);
/// The same on instances that do not follow the store closely, as a divisor of the time for which a
/// draining endpoint may still receive requests.
const DRAIN_DIVISOR: u32 = 3;
/// Time over which instances register again in a new era, as the store takes few writes.
const REGISTER_SPREAD: Duration = Duration::from_millis(1_000);
/// Longest time for which calls for other kinds wait until those for endpoints are answered.
const MAX_STORE_WAIT: Duration = Duration::from_millis(3_000);
const MIN_BACKOFF: Duration = Duration::from_millis(60);
const MAX_BACKOFF: Duration = Duration::from_millis(600);

/// Follows the objects of a kind until the process ends.
pub async fn follow(driver: Rc<Driver>, kind: Kind) {
    let client = Client::new(&driver);
    let mut from: Option<u64> = None;
    // Until then, all changes are known.
    let mut seen = Instant::now();
    let (mut backoff, mut cut_backoff) = (Backoff::new(), Backoff::new());
    let mut is_unreachable = false;
    loop {
        let sent = Instant::now();
        let result = match from {
            None => list(&client, &driver, kind, seen).await,
            Some(from) => watch(&client, &driver, kind, from, seen).await,
        };
        match result {
            Ok(update) => {
                if from.is_some() {
                    (seen, cut_backoff) = (Instant::now(), Backoff::new());
                } else {
                    seen = sent;
                }
                // A watch may miss changes, so one without changes is followed by a list. Instances
                // that do not follow the store closely learn of configurations and instances from
                // peers.
                let peers_report = kind != Kind::Endpoints && !is_watcher(&driver);
                let must_list = match update.content {
                    Content::Unchanged => !peers_report,
                    Content::Read => false,
                    Content::Unnamed => true,
                };
                from = Some(update.revision).filter(|_| !must_list);
                backoff = Backoff::new();
                if std::mem::take(&mut is_unreachable) && kind == Kind::Endpoints {
                    driver.is_store_up.send_replace(true);
                    driver.dispatch(Event::Store(StoreUpdate::Reachable));
                }
                if update.content != Content::Unchanged && kind == Kind::Endpoints {
                    tokio::time::sleep(change_interval(&driver)).await;
                }
            }
            Err(StoreError::HistoryGone(_) | StoreError::NewEra) => from = None,
            // Whether the store is away is told by the list that follows.
            Err(error) if from.is_some() && error.is_cut() => {
                (from, seen) = (None, Instant::now());
                driver.metrics.count(Metric::WatchesCut);
                cut_backoff.wait().await;
            }
            Err(error) => {
                // Changes may have been missed during the failure.
                from = None;
                if let StoreError::Format(error) = &error {
                    driver.metrics.count(Metric::ResponsesUnreadable);
                    driver.warn_seldom("could not read a response of the store", error);
                }
                if !std::mem::replace(&mut is_unreachable, true) {
                    driver.warn("the store does not answer", &error);
                    if kind == Kind::Endpoints {
                        driver.is_store_up.send_replace(false);
                        driver.dispatch(Event::Store(StoreUpdate::Unreachable));
                    }
                }
                backoff.wait().await;
                if kind != Kind::Endpoints {
                    wait_for_store(&driver).await;
                }
            }
        }
    }
}

/// Waits until the store answers the calls for endpoints, so that an outage does not cost calls for
/// each kind.
async fn wait_for_store(driver: &Rc<Driver>) {
    let mut is_up = driver.is_store_up.subscribe();
    // Another kind may be answered although that one is not.
    let _ = tokio::time::timeout(MAX_STORE_WAIT, is_up.wait_for(|it| *it)).await;
}

fn change_interval(driver: &Rc<Driver>) -> Duration {
    let has_missing = driver.query(|it| it.context().endpoints.has_missing());
    match is_watcher(driver) || has_missing {
        true => CHANGE_INTERVAL,
        false => CHANGE_INTERVAL.max(driver.settings.drain / DRAIN_DIVISOR),
    }
}

/// Result of a list or a watch.
struct Update {
    /// Position from which the next watch starts.
    revision: StorePosition,
    content: Content,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Content {
    /// A watch without changes.
    Unchanged,
    Read,
    /// Some changes are of objects whose names cannot be read.
    Unnamed,
}

async fn list(
    client: &Client,
    driver: &Rc<Driver>,
    kind: Kind,
    seen: Instant,
) -> Result<Update, StoreError> {
    let (objects, revision) = client.list(kind).await?;
    report_gap(driver, kind, seen);
    match kind {
        Kind::Config => objects.iter().for_each(|it| configure(driver, it)),
        Kind::Endpoints => {
            let mut endpoints = Vec::new();
            for object in &objects {
                match endpoint(driver, object) {
                    Some(endpoint) => endpoints.push(endpoint),
                    None => {
                        let id = object.name.clone();
                        driver.dispatch(Event::Store(StoreUpdate::Unreadable { revision, id }));
                    }
                }
            }
            driver.dispatch(Event::Store(StoreUpdate::List { revision, endpoints }));
        }
        Kind::Evacuations => {
            let zones = objects.into_iter().map(|it| it.name).collect();
            let list = EvacuatedZones { revision, zones };
            driver.dispatch(Event::Store(StoreUpdate::EvacuatedZones(list)));
        }
        Kind::Instances => {
            let member =
                |it: &Object| readable(driver, it, store::read_registration(it)).map(|it| it.peer);
            driver.dispatch(Event::Members(objects.iter().filter_map(member).collect()));
        }
        // These are read when a decision needs them.
        Kind::Builds | Kind::Streams | Kind::Quarantine => (),
    }
    Ok(Update { revision, content: Content::Read })
}

async fn watch(
    client: &Client,
    driver: &Rc<Driver>,
    kind: Kind,
    from: StorePosition,
    seen: Instant,
) -> Result<Update, StoreError> {
    let changes = client.watch(kind, from).await?;
    let revision = changes.revision;
    if !changes.changes.is_empty() {
        report_gap(driver, kind, seen);
    }
    for change in &changes.changes {
        match kind {
            Kind::Config if change.is_removed => (),
            Kind::Config => configure(driver, &change.object),
            Kind::Endpoints => {
                let id = change.object.name.clone();
                let update = match change.is_removed {
                    true => StoreUpdate::Removed { revision, id },
                    false => match endpoint(driver, &change.object) {
                        Some(endpoint) => StoreUpdate::Changed { revision, endpoint },
                        None => StoreUpdate::Unreadable { revision, id },
                    },
                };
                driver.dispatch(Event::Store(update));
            }
            Kind::Evacuations => {
                let zone = change.object.name.clone();
                driver.dispatch(Event::Store(match change.is_removed {
                    true => StoreUpdate::Readmitted { revision, zone },
                    false => StoreUpdate::Evacuated { revision, zone },
                }));
            }
            Kind::Instances | Kind::Builds | Kind::Streams | Kind::Quarantine => (),
        }
    }
    driver.note_unnamed(changes.n_unnamed);
    let content = match (changes.n_unnamed, changes.changes.is_empty()) {
        (1.., _) => Content::Unnamed,
        (0, true) => Content::Unchanged,
        (0, false) => Content::Read,
    };
    Ok(Update { revision, content })
}

/// Reports how long ago the changes may have happened that are reported next.
fn report_gap(driver: &Rc<Driver>, kind: Kind, seen: Instant) {
    if kind == Kind::Endpoints {
        driver.dispatch(Event::Store(StoreUpdate::Answered { gap: seen.elapsed() }));
    }
}

fn configure(driver: &Rc<Driver>, object: &Object) {
    if object.name != store::CONFIG_NAME {
        return;
    }
    if let Some(config) = readable(driver, object, desired::read(&object.spec)) {
        driver.dispatch(Event::Config(Arc::new(config)));
    }
}

fn endpoint(driver: &Rc<Driver>, object: &Object) -> Option<GatewayEndpoint> {
    readable(driver, object, endpoints::read(&object.name, &object.spec))
}

/// Counts and logs an object that cannot be read; lists return it again and again.
fn readable<T>(driver: &Rc<Driver>, object: &Object, result: Result<T, FormatError>) -> Option<T> {
    let error = match result {
        Ok(value) => return Some(value),
        Err(error) => error,
    };
    driver.metrics.count(Metric::ObjectsUnreadable);
    driver.warn_seldom("ignored an object of the store", &format!("{}: {error}", object.name));
    None
}

/// Registers this instance so that others can find it, and reads the list of instances; again in each
/// era of the store, whose copy may lack the entry, and those of others.
///
/// Of two instances, the one that reads the list later finds the entry of the other.
pub async fn register(driver: Rc<Driver>) {
    let client = Client::new(&driver);
    let mut era = driver.era.subscribe();
    loop {
        let mut backoff = Backoff::new();
        let registered = loop {
            match try_register(&client, &driver).await {
                Ok(era) => break era,
                Err(error) => driver.warn("could not register this instance", &error),
            }
            backoff.wait().await;
        };
        // The driver owns the sender, so the wait can only end with a later era.
        let _ = era.wait_for(|it| Some(registered) < *it).await;
        let jitter = rand::rng().random_range(0.0..1.0);
        tokio::time::sleep(REGISTER_SPREAD.mul_f64(jitter)).await;
    }
}

/// Registers this instance, and returns the era in which that was done.
async fn try_register(client: &Client, driver: &Rc<Driver>) -> Result<u64, StoreError> {
    let name = &driver.settings.instance;
    let registration =
        Registration { peer: driver.settings.peer, zone: driver.settings.zone.clone() };
    let body = Bytes::from(store::registration_body(name, &registration).to_string());
    let create =
        InternalCall::json(Method::POST, &store::create_path(Kind::Instances), body.clone());
    let answer = match client.call(&create, RESPONSE_TIMEOUT).await {
        Err(StoreError::Status(StatusCode::CONFLICT)) => {
            let path = store::object_path(Kind::Instances, name);
            client.call(&InternalCall::json(Method::PUT, &path, body), RESPONSE_TIMEOUT).await
        }
        result => result,
    };
    let era = answer?.era;
    list(client, driver, Kind::Instances, Instant::now()).await?;
    Ok(era)
}

/// Exponential backoff with jitter.
struct Backoff {
    next: Duration,
}

impl Backoff {
    fn new() -> Backoff {
        Backoff { next: MIN_BACKOFF }
    }

    async fn wait(&mut self) {
        let jitter = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(self.next.mul_f64(jitter)).await;
        self.next = (self.next * 2).min(MAX_BACKOFF);
    }
}
