//! Entries of simulated endpoints in the store.

use std::time::SystemTime;

use serde_json::{Value, json};

use super::Endpoint;

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
        self.started.set(unix_millis().max(self.started.get() + 1));
    }
}

pub fn unix_millis() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    now.map_or(0, |it| it.as_millis() as u64)
}
