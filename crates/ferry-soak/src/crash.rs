//! Engines that crash on a prompt part, and the prompts that name it.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::endpoint::Endpoint;
use crate::losses::Trouble;
use crate::proxy::Proxy;
use crate::store::Store;

/// Prompt part on which engines crash, unless it is the last one of a prompt.
const CRASH_PART: &str = "dead:40";
/// Parts of every prompt, in order.
const SHARED_PARTS: [&str; 3] = ["a1:100", "b2:50", "c3:10"];
/// Percentage of a caller's streams whose prompt names the part.
const CRASH_SHARE: std::ops::Range<u32> = 10..30;
/// Time for which a crashed engine refuses connections, in milliseconds.
const DOWN_MS: std::ops::Range<u64> = 2_000..4_000;
/// Time after which the entry of a crashed engine is removed.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(1);
/// Time to send the events that precede a crash.
const FLUSH_TIME: Duration = Duration::from_millis(10);
/// Maximum number of events that precede a crash.
const MAX_EVENTS: u64 = 2;

/// Returns whether engines crash on a prompt.
pub fn names_part(prompt: &str) -> bool {
    prompt.rsplit_once(',').is_some_and(|(it, _)| it.split(',').any(|it| it == CRASH_PART))
}

/// A crash that follows from a request.
#[derive(Debug, Clone)]
pub struct PendingCrash {
    /// Number of events that are sent before.
    pub n_events: u64,
    due: Arc<Notify>,
}

impl PendingCrash {
    /// Makes the engine crash; never returns, as the crash closes the connection.
    pub async fn crash(&self) {
        sleep(FLUSH_TIME).await;
        self.due.notify_one();
        std::future::pending().await
    }
}

/// Crashes of an engine.
#[derive(Debug, Default)]
pub struct Crashes {
    pub seed: Cell<u64>,
    /// Whether responses end with the connection, so that crashes look like their ends.
    pub is_unframed: Cell<bool>,
    /// Whether the engine has crashed and not started again.
    pub is_down: Cell<bool>,
    pub n_crashes: Cell<u64>,
    due: Arc<Notify>,
}

impl Crashes {
    /// Returns the crash that follows from a prompt.
    pub fn pending(&self, prompt: &str) -> Option<PendingCrash> {
        let n_events = self.rng().random_range(0..=MAX_EVENTS);
        names_part(prompt).then(|| PendingCrash { n_events, due: self.due.clone() })
    }

    /// Returns the generator for the next crash, so that other requests do not affect it.
    fn rng(&self) -> Pcg64Mcg {
        Pcg64Mcg::seed_from_u64(self.seed.get().wrapping_add(self.n_crashes.get()))
    }
}

/// Stops an engine whenever it crashes, and starts it again.
pub async fn run_crashes(endpoint: Rc<Endpoint>, proxy: Rc<Proxy>, store: Rc<Store>, zone: String) {
    let crashes = &endpoint.crashes;
    loop {
        tokio::select! {
            () = crashes.due.notified() => (),
            () = proxy.reset.notified() => {
                if crashes.is_unframed.get() {
                    endpoint.checker.record_cut(&endpoint.id);
                }
                continue;
            }
        }
        let down = Duration::from_millis(crashes.rng().random_range(DOWN_MS));
        crashes.is_down.set(true);
        crashes.n_crashes.set(crashes.n_crashes.get() + 1);
        endpoint.checker.set_trouble(&endpoint.id, Trouble::Crashed, true);
        proxy.stop();
        endpoint.parts.borrow_mut().clear();
        endpoint.checker.record_crash();
        endpoint.checker.record_cut(&endpoint.id);
        sleep(ENTRY_TIMEOUT).await;
        store.remove("servers", &endpoint.id);
        sleep(down - ENTRY_TIMEOUT).await;
        // Other streams with the part may have been about to crash the engine.
        let _ = crashes.due.notified().now_or_never();
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
