//! The objects that operators edit: the configuration and the shards of workspaces.

use ferry_model::workspace::{shard_name, shard_of};
use ferry_model::{
    AdminOp, AdminReply, AdminRequest, Change, Config, Finding, ObjectKey, ObjectKind, PresetName,
    Presets, Revision, Shard, StoredObject, WorkspaceEntry,
};
use serde::{Deserialize, Serialize};

use crate::config::{self, CONFIG_NAME, validate};
use crate::pass::Pass;
use crate::workspaces;

/// Changes kept in an object; a change whose answer was lost can be confirmed while it is among
/// them.
const MAX_HISTORY: usize = 64;
/// Largest value that the object API accepts, in bytes.
const MAX_VALUE: usize = 1_000_000;

/// The object that a request reads or changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    Config,
    Shard(usize),
}

impl Target {
    pub fn new(op: &AdminOp) -> Target {
        match op {
            AdminOp::PutWorkspace { workspace, .. } => Target::Shard(shard_of(&workspace.name)),
            AdminOp::DeleteWorkspace { name, .. } => Target::Shard(shard_of(name)),
            AdminOp::Read
            | AdminOp::PutPipeline { .. }
            | AdminOp::DeletePipeline { .. }
            | AdminOp::PutPreset { .. }
            | AdminOp::PutPool { .. }
            | AdminOp::DeletePool { .. }
            | AdminOp::UsePreset { .. }
            | AdminOp::ReadWorkspaces
            | AdminOp::Status => Target::Config,
        }
    }

    pub fn key(self) -> ObjectKey {
        match self {
            Target::Config => ObjectKey::new(ObjectKind::Config, CONFIG_NAME),
            Target::Shard(number) => ObjectKey::new(ObjectKind::Workspaces, shard_name(number)),
        }
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Document {
    Config(Box<Config>),
    Shard(usize, Shard),
}

impl Document {
    /// Parses a stored object; a missing one is empty with revision zero.
    pub fn parse(target: Target, object: Option<&StoredObject>) -> Result<Document, String> {
        let unreadable = |it: serde_json::Error| format!("could not read the object: {it}");
        match (target, object) {
            (Target::Config, Some(object)) => {
                let config = serde_json::from_str(&object.value).map_err(unreadable)?;
                Ok(Document::Config(Box::new(config)))
            }
            (Target::Config, None) => Ok(Document::Config(Box::new(empty_config()))),
            (Target::Shard(number), Some(object)) => {
                let shard = serde_json::from_str(&object.value).map_err(unreadable)?;
                Ok(Document::Shard(number, shard))
            }
            (Target::Shard(number), None) => Ok(Document::Shard(number, Shard::default())),
        }
    }

    pub fn revision(&self) -> Revision {
        match self {
            Document::Config(config) => config.revision,
            Document::Shard(_, shard) => shard.revision,
        }
    }

    /// Returns the revision of this document that is in force on this instance.
    pub fn revision_in_force(&self, cx: &Pass<'_>) -> Revision {
        match self {
            Document::Config(_) => cx.ctx.revision(),
            Document::Shard(number, _) => cx.ctx.workspaces.revision(*number),
        }
    }

    /// Returns the revision under which a change was accepted.
    pub fn find_change(&self, id: &str) -> Option<Revision> {
        self.history().iter().rev().find(|it| it.id == id).map(|it| it.revision)
    }

    /// Whether the history reaches back to a revision.
    pub fn covers(&self, revision: Revision) -> bool {
        self.history().first().is_none_or(|it| it.revision <= revision)
    }

    /// Applies the document on this instance if its revision is higher than the one in force.
    pub fn apply_newer(self, cx: &mut Pass<'_>) {
        match self {
            Document::Config(config) => config::apply_newer(cx, *config),
            Document::Shard(number, shard) => workspaces::apply_newer(cx, number, shard),
        }
    }

    /// Serializes the document for the object API.
    pub fn to_json(&self) -> Result<String, AdminReply> {
        let value = match self {
            Document::Config(config) => serde_json::to_string(config),
            Document::Shard(_, shard) => serde_json::to_string(shard),
        };
        let value = value.map_err(|it| AdminReply::Unavailable(it.to_string()))?;
        if MAX_VALUE < value.len() {
            let problem = format!("the whole object would be {} bytes long", value.len());
            return Err(AdminReply::Invalid(vec![Finding::new("", problem)]));
        }
        Ok(value)
    }

    /// Applies an operator's change to a copy; the error is the reply if it cannot be applied.
    pub fn edit(&self, request: &AdminRequest) -> Result<Document, AdminReply> {
        match self {
            Document::Config(config) => {
                let edited = edit_config(config, request)?;
                Ok(Document::Config(Box::new(edited)))
            }
            Document::Shard(number, shard) => {
                Ok(Document::Shard(*number, edit_shard(shard, request)?))
            }
        }
    }

    fn history(&self) -> &[Change] {
        match self {
            Document::Config(config) => &config.history,
            Document::Shard(_, shard) => &shard.history,
        }
    }
}

/// Joins the entries of all shards into one list, sorted by name.
pub fn list_workspaces(objects: &[StoredObject]) -> AdminReply {
    let mut entries: Vec<WorkspaceEntry> = Vec::new();
    for object in objects {
        match serde_json::from_str::<Shard>(&object.value) {
            Ok(shard) => entries.extend(shard.entries),
            Err(error) => {
                let problem = format!("could not read workspaces {}: {error}", object.name);
                return AdminReply::Unavailable(problem);
            }
        }
    }
    entries.sort_by(|left, right| left.workspace.name.cmp(&right.workspace.name));
    AdminReply::Workspaces(entries)
}

fn empty_config() -> Config {
    Config {
        revision: 0,
        active: PresetName::Ordinary,
        presets: Presets::default(),
        pipelines: Vec::new(),
        pools: Vec::new(),
        history: Vec::new(),
    }
}

fn edit_config(config: &Config, request: &AdminRequest) -> Result<Config, AdminReply> {
    let mut edited = config.clone();
    let expect = match &request.op {
        AdminOp::Read => return Err(AdminReply::Config(Box::new(edited))),
        AdminOp::PutPipeline { expect, .. }
        | AdminOp::DeletePipeline { expect, .. }
        | AdminOp::PutPreset { expect, .. }
        | AdminOp::PutPool { expect, .. }
        | AdminOp::DeletePool { expect, .. }
        | AdminOp::UsePreset { expect, .. } => *expect,
        AdminOp::ReadWorkspaces
        | AdminOp::PutWorkspace { .. }
        | AdminOp::DeleteWorkspace { .. }
        | AdminOp::Status => return Err(AdminReply::NotFound),
    };
    if expect != config.revision {
        return Err(conflict(config.revision, &config.history, |it| expect < it.revision));
    }
    let location = apply(&mut edited, &request.op)?;
    edited.revision += 1;
    let revision = edited.revision;
    record(&mut edited.history, request, revision, location);
    Ok(edited)
}

/// Applies the change and returns its location.
fn apply(config: &mut Config, op: &AdminOp) -> Result<String, AdminReply> {
    match op {
        AdminOp::PutPipeline { pipeline, .. } => {
            ensure_valid(validate::pipeline(config, pipeline))?;
            match config.pipelines.binary_search_by(|it| it.name.cmp(&pipeline.name)) {
                Ok(idx) => config.pipelines[idx] = pipeline.clone(),
                Err(idx) => config.pipelines.insert(idx, pipeline.clone()),
            }
            Ok(format!("/pipelines/{}", pipeline.name))
        }
        AdminOp::DeletePipeline { name, .. } => {
            let found = config.pipelines.binary_search_by(|it| it.name.cmp(name));
            config.pipelines.remove(found.map_err(|_| AdminReply::NotFound)?);
            Ok(format!("/pipelines/{name}"))
        }
        AdminOp::PutPreset { name, preset, .. } => {
            ensure_valid(validate::preset(config, preset))?;
            let mut preset = preset.clone();
            preset.floors.sort_by(|left, right| left.pool.cmp(&right.pool));
            preset.limits.sort_by(|left, right| left.pool.cmp(&right.pool));
            *config.presets.get_mut(*name) = preset;
            Ok(format!("/presets/{name}"))
        }
        AdminOp::PutPool { pool, .. } => {
            ensure_valid(validate::pool(config, pool))?;
            match config.pools.binary_search_by(|it| it.name.cmp(&pool.name)) {
                Ok(idx) => config.pools[idx] = pool.clone(),
                Err(idx) => config.pools.insert(idx, pool.clone()),
            }
            Ok(format!("/pools/{}", pool.name))
        }
        AdminOp::DeletePool { name, .. } => {
            let found = config.pools.binary_search_by(|it| it.name.cmp(name));
            let idx = found.map_err(|_| AdminReply::NotFound)?;
            ensure_valid(validate::unused(config, name))?;
            config.pools.remove(idx);
            Ok(format!("/pools/{name}"))
        }
        AdminOp::UsePreset { name, .. } => {
            config.active = *name;
            Ok("/chosen".to_owned())
        }
        AdminOp::Read
        | AdminOp::ReadWorkspaces
        | AdminOp::PutWorkspace { .. }
        | AdminOp::DeleteWorkspace { .. }
        | AdminOp::Status => Err(AdminReply::NotFound),
    }
}

fn edit_shard(shard: &Shard, request: &AdminRequest) -> Result<Shard, AdminReply> {
    let mut edited = shard.clone();
    let revision = shard.revision + 1;
    let (name, expect) = match &request.op {
        AdminOp::PutWorkspace { expect, workspace } => (&workspace.name, *expect),
        AdminOp::DeleteWorkspace { expect, name } => (name, *expect),
        _ => return Err(AdminReply::NotFound),
    };
    let location = format!("/workspaces/{name}");
    let position = shard.position(name);
    let found = position.map_or(0, |idx| shard.entries[idx].revision);
    if found != expect {
        return Err(conflict(found, &shard.history, |it| {
            expect < it.revision && it.location == location
        }));
    }
    match (&request.op, position) {
        (AdminOp::PutWorkspace { workspace, .. }, position) => {
            ensure_valid(validate::workspace(workspace))?;
            let entry = WorkspaceEntry { revision, workspace: workspace.clone() };
            match position {
                Ok(idx) => edited.entries[idx] = entry,
                Err(idx) => edited.entries.insert(idx, entry),
            }
        }
        (_, Ok(idx)) => {
            edited.entries.remove(idx);
        }
        (_, Err(_)) => return Err(AdminReply::NotFound),
    }
    edited.revision = revision;
    record(&mut edited.history, request, revision, location);
    Ok(edited)
}

fn conflict(
    revision: Revision,
    history: &[Change],
    is_newer: impl Fn(&Change) -> bool,
) -> AdminReply {
    let changes = history.iter().filter(|it| is_newer(it)).cloned().collect();
    AdminReply::Conflict { revision, changes }
}

fn ensure_valid(findings: Vec<Finding>) -> Result<(), AdminReply> {
    match findings.is_empty() {
        true => Ok(()),
        false => Err(AdminReply::Invalid(findings)),
    }
}

fn record(history: &mut Vec<Change>, request: &AdminRequest, revision: Revision, location: String) {
    history.push(Change {
        id: request.id.clone(),
        author: request.author.clone(),
        revision,
        location,
        at: request.at,
    });
    let excess = history.len().saturating_sub(MAX_HISTORY);
    history.drain(..excess);
}
