//! Bounds the calls a second that this process makes to the object API.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::time::Instant;

/// A token bucket that holds at most the calls of one second.
#[derive(Debug, Clone)]
pub struct Budget {
    rate: f64,
    bucket: Arc<Mutex<Bucket>>,
}

#[derive(Debug)]
struct Bucket {
    /// Calls that may be made at once; below zero they are promised to waiting callers.
    calls: f64,
    filled: Instant,
}

impl Budget {
    pub fn new(rate: u32) -> Budget {
        let rate = f64::from(rate.max(1));
        let bucket = Bucket { calls: rate, filled: Instant::now() };
        Budget { rate, bucket: Arc::new(Mutex::new(bucket)) }
    }

    /// Takes one call, waiting up to `patience`; false if that is not enough.
    pub async fn take(&self, patience: Duration) -> bool {
        let Some(wait) = self.reserve(Instant::now(), patience) else { return false };
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        true
    }

    /// Promises the next free call and returns how long it takes until then.
    fn reserve(&self, now: Instant, patience: Duration) -> Option<Duration> {
        let mut bucket = self.lock();
        let since = now.saturating_duration_since(bucket.filled);
        bucket.filled = bucket.filled.max(now);
        bucket.calls = (bucket.calls + since.as_secs_f64() * self.rate).min(self.rate);
        let missing = (1.0 - bucket.calls).max(0.0);
        let wait = Duration::from_secs_f64(missing / self.rate);
        if patience < wait {
            return None;
        }
        bucket.calls -= 1.0;
        Some(wait)
    }

    fn lock(&self) -> MutexGuard<'_, Bucket> {
        self.bucket.lock().unwrap_or_else(|it| it.into_inner())
    }
}
