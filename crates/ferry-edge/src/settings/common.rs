//! The sections that entry and control share.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use ferry_core::{Identity, InstanceRole, Tuning};
use ferry_model::{Incarnation, InstanceId, Workspace};

use super::reader::{Address, Addresses, Choice, Hashes, Number, Reader, Secret, Text, Time};
use crate::certs::CertPair;
use crate::logs::{LogFormat, LogLevel, LogSettings};
use crate::{ClientOptions, PeerIdentity, PeerOptions, StoreOptions};

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_secs(60);
/// Any port of this machine, where an address that must be set is missing.
const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Start of the name of a workspace's section.
const WORKSPACE_PREFIX: &str = "workspace ";

/// Who this instance is and where it listens.
#[derive(Debug, Clone, Default)]
pub struct InstanceSettings {
    pub id: InstanceId,
    pub zone: String,
    pub region: String,
    /// Where callers or operators connect.
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
        self.listen.unwrap_or(ANY_PORT)
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

/// Where the platform is and how much it may be asked.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// Addresses of the object API, tried in turn.
    pub store: Vec<SocketAddr>,
    /// Address of the instance list.
    pub fleet: Option<SocketAddr>,
    /// Longest wait for an answer of the object API.
    pub timeout: Duration,
    /// Time between two reads of the instance list.
    pub fleet_interval: Duration,
    /// Reads of the object API a second.
    pub read_rate: u32,
    /// Writes of the object API a second.
    pub write_rate: u32,
    /// Further tries of a read.
    pub retries: u32,
}

impl PlatformSettings {
    /// Joins the settings of everything that entry and control talk to.
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
            fleet: self.fleet.unwrap_or(ANY_PORT),
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

/// Reads the peer section; without it the instance talks to no peer.
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

/// Reads where metrics go; without the section they are dropped.
pub fn metrics(reader: &mut Reader) -> Option<SocketAddr> {
    match reader.has_section("metrics") {
        true => reader.required("metrics", "statsd", Address),
        false => None,
    }
}

/// Reads the limits and intervals of the decisions.
pub fn tuning(reader: &mut Reader) -> Tuning {
    super::tuning::read(reader)
}

/// Reads the workspaces that exist whatever the object API holds.
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
