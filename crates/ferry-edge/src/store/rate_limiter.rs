//! Limits the rate of calls from this process to the object API.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::time::Instant;

/// A token bucket that holds at most the calls of one second.
#[derive(Debug, Clone)]
pub struct RateLimiter {
    rate: f64,
    bucket: Arc<Mutex<Bucket>>,
}

#[derive(Debug)]
struct Bucket {
    /// Calls that may be made immediately; negative if waiting callers have reserved calls.
    calls: f64,
    filled: Instant,
}

impl RateLimiter {
    pub fn new(rate: u32) -> RateLimiter {
        let rate = f64::from(rate.max(1));
        let bucket = Bucket { calls: rate, filled: Instant::now() };
        RateLimiter { rate, bucket: Arc::new(Mutex::new(bucket)) }
    }

    /// Acquires one call, waiting up to `max_wait`; returns false if that is not enough.
    pub async fn acquire(&self, max_wait: Duration) -> bool {
        let Some(wait) = self.reserve(Instant::now(), max_wait) else { return false };
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        true
    }

    /// Reserves the next available call and returns the time until then.
    fn reserve(&self, now: Instant, max_wait: Duration) -> Option<Duration> {
        let mut bucket = self.lock();
        let since = now.saturating_duration_since(bucket.filled);
        bucket.filled = bucket.filled.max(now);
        bucket.calls = (bucket.calls + since.as_secs_f64() * self.rate).min(self.rate);
        let missing = (1.0 - bucket.calls).max(0.0);
        let wait = Duration::from_secs_f64(missing / self.rate);
        if max_wait < wait {
            return None;
        }
        bucket.calls -= 1.0;
        Some(wait)
    }

    fn lock(&self) -> MutexGuard<'_, Bucket> {
        self.bucket.lock().unwrap_or_else(|it| it.into_inner())
    }
}
