//! Order of the instances that own an account, and the relays through which they probe each other.

use rand::Rng;
use rand::seq::SliceRandom;
use rudder_core::{AccountName, DomainName, InstanceName};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Returns the owners of an account in order, at most `count`. All instances compute the same order
/// from the same list, and a change of the list reassigns few accounts.
///
/// ```
/// use rudder_decisions::rank_owners;
/// let all = ["entry-1".parse()?, "entry-2".parse()?, "entry-3".parse()?];
/// let account = "choirs".parse()?;
/// let owners = rank_owners(&account, all.iter(), 2);
/// assert_eq!(owners.len(), 2);
/// let rest: Vec<_> = all.iter().filter(|instance| *instance != owners[0]).collect();
/// assert_eq!(rank_owners(&account, rest.into_iter(), 1), [owners[1]]);
/// # Ok::<(), rudder_core::ParseError>(())
/// ```
#[must_use]
pub fn rank_owners<'a>(
    account: &AccountName,
    instances: impl Iterator<Item = &'a InstanceName>,
    count: usize,
) -> Vec<&'a InstanceName> {
    let seed = xxh3_64(account.as_str().as_bytes());
    let hash = |instance: &InstanceName| xxh3_64_with_seed(instance.as_str().as_bytes(), seed);
    let mut ranked: Vec<_> = instances.map(|instance| (hash(instance), instance)).collect();
    ranked.sort_unstable();
    ranked.dedup();
    ranked.truncate(count);
    ranked.into_iter().map(|(_, instance)| instance).collect()
}

/// Returns at most `count` random instances through which an owner is probed that does not respond
/// itself: instances of other failure domains than `own_domain` first, and of as many domains as
/// possible, as one cut link between two domains must not affect all relays.
///
/// ```
/// use rand::SeedableRng;
/// use rudder_decisions::choose_relays;
/// let (north, south) = ("north".parse()?, "south".parse()?);
/// let (near, far) = ("entry-1".parse()?, "entry-2".parse()?);
/// let candidates = [(&near, &north), (&far, &south)];
/// let mut rng = rand::rngs::StdRng::seed_from_u64(1);
/// assert_eq!(choose_relays(candidates.into_iter(), &north, 1, &mut rng), [&far]);
/// # Ok::<(), rudder_core::ParseError>(())
/// ```
#[must_use]
pub fn choose_relays<'a>(
    candidates: impl Iterator<Item = (&'a InstanceName, &'a DomainName)>,
    own_domain: &DomainName,
    count: usize,
    rng: &mut impl Rng,
) -> Vec<&'a InstanceName> {
    let mut candidates: Vec<_> = candidates.collect();
    candidates.shuffle(rng);
    let mut ranked: Vec<_> = Vec::with_capacity(candidates.len());
    for (index, (instance, domain)) in candidates.iter().enumerate() {
        let before = candidates[..index].iter().filter(|(_, known)| known == domain).count();
        ranked.push((*domain == own_domain, before, *instance));
    }
    ranked.sort_by_key(|(is_near, before, _)| (*is_near, *before));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, _, instance)| instance).collect()
}
