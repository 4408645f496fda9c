//! Authenticates bearer tokens; only their hashes are kept, and timing reveals nothing about them.
//!
//! A token is hashed with BLAKE3, then again with a random key of this process, and
//! looked up by binary search. The time of a lookup depends only on the keyed hash,
//! which nobody outside the process can compute. See docs/design/edge.md.

use std::sync::{Arc, RwLock};

use blake3::Hash;
use ferry_model::SortedMap;
use http::HeaderMap;
use http::header::AUTHORIZATION;
use rand::RngExt;
use subtle::ConstantTimeEq;

/// Longest token that is accepted.
const MAX_TOKEN_BYTES: usize = 512;

type KeyedHash = [u8; 32];

/// Maps the hashes of tokens to their owners; the map is replaced as a whole.
#[derive(Debug)]
pub struct BearerTokens<T> {
    key: [u8; 32],
    owners: RwLock<Arc<SortedMap<KeyedHash, Owner<T>>>>,
}

#[derive(Debug)]
struct Owner<T> {
    hash: Hash,
    value: T,
}

impl<T: Clone> BearerTokens<T> {
    /// Takes pairs of a token's hash in hex and its owner; malformed hashes are skipped.
    pub fn new<'a>(owners: impl IntoIterator<Item = (&'a str, T)>) -> BearerTokens<T> {
        let mut key = [0; 32];
        rand::rng().fill(&mut key[..]);
        let tokens = BearerTokens { key, owners: RwLock::default() };
        tokens.replace(owners);
        tokens
    }

    /// Replaces all owners; requests in flight are not affected.
    pub fn replace<'a>(&self, owners: impl IntoIterator<Item = (&'a str, T)>) {
        let mut entries: Vec<(KeyedHash, Owner<T>)> = owners
            .into_iter()
            .filter_map(|(hex, value)| {
                let hash = Hash::from_hex(hex).ok()?;
                Some((self.keyed_hash(&hash), Owner { hash, value }))
            })
            .collect();
        // The last of several equal hashes wins, as the sort is stable.
        entries.sort_by_key(|it| it.0);
        let owners = Arc::new(entries.into_iter().collect());
        *self.owners.write().unwrap_or_else(|it| it.into_inner()) = owners;
    }

    /// Returns the owner of the bearer token in a request's headers.
    pub fn authenticate(&self, headers: &HeaderMap) -> Option<T> {
        let hash = blake3::hash(bearer_token(headers)?.as_bytes());
        let owners = self.owners.read().unwrap_or_else(|it| it.into_inner()).clone();
        let owner = owners.get(&self.keyed_hash(&hash))?;
        let is_same = bool::from(owner.hash.as_bytes().ct_eq(hash.as_bytes()));
        is_same.then(|| owner.value.clone())
    }

    fn keyed_hash(&self, hash: &Hash) -> KeyedHash {
        *blake3::keyed_hash(&self.key, hash.as_bytes()).as_bytes()
    }
}

fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let value = values.next()?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    let is_usable = scheme.eq_ignore_ascii_case("bearer")
        && values.next().is_none()
        && !token.is_empty()
        && token.len() <= MAX_TOKEN_BYTES;
    is_usable.then_some(token)
}
