//! What may crash the endpoints that run it.

use std::fmt::{self, Display, Formatter};

use blake3::Hasher;
use serde::{Deserialize, Serialize};

use crate::{PartId, RequestDigest};

/// What may crash each endpoint that runs it, at any moment of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum CrashCandidate {
    /// A prompt part that requests share.
    Part(PartId),
    /// A request as a whole, which callers send again.
    Request(RequestDigest),
}

impl Display for CrashCandidate {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            CrashCandidate::Part(it) => write!(f, "part {it:x}"),
            CrashCandidate::Request(it) => write!(f, "request {it:032x}"),
        }
    }
}

/// Returns the digest of a request and its workspace, whichever of its keys the request has.
pub fn workspace_digest(workspace: Option<&str>, digest: RequestDigest) -> RequestDigest {
    let mut hasher = Hasher::new();
    hasher.update(&digest.to_le_bytes());
    if let Some(workspace) = workspace {
        hasher.update(workspace.as_bytes());
    }
    let mut digest = [0; size_of::<RequestDigest>()];
    hasher.finalize_xof().fill(&mut digest);
    RequestDigest::from_le_bytes(digest)
}
