//! The first two deployments of the system, as configuration and endpoints.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use ferry_core::config::CONFIG_NAME;
use ferry_core::{Identity, InstanceRole, Tuning};
use ferry_model::workspace::{shard_name, shard_of};
use ferry_model::{
    Change, Config, Endpoint, EndpointState, Floor, Instance, ObjectKey, ObjectKind, Pipeline,
    Pool, Preset, PresetName, Presets, Role, Shard, SortedMap, Stage, StageKind, Workspace,
    WorkspaceEntry,
};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::{FakeEndpoint, Speed, World};

#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum DeploymentName {
    Ikenna,
    Kancil,
}

/// The configuration, endpoints and mix of requests of a deployment.
#[derive(Debug, Clone)]
pub struct Deployment {
    pub name: DeploymentName,
    pub region: &'static str,
    pub zones: Vec<&'static str>,
    /// One-way delay between two zones.
    pub zone_delay: Duration,
    pub config: Config,
    pub workspaces: Vec<Workspace>,
    pub pools: Vec<PoolShape>,
    /// Share of the requests that go to each pipeline.
    pub mix: Vec<(&'static str, f64)>,
}

/// How many endpoints a pool has and how fast they are.
#[derive(Debug, Clone)]
pub struct PoolShape {
    pub name: &'static str,
    pub kind: StageKind,
    pub endpoints: usize,
    pub slots: usize,
    pub service_time: Duration,
    pub token_time: Duration,
    pub model: Option<&'static str>,
}

impl Deployment {
    pub fn new(name: DeploymentName) -> Deployment {
        match name {
            DeploymentName::Ikenna => ikenna(),
            DeploymentName::Kancil => kancil(),
        }
    }

    /// Returns the identity of an entry; another seed gives another incarnation.
    pub fn entry(&self, idx: usize, seed: u64) -> Identity {
        Identity {
            instance: format!("entry-{idx}"),
            incarnation: seed.wrapping_mul(1_000).wrapping_add(idx as u64 + 1),
            zone: self.zones[idx % self.zones.len()].to_owned(),
            region: self.region.to_owned(),
            role: InstanceRole::Entry,
        }
    }

    /// Returns the identity of a control instance; another seed gives another incarnation.
    pub fn control(&self, idx: usize, seed: u64) -> Identity {
        Identity {
            instance: format!("control-{idx}"),
            incarnation: seed.wrapping_mul(1_000).wrapping_add(idx as u64 + 501),
            role: InstanceRole::Control,
            ..self.entry(idx, seed)
        }
    }

    /// Returns the numbered shards of workspaces as the object API stores them.
    pub fn shards(&self) -> Vec<(usize, Shard)> {
        let mut shards: SortedMap<usize, Shard> = SortedMap::new();
        for workspace in &self.workspaces {
            let shard = shards.get_or_insert_with(shard_of(&workspace.name), Shard::default);
            shard.revision = 1;
            shard.entries.push(WorkspaceEntry { revision: 1, workspace: workspace.clone() });
            shard.entries.sort_by(|left, right| left.workspace.name.cmp(&right.workspace.name));
        }
        shards.iter().map(|(number, shard)| (*number, shard.clone())).collect()
    }

    /// Returns an entry as the instance list shows it.
    pub fn instance(&self, identity: &Identity, idx: usize) -> Instance {
        let port = 10_000 + 2 * idx as u16;
        Instance {
            id: identity.instance.clone(),
            zone: identity.zone.clone(),
            region: identity.region.clone(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
            peer: SocketAddr::from((Ipv4Addr::LOCALHOST, port + 1)),
            state: EndpointState::Live,
            is_entry: true,
        }
    }
}

/// Returns the bearer token of a workspace in the demonstration.
pub fn demo_token(workspace: &str) -> String {
    format!("demo-token-{workspace}")
}

impl PoolShape {
    /// Returns the endpoints of the pool, spread over the zones, at fake addresses.
    fn fake_endpoints(&self, zones: &[&str], port: &mut u16) -> Vec<FakeEndpoint> {
        let speed = Speed {
            service_time: self.service_time,
            token_time: self.token_time,
            slots: self.slots,
        };
        (0..self.endpoints)
            .map(|idx| {
                *port += 1;
                let endpoint = Endpoint {
                    id: format!("{}-{idx}", self.name),
                    pool: self.name.to_owned(),
                    zone: zones[idx % zones.len()].to_owned(),
                    address: SocketAddr::from((Ipv4Addr::LOCALHOST, *port)),
                    state: EndpointState::Live,
                    models: self.model.iter().map(|it| (*it).to_owned()).collect(),
                    role: Role::Both,
                };
                FakeEndpoint::new(endpoint, speed.clone())
            })
            .collect()
    }
}

impl World {
    /// Creates a world with the deployment's endpoints, its configuration and `n_entries` entries.
    pub fn with_deployment(
        deployment: &Deployment,
        n_entries: usize,
        tuning: &Tuning,
        seed: u64,
    ) -> Result<World, serde_json::Error> {
        let mut world = World::new(seed);
        world.network.cross_zone = deployment.zone_delay;
        let mut port = 20_000;
        for shape in &deployment.pools {
            for endpoint in shape.fake_endpoints(&deployment.zones, &mut port) {
                world.add_endpoint(endpoint);
            }
        }
        let value = serde_json::to_string(&deployment.config)?;
        world.store.seed(ObjectKey::new(ObjectKind::Config, CONFIG_NAME), value);
        for (number, shard) in deployment.shards() {
            let key = ObjectKey::new(ObjectKind::Workspaces, shard_name(number));
            world.store.seed(key, serde_json::to_string(&shard)?);
        }
        for idx in 0..n_entries {
            let identity = deployment.entry(idx, seed);
            let instance = deployment.instance(&identity, idx);
            world.instances.push(instance);
            world.add_node(identity, tuning.clone(), seed.wrapping_add(idx as u64));
        }
        Ok(world)
    }
}

fn ikenna() -> Deployment {
    let pools = vec![
        pool("encode", StageKind::Encode, 4, 4, 6),
        pool("retrieve", StageKind::Retrieve, 4, 4, 12),
        pool("rerank", StageKind::Rerank, 4, 4, 10),
        engine("drafting", 10, "draft-large"),
        pool("filing", StageKind::Service, 4, 4, 25),
        pool("portal", StageKind::Service, 5, 4, 15),
        pool("calendar", StageKind::Service, 4, 4, 10),
        pool("payments", StageKind::Service, 5, 4, 30),
    ];
    let pipelines = vec![
        pipeline("calendar", 2, 2_000, vec![stage("calendar", StageKind::Service, true)]),
        pipeline("draft", 0, 8_000, generation_stages("drafting", "draft-large")),
        pipeline(
            "file",
            1,
            4_000,
            vec![
                stage("encode", StageKind::Encode, true),
                stage("filing", StageKind::Service, false),
                stage("payments", StageKind::Service, false),
            ],
        ),
        pipeline(
            "portal",
            2,
            3_000,
            vec![
                stage("encode", StageKind::Encode, true),
                stage("retrieve", StageKind::Retrieve, true),
                stage("portal", StageKind::Service, true),
            ],
        ),
    ];
    Deployment {
        name: DeploymentName::Ikenna,
        region: "lagos",
        zones: vec!["lagos-1", "lagos-2", "lagos-3", "lagos-4"],
        zone_delay: Duration::from_micros(1_500),
        config: config(pipelines, &pools),
        workspaces: workspaces(&["hotels", "bars", "agents", "distributors", "staff"]),
        pools,
        mix: vec![("draft", 0.45), ("file", 0.2), ("portal", 0.2), ("calendar", 0.15)],
    }
}

fn kancil() -> Deployment {
    let pools = vec![
        pool("encode", StageKind::Encode, 4, 4, 5),
        pool("retrieve", StageKind::Retrieve, 4, 4, 10),
        pool("rerank", StageKind::Rerank, 4, 4, 9),
        engine("language", 10, "report-large"),
        pool("asset", StageKind::Service, 5, 4, 12),
        pool("licence", StageKind::Service, 4, 4, 15),
        pool("audit", StageKind::Service, 4, 4, 20),
        pool("intake", StageKind::Service, 5, 4, 8),
    ];
    let pipelines = vec![
        pipeline(
            "audit",
            2,
            4_000,
            vec![
                stage("encode", StageKind::Encode, true),
                stage("licence", StageKind::Service, true),
                stage("audit", StageKind::Service, true),
            ],
        ),
        pipeline(
            "lookup",
            1,
            2_000,
            vec![
                stage("encode", StageKind::Encode, true),
                stage("retrieve", StageKind::Retrieve, true),
                stage("asset", StageKind::Service, false),
            ],
        ),
        pipeline("report", 0, 8_000, generation_stages("language", "report-large")),
        pipeline(
            "tag",
            1,
            2_000,
            vec![
                stage("encode", StageKind::Encode, true),
                stage("intake", StageKind::Service, false),
            ],
        ),
    ];
    Deployment {
        name: DeploymentName::Kancil,
        region: "kl-central",
        zones: vec!["kl-1", "kl-2", "kl-3", "kl-4"],
        zone_delay: Duration::from_micros(500),
        config: config(pipelines, &pools),
        workspaces: workspaces(&["hospitals", "agencies", "technicians", "auditors", "stores"]),
        pools,
        mix: vec![("report", 0.3), ("lookup", 0.3), ("tag", 0.3), ("audit", 0.1)],
    }
}

fn pool(
    name: &'static str,
    kind: StageKind,
    endpoints: usize,
    slots: usize,
    millis: u64,
) -> PoolShape {
    PoolShape {
        name,
        kind,
        endpoints,
        slots,
        service_time: Duration::from_millis(millis),
        token_time: Duration::ZERO,
        model: None,
    }
}

fn engine(name: &'static str, endpoints: usize, model: &'static str) -> PoolShape {
    PoolShape {
        name,
        kind: StageKind::Generate,
        endpoints,
        slots: 8,
        service_time: Duration::from_millis(60),
        token_time: Duration::from_millis(10),
        model: Some(model),
    }
}

fn stage(pool: &str, kind: StageKind, repeatable: bool) -> Stage {
    Stage {
        name: pool.to_owned(),
        kind,
        pool: pool.to_owned(),
        repeatable,
        model: None,
        max_tokens: 0,
    }
}

fn generation_stages(pool: &str, model: &str) -> Vec<Stage> {
    vec![
        stage("encode", StageKind::Encode, true),
        stage("retrieve", StageKind::Retrieve, true),
        stage("rerank", StageKind::Rerank, true),
        Stage {
            name: "generate".to_owned(),
            kind: StageKind::Generate,
            pool: pool.to_owned(),
            repeatable: true,
            model: Some(model.to_owned()),
            max_tokens: 32,
        },
    ]
}

fn pipeline(name: &str, priority: u8, deadline_ms: u64, stages: Vec<Stage>) -> Pipeline {
    let deadline = Duration::from_millis(deadline_ms);
    Pipeline { name: name.to_owned(), priority, deadline, stages }
}

fn config(pipelines: Vec<Pipeline>, shapes: &[PoolShape]) -> Config {
    let mut pools: Vec<Pool> = shapes
        .iter()
        .map(|it| Pool { name: it.name.to_owned(), kind: it.kind, checks_fence: true })
        .collect();
    pools.sort_by(|left, right| left.name.cmp(&right.name));
    let preset = |share: f64| Preset { floors: floors(shapes, share), limits: Vec::new() };
    let presets = Presets { ordinary: preset(0.5), peak: preset(1.0), maintenance: preset(0.25) };
    let first = Change {
        id: "first".to_owned(),
        author: "bench".to_owned(),
        revision: 1,
        location: String::new(),
        at: 0,
    };
    Config {
        revision: 1,
        active: PresetName::Ordinary,
        presets,
        pipelines,
        pools,
        history: vec![first],
    }
}

fn floors(shapes: &[PoolShape], share: f64) -> Vec<Floor> {
    let mut floors: Vec<Floor> = shapes
        .iter()
        .map(|it| Floor {
            pool: it.name.to_owned(),
            endpoints: ((it.endpoints as f64 * share).ceil() as u32).max(1),
        })
        .collect();
    floors.sort_by(|left, right| left.pool.cmp(&right.pool));
    floors
}

fn workspaces(names: &[&str]) -> Vec<Workspace> {
    let weights = [4, 4, 1, 1, 1];
    names
        .iter()
        .zip(weights)
        .map(|(name, weight)| Workspace {
            name: (*name).to_owned(),
            weight,
            concurrent: 0,
            tokens: vec![blake3::hash(demo_token(name).as_bytes()).to_hex().to_string()],
        })
        .collect()
}
