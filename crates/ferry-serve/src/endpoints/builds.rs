//! The builds of a pool's endpoints.

use ferry_model::BuildId;

use super::{EndpointView, Endpoints};

impl Endpoints {
    /// Number of changes so far to the endpoints that may get work.
    pub fn n_changes(&self) -> u64 {
        self.n_changes
    }

    /// Returns the builds of a pool's endpoints, sorted.
    pub fn builds(&self, pool: &str) -> Vec<BuildId> {
        let mut builds: Vec<BuildId> =
            self.pool(pool).map(|it| it.endpoint.build.clone()).collect();
        builds.sort_unstable();
        builds.dedup();
        builds
    }

    /// Withholds work from the endpoints of a pool whose builds the store does not record yet, as long
    /// as others are left.
    ///
    /// Otherwise an instance that starts later has no evidence that such a build has begun streams.
    pub fn withhold(&mut self, pool: &str, recorded: Option<&[BuildId]>) {
        let is_recorded = |it: &EndpointView| {
            recorded.is_none_or(|builds| builds.binary_search(&it.endpoint.build).is_ok())
        };
        let has_recorded = self.pool(pool).any(|it| is_recorded(it) && !it.leaves());
        let ids = self.pools.get(pool).cloned().unwrap_or_default();
        for id in ids {
            let Some(view) = self.views.get_mut(&id) else { continue };
            view.is_withheld = has_recorded && !is_recorded(view);
        }
    }
}
