//! Tracks the revision in force at an instance, whose number only increases.

use super::bundle::{BundleError, RevisionBundle};
use super::record::RevisionNumber;
use rudder_settings::MergedFolder;
use std::sync::Arc;

/// Outcome of offering a bundle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The bundle is now in force.
    Adopted,
    /// The number of the bundle is not greater than that of the revision in force.
    NotNewer,
    /// The bundle cannot be used; the revision in force remains.
    Unusable(BundleError),
}

/// The revision in force at an instance, received from the platform or a peer.
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
    /// Returns the number of the revision in force; zero before the first revision.
    ///
    /// ```
    /// use rudder_store::{RevisionFollower, RevisionNumber};
    /// assert_eq!(RevisionFollower::default().number(), RevisionNumber(0));
    /// ```
    #[must_use]
    pub fn number(&self) -> RevisionNumber {
        self.in_force.as_ref().map_or(RevisionNumber(0), |force| force.bundle.number)
    }

    /// Returns the bundle in force, for sending it to a peer.
    ///
    /// ```
    /// assert!(rudder_store::RevisionFollower::default().bundle().is_none());
    /// ```
    #[must_use]
    pub fn bundle(&self) -> Option<&Arc<RevisionBundle>> {
        self.in_force.as_ref().map(|force| &force.bundle)
    }

    /// Returns the settings in force.
    ///
    /// ```
    /// assert!(rudder_store::RevisionFollower::default().folder().is_none());
    /// ```
    #[must_use]
    pub fn folder(&self) -> Option<&Arc<MergedFolder>> {
        self.in_force.as_ref().map(|force| &force.folder)
    }

    /// Adopts a bundle from the platform or a peer if it is newer and valid.
    ///
    /// A stale read of the store, or a peer that was disconnected, may offer an older revision than
    /// the one in force. Adopting it would revert settings that an operator has replaced. Revision
    /// numbers only increase, so a bundle whose number is not greater is ignored.
    ///
    /// ```
    /// use rudder_store::{OfferOutcome, RevisionBundle, RevisionFollower, RevisionNumber};
    /// let bundle = |number| RevisionBundle {
    ///     number: RevisionNumber(number),
    ///     version: None,
    ///     files: Vec::new(),
    /// };
    /// let mut follower = RevisionFollower::default();
    /// assert_eq!(follower.offer(bundle(2)), OfferOutcome::Adopted);
    /// assert_eq!(follower.offer(bundle(1)), OfferOutcome::NotNewer);
    /// ```
    pub fn offer(&mut self, bundle: RevisionBundle) -> OfferOutcome {
        if bundle.number <= self.number() {
            return OfferOutcome::NotNewer;
        }
        match bundle.merge() {
            Ok(folder) => {
                let (bundle, folder) = (Arc::new(bundle), Arc::new(folder));
                self.in_force = Some(ActiveRevision { bundle, folder });
                OfferOutcome::Adopted
            }
            Err(error) => OfferOutcome::Unusable(error),
        }
    }
}
