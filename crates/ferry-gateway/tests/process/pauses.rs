//! Endpoints that ask for a pause when they refuse a request.

use std::time::Duration;

use ferry_soak::callers::Caller;
use ferry_soak::config::Route;
use ferry_soak::crash::Prompts;
use ferry_soak::endpoint::Pool;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::time::{Instant, sleep};

use crate::harness::with_cluster;

const PAUSE: Duration = Duration::from_secs(2);

#[test]
fn endpoint_that_asks_for_a_pause_gets_no_requests_until_its_end() {
    struct Case {
        pool: Pool,
        route: Route,
        /// How many of the endpoints of the pool ask for a pause.
        n_pausing: usize,
    }
    let cases = [
        Case { pool: Pool::Plain, route: Route::Get, n_pausing: 1 },
        Case { pool: Pool::Plain, route: Route::Get, n_pausing: 3 },
        Case { pool: Pool::Plain, route: Route::Post, n_pausing: 3 },
        Case { pool: Pool::Engine, route: Route::Stream, n_pausing: 3 },
        Case { pool: Pool::Engine, route: Route::Once, n_pausing: 3 },
        Case { pool: Pool::First, route: Route::Stream, n_pausing: 2 },
        Case { pool: Pool::First, route: Route::Stream, n_pausing: 3 },
        Case { pool: Pool::Second, route: Route::Once, n_pausing: 3 },
    ];
    with_cluster("pauses", 1, async |cluster| {
        let checker = cluster.checker.clone();
        let prompts = Prompts::new(1, &cluster.has_crashes);
        let rng = Pcg64Mcg::seed_from_u64(1);
        let directories = cluster.directories();
        let mut caller = Caller::new("caller".to_owned(), directories, checker, rng, prompts);
        for Case { pool, route, n_pausing } in cases {
            let endpoints = || cluster.endpoints.iter().filter(|it| it.pool == pool);
            let before = cluster.checker.pause_counts().asked;
            endpoints().take(n_pausing).for_each(|it| it.pause.set(Some(PAUSE.as_secs_f64())));
            let until = Instant::now() + PAUSE * 2;
            while Instant::now() < until {
                caller.send(route).await;
                sleep(Duration::from_millis(10)).await;
            }
            let n_asked = cluster.checker.pause_counts().asked - before;
            assert!(0 < n_asked, "{pool:?}: no endpoint was asked");
            endpoints().for_each(|it| it.pause.set(None));
            sleep(PAUSE).await;
        }
        let counts = cluster.checker.pause_counts();
        assert_eq!(cluster.checker.violations(), Vec::<String>::new(), "{counts:?}");
    });
}
