//! Settings of an entry process; docs/SETTINGS.md lists every key.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_core::Tuning;
use ferry_edge::PeerOptions;
use ferry_edge::logs::LogSettings;
use ferry_edge::settings::common::{self, InstanceSettings, PlatformSettings};
use ferry_edge::settings::{Findings, Number, Reader, Time};
use ferry_model::Workspace;

const MIB: usize = 1024 * 1024;
const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_secs(60);

#[derive(Debug, Clone)]
pub struct EntrySettings {
    pub instance: InstanceSettings,
    pub platform: PlatformSettings,
    pub peers: Option<PeerOptions>,
    pub log: LogSettings,
    pub metrics: Option<SocketAddr>,
    pub limits: CallerLimits,
    pub tuning: Tuning,
    pub workspaces: Vec<Workspace>,
}

impl EntrySettings {
    /// Loads the settings file; the error contains every finding.
    pub fn load(path: &str) -> Result<EntrySettings, Findings> {
        ferry_edge::settings::load(path, EntrySettings::read)
    }

    pub fn read(reader: &mut Reader) -> EntrySettings {
        let instance = InstanceSettings::read(reader);
        let peers = common::peers(reader, &instance.id);
        EntrySettings {
            instance,
            platform: PlatformSettings::read(reader),
            peers,
            log: common::log(reader),
            metrics: common::metrics(reader),
            limits: CallerLimits::read(reader),
            tuning: common::tuning(reader),
            workspaces: common::workspaces(reader),
        }
    }
}

/// Limits on the requests of callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Largest total size of header names and values, in bytes.
    pub header_bytes: usize,
    /// Longest time that a caller may take to send its body.
    pub body_timeout: Duration,
    /// Largest number of open requests per connection.
    pub per_connection: usize,
    /// Largest number of open requests over all connections.
    pub requests: usize,
    /// Longest time that connections stay open at shutdown for the last bytes to reach callers.
    pub close_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        CallerLimits {
            body_bytes: MIB,
            header_bytes: 16 * 1024,
            body_timeout: 10 * SECOND,
            per_connection: 64,
            requests: 8192,
            close_timeout: 5 * SECOND,
        }
    }
}

impl CallerLimits {
    fn read(reader: &mut Reader) -> CallerLimits {
        let base = CallerLimits::default();
        let s = "limits";
        let time = || Time(SECOND / 10..=MINUTE);
        CallerLimits {
            body_bytes: reader.value(s, "body_bytes", Number(1024..=64 * MIB), base.body_bytes),
            header_bytes: reader.value(
                s,
                "header_bytes",
                Number(1024..=256 * 1024),
                base.header_bytes,
            ),
            body_timeout: reader.value(s, "body_time", time(), base.body_timeout),
            per_connection: reader.value(
                s,
                "connection_requests",
                Number(1..=10_000),
                base.per_connection,
            ),
            requests: reader.value(s, "requests", Number(1..=1_000_000), base.requests),
            close_timeout: reader.value(s, "close_time", time(), base.close_timeout),
        }
    }
}
