//! Order of the instances that own an account.

use rudder_core::{AccountName, InstanceName};
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
