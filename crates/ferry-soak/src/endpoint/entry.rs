//! Entries of simulated endpoints in the store.

use std::time::SystemTime;

use serde_json::{Value, json};

use super::Endpoint;

/// Seconds by which clocks of endpoints are ahead, or behind; each is set to the next one when its
/// endpoint starts again.
const CLOCK_OFFSETS: [i64; 7] = [0, 12, -30, 300, -4_000, 86_400, -2];

impl Endpoint {
    /// Returns the endpoint's entry in the store.
    pub fn entry(&self, zone: &str, state: &str) -> Value {
        let pool: &str = self.pool.into();
        json!({
            "Service": pool, "Address": self.address.to_string(), "Zone": zone, "Version": self.build.get(),
            "Slots": 8, "State": state, "ColdLeftMs": 0, "Sequence": 1, "born": self.started.get(),
        })
    }

    /// Starts its process again.
    pub fn restart(&self) {
        self.n_starts.set(self.n_starts.get() + 1);
        self.started.set(start_time(self.n_starts.get()));
    }
}

/// Returns the time of a start, by the clock of its endpoint.
pub fn start_time(n_starts: usize) -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let now = now.map_or(0, |it| it.as_millis() as u64);
    now.saturating_add_signed(CLOCK_OFFSETS[n_starts % CLOCK_OFFSETS.len()] * 1_000)
}
