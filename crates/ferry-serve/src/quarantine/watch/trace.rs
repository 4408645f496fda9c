//! A call, as far as it tells of crashes.

use ferry_model::{EndpointId, Moment, PoolId};

use crate::Exposure;

/// What is known of one call.
#[derive(Debug, Clone)]
pub struct CallTrace {
    pub pool: PoolId,
    pub endpoint: EndpointId,
    /// Which start of the endpoint it is.
    pub started: u64,
    pub sent_at: Moment,
    /// What may crash the endpoint.
    pub exposures: Vec<Exposure>,
}

impl CallTrace {
    /// Records how long the call had run as it ended.
    pub fn with_end(mut self, at: Moment) -> CallTrace {
        let run_time = Some(at.saturating_sub(self.sent_at));
        self.exposures.iter_mut().for_each(|it| it.run_time = run_time);
        self
    }
}
