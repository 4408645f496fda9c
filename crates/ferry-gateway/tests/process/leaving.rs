//! Endpoints that announce in their responses that they leave.

use std::time::Duration;

use ferry_soak::callers::Caller;
use ferry_soak::config::Route;
use ferry_soak::crash::Prompts;
use ferry_soak::endpoint::Pool;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::time::{Instant, sleep};

use crate::harness::with_cluster;

/// Time after an announcement from which on nothing may reach the endpoint.
const DRAIN_TIME: Duration = Duration::from_secs(2);

#[test]
fn endpoint_that_announces_its_leaving_gets_no_new_requests_nor_items() {
    struct Case {
        pool: Pool,
        route: Route,
    }
    let cases = [
        Case { pool: Pool::Plain, route: Route::Get },
        Case { pool: Pool::Engine, route: Route::Stream },
        Case { pool: Pool::First, route: Route::Stream },
        Case { pool: Pool::Second, route: Route::Stream },
    ];
    with_cluster("leaving", 1, async |cluster| {
        let checker = cluster.checker.clone();
        let prompts = Prompts::new(1, &cluster.has_crashes);
        let rng = Pcg64Mcg::seed_from_u64(1);
        let directories = cluster.directories();
        let mut caller = Caller::new("caller".to_owned(), directories, checker, rng, prompts);
        for Case { pool, route } in cases {
            let endpoint = cluster.endpoints.iter().find(|it| it.pool == pool);
            let endpoint = endpoint.expect("the pool has an endpoint");
            endpoint.is_leaving.set(true);
            let n_calls =
                || cluster.checker.n_items(&endpoint.id) + cluster.checker.n_runs(&endpoint.id);
            let start = Instant::now();
            let before = n_calls();
            while start.elapsed() < DRAIN_TIME {
                caller.send(route).await;
            }
            assert!(before < n_calls(), "{} was never asked", endpoint.id);
            let before = n_calls();
            let until = Instant::now() + DRAIN_TIME;
            while Instant::now() < until {
                caller.send(route).await;
                sleep(Duration::from_millis(5)).await;
            }
            let n_late = n_calls() - before;
            assert_eq!(
                n_late, 0,
                "{} got requests or items after it announced its leaving",
                endpoint.id
            );
        }
        assert_eq!(cluster.checker.violations(), Vec::<String>::new());
    });
}
