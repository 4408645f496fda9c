//! Validates what operators write; all findings are reported together, each with its location.

use std::time::Duration;

use ferry_model::{Config, Finding, Pipeline, Pool, Preset, Stage, StageKind, Workspace};

/// Longest name of a pipeline, stage, pool or workspace, in bytes.
const MAX_NAME: usize = 63;
/// Longest deadline of a pipeline.
const MAX_DEADLINE: Duration = Duration::from_secs(120);
const MAX_STAGES: usize = 16;
const MAX_TOKENS: u32 = 1_000_000;
/// Length of a BLAKE3 hash in hex.
const HASH_LENGTH: usize = 64;

/// Validates a pipeline; locations are JSON pointers into its body.
pub fn pipeline(config: &Config, pipeline: &Pipeline) -> Vec<Finding> {
    let mut findings = Vec::new();
    check_name(&mut findings, "/name", &pipeline.name);
    if pipeline.deadline.is_zero() || MAX_DEADLINE < pipeline.deadline {
        let limit = MAX_DEADLINE.as_millis();
        findings.push(Finding::new("/deadline", format!("must be from 1 to {limit} ms")));
    }
    if pipeline.stages.is_empty() || MAX_STAGES < pipeline.stages.len() {
        findings.push(Finding::new("/stages", format!("must be 1 to {MAX_STAGES} stages")));
    }
    for (idx, stage) in pipeline.stages.iter().enumerate() {
        check_stage(&mut findings, config, &format!("/stages/{idx}"), stage);
        if pipeline.stages[..idx].iter().any(|it| it.name == stage.name) {
            let location = format!("/stages/{idx}/name");
            findings.push(Finding::new(location, format!("{:?} stands twice", stage.name)));
        }
    }
    findings
}

fn check_stage(findings: &mut Vec<Finding>, config: &Config, location: &str, stage: &Stage) {
    check_name(findings, &format!("{location}/name"), &stage.name);
    match config.pool(&stage.pool) {
        None => {
            let problem = format!("there is no pool {:?}", stage.pool);
            findings.push(Finding::new(format!("{location}/pool"), problem));
        }
        Some(pool) if pool.kind != stage.kind => {
            let problem = format!("pool {:?} is of kind {}", pool.name, pool.kind);
            findings.push(Finding::new(format!("{location}/kind"), problem));
        }
        Some(_) => (),
    }
    let is_generating = stage.kind == StageKind::Generate;
    if is_generating != stage.model.is_some() {
        let problem = match is_generating {
            true => "a generating stage needs a model",
            false => "only a generating stage has a model",
        };
        findings.push(Finding::new(format!("{location}/model"), problem));
    }
    if is_generating && !(1..=MAX_TOKENS).contains(&stage.max_tokens) {
        let problem = format!("must be from 1 to {MAX_TOKENS}");
        findings.push(Finding::new(format!("{location}/max_tokens"), problem));
    }
}

pub fn preset(config: &Config, preset: &Preset) -> Vec<Finding> {
    let mut findings = Vec::new();
    let floors: Vec<&str> = preset.floors.iter().map(|it| it.pool.as_str()).collect();
    check_pools(&mut findings, config, "/floors", &floors);
    let limits: Vec<&str> = preset.limits.iter().map(|it| it.pool.as_str()).collect();
    check_pools(&mut findings, config, "/limits", &limits);
    for (idx, limit) in preset.limits.iter().enumerate() {
        if limit.concurrent == 0 {
            let location = format!("/limits/{idx}/concurrent");
            findings.push(Finding::new(location, "must be at least 1; leave it out for no limit"));
        }
    }
    findings
}

fn check_pools(findings: &mut Vec<Finding>, config: &Config, location: &str, pools: &[&str]) {
    for (idx, pool) in pools.iter().enumerate() {
        if config.pool(pool).is_none() {
            let problem = format!("there is no pool {pool:?}");
            findings.push(Finding::new(format!("{location}/{idx}/pool"), problem));
        }
        if pools[..idx].contains(pool) {
            let problem = format!("{pool:?} stands twice");
            findings.push(Finding::new(format!("{location}/{idx}/pool"), problem));
        }
    }
}

pub fn pool(config: &Config, pool: &Pool) -> Vec<Finding> {
    let mut findings = Vec::new();
    check_name(&mut findings, "/name", &pool.name);
    for (name, idx, stage) in uses(config, &pool.name) {
        if stage.kind != pool.kind {
            let problem =
                format!("stage {idx} of pipeline {name:?} uses the pool as {}", stage.kind);
            findings.push(Finding::new("/kind", problem));
        }
    }
    findings
}

/// Checks that nothing refers to a pool that is to be deleted; locations are JSON pointers into the
/// whole configuration.
pub fn unused(config: &Config, pool: &str) -> Vec<Finding> {
    let problem = format!("uses pool {pool:?}");
    let mut findings: Vec<Finding> = uses(config, pool)
        .map(|(name, idx, _)| {
            Finding::new(format!("/pipelines/{name}/stages/{idx}/pool"), &problem)
        })
        .collect();
    let presets = &config.presets;
    let named = [
        ("ordinary", &presets.ordinary),
        ("peak", &presets.peak),
        ("maintenance", &presets.maintenance),
    ];
    for (name, preset) in named {
        if preset.floors.iter().any(|it| it.pool == pool) {
            findings.push(Finding::new(format!("/presets/{name}/floors"), &problem));
        }
        if preset.limits.iter().any(|it| it.pool == pool) {
            findings.push(Finding::new(format!("/presets/{name}/limits"), &problem));
        }
    }
    findings
}

pub fn workspace(workspace: &Workspace) -> Vec<Finding> {
    let mut findings = Vec::new();
    check_name(&mut findings, "/name", &workspace.name);
    if workspace.weight == 0 {
        findings.push(Finding::new("/weight", "must be at least 1"));
    }
    for (idx, token) in workspace.tokens.iter().enumerate() {
        let is_hex = token.bytes().all(|it| matches!(it, b'0'..=b'9' | b'a'..=b'f'));
        if token.len() != HASH_LENGTH || !is_hex {
            let problem = "must be a BLAKE3 hash as 64 lower-case hex digits";
            findings.push(Finding::new(format!("/tokens/{idx}"), problem));
        }
        if workspace.tokens[..idx].contains(token) {
            findings.push(Finding::new(format!("/tokens/{idx}"), "stands twice"));
        }
    }
    findings
}

fn uses<'a>(
    config: &'a Config,
    pool: &'a str,
) -> impl Iterator<Item = (&'a str, usize, &'a Stage)> {
    config.pipelines.iter().flat_map(move |pipeline| {
        let stages = pipeline.stages.iter().enumerate();
        stages
            .filter(move |(_, it)| it.pool == pool)
            .map(|(idx, it)| (pipeline.name.as_str(), idx, it))
    })
}

fn check_name(findings: &mut Vec<Finding>, location: &str, name: &str) {
    let is_plain =
        name.bytes().all(|it| matches!(it, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.'));
    if name.is_empty() || MAX_NAME < name.len() || !is_plain {
        let problem =
            format!("must be 1 to {MAX_NAME} lower-case letters, digits, dots, '-' or '_'");
        findings.push(Finding::new(location, problem));
    }
}
