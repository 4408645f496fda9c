//! Sections that entry and control share.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use ferry_core::{Identity, InstanceRole, Tuning};
use ferry_model::{Incarnation, InstanceId, Workspace};

use super::choice::Choice;
use super::reader::{Address, Addresses, Hashes, Number, Reader, Secret, Text, Time};
use crate::certs::CertPair;
use crate::logs::{LogFormat, LogLevel, LogSettings};
use crate::{ClientOptions, PeerIdentity, PeerOptions, StoreOptions};

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_secs(60);
/// Placeholder for a required address that is missing; the finding keeps it from being used.
const PLACEHOLDER_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Prefix of the names of workspace sections.
const WORKSPACE_PREFIX: &str = "workspace ";

/// Identity and location of this instance, and the address it listens on.
#[derive(Debug, Clone, Default)]
pub struct InstanceSettings {
    pub id: InstanceId,
    pub zone: String,
    pub region: String,
    /// Address that callers or operators connect to.
    listen: Option<SocketAddr>,
}

impl InstanceSettings {
    pub fn read(reader: &mut Reader) -> InstanceSettings {
        InstanceSettings {
            id: reader.required("instance", "id", Text),
            zone: reader.required("instance", "zone", Text),
            region: reader.required("instance", "region", Text),
            listen: reader.required("instance", "listen", Address),
        }
    }

    pub fn listen(&self) -> SocketAddr {
        self.listen.unwrap_or(PLACEHOLDER_ADDRESS)
    }

    pub fn identity(&self, incarnation: Incarnation, role: InstanceRole) -> Identity {
        Identity {
            instance: self.id.clone(),
            incarnation,
            zone: self.zone.clone(),
            region: self.region.clone(),
            role,
        }
    }
}

/// Addresses of the platform, and limits on the calls to it.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// Addresses of the object API, tried in turn.
    pub store: Vec<SocketAddr>,
    /// Address of the instance list.
    pub fleet: Option<SocketAddr>,
    /// Longest wait for a response of the object API.
    pub timeout: Duration,
    /// Time between two reads of the instance list.
    pub fleet_interval: Duration,
    /// Maximum number of reads of the object API per second.
    pub read_rate: u32,
    /// Maximum number of writes to the object API per second.
    pub write_rate: u32,
    /// Maximum number of retries of a read.
    pub retries: u32,
}

impl PlatformSettings {
    /// Combines the settings of all external services that entry and control use.
    pub fn client_options(
        self,
        instance: &str,
        peers: Option<PeerOptions>,
        statsd: Option<SocketAddr>,
    ) -> ClientOptions {
        ClientOptions {
            instance: instance.to_owned(),
            store: StoreOptions {
                addresses: self.store,
                timeout: self.timeout,
                read_rate: self.read_rate,
                write_rate: self.write_rate,
                retries: self.retries,
            },
            fleet: self.fleet.unwrap_or(PLACEHOLDER_ADDRESS),
            fleet_interval: self.fleet_interval,
            peers,
            statsd,
            record: None,
        }
    }

    pub fn read(reader: &mut Reader) -> PlatformSettings {
        PlatformSettings {
            store: reader.required("platform", "store", Addresses),
            fleet: reader.required("platform", "fleet", Address),
            timeout: reader.value("platform", "timeout", Time(10 * MS..=MINUTE), SECOND),
            fleet_interval: reader.value("platform", "interval", Time(50 * MS..=MINUTE), SECOND),
            read_rate: reader.value("platform", "reads", Number(1..=100_000), 100),
            write_rate: reader.value("platform", "writes", Number(1..=100_000), 50),
            retries: reader.value("platform", "retries", Number(0..=10), 2),
        }
    }
}

/// Reads the `peers` section; without it the instance does not communicate with peers.
pub fn peers(reader: &mut Reader, instance: &str) -> Option<PeerOptions> {
    if !reader.has_section("peers") {
        return None;
    }
    let listen = reader.required("peers", "listen", Address);
    let authority = reader.required("peers", "authority", Secret);
    let cert = reader.required("peers", "certificate", Secret);
    let key = reader.required("peers", "key", Secret);
    let identity = PeerIdentity { authority, pair: CertPair { cert, key } };
    if let Err(error) = identity.check() {
        reader.report("peers", error.settings_key(), error.to_string());
    }
    Some(PeerOptions { listen: listen?, instance: instance.to_owned(), identity })
}

pub fn log(reader: &mut Reader) -> LogSettings {
    LogSettings {
        format: reader.value("log", "format", Choice::<LogFormat>::new(), LogFormat::Auto),
        level: reader.value("log", "level", Choice::<LogLevel>::new(), LogLevel::Info),
    }
}

/// Reads the address of the statsd server; without the section metrics are dropped.
pub fn metrics(reader: &mut Reader) -> Option<SocketAddr> {
    match reader.has_section("metrics") {
        true => reader.required("metrics", "statsd", Address),
        false => None,
    }
}

/// Reads the limits and intervals that the reducer decides by.
pub fn tuning(reader: &mut Reader) -> Tuning {
    super::tuning::read(reader)
}

/// Reads the workspaces that exist regardless of the contents of the object API.
pub fn workspaces(reader: &mut Reader) -> Vec<Workspace> {
    let names = reader.sections(WORKSPACE_PREFIX);
    names.into_iter().map(|it| workspace(reader, it)).collect()
}

fn workspace(reader: &mut Reader, name: String) -> Workspace {
    let section = format!("{WORKSPACE_PREFIX}{name}");
    Workspace {
        name,
        weight: reader.value(&section, "weight", Number(1..=1000), 1),
        concurrent: reader.value(&section, "concurrent", Number(0..=1_000_000), 0),
        tokens: reader.required(&section, "tokens", Hashes),
    }
}
