//! Settings of a control process; docs/SETTINGS.md lists the keys shared with entries.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_core::Tuning;
use ferry_edge::PeerOptions;
use ferry_edge::logs::LogSettings;
use ferry_edge::settings::common::{self, InstanceSettings, PlatformSettings};
use ferry_edge::settings::{Choice, Findings, Hashes, Number, Reader, Time};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

const KIB: usize = 1024;
const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_secs(60);
/// Prefix of the name of an operator section.
const OPERATOR_PREFIX: &str = "operator ";

/// Role of an operator; each role includes the permissions of the ones before it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum OperatorRole {
    /// Reads everything.
    Viewer,
    /// Chooses the preset in force.
    Operator,
    /// Edits pipelines, pools, presets and workspaces.
    Admin,
}

/// An operator of the deployment; the history records the name with each change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Operator {
    pub name: String,
    pub role: OperatorRole,
    /// BLAKE3 hashes of the operator's bearer tokens, in hex.
    pub tokens: Vec<String>,
}

#[derive(Debug, Clone)]
pub struct ControlSettings {
    pub instance: InstanceSettings,
    pub platform: PlatformSettings,
    pub peers: Option<PeerOptions>,
    pub log: LogSettings,
    pub metrics: Option<SocketAddr>,
    /// Largest body of an operator's request, in bytes.
    pub body_bytes: usize,
    /// Longest time that connections stay open at shutdown for the last bytes to reach operators.
    pub close_timeout: Duration,
    pub tuning: Tuning,
    pub operators: Vec<Operator>,
}

impl ControlSettings {
    /// Loads the settings file; the error contains every finding.
    pub fn load(path: &str) -> Result<ControlSettings, Findings> {
        ferry_edge::settings::load(path, ControlSettings::read)
    }

    pub fn read(reader: &mut Reader) -> ControlSettings {
        let instance = InstanceSettings::read(reader);
        let peers = common::peers(reader, &instance.id);
        ControlSettings {
            instance,
            platform: PlatformSettings::read(reader),
            peers,
            log: common::log(reader),
            metrics: common::metrics(reader),
            body_bytes: reader.value("limits", "body_bytes", Number(KIB..=1024 * KIB), 256 * KIB),
            close_timeout: reader.value(
                "limits",
                "close_time",
                Time(SECOND / 10..=MINUTE),
                5 * SECOND,
            ),
            tuning: common::tuning(reader),
            operators: operators(reader),
        }
    }
}

/// Reads the operators; without any, nobody may administer the deployment.
fn operators(reader: &mut Reader) -> Vec<Operator> {
    let names = reader.sections(OPERATOR_PREFIX);
    names
        .into_iter()
        .map(|name| {
            let section = format!("{OPERATOR_PREFIX}{name}");
            let tokens = reader.required(&section, "tokens", Hashes);
            let role = reader.value(&section, "role", Choice::new(), OperatorRole::Viewer);
            Operator { name, role, tokens }
        })
        .collect()
}
