//! A whole deployment in one process on loopback.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use ferry_core::{Identity, InstanceRole, Tuning};
use ferry_entry::{EntryOptions, EntryServer};
use ferry_model::{Endpoint, EndpointState, Role};
use ferry_standin::{EndpointSpec, EndpointStandin, PlatformStandin, Witness};
use slog::Logger;

use crate::Deployment;

/// Time an entry has to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL: Duration = Duration::from_millis(10);

pub struct Cluster {
    pub platform: PlatformStandin,
    pub endpoints: Vec<EndpointStandin>,
    pub entries: Vec<EntryServer>,
    pub witness: Witness,
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
        let platform = PlatformStandin::start(bind, log)?;
        let witness = Witness::new();
        let mut endpoints = Vec::new();
        let mut listed = Vec::new();
        for shape in &deployment.pools {
            for idx in 0..shape.endpoints {
                let id = format!("{}-{idx}", shape.name);
                let spec = EndpointSpec {
                    id: id.clone(),
                    service: shape.service,
                    token: shape.token,
                    slots: shape.slots,
                };
                let standin = EndpointStandin::start(bind, spec, witness.clone(), log)?;
                listed.push(Endpoint {
                    id,
                    pool: shape.name.to_owned(),
                    zone: deployment.zones[idx % deployment.zones.len()].to_owned(),
                    address: standin.address(),
                    state: EndpointState::Live,
                    models: shape.model.iter().map(|it| (*it).to_owned()).collect(),
                    role: Role::Both,
                });
                endpoints.push(standin);
            }
        }
        platform.state.set_endpoints(listed);
        let value = serde_json::to_value(&deployment.config).map_err(|it| it.to_string())?;
        platform.state.seed("config", "deployment", value);

        let mut entries = Vec::new();
        for idx in 0..n_entries {
            let identity = Identity {
                instance: format!("entry-{idx}"),
                incarnation: seed.wrapping_add(idx as u64 + 1),
                zone: deployment.zones[idx % deployment.zones.len()].to_owned(),
                region: deployment.region.to_owned(),
                role: InstanceRole::Entry,
            };
            let options = EntryOptions {
                identity,
                tuning: Tuning::default(),
                seed: seed.wrapping_add(idx as u64),
                listen: bind,
                store: platform.address(),
                fleet: platform.address(),
                store_timeout: Duration::from_secs(1),
                fleet_interval: Duration::from_secs(1),
                workspaces: deployment.workspaces.clone(),
            };
            entries.push(EntryServer::start(options, log).map_err(|it| it.to_string())?);
        }
        let cluster = Cluster { platform, endpoints, entries, witness };
        cluster.wait_ready().await?;
        Ok(cluster)
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
