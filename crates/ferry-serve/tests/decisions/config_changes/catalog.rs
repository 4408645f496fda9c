//! How long the limits of a pool are kept that a newer configuration has dropped.

use std::sync::Arc;

use ferry_model::Moment;
use ferry_serve::Catalog;

use crate::simulation::{FIRST, config, ms};

#[test]
fn limits_of_a_dropped_pool_are_kept_for_requests_of_instances_that_learn_of_it_late() {
    struct Case {
        /// Milliseconds until the next version, which has no other pools either.
        after: u64,
        is_kept: bool,
    }
    // Requests last 4 s, and an instance may learn of a version 10 s later than another one.
    let cases = [
        Case { after: 1_000, is_kept: true },
        Case { after: 13_900, is_kept: true },
        Case { after: 14_100, is_kept: false },
    ];
    for Case { after, is_kept } in cases {
        let mut catalog = Catalog::new();
        catalog.update(Moment::ZERO, Arc::new(config(1)));
        for version in 2..4 {
            let mut newer = config(version);
            newer.pools.retain(|id, _| id != FIRST);
            let now = Moment::ZERO + ms(after) * (version as u32 - 2);
            catalog.update(now, Arc::new(newer));
        }
        assert_eq!(catalog.batch_limits(FIRST).is_some(), is_kept, "after {after} ms");
    }
}
