//! The choice of the endpoint that gets a call.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use ferry_core::fleet::prefixes::prefix_hashes;
use ferry_core::pass::Context;
use ferry_core::route::{Pick, Query, RoundRobin, choose};
use ferry_core::{Identity, InstanceRole, Node, Tuning};
use ferry_fakes::{Deployment, DeploymentName, Request, World, invariant_violations};
use ferry_model::{
    CacheUpdate, Endpoint, EndpointState, Load, Moment, Plan, Role, Stage, StageKind,
};

const NOW: Moment = Moment::from_secs(100);
const N_ENDPOINTS: usize = 10;

struct Case {
    name: &'static str,
    set_up: fn(&mut Context),
    /// Endpoints that may be chosen; none if no endpoint may be.
    allowed: fn(usize) -> bool,
    is_resumed: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "an endpoint of the same zone when all are equal",
        set_up: |_| (),
        allowed: |idx| idx % 2 == 0,
        is_resumed: false,
    },
    Case {
        name: "not endpoints with more calls",
        set_up: |ctx| {
            for idx in 0..9 {
                for _ in 0..3 {
                    ctx.fleet.call_started(&id_of(idx));
                }
            }
        },
        allowed: |idx| idx == 9,
        is_resumed: false,
    },
    Case {
        name: "not endpoints that report load from other instances",
        set_up: |ctx| {
            for idx in 0..9 {
                let load = Load { running: 8, queued: 4, ..Load::default() };
                ctx.fleet.record_load(NOW, &id_of(idx), load);
            }
        },
        allowed: |idx| idx == 9,
        is_resumed: false,
    },
    Case {
        name: "an old load report counts less",
        set_up: |ctx| {
            for idx in 0..N_ENDPOINTS {
                let load = Load { running: 50, queued: 50, ..Load::default() };
                let at = if idx == 9 { NOW } else { NOW - Duration::from_secs(20) };
                ctx.fleet.record_load(at, &id_of(idx), load);
            }
        },
        allowed: |idx| idx != 9,
        is_resumed: false,
    },
    Case {
        name: "not endpoints that leave by their own report, the plan or the list",
        set_up: |ctx| {
            for idx in 0..3 {
                ctx.fleet.mark_leaving(&id_of(idx));
            }
            let draining = (3..6).map(id_of).collect();
            ctx.fleet.set_plan(Plan { revision: 1, draining, ..Plan::default() });
            let mut listed: Vec<Endpoint> = (0..N_ENDPOINTS).map(endpoint).collect();
            for it in &mut listed[6..9] {
                it.state = EndpointState::Leaving;
            }
            list(ctx, listed);
        },
        allowed: |idx| idx == 9,
        is_resumed: false,
    },
    Case {
        name: "only endpoints that have the model",
        set_up: |ctx| {
            let mut listed: Vec<Endpoint> = (0..N_ENDPOINTS).map(endpoint).collect();
            for it in &mut listed[..8] {
                it.models = vec!["other".to_owned()];
            }
            list(ctx, listed);
        },
        allowed: |idx| 8 <= idx,
        is_resumed: false,
    },
    Case {
        name: "a new prompt only at endpoints that also decode",
        set_up: set_roles,
        allowed: |idx| idx < 2,
        is_resumed: false,
    },
    Case {
        name: "a resumed stream also at decode endpoints",
        set_up: set_roles,
        allowed: |idx| idx < 6,
        is_resumed: true,
    },
    Case {
        name: "the endpoint that has cached the prompt's prefix",
        set_up: |ctx| {
            let stored = prefix_hashes(&prompt()).into_iter().map(|(_, hash)| hash).collect();
            ctx.fleet.on_cache_event(NOW, &update(7, 1, stored, Vec::new()));
        },
        allowed: |idx| idx == 7,
        is_resumed: false,
    },
    Case {
        name: "not the endpoint that has cached the prefix if it has more calls",
        set_up: |ctx| {
            let stored = prefix_hashes(&prompt()).into_iter().map(|(_, hash)| hash).collect();
            ctx.fleet.on_cache_event(NOW, &update(7, 1, stored, Vec::new()));
            for _ in 0..3 {
                ctx.fleet.call_started(&id_of(7));
            }
        },
        allowed: |idx| idx != 7,
        is_resumed: false,
    },
    Case {
        name: "no credit for an evicted prefix",
        set_up: |ctx| {
            let hashes: Vec<u64> = prefix_hashes(&prompt()).into_iter().map(|it| it.1).collect();
            ctx.fleet.on_cache_event(NOW, &update(7, 1, hashes.clone(), Vec::new()));
            ctx.fleet.on_cache_event(NOW, &update(7, 2, Vec::new(), hashes));
        },
        allowed: |idx| idx % 2 == 0,
        is_resumed: false,
    },
    Case {
        name: "no more than the allowed share of endpoints is ejected",
        set_up: |ctx| {
            let tuning = ctx.tuning.clone();
            for idx in 0..N_ENDPOINTS {
                ctx.fleet.eject(NOW, &id_of(idx), &tuning);
            }
        },
        allowed: |idx| 4 <= idx,
        is_resumed: false,
    },
    Case {
        name: "no endpoint when all are leaving",
        set_up: |ctx| (0..N_ENDPOINTS).for_each(|it| ctx.fleet.mark_leaving(&id_of(it))),
        allowed: |_| false,
        is_resumed: false,
    },
];

#[test]
fn chooses_the_endpoint_expected_to_serve_first() {
    for case in CASES {
        let mut ctx = context();
        (case.set_up)(&mut ctx);
        let mut round_robin = RoundRobin::default();
        for _ in 0..50 {
            let pick = choose(NOW, &mut ctx, &mut round_robin, query(&stage(), case.is_resumed));
            let is_any = (0..N_ENDPOINTS).any(case.allowed);
            match pick {
                Pick::Chosen(choice) => {
                    let idx = (0..N_ENDPOINTS).find(|it| id_of(*it) == choice.endpoint);
                    let is_allowed = idx.is_some_and(case.allowed);
                    assert!(is_allowed, "{}: chose {}", case.name, choice.endpoint);
                }
                Pick::Full | Pick::NoEndpoint => {
                    assert!(!is_any, "{}: chose no endpoint", case.name)
                }
            }
        }
    }
}

#[test]
fn gap_in_cache_events_lowers_the_trust_in_them() {
    let mut ctx = context();
    ctx.fleet.on_cache_event(NOW, &update(7, 1, vec![1], Vec::new()));
    let before = ctx.fleet.get(&id_of(7)).map(|it| it.cache_trust);
    ctx.fleet.on_cache_event(NOW, &update(7, 5, vec![2], Vec::new()));
    let after = ctx.fleet.get(&id_of(7)).map(|it| it.cache_trust);
    assert!(after < before, "{after:?} < {before:?}");
}

#[test]
fn returning_endpoint_gets_gradually_more_calls() {
    let mut ctx = context();
    let tuning = ctx.tuning.clone();
    assert!(ctx.fleet.eject(NOW, &id_of(1), &tuning));
    let view = ctx.fleet.get(&id_of(1)).expect("it is listed").clone();
    let returned_at = NOW + tuning.eject_time;
    assert!(view.is_ejected(returned_at - Duration::from_millis(1)));
    assert!(!view.is_ejected(returned_at));
    let shares: Vec<f64> = (0..=5)
        .map(|it| {
            view.slow_start_share(returned_at + tuning.slow_start * it / 5, tuning.slow_start)
        })
        .collect();
    assert!(shares.is_sorted(), "{shares:?}");
    assert!(shares[0] < 0.2 && shares[5] == 1.0, "{shares:?}");
}

struct Leaving {
    name: &'static str,
    signal: fn(&mut World),
}

const SIGNALS: &[Leaving] = &[
    Leaving {
        name: "the instance list",
        signal: |world| engine(world).endpoint.state = EndpointState::Leaving,
    },
    Leaving { name: "its load reports", signal: |_| () },
    Leaving { name: "a refusal", signal: |world| engine(world).faults.leaving = true },
];

#[test]
fn leaving_endpoint_gets_no_new_calls_after_three_seconds() {
    for case in SIGNALS {
        let deployment = Deployment::new(DeploymentName::Ikenna);
        let mut world = World::with_deployment(&deployment, 6, &Tuning::default(), 3)
            .expect("the configuration is valid");
        world.run_for(Duration::from_secs(2));
        let mut left = None;
        for n in 0..1_200 {
            if n == 400 {
                let now = world.now;
                engine(&mut world).leaving_since = Some(now);
                (case.signal)(&mut world);
                left = Some(now);
            }
            world.submit(n % 6, Request::new("bars", "draft", format!("licence {n}")));
            world.run_for(Duration::from_millis(10));
        }
        world.run_for(Duration::from_secs(10));
        let left = left.expect("it started to leave");
        let at_it = world.runs.iter().filter(|it| it.endpoint == "drafting-0");
        let late = at_it.filter(|it| left + Duration::from_secs(3) < it.received).count();
        assert_eq!(late, 0, "{}", case.name);
        assert_eq!(invariant_violations(&world), Vec::<String>::new(), "{}", case.name);
    }
}

fn engine(world: &mut World) -> &mut ferry_fakes::FakeEndpoint {
    world.endpoints.get_mut("drafting-0").expect("the pool has it")
}

fn context() -> Context {
    let identity = Identity {
        instance: "entry-0".to_owned(),
        incarnation: 1,
        zone: "zone-0".to_owned(),
        region: "region".to_owned(),
        role: InstanceRole::Entry,
    };
    let mut ctx = Node::new(identity, Tuning::default(), 1).into_context();
    list(&mut ctx, (0..N_ENDPOINTS).map(endpoint).collect());
    ctx
}

fn list(ctx: &mut Context, endpoints: Vec<Endpoint>) {
    let Context { fleet, identity, tuning, .. } = ctx;
    fleet.update(endpoints, &identity.zone, tuning);
}

fn set_roles(ctx: &mut Context) {
    let mut listed: Vec<Endpoint> = (0..N_ENDPOINTS).map(endpoint).collect();
    for (idx, it) in listed.iter_mut().enumerate() {
        it.role = match idx {
            0..2 => Role::Both,
            2..6 => Role::Decode,
            _ => Role::Prefill,
        };
    }
    list(ctx, listed);
}

fn stage() -> Stage {
    Stage {
        name: "generate".to_owned(),
        kind: StageKind::Generate,
        pool: "language".to_owned(),
        repeatable: true,
        model: Some("large".to_owned()),
        max_tokens: 32,
    }
}

fn query(stage: &Stage, is_resumed: bool) -> Query<'_> {
    static PROMPT: std::sync::OnceLock<String> = std::sync::OnceLock::new();
    Query {
        stage,
        input: PROMPT.get_or_init(prompt),
        tried: &[],
        median: Duration::from_millis(50),
        hint: None,
        is_resumed,
    }
}

fn prompt() -> String {
    "the same long beginning of many prompts ".repeat(20)
}

fn update(idx: usize, sequence: u64, stored: Vec<u64>, evicted: Vec<u64>) -> CacheUpdate {
    CacheUpdate { endpoint: id_of(idx), sequence, stored, evicted }
}

fn endpoint(idx: usize) -> Endpoint {
    Endpoint {
        id: id_of(idx),
        pool: "language".to_owned(),
        zone: format!("zone-{}", idx % 2),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9_000)),
        state: EndpointState::Live,
        models: vec!["large".to_owned()],
        role: Role::Both,
    }
}

fn id_of(idx: usize) -> String {
    format!("language-{idx}")
}
