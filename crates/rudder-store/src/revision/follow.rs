//! Which revision is in force at an instance: only ever a greater one.

use super::bundle::{BundleError, RevisionBundle};
use super::record::RevisionNumber;
use rudder_settings::MergedFolder;
use std::sync::Arc;

/// What became of an offered bundle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfferVerdict {
    /// It is in force now.
    Adopted,
    /// Its number is not greater than that of the one in force.
    NotNewer,
    /// It is not usable here; the one in force stays.
    Unusable(BundleError),
}

/// The revision in force at an instance, from whichever source it came first.
#[derive(Clone, Debug, Default)]
pub struct RevisionFollower {
    in_force: Option<ActiveRevision>,
}

#[derive(Clone, Debug)]
struct ActiveRevision {
    bundle: Arc<RevisionBundle>,
    folder: Arc<MergedFolder>,
}

impl RevisionFollower {
    /// The number in force; zero before the first.
    ///
    /// ```
    /// use rudder_store::{RevisionFollower, RevisionNumber};
    /// assert_eq!(RevisionFollower::default().number(), RevisionNumber(0));
    /// ```
    #[must_use]
    pub fn number(&self) -> RevisionNumber {
        self.in_force.as_ref().map_or(RevisionNumber(0), |force| force.bundle.number)
    }

    /// The bundle in force, to hand to a peer.
    ///
    /// ```
    /// assert!(rudder_store::RevisionFollower::default().bundle().is_none());
    /// ```
    #[must_use]
    pub fn bundle(&self) -> Option<&Arc<RevisionBundle>> {
        self.in_force.as_ref().map(|force| &force.bundle)
    }

    /// The settings in force.
    ///
    /// ```
    /// assert!(rudder_store::RevisionFollower::default().folder().is_none());
    /// ```
    #[must_use]
    pub fn folder(&self) -> Option<&Arc<MergedFolder>> {
        self.in_force.as_ref().map(|force| &force.folder)
    }

    /// Takes a bundle from the platform or from a peer.
    ///
    /// Guards against settings that revert: a read served from an old copy of the store, or a peer
    /// that was cut off, offers a lower number than the one in force. It would bring back what an
    /// operator has replaced. Numbers only grow, so whatever is not greater is old.
    ///
    /// ```
    /// use rudder_store::{OfferVerdict, RevisionBundle, RevisionFollower, RevisionNumber};
    /// let bundle = |number| RevisionBundle {
    ///     number: RevisionNumber(number),
    ///     version: None,
    ///     files: Vec::new(),
    /// };
    /// let mut follower = RevisionFollower::default();
    /// assert_eq!(follower.offer(bundle(2)), OfferVerdict::Adopted);
    /// assert_eq!(follower.offer(bundle(1)), OfferVerdict::NotNewer);
    /// ```
    pub fn offer(&mut self, bundle: RevisionBundle) -> OfferVerdict {
        if bundle.number <= self.number() {
            return OfferVerdict::NotNewer;
        }
        match bundle.merge() {
            Ok(folder) => {
                let (bundle, folder) = (Arc::new(bundle), Arc::new(folder));
                self.in_force = Some(ActiveRevision { bundle, folder });
                OfferVerdict::Adopted
            }
            Err(error) => OfferVerdict::Unusable(error),
        }
    }
}
