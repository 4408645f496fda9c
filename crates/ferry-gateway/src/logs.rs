//! Structured logs to standard output, written by a separate thread.
//!
//! Lines are buffered and passed to that thread a few times per second, because each wake-up of
//! another thread costs processor time. Requests are not delayed if the output blocks.

use std::io::{self, Write, stdout};
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use ferry_edge::logs::LogLevel;
use slog::{Drain, Level, LevelFilter, Logger, o};

/// Interval at which buffered lines are passed to the writer.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of buffered bytes; further lines are dropped.
const MAX_BYTES: usize = 512 * 1024;
/// Maximum number of chunks that wait for the output; further ones are dropped.
const MAX_CHUNKS: usize = 4;

/// Lines that have not been passed to the writer yet.
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
        match buffer.bytes.len() + bytes.len() <= MAX_BYTES {
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
    /// Creates a logger that adds JSON lines with the instance's name to this buffer.
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

    /// Passes lines to the writer until the process exits.
    pub async fn run_writer(self) {
        let output = start_writer();
        loop {
            tokio::time::sleep(FLUSH_INTERVAL).await;
            self.send_to_writer(&output);
        }
    }

    /// Writes the remaining lines before the process exits.
    pub fn finish(&self) {
        let (bytes, _) = self.take();
        // An error cannot be reported if the output is closed.
        let _ = stdout().write_all(&bytes);
    }

    fn send_to_writer(&self, output: &SyncSender<Vec<u8>>) {
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
                self.add_dropped(n_lines);
            }
        }
    }

    fn take(&self) -> (Vec<u8>, u64) {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        (std::mem::take(&mut buffer.bytes), std::mem::take(&mut buffer.n_dropped))
    }

    fn add_dropped(&self, n_lines: u64) {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        buffer.n_dropped += n_lines;
    }
}

/// Starts the thread that writes to the output, the only one that may block on it.
fn start_writer() -> SyncSender<Vec<u8>> {
    let (sender, receiver) = sync_channel::<Vec<u8>>(MAX_CHUNKS);
    std::thread::spawn(move || {
        for bytes in receiver {
            if stdout().write_all(&bytes).and_then(|()| stdout().flush()).is_err() {
                return;
            }
        }
    });
    sender
}
