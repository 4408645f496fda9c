//! All stand-ins of one deployment: the platform and every endpoint.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_core::config::CONFIG_NAME;
use ferry_fakes::Deployment;
use ferry_fakes::deployment::PoolShape;
use ferry_model::workspace::shard_name;
use ferry_model::{Endpoint, EndpointState, ObjectKind, Role};
use slog::Logger;

use crate::{EndpointSpec, EndpointStandin, PlatformStandin, RunLog, WeightStore};

/// Loads that the weight store runs at the same time.
const MAX_LOADS: usize = 2;
const LOAD_TIME: Duration = Duration::from_secs(1);

pub struct DeploymentStandins {
    pub platform: PlatformStandin,
    pub endpoints: Vec<EndpointStandin>,
    /// The endpoints as the instance list shows them.
    pub listed: Vec<Endpoint>,
    pub run_log: RunLog,
}

impl DeploymentStandins {
    /// Starts the platform on `bind` and each endpoint on a free port of the same IP address.
    pub fn start(
        deployment: &Deployment,
        bind: SocketAddr,
        log: &Logger,
    ) -> Result<DeploymentStandins, String> {
        let run_log = RunLog::new();
        let platform = PlatformStandin::start(bind, run_log.clone(), log)?;
        let weights = WeightStore::new(MAX_LOADS, LOAD_TIME);
        let mut endpoints = Vec::new();
        let mut listed = Vec::new();
        let any_port = SocketAddr::new(bind.ip(), 0);
        for shape in &deployment.pools {
            for idx in 0..shape.endpoints {
                let spec = endpoint_spec(deployment, shape, idx);
                let (run_log, weights) = (run_log.clone(), weights.clone());
                let standin = EndpointStandin::start(any_port, spec, run_log, weights, log)?;
                listed.push(listed_endpoint(deployment, shape, idx, standin.address()));
                endpoints.push(standin);
            }
        }
        platform.state.set_endpoints(listed.clone());
        let value = serde_json::to_value(&deployment.config).map_err(|it| it.to_string())?;
        platform.state.seed(ObjectKind::Config.into(), CONFIG_NAME, value);
        for (number, shard) in deployment.shards() {
            let value = serde_json::to_value(&shard).map_err(|it| it.to_string())?;
            platform.state.seed(ObjectKind::Workspaces.into(), &shard_name(number), value);
        }
        Ok(DeploymentStandins { platform, endpoints, listed, run_log })
    }
}

fn endpoint_spec(deployment: &Deployment, shape: &PoolShape, idx: usize) -> EndpointSpec {
    EndpointSpec {
        id: format!("{}-{idx}", shape.name),
        service_time: shape.service_time,
        token_time: shape.token_time,
        slots: shape.slots,
        models: vec![shape.model.unwrap_or(shape.name).to_owned()],
        checks_fence: deployment.config.pool(shape.name).is_none_or(|it| it.checks_fence),
    }
}

fn listed_endpoint(
    deployment: &Deployment,
    shape: &PoolShape,
    idx: usize,
    address: SocketAddr,
) -> Endpoint {
    Endpoint {
        id: format!("{}-{idx}", shape.name),
        pool: shape.name.to_owned(),
        zone: deployment.zones[idx % deployment.zones.len()].to_owned(),
        address,
        state: EndpointState::Live,
        models: shape.model.iter().map(|it| (*it).to_owned()).collect(),
        role: Role::Both,
    }
}
