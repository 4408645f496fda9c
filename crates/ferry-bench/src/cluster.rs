//! A whole deployment in one process on loopback.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use ferry_control::{ControlOptions, ControlServer, Operator, OperatorRole};
use ferry_core::{Identity, InstanceRole, Tuning};
use ferry_edge::certs::{self, CertPair};
use ferry_edge::{ClientOptions, Handle, PeerIdentity, PeerOptions};
use ferry_entry::{CallerLimits, EntryOptions, EntryServer};
use ferry_model::{EndpointState, Instance};
use ferry_standin::DeploymentStandins;
use slog::Logger;

use crate::Deployment;

/// Largest body of an operator's request, in bytes.
const CONTROL_BODY: usize = 256 * 1024;
/// Name of the operator of the demonstration, and its bearer token.
pub const OPERATOR: &str = "demo";
pub const OPERATOR_TOKEN: &str = "demo-operator-token";

/// Time an entry has to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL: Duration = Duration::from_millis(10);

pub struct Cluster {
    pub standins: DeploymentStandins,
    pub entries: Vec<EntryServer>,
    pub control: ControlServer,
}

impl Cluster {
    /// Starts the stand-ins and `n_entries` entries, and waits until all are ready.
    pub async fn start(
        deployment: &Deployment,
        n_entries: usize,
        seed: u64,
        log: &Logger,
    ) -> Result<Cluster, String> {
        let cluster = Cluster::new(deployment, n_entries, seed, log)?;
        cluster.list_instances(deployment);
        cluster.wait_ready().await?;
        Ok(cluster)
    }

    /// Starts a deployment whose instance list is still empty, as it may be for a while.
    pub async fn start_unlisted(
        deployment: &Deployment,
        n_entries: usize,
        seed: u64,
        log: &Logger,
    ) -> Result<Cluster, String> {
        let cluster = Cluster::new(deployment, n_entries, seed, log)?;
        cluster.wait_ready().await?;
        Ok(cluster)
    }

    fn new(
        deployment: &Deployment,
        n_entries: usize,
        seed: u64,
        log: &Logger,
    ) -> Result<Cluster, String> {
        let bind = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let standins = DeploymentStandins::start(deployment, bind, log)?;
        let platform = standins.platform.address();
        let authority = certs::generate_authority().map_err(|it| it.to_string())?;

        let mut entries = Vec::new();
        for idx in 0..n_entries {
            let identity = Identity {
                instance: format!("entry-{idx}"),
                incarnation: seed.wrapping_add(idx as u64 + 1),
                zone: deployment.zones[idx % deployment.zones.len()].to_owned(),
                region: deployment.region.to_owned(),
                role: InstanceRole::Entry,
            };
            let peers = peer_options(&authority, &identity.instance, bind)?;
            let instance = identity.instance.clone();
            let options = EntryOptions {
                identity,
                tuning: Tuning::default(),
                seed: seed.wrapping_add(idx as u64),
                listen: bind,
                ports: ClientOptions::new(&instance, platform).with_peers(peers),
                limits: CallerLimits::default(),
                workspaces: deployment.workspaces.clone(),
            };
            entries.push(EntryServer::start(options, log).map_err(|it| it.to_string())?);
        }
        let control = start_control(deployment, platform, &authority, seed, log)?;
        Ok(Cluster { standins, entries, control })
    }

    /// Puts the entries and the control process into the instance list.
    pub fn list_instances(&self, deployment: &Deployment) {
        let entries = self.entries.iter().enumerate().filter_map(|(idx, entry)| {
            Some(Instance {
                id: entry.instance().to_owned(),
                zone: deployment.zones[idx % deployment.zones.len()].to_owned(),
                region: deployment.region.to_owned(),
                address: entry.address(),
                peer: entry.peer_address()?,
                state: EndpointState::Live,
                is_entry: true,
            })
        });
        let control = self.control.peer_address().map(|peer| Instance {
            id: self.control.instance().to_owned(),
            zone: deployment.zones[0].to_owned(),
            region: deployment.region.to_owned(),
            address: self.control.address(),
            peer,
            state: EndpointState::Live,
            is_entry: false,
        });
        self.standins.platform.state.set_instances(entries.chain(control).collect());
    }

    fn handles(&self) -> impl Iterator<Item = &Handle> {
        self.entries.iter().map(|it| it.handle()).chain([self.control.handle()])
    }

    async fn wait_ready(&self) -> Result<(), String> {
        let ready = async {
            while !self.handles().all(|it| it.status().ready) {
                tokio::time::sleep(READY_POLL).await;
            }
        };
        tokio::time::timeout(READY_TIMEOUT, ready)
            .await
            .map_err(|_| "the entries did not become ready".to_owned())
    }
}

fn start_control(
    deployment: &Deployment,
    platform: SocketAddr,
    authority: &CertPair,
    seed: u64,
    log: &Logger,
) -> Result<ControlServer, String> {
    let bind = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let identity = Identity {
        instance: "control-0".to_owned(),
        incarnation: seed.wrapping_add(1_000),
        zone: deployment.zones[0].to_owned(),
        region: deployment.region.to_owned(),
        role: InstanceRole::Control,
    };
    let token = blake3::hash(OPERATOR_TOKEN.as_bytes()).to_hex().to_string();
    let options = ControlOptions {
        ports: ClientOptions::new(&identity.instance, platform).with_peers(peer_options(
            authority,
            &identity.instance,
            bind,
        )?),
        identity,
        tuning: Tuning::default(),
        seed: seed.wrapping_add(1_000),
        listen: bind,
        body: CONTROL_BODY,
        close_time: Duration::from_secs(5),
        operators: vec![Operator {
            name: OPERATOR.to_owned(),
            role: OperatorRole::Admin,
            tokens: vec![token],
        }],
    };
    ControlServer::start(options, log).map_err(|it| it.to_string())
}

fn peer_options(
    authority: &CertPair,
    instance: &str,
    listen: SocketAddr,
) -> Result<PeerOptions, String> {
    let pair = certs::issue_instance_cert(authority, instance).map_err(|it| it.to_string())?;
    let identity = PeerIdentity { authority: authority.cert.clone(), pair };
    Ok(PeerOptions { listen, instance: instance.to_owned(), identity })
}
