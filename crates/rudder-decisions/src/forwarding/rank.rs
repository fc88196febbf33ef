//! Order of the instances that hold an account's connections.

use super::InstanceCapacity;
use crate::place::NodePlace;
use rudder_core::{AccountName, InstanceName, MemberName, ServiceName, plain_data};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

plain_data! {
    /// An instance of the instance list, which may hold connections.
    pub struct HolderCandidate {
        /// Name of the instance.
        pub instance: InstanceName,
        /// Location of the instance.
        pub place: NodePlace,
        /// Capacity that the list states for the instance.
        pub capacity: InstanceCapacity,
    }
}

/// Returns the instances that hold the connections of `account` to a member of `service` at
/// `member_place`, best first: those of the member's failure domain, then those of its region, then
/// all others.
///
/// Within each of these groups the order is a rendezvous hash over account and service, weighted by
/// capacity. All instances compute the same order from the same list, and a change of the list
/// moves only accounts of the instances that changed. The members of a service in one failure
/// domain have the same holders, and an account's services have different ones.
///
/// ```
/// use rudder_decisions::{HolderCandidate, InstanceCapacity, NodePlace, rank_holders};
/// let kigali = NodePlace { domain: "kigali-a".parse()?, region: "kigali".to_owned() };
/// let nairobi = NodePlace { domain: "nairobi-a".parse()?, region: "nairobi".to_owned() };
/// let capacity = InstanceCapacity(250);
/// let candidates = [
///     HolderCandidate { instance: "entry-1".parse()?, place: nairobi.clone(), capacity },
///     HolderCandidate { instance: "entry-2".parse()?, place: kigali, capacity },
/// ];
/// let ranked = rank_holders(&"records".parse()?, &"choirs".parse()?, &candidates, &nairobi);
/// assert_eq!(ranked, ["entry-1".parse()?, "entry-2".parse()?]);
/// # Ok::<(), rudder_core::ParseError>(())
/// ```
#[must_use]
pub fn rank_holders(
    service: &ServiceName,
    account: &AccountName,
    candidates: &[HolderCandidate],
    member_place: &NodePlace,
) -> Vec<InstanceName> {
    let seed = xxh3_64_with_seed(account.as_str().as_bytes(), xxh3_64(service.as_str().as_bytes()));
    let mut ranked: Vec<_> = candidates
        .iter()
        .map(|candidate| {
            (member_place.distance(&candidate.place), cost(candidate, seed), candidate)
        })
        .collect();
    ranked.sort_by(|left, right| {
        let by_cost = left.1.total_cmp(&right.1);
        let by_name = left.2.instance.cmp(&right.2.instance);
        left.0.cmp(&right.0).then(by_cost).then(by_name)
    });
    let mut ranked: Vec<InstanceName> =
        ranked.into_iter().map(|(_, _, candidate)| candidate.instance.clone()).collect();
    ranked.dedup();
    ranked
}

/// Returns the candidates nearest to a member: those of its failure domain, or of its region if
/// there are none, or all others; in an order that differs between members.
pub(super) fn nearest<'a>(
    member: &MemberName,
    candidates: &'a [HolderCandidate],
    member_place: &NodePlace,
) -> Vec<&'a HolderCandidate> {
    let distance = |candidate: &HolderCandidate| member_place.distance(&candidate.place);
    let least = candidates.iter().map(distance).min();
    let seed = xxh3_64(member.as_str().as_bytes());
    let mut near: Vec<_> = candidates
        .iter()
        .filter(|candidate| Some(distance(candidate)) == least)
        .map(|candidate| (cost(candidate, seed), candidate))
        .collect();
    near.sort_by(|left, right| {
        let by_cost = left.0.total_cmp(&right.0);
        by_cost.then_with(|| left.1.instance.cmp(&right.1.instance))
    });
    let mut near: Vec<_> = near.into_iter().map(|(_, candidate)| candidate).collect();
    near.dedup_by(|left, right| left.instance == right.instance);
    near
}

/// Returns the cost of a candidate in a weighted rendezvous hash: an exponentially distributed value
/// divided by the weight. The least cost belongs to each candidate with a probability proportional
/// to its weight.
fn cost(candidate: &HolderCandidate, seed: u64) -> f64 {
    let hash = xxh3_64_with_seed(candidate.instance.as_str().as_bytes(), seed);
    // The upper 53 bits fill a double exactly; half a step keeps the value above zero.
    #[expect(clippy::cast_precision_loss, reason = "53 bits are exact")]
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -uniform.ln() / f64::from(candidate.capacity.0.max(1))
}
