//! Identifies requests that are the same, whoever sends them again.

use blake3::Hasher;
use ferry_serve::RequestDigest;
use http::Method;

/// Returns the digest of a request: of its method, its host, its path with the query, and its body.
///
/// Headers are left out, as ids of attempts, deadlines and traces differ each time. Lengths separate the
/// fields, so that no caller can move bytes from one to the next.
pub fn request_digest(method: &Method, host: &str, path: &str, body: &[u8]) -> RequestDigest {
    let mut hasher = Hasher::new();
    for field in [method.as_str().as_bytes(), host.as_bytes(), path.as_bytes(), body] {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    let mut digest = [0; size_of::<RequestDigest>()];
    hasher.finalize_xof().fill(&mut digest);
    RequestDigest::from_le_bytes(digest)
}
