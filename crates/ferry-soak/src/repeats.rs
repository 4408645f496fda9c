//! Callers that send the same request again about once a second, at any gateway, whatever became of it.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::callers::Caller;
use crate::cluster::Cluster;
use crate::config::Route;
use crate::crash::{Prompts, crash_body};

/// Pause before a request is sent again, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 600..1_200;

/// Routes of the requests that are sent again.
#[derive(Debug, Clone)]
pub struct Repeats {
    /// Their requests crash endpoints.
    pub crashing: Vec<Route>,
    pub sound: Vec<Route>,
}

impl Repeats {
    /// Draws a plain request and a stream on which endpoints crash.
    pub fn draw(seed: u64) -> Repeats {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let plain = [Route::Get, Route::Post][rng.random_range(0..2)];
        let stream = [Route::Stream, Route::Once][rng.random_range(0..2)];
        Repeats { crashing: vec![plain, stream], sound: vec![Route::Get, Route::Stream] }
    }

    /// Returns the bodies of the requests that crash no endpoint.
    pub fn sound_bodies(&self) -> Vec<String> {
        self.sound.iter().copied().map(sound_body).collect()
    }
}

fn sound_body(route: Route) -> String {
    let name: &str = route.into();
    format!("sound on {name}")
}

/// Starts callers that send these requests until the flag is set.
pub fn start_repeats(cluster: &Cluster, repeats: &Repeats, seed: u64, is_over: &Rc<RefCell<bool>>) {
    let crashing = repeats.crashing.iter().map(|it| (*it, crash_body(*it)));
    let sound = repeats.sound.iter().map(|it| (*it, sound_body(*it)));
    for (number, (route, body)) in (0..).zip(crashing.chain(sound)) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ (number << 32));
        let mut prompts = Prompts::new(rng.random_range(0..u64::MAX), &Rc::default());
        let prompt = prompts.draw();
        let (name, checker) = (format!("repeater{number}"), cluster.checker.clone());
        let own_rng = Pcg64Mcg::seed_from_u64(rng.random_range(0..u64::MAX));
        let mut caller = Caller::new(name, cluster.directories(), checker, own_rng, prompts);
        let is_over = is_over.clone();
        spawn_local(async move {
            while !*is_over.borrow() {
                caller.send_elsewhere(route, &body, &prompt).await;
                sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
            }
        });
    }
}
