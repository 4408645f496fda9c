//! Pools whose endpoints have all had the same build for a while.

use std::time::Duration;

use ferry_model::{BuildId, Moment, PoolId};

use super::Endpoints;

/// Largest difference between the clocks of an endpoint and of this instance.
const MAX_CLOCK_ERROR: Duration = Duration::from_secs(5);

/// The build of all endpoints of a pool.
#[derive(Debug, Clone)]
pub(super) struct OnlyBuild {
    build: BuildId,
    since: Moment,
    /// Time before `since` in which no endpoint of the pool was replaced.
    before: Duration,
}

impl Endpoints {
    /// Returns the build of all endpoints of a pool, if none had another one within this time.
    pub fn only_build(&self, now: Moment, pool: &str, time: Duration) -> Option<&BuildId> {
        let only = self.only_builds.get(pool)?;
        (time <= now - only.since + only.before).then_some(&only.build)
    }

    /// Updates which pools have one build only.
    ///
    /// An instance that has just started has not seen earlier ones. A rollout starts new endpoints, so
    /// there was none since the youngest one started.
    pub(super) fn compare_builds(&mut self, now: Moment, is_first: bool) {
        let pools: Vec<PoolId> = self.pools.keys().cloned().collect();
        self.only_builds.retain(|it, _| pools.binary_search(it).is_ok());
        for pool in pools {
            let Some((build, youngest)) = self.shared_build(&pool) else {
                self.only_builds.remove(&pool);
                continue;
            };
            if self.only_builds.get(&pool).is_some_and(|it| it.build == build) {
                continue;
            }
            let age = (self.start + now).saturating_sub(youngest);
            let before =
                if is_first { age.saturating_sub(MAX_CLOCK_ERROR) } else { Duration::ZERO };
            self.only_builds.insert(pool, OnlyBuild { build, since: now, before });
        }
    }

    /// Returns the build that all endpoints of a pool have, and the start of the youngest one as time
    /// since the Unix epoch; none if their builds differ.
    fn shared_build(&self, pool: &str) -> Option<(BuildId, Duration)> {
        let build = &self.pool(pool).next()?.endpoint.build;
        let is_shared = self.pool(pool).all(|it| it.endpoint.build == *build);
        let youngest = self.pool(pool).map(|it| it.endpoint.started).max()?;
        is_shared.then(|| (build.clone(), Duration::from_millis(youngest)))
    }
}
