//! Structured logs to standard output, away from the callers' path.
//!
//! Lines gather in memory and are handed over a few times a second, as each wake-up of another
//! thread costs processor time. The output may stand still without anything waiting for it.

use std::io::{self, Write, stdout};
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use ferry_edge::logs::LogLevel;
use slog::{Drain, Level, LevelFilter, Logger, o};

/// Time for which lines gather.
const FLUSH_EVERY: Duration = Duration::from_millis(100);
/// Bytes that may gather; further lines are dropped.
const MOST_BYTES: usize = 512 * 1024;
/// Handed over parts that may wait for the output; further ones are dropped.
const MOST_PARTS: usize = 4;

/// Lines that have not been handed over yet.
#[derive(Debug, Clone, Default)]
pub struct LogBuffer {
    buffer: Arc<Mutex<Buffer>>,
}

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    n_dropped: u64,
}

impl Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        match buffer.bytes.len() + bytes.len() <= MOST_BYTES {
            true => buffer.bytes.extend_from_slice(bytes),
            false => buffer.n_dropped += 1,
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl LogBuffer {
    /// Makes a logger that writes JSON lines here, each with the instance's name.
    pub fn logger(&self, instance: &str, level: LogLevel) -> Logger {
        let level = match level {
            LogLevel::Error => Level::Error,
            LogLevel::Warning => Level::Warning,
            LogLevel::Info => Level::Info,
            LogLevel::Debug => Level::Debug,
        };
        let json = slog_json::Json::default(self.clone());
        let drain = Mutex::new(LevelFilter::new(json, level)).fuse();
        Logger::root(drain, o!("instance" => instance.to_owned()))
    }

    /// Hands lines over until the process ends.
    pub async fn run_writer(self) {
        let output = start_writer();
        loop {
            tokio::time::sleep(FLUSH_EVERY).await;
            self.hand_over(&output);
        }
    }

    /// Writes what is left, at the end of the process.
    pub fn finish(&self) {
        let (bytes, _) = self.take();
        // Nobody is left to be told that the output is gone.
        let _ = stdout().write_all(&bytes);
    }

    fn hand_over(&self, output: &SyncSender<Vec<u8>>) {
        let (mut bytes, n_dropped) = self.take();
        if bytes.is_empty() {
            return;
        }
        if 0 < n_dropped {
            let line = format!("{{\"msg\":\"lines were dropped\",\"lines\":{n_dropped}}}\n");
            bytes.extend_from_slice(line.as_bytes());
        }
        let n_lines = bytes.iter().filter(|it| **it == b'\n').count() as u64;
        match output.try_send(bytes) {
            Ok(()) => (),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.lock_dropped(n_lines);
            }
        }
    }

    fn take(&self) -> (Vec<u8>, u64) {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        (std::mem::take(&mut buffer.bytes), std::mem::take(&mut buffer.n_dropped))
    }

    fn lock_dropped(&self, n_lines: u64) {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        buffer.n_dropped += n_lines;
    }
}

/// Starts the thread that alone waits for the output.
fn start_writer() -> SyncSender<Vec<u8>> {
    let (sender, receiver) = sync_channel::<Vec<u8>>(MOST_PARTS);
    std::thread::spawn(move || {
        for bytes in receiver {
            if stdout().write_all(&bytes).and_then(|()| stdout().flush()).is_err() {
                return;
            }
        }
    });
    sender
}
