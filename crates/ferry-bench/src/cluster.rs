//! A whole deployment in one process on loopback.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use ferry_core::{Identity, InstanceRole, Tuning};
use ferry_edge::certs::{self, CertPair};
use ferry_edge::{PeerIdentity, PeerOptions};
use ferry_entry::{CallerLimits, EntryOptions, EntryServer};
use ferry_model::{EndpointState, Instance};
use ferry_standin::DeploymentStandins;
use slog::Logger;

use crate::Deployment;

/// Time an entry has to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL: Duration = Duration::from_millis(10);

pub struct Cluster {
    pub standins: DeploymentStandins,
    pub entries: Vec<EntryServer>,
}

impl Cluster {
    /// Starts the stand-ins and `n_entries` entries, and waits until all are ready.
    pub async fn start(
        deployment: &Deployment,
        n_entries: usize,
        seed: u64,
        log: &Logger,
    ) -> Result<Cluster, String> {
        let bind = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let standins = DeploymentStandins::start(deployment, bind, log)?;
        let platform = standins.platform.address();
        let authority = certs::make_authority().map_err(|it| it.to_string())?;

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
            let options = EntryOptions {
                identity,
                tuning: Tuning::default(),
                seed: seed.wrapping_add(idx as u64),
                listen: bind,
                store: platform,
                fleet: platform,
                store_timeout: Duration::from_secs(1),
                fleet_interval: Duration::from_secs(1),
                peers: Some(peers),
                limits: CallerLimits::default(),
                workspaces: deployment.workspaces.clone(),
            };
            entries.push(EntryServer::start(options, log).map_err(|it| it.to_string())?);
        }
        let cluster = Cluster { standins, entries };
        cluster.list_entries(deployment);
        cluster.wait_ready().await?;
        Ok(cluster)
    }

    /// Puts the entries into the instance list.
    fn list_entries(&self, deployment: &Deployment) {
        let instances = self.entries.iter().enumerate().filter_map(|(idx, entry)| {
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
        self.standins.platform.state.set_instances(instances.collect());
    }

    async fn wait_ready(&self) -> Result<(), String> {
        let ready = async {
            while !self.entries.iter().all(|it| it.handle().status().ready) {
                tokio::time::sleep(READY_POLL).await;
            }
        };
        tokio::time::timeout(READY_TIMEOUT, ready)
            .await
            .map_err(|_| "the entries did not become ready".to_owned())
    }
}

fn peer_options(
    authority: &CertPair,
    instance: &str,
    listen: SocketAddr,
) -> Result<PeerOptions, String> {
    let pair = certs::make_instance(authority, instance).map_err(|it| it.to_string())?;
    let identity = PeerIdentity { authority: authority.cert.clone(), pair };
    Ok(PeerOptions { listen, instance: instance.to_owned(), identity })
}
