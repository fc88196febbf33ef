//! Polls the platform for the accepted revision, notifies peers of a newer one and fetches it from
//! them.

use super::apply::apply_settings;
use crate::context::InstanceContext;
use rand::RngExt;
use rudder_peers::{PeerHint, PeerMesh, PeerReply, PeerRequest, PeerState, RevisionHint};
use rudder_store::{OfferOutcome, PlatformStore, RevisionBundle, poll_revision};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Interval at which the platform is polled for a newer revision, plus or minus [`POLL_JITTER`].
/// 570 instances make about 130 small reads a second, a fifteenth of what the platform can serve.
const POLL_INTERVAL: Duration = Duration::from_millis(4_000);

/// Jitter of the poll interval, so that instances started together do not keep polling together.
const POLL_JITTER: Duration = Duration::from_millis(800);

/// Poll interval of an instance that has no settings yet.
const INITIAL_POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Timeout of a request to one peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of peers requested in one round.
const PEERS_PER_ROUND: usize = 3;

/// Keeps the settings in force up to date while the instance runs. The platform is polled; peers
/// are requested if the platform cannot be reached or a peer's hint names a newer revision.
pub(crate) async fn follow_settings(
    context: Arc<InstanceContext>,
    store: Arc<dyn PlatformStore>,
    mesh: Arc<PeerMesh>,
) {
    let mut hints = context.revision_hint.subscribe();
    loop {
        let platform_reached = poll_platform(&context, store.as_ref(), &mesh).await;
        let hinted = *hints.borrow_and_update();
        if !platform_reached || hinted > context.revision_number() {
            fetch_from_peers(&context, &mesh).await;
        }
        let interval = poll_interval(&context);
        // A peer's hint of a newer revision ends the wait early.
        let _ = timeout(interval, hints.changed()).await;
    }
}

fn poll_interval(context: &InstanceContext) -> Duration {
    if context.revision_number() == 0 {
        return INITIAL_POLL_INTERVAL;
    }
    let jitter = rand::rng().random_range(0.0..1.0);
    POLL_INTERVAL - POLL_JITTER + (POLL_JITTER * 2).mul_f64(jitter)
}

/// Polls the platform and returns whether it could be reached. Peers are notified of a new
/// revision.
async fn poll_platform(
    context: &Arc<InstanceContext>,
    store: &dyn PlatformStore,
    mesh: &PeerMesh,
) -> bool {
    let known = context.bundle();
    match poll_revision(store, known.as_deref()).await {
        Ok(Some(bundle)) => {
            let number = bundle.number.0;
            if offer_bundle(context, bundle, "platform") {
                mesh.publish(PeerHint::Revision(RevisionHint { number })).await;
            }
            true
        }
        Ok(None) => true,
        Err(error) => {
            log::warn!(target: "rudder::settings", reason:% = error; "failed to poll the platform for a revision");
            false
        }
    }
}

async fn fetch_from_peers(context: &Arc<InstanceContext>, mesh: &PeerMesh) {
    let live = mesh.instances();
    let own = context.name();
    let mut peers: Vec<_> =
        live.iter().filter(|peer| peer.state == PeerState::Live && peer.name != *own).collect();
    let mut requested = 0;
    while requested < PEERS_PER_ROUND && !peers.is_empty() {
        let index = rand::rng().random_range(0..peers.len());
        let peer = peers.swap_remove(index);
        requested += 1;
        let newer_than = context.revision_number();
        let request = PeerRequest::RevisionFetch { newer_than };
        let reply = mesh.request(&peer.name, request, PEER_TIMEOUT).await;
        let Ok(PeerReply::Revision(bytes)) = reply else { continue };
        match serde_json::from_slice::<RevisionBundle>(&bytes) {
            Ok(bundle) => {
                offer_bundle(context, bundle, "peer");
            }
            Err(error) => {
                log::warn!(target: "rudder::settings", peer:% = peer.name, reason:% = error; "failed to decode a peer's revision");
            }
        }
    }
}

/// Offers a bundle to the follower, which adopts only a greater revision number, and applies its
/// settings. Returns whether it was adopted.
fn offer_bundle(
    context: &Arc<InstanceContext>,
    bundle: RevisionBundle,
    source: &'static str,
) -> bool {
    let number = bundle.number.0;
    let folder = {
        let mut follower = context.follower.lock().expect("no holder of this lock panics");
        match follower.offer(bundle) {
            OfferOutcome::Adopted => follower.folder().cloned(),
            OfferOutcome::NotNewer => None,
            OfferOutcome::Unusable(error) => {
                log::error!(target: "rudder::settings", revision = number, source, reason:% = error; "revision is unusable and was not adopted");
                None
            }
        }
    };
    let Some(folder) = folder else { return false };
    apply_settings(context, number, &folder.fleet);
    metrics::gauge!("rudder_revision").set(number as f64);
    log::info!(target: "rudder::settings", revision = number, source, reason = "greater_number"; "revision in force");
    true
}

impl InstanceContext {
    /// Returns the number of the revision in force; zero before the first one.
    pub(crate) fn revision_number(&self) -> u64 {
        self.follower.lock().expect("no holder of this lock panics").number().0
    }

    fn bundle(&self) -> Option<Arc<RevisionBundle>> {
        self.follower.lock().expect("no holder of this lock panics").bundle().cloned()
    }

    /// Returns the encoded revision in force, if it is newer than `newer_than`.
    pub(crate) fn revision_bytes(&self, newer_than: u64) -> Option<Vec<u8>> {
        let bundle = self.bundle().filter(|bundle| bundle.number.0 > newer_than)?;
        serde_json::to_vec(bundle.as_ref()).ok()
    }
}
