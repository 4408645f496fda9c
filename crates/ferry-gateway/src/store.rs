//! Follows the platform's store and registers this instance there.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ferry_model::GatewayEndpoint;
use ferry_platform::store::{self, Changes, Kind, Object, Page, Registration};
use ferry_platform::{FormatError, desired, endpoints};
use ferry_serve::{Event, StoreNews};
use http::{Method, StatusCode};
use rand::RngExt;
use thiserror::Error;

use crate::client::{CallError, ConnectionCache, InternalCall};
use crate::driver::Driver;

/// Time that a watch waits for changes at an instance that follows the store closely; a silent
/// connection is found soon after.
const WATCH_WAIT: Duration = Duration::from_millis(2_000);
/// The same at the others, which learn from peers what a silent connection hides: calls are paid.
const LONG_WAIT: Duration = Duration::from_millis(15_000);
/// Time for an answer beyond what was asked for.
const ANSWER_TIME: Duration = Duration::from_millis(900);
/// Pause after news of endpoints, so that the next call brings several.
const STRIDE: Duration = Duration::from_millis(300);
/// The same at instances that do not follow the store closely, as a part of the time in which a
/// leaving endpoint may still get work.
const LONG_STRIDE_PART: u32 = 3;
const FIRST_PAUSE: Duration = Duration::from_millis(60);
const LAST_PAUSE: Duration = Duration::from_millis(600);

#[derive(Debug, Error)]
enum StoreError {
    #[error(transparent)]
    Call(#[from] CallError),
    #[error(transparent)]
    Format(#[from] FormatError),
    #[error("the store answered {0}")]
    Status(StatusCode),
    #[error("the history since {0} is gone")]
    HistoryGone(u64),
}

/// A connection to the store that serves one caller.
struct Client {
    driver: Rc<Driver>,
    connections: ConnectionCache,
}

impl Client {
    fn new(driver: &Rc<Driver>) -> Client {
        Client { driver: driver.clone(), connections: ConnectionCache::new() }
    }

    async fn call(&self, call: &InternalCall, timeout: Duration) -> Result<Bytes, StoreError> {
        self.driver.metrics.store_call();
        let answer = self.connections.call(self.driver.settings.store, call, timeout).await?;
        match answer.status {
            status if status.is_success() => Ok(answer.body),
            status => Err(StoreError::Status(status)),
        }
    }

    async fn list(&self, kind: Kind) -> Result<(Vec<Object>, u64), StoreError> {
        let mut objects: Vec<Object> = Vec::new();
        let mut first = None;
        loop {
            let after = objects.last().map(|it| it.name.clone());
            let call = InternalCall::get(store::list_path(kind, after.as_deref()));
            let page: Page = store::read_page(&self.call(&call, ANSWER_TIME).await?)?;
            let is_over = !page.is_truncated || page.objects.is_empty();
            objects.extend(page.objects);
            // What changed while the later pages were read is told again by the watch.
            let revision = *first.get_or_insert(page.revision);
            if is_over {
                return Ok((objects, revision));
            }
        }
    }

    async fn watch(&self, kind: Kind, from: u64) -> Result<Changes, StoreError> {
        let wait = if is_watcher(&self.driver) { WATCH_WAIT } else { LONG_WAIT };
        let call = InternalCall::get(store::watch_path(kind, from, wait));
        match self.call(&call, wait + ANSWER_TIME).await {
            Ok(body) => Ok(store::read_changes(&body)?),
            Err(StoreError::Status(StatusCode::GONE)) => Err(StoreError::HistoryGone(from)),
            Err(error) => Err(error),
        }
    }
}

/// Follows the objects of a kind until the process ends.
pub async fn follow(driver: Rc<Driver>, kind: Kind) {
    let client = Client::new(&driver);
    let mut from: Option<u64> = None;
    let mut pause = Pause::new();
    let mut is_lost = false;
    loop {
        let news = match from {
            None => list(&client, &driver, kind).await,
            Some(from) => watch(&client, &driver, kind, from).await,
        };
        match news {
            Ok(heard) => {
                // A watch may hear nothing while changes are made: the list tells. Of configurations
                // and instances, peers tell those that do not follow closely.
                let is_told = kind != Kind::Endpoints && !is_watcher(&driver);
                let must_list = heard.is_quiet && !is_told;
                from = Some(heard.revision).filter(|_| !must_list);
                pause = Pause::new();
                if std::mem::take(&mut is_lost) && kind == Kind::Endpoints {
                    driver.dispatch(Event::Store(StoreNews::Back));
                }
                if !heard.is_quiet && kind == Kind::Endpoints {
                    tokio::time::sleep(stride(&driver)).await;
                }
            }
            Err(StoreError::HistoryGone(_)) => from = None,
            Err(error) => {
                // Changes may have been missed while the watch was cut.
                from = None;
                if !std::mem::replace(&mut is_lost, true) {
                    driver.warn("the store does not answer", &error);
                    if kind == Kind::Endpoints {
                        driver.dispatch(Event::Store(StoreNews::Lost));
                    }
                }
                pause.wait().await;
            }
        }
    }
}

fn is_watcher(driver: &Rc<Driver>) -> bool {
    let now = driver.now();
    driver.query(|it| it.is_watcher(now))
}

fn stride(driver: &Rc<Driver>) -> Duration {
    match is_watcher(driver) {
        true => STRIDE,
        false => STRIDE.max(driver.settings.drain / LONG_STRIDE_PART),
    }
}

/// What a call told.
struct Heard {
    /// Where the next watch starts.
    revision: u64,
    /// Whether a watch ended without changes.
    is_quiet: bool,
}

async fn list(client: &Client, driver: &Rc<Driver>, kind: Kind) -> Result<Heard, StoreError> {
    let (objects, revision) = client.list(kind).await?;
    match kind {
        Kind::Config => objects.iter().for_each(|it| configure(driver, it)),
        Kind::Endpoints => {
            let endpoints = objects.iter().filter_map(|it| endpoint(driver, it)).collect();
            driver.dispatch(Event::Store(StoreNews::List { stamp: revision, endpoints }));
        }
        Kind::Instances => {
            let members: Vec<SocketAddr> =
                objects.iter().filter_map(store::read_registration).map(|it| it.peer).collect();
            driver.dispatch(Event::Members(members));
        }
    }
    Ok(Heard { revision, is_quiet: false })
}

async fn watch(
    client: &Client,
    driver: &Rc<Driver>,
    kind: Kind,
    from: u64,
) -> Result<Heard, StoreError> {
    let changes = client.watch(kind, from).await?;
    let stamp = changes.revision;
    for change in &changes.changes {
        match kind {
            Kind::Config if change.is_removed => (),
            Kind::Config => configure(driver, &change.object),
            Kind::Endpoints => {
                let endpoint = match change.is_removed {
                    true => None,
                    false => endpoint(driver, &change.object),
                };
                let news = match endpoint {
                    Some(endpoint) => StoreNews::Changed { stamp, endpoint },
                    None => StoreNews::Removed { stamp, id: change.object.name.clone() },
                };
                driver.dispatch(Event::Store(news));
            }
            Kind::Instances => (),
        }
    }
    Ok(Heard { revision: stamp, is_quiet: changes.changes.is_empty() })
}

fn configure(driver: &Rc<Driver>, object: &Object) {
    match desired::read(&object.spec) {
        Ok(config) => driver.dispatch(Event::Config(Arc::new(config))),
        Err(error) => {
            let what = "could not read the configuration; the last one stays";
            warn_once(driver, object, what, &error);
        }
    }
}

fn endpoint(driver: &Rc<Driver>, object: &Object) -> Option<GatewayEndpoint> {
    match endpoints::read(&object.name, &object.spec) {
        Ok(endpoint) => Some(endpoint),
        Err(error) => {
            warn_once(driver, object, "an entry names no endpoint to use", &error);
            None
        }
    }
}

/// Writes a line about an object that cannot be read; lists show it again and again.
fn warn_once(driver: &Rc<Driver>, object: &Object, what: &str, error: &FormatError) {
    let line = format!("{}: {error}", object.name);
    let last = driver.unreadable.borrow_mut().insert(object.name.clone(), line.clone());
    if last.as_ref() != Some(&line) {
        driver.warn(what, &line);
    }
}

/// Registers this instance, so that others find it, and learns of those that are there.
pub async fn register(driver: Rc<Driver>) {
    let client = Client::new(&driver);
    let mut pause = Pause::new();
    loop {
        match try_register(&client, &driver).await {
            Ok(()) => return,
            Err(error) => driver.warn("could not register this instance", &error),
        }
        pause.wait().await;
    }
}

async fn try_register(client: &Client, driver: &Rc<Driver>) -> Result<(), StoreError> {
    let name = &driver.settings.instance;
    let registration =
        Registration { peer: driver.settings.peer, zone: driver.settings.zone.clone() };
    let body = Bytes::from(store::registration_body(name, &registration).to_string());
    let create =
        InternalCall::json(Method::POST, &store::create_path(Kind::Instances), body.clone());
    match client.call(&create, ANSWER_TIME).await {
        Ok(_) => (),
        Err(StoreError::Status(StatusCode::CONFLICT)) => {
            let path = store::object_path(Kind::Instances, name);
            client.call(&InternalCall::json(Method::PUT, &path, body), ANSWER_TIME).await?;
        }
        Err(error) => return Err(error),
    }
    list(client, driver, Kind::Instances).await?;
    Ok(())
}

/// Pauses between tries, longer with each and a little at random.
struct Pause {
    next: Duration,
}

impl Pause {
    fn new() -> Pause {
        Pause { next: FIRST_PAUSE }
    }

    async fn wait(&mut self) {
        let share = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(self.next.mul_f64(share)).await;
        self.next = (self.next * 2).min(LAST_PAUSE);
    }
}
