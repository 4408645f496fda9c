//! Which workspace a bearer token belongs to.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use ferry_core::workspaces::Workspaces;
use ferry_edge::{BearerTokens, Handle};
use ferry_model::{Workspace, WorkspaceId};
use http::HeaderMap;

use crate::api::Problem;

/// The stored workspaces and those of the settings; a stored one goes first.
#[derive(Debug)]
pub struct WorkspaceTokens {
    tokens: BearerTokens<WorkspaceId>,
    fixed: Vec<Workspace>,
    /// Whether any workspace can be known yet.
    is_known: AtomicBool,
}

impl WorkspaceTokens {
    pub fn new(fixed: Vec<Workspace>) -> WorkspaceTokens {
        let is_known = AtomicBool::new(!fixed.is_empty());
        WorkspaceTokens { tokens: BearerTokens::new(owners(&fixed)), fixed, is_known }
    }

    /// Follows the stored workspaces until the node has ended.
    pub fn follow(self: &Arc<WorkspaceTokens>, handle: &Handle) {
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

    /// Returns the workspace of a request's bearer token.
    pub fn find(&self, headers: &HeaderMap) -> Result<WorkspaceId, Problem> {
        match self.tokens.authenticate(headers) {
            Some(workspace) => Ok(workspace),
            None if self.is_known.load(Ordering::Relaxed) => Err(Problem::unauthorized()),
            None => Err(Problem::no_workspaces()),
        }
    }

    fn replace(&self, stored: &Workspaces) {
        self.tokens.replace(owners(&self.fixed).chain(owners(stored.iter())));
        let is_known = stored.is_loaded() || !self.fixed.is_empty();
        self.is_known.store(is_known, Ordering::Relaxed);
    }
}

/// Pairs each hash of a token with its workspace.
fn owners<'a>(
    workspaces: impl IntoIterator<Item = &'a Workspace>,
) -> impl Iterator<Item = (&'a str, WorkspaceId)> {
    workspaces
        .into_iter()
        .flat_map(|it| it.tokens.iter().map(|token| (token.as_str(), it.name.clone())))
}
