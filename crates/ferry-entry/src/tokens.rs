//! Authenticates callers by the bearer tokens of workspaces.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use ferry_core::workspaces::Workspaces;
use ferry_edge::{BearerTokens, Handle};
use ferry_model::{Workspace, WorkspaceId};
use http::HeaderMap;

use crate::api::Problem;

/// Bearer tokens of the stored workspaces and of those in the settings.
///
/// If both have the same token, the stored workspace takes precedence.
#[derive(Debug)]
pub struct WorkspaceTokens {
    tokens: BearerTokens<WorkspaceId>,
    /// Workspaces of the settings.
    configured: Vec<Workspace>,
    /// Whether the settings have workspaces or the stored ones are loaded.
    is_loaded: AtomicBool,
}

impl WorkspaceTokens {
    pub fn new(configured: Vec<Workspace>) -> WorkspaceTokens {
        let is_loaded = AtomicBool::new(!configured.is_empty());
        WorkspaceTokens {
            tokens: BearerTokens::new(token_owners(&configured)),
            configured,
            is_loaded,
        }
    }

    /// Keeps the tokens up to date with the stored workspaces until the node stops.
    pub fn watch(self: &Arc<WorkspaceTokens>, handle: &Handle) {
        let mut stored = handle.watch_workspaces();
        let tokens = self.clone();
        tokio::spawn(async move {
            loop {
                let workspaces = stored.borrow_and_update().clone();
                tokens.replace(&workspaces);
                if stored.changed().await.is_err() {
                    return;
                }
            }
        });
    }

    /// Returns the workspace that the bearer token of a request belongs to.
    pub fn authenticate(&self, headers: &HeaderMap) -> Result<WorkspaceId, Problem> {
        match self.tokens.authenticate(headers) {
            Some(workspace) => Ok(workspace),
            None if self.is_loaded.load(Ordering::Relaxed) => Err(Problem::unauthorized()),
            None => Err(Problem::no_workspaces()),
        }
    }

    fn replace(&self, stored: &Workspaces) {
        self.tokens.replace(token_owners(&self.configured).chain(token_owners(stored.iter())));
        let is_loaded = stored.is_loaded() || !self.configured.is_empty();
        self.is_loaded.store(is_loaded, Ordering::Relaxed);
    }
}

/// Pairs the hash of each token with its workspace.
fn token_owners<'a>(
    workspaces: impl IntoIterator<Item = &'a Workspace>,
) -> impl Iterator<Item = (&'a str, WorkspaceId)> {
    workspaces
        .into_iter()
        .flat_map(|it| it.tokens.iter().map(|token| (token.as_str(), it.name.clone())))
}
