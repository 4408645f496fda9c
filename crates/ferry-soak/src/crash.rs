//! Requests and prompt parts on which endpoints crash.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::config::Route;
use crate::endpoint::{Endpoint, N_EVENTS};
use crate::losses::Trouble;
use crate::proxy::Proxy;
use crate::store::Store;

/// Prompt part on which engines crash, unless it is the last one of a prompt.
const CRASH_PART: &str = "dead:40";
/// Start of the bodies on which all endpoints crash.
const CRASH_BODY: &str = "crashes on ";
/// Parts of every prompt, in order.
const SHARED_PARTS: [&str; 3] = ["a1:100", "b2:50", "c3:10"];
/// Percentage of a caller's streams whose prompt names the part.
const CRASH_SHARE: std::ops::Range<u32> = 10..30;
/// Time for which a crashed endpoint refuses connections, in milliseconds.
const DOWN_MS: std::ops::Range<u64> = 2_000..4_000;
/// Time after which the entry of a crashed endpoint is removed.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(1);
/// Time to send what precedes a crash.
const FLUSH_TIME: Duration = Duration::from_millis(10);
/// Factors by which a run that ends with a crash may take longer than others, so that some crash late.
const SLOWNESS: std::ops::RangeInclusive<u32> = 1..=6;

/// What endpoints crash on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    Part,
    /// The request to this route whose body is marked.
    Request(Route),
}

impl Cause {
    /// Returns what the endpoints that run a request crash on.
    pub fn of(route: Route, prompt: &str, body: &[u8]) -> Option<Cause> {
        let is_shared = |it: &str| it.split(',').any(|it| it == CRASH_PART);
        if body.starts_with(CRASH_BODY.as_bytes()) {
            Some(Cause::Request(route))
        } else if route.is_stream() && prompt.rsplit_once(',').is_some_and(|it| is_shared(it.0)) {
            Some(Cause::Part)
        } else {
            None
        }
    }
}

/// Returns the body that makes a request to a route crash its endpoints.
pub fn crash_body(route: Route) -> String {
    let name: &str = route.into();
    format!("{CRASH_BODY}{name}")
}

/// The moment of a run at which an endpoint crashes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Moment {
    /// Before the head, after this part of the time that it takes.
    Head(f64),
    /// Behind the head and this number of events, or of as many pieces of a body; all of them may be
    /// sent, but not the end.
    Events(u64),
}

/// A crash that follows from a request.
#[derive(Debug, Clone)]
pub struct PendingCrash {
    pub moment: Moment,
    /// The run takes longer by this factor.
    pub slowness: u32,
    cause: Cause,
    due: watch::Sender<Option<Cause>>,
}

impl PendingCrash {
    /// Takes the time until the head of the response, which no head follows if the crash comes before.
    pub async fn run_head(&self, time: Duration) {
        let time = time * self.slowness;
        match self.moment {
            Moment::Head(share) => {
                sleep(time.mul_f64(share)).await;
                self.crash().await;
            }
            Moment::Events(_) => sleep(time).await,
        }
    }

    /// Makes the endpoint crash; never returns, as the crash closes the connection.
    pub async fn crash(&self) {
        sleep(FLUSH_TIME).await;
        self.due.send_replace(Some(self.cause));
        std::future::pending().await
    }

    /// Whether the endpoint crashes after `n_sent` events or pieces of this run.
    pub fn is_due(&self, n_sent: u64) -> bool {
        match self.moment {
            Moment::Head(_) => true,
            Moment::Events(number) => number <= n_sent,
        }
    }
}

/// Crashes of an endpoint.
#[derive(Debug, Default)]
pub struct Crashes {
    pub seed: Cell<u64>,
    /// Whether responses end with the connection, so that crashes look like their ends.
    pub is_unframed: Cell<bool>,
    /// Whether the endpoint has crashed and not started again.
    pub is_down: Cell<bool>,
    pub n_crashes: Cell<u64>,
    due: watch::Sender<Option<Cause>>,
}

impl Crashes {
    /// Returns the crash that follows from a cause, at any moment of the run.
    pub fn pending(&self, cause: Cause) -> PendingCrash {
        let mut rng = self.rng();
        let moment = match rng.random_range(0..N_EVENTS + 2) {
            0 => Moment::Head(rng.random_range(0.0..1.0)),
            number => Moment::Events(number - 1),
        };
        PendingCrash { moment, slowness: rng.random_range(SLOWNESS), cause, due: self.due.clone() }
    }

    /// Returns the generator for the next crash, so that other requests do not affect it.
    fn rng(&self) -> Pcg64Mcg {
        Pcg64Mcg::seed_from_u64(self.seed.get().wrapping_add(self.n_crashes.get()))
    }
}

/// Stops an endpoint whenever it crashes, and starts it again.
pub async fn run_crashes(endpoint: Rc<Endpoint>, proxy: Rc<Proxy>, store: Rc<Store>, zone: String) {
    let crashes = &endpoint.crashes;
    let mut due = crashes.due.subscribe();
    loop {
        tokio::select! {
            // The sender lives as long as the endpoint.
            _ = due.changed() => (),
            () = proxy.reset.notified() => {
                if crashes.is_unframed.get() {
                    endpoint.checker.record_cut(&endpoint.id);
                }
                continue;
            }
        }
        let cause = *due.borrow_and_update();
        let down = Duration::from_millis(crashes.rng().random_range(DOWN_MS));
        crashes.is_down.set(true);
        crashes.n_crashes.set(crashes.n_crashes.get() + 1);
        endpoint.restart();
        endpoint.checker.set_trouble(&endpoint.id, Trouble::Crashed, true);
        proxy.stop();
        endpoint.parts.borrow_mut().clear();
        endpoint.drop_results();
        if let Some(cause) = cause {
            endpoint.checker.record_crash(cause);
        }
        endpoint.checker.record_cut(&endpoint.id);
        sleep(ENTRY_TIMEOUT).await;
        store.remove("servers", &endpoint.id);
        sleep(down - ENTRY_TIMEOUT).await;
        // Other requests may have been about to crash the endpoint.
        due.mark_unchanged();
        while proxy.listen().await.is_err() {
            sleep(FLUSH_TIME).await;
        }
        crashes.is_down.set(false);
        endpoint.checker.set_trouble(&endpoint.id, Trouble::Crashed, false);
        store.put("servers", &endpoint.id, endpoint.entry(&zone, "ready"));
    }
}

/// The prompts of a caller's streams.
#[derive(Debug)]
pub struct Prompts {
    /// A generator of its own, so that a seed draws the other faults as without crashes.
    rng: Pcg64Mcg,
    share: u32,
    /// Whether callers send the part on which engines crash.
    is_sent: Rc<Cell<bool>>,
}

impl Prompts {
    pub fn new(seed: u64, is_sent: &Rc<Cell<bool>>) -> Prompts {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let share = rng.random_range(CRASH_SHARE);
        Prompts { rng, share, is_sent: is_sent.clone() }
    }

    /// Returns the next prompt, whose last part is its own.
    pub fn draw(&mut self) -> String {
        let own = format!("{:x}:20", self.rng.random_range(0..u64::MAX));
        let mut parts = SHARED_PARTS.map(str::to_owned).to_vec();
        if self.is_sent.get() && self.rng.random_range(0..100) < self.share {
            let place = self.rng.random_range(0..=parts.len());
            parts.insert(place, CRASH_PART.to_owned());
        }
        parts.push(own);
        parts.join(",")
    }
}
