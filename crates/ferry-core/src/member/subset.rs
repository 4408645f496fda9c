//! Chooses the peers that this instance sends its heartbeats to.
//!
//! A full mesh of 470 instances exceeds the traffic budget, so each sends to a bounded number of
//! peers. Its successors on hash rings of its availability zone, its region and the whole
//! deployment keep the graph connected; rendezvous hashing picks the rest, so that few targets
//! change when instances join and leave.

use ferry_model::{Instance, InstanceId};

use crate::Identity;

/// Returns at most `fanout` of the listed peers, sorted.
pub fn choose(identity: &Identity, listed: &[&Instance], fanout: usize) -> Vec<InstanceId> {
    let own = identity.instance.as_str();
    if listed.len() <= fanout {
        let mut chosen: Vec<InstanceId> = listed.iter().map(|it| it.id.clone()).collect();
        chosen.sort();
        return chosen;
    }
    let in_zone = |it: &&Instance| it.zone == identity.zone;
    let in_region = |it: &&Instance| it.region == identity.region;
    let near: Vec<&Instance> = listed.iter().copied().filter(|it| in_zone(it)).collect();
    let region: Vec<&Instance> =
        listed.iter().copied().filter(|it| in_region(it) && !in_zone(it)).collect();
    let far: Vec<&Instance> = listed.iter().copied().filter(|it| !in_region(it)).collect();
    let in_own_region: Vec<&Instance> = listed.iter().copied().filter(in_region).collect();

    let mut chosen = Vec::new();
    let rings: [&[&Instance]; 3] = [&near, &in_own_region, listed];
    for ring in rings {
        if let Some(next) = successor(own, ring) {
            add(&mut chosen, next, fanout);
        }
    }
    let ranked = [rank(own, &near), rank(own, &region), rank(own, &far)];
    let longest = ranked.iter().map(Vec::len).max().unwrap_or(0);
    for idx in 0..longest {
        for peers in &ranked {
            if let Some(peer) = peers.get(idx) {
                add(&mut chosen, peer, fanout);
            }
        }
    }
    chosen.sort();
    chosen
}

fn add(chosen: &mut Vec<InstanceId>, peer: &str, fanout: usize) {
    if chosen.len() < fanout && !chosen.iter().any(|it| it == peer) {
        chosen.push(peer.to_owned());
    }
}

/// Returns the next instance on the hash ring.
fn successor<'a>(own: &str, ring: &[&'a Instance]) -> Option<&'a str> {
    let start = (hash(own, ""), own);
    let key = |it: &'a Instance| (hash(&it.id, ""), it.id.as_str());
    let after = ring.iter().map(|it| key(it)).filter(|it| start < *it).min();
    let (_, next) = after.or_else(|| ring.iter().map(|it| key(it)).min())?;
    Some(next)
}

/// Returns the peers by descending rendezvous weight.
fn rank<'a>(own: &str, peers: &[&'a Instance]) -> Vec<&'a str> {
    let mut ranked: Vec<(u64, &str)> =
        peers.iter().map(|it| (hash(own, &it.id), it.id.as_str())).collect();
    ranked.sort_by(|left, right| right.cmp(left));
    ranked.into_iter().map(|(_, id)| id).collect()
}

fn hash(left: &str, right: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(left.as_bytes());
    hasher.update(&[0]);
    hasher.update(right.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}
