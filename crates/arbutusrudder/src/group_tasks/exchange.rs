//! Exchanges the keepers' votes over the peer mesh.

use crate::keeper::{KeeperEntry, KeeperRanking, ObserverExchange};
use rudder_core::{
    DomainName, InstanceName, LogTerm, MemberName, ObserverVote, ServiceName, VoteKind,
};
use rudder_peers::{KEEPER_COUNT, PeerHint, PeerMesh, SuspicionVote, keepers_of};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Maximum number of received votes kept for one service until its keeper takes them; further ones
/// are dropped.
const VOTES_MAX: usize = 64;

/// Vote exchange of this instance's keepers, over the peer mesh.
pub(crate) struct VoteExchange {
    mesh: Arc<PeerMesh>,
    instance: InstanceName,
    domain: DomainName,
    next_number: AtomicU64,
    /// Received votes, sorted by service.
    inbox: Mutex<Vec<(ServiceName, Vec<ObserverVote>)>>,
}

impl VoteExchange {
    /// Creates the exchange of this instance over `mesh`.
    pub(crate) fn new(mesh: Arc<PeerMesh>, instance: InstanceName, domain: DomainName) -> Self {
        Self { mesh, instance, domain, next_number: AtomicU64::new(1), inbox: Mutex::default() }
    }

    /// Stores a vote received from a peer until the service's keeper takes it.
    pub(crate) fn receive(&self, vote: &SuspicionVote) {
        // Ignores own votes that return over the mesh. The keeper would reply to its own suspicion
        // as to another's, and each reply would cause the next one.
        if vote.observer == self.instance {
            return;
        }
        let kind = if vote.suspected { VoteKind::Unreachable } else { VoteKind::Reachable };
        let observed = ObserverVote {
            observer: vote.observer.clone(),
            domain: vote.domain.clone(),
            kind,
            at: Duration::ZERO,
        };
        let mut inbox = self.inbox.lock().expect("no holder of this lock panics");
        match inbox.binary_search_by(|(service, _)| service.cmp(&vote.service)) {
            Ok(index) if inbox[index].1.len() < VOTES_MAX => inbox[index].1.push(observed),
            Ok(_) => {}
            Err(index) => inbox.insert(index, (vote.service.clone(), vec![observed])),
        }
    }
}

impl ObserverExchange for VoteExchange {
    fn send_vote(&self, service: &ServiceName, vote: VoteKind) {
        let keepers = keepers_of(service, &self.mesh.instances(), KEEPER_COUNT);
        let others: Vec<_> = keepers.into_iter().filter(|name| *name != self.instance).collect();
        let hint = PeerHint::Vote(SuspicionVote {
            service: service.clone(),
            member: vote_subject(),
            observer: self.instance.clone(),
            domain: self.domain.clone(),
            term: LogTerm(0),
            number: self.next_number.fetch_add(1, Ordering::Relaxed),
            suspected: vote == VoteKind::Unreachable,
        });
        let mesh = Arc::clone(&self.mesh);
        tokio::spawn(async move { mesh.send_hint(&others, hint).await });
    }

    fn take_votes(&self, service: &ServiceName) -> Vec<ObserverVote> {
        let mut inbox = self.inbox.lock().expect("no holder of this lock panics");
        match inbox.binary_search_by(|(known, _)| known.cmp(service)) {
            Ok(index) => std::mem::take(&mut inbox[index].1),
            Err(_) => Vec::new(),
        }
    }

    fn ranking(&self, service: &ServiceName) -> KeeperRanking {
        let live = self.mesh.instances();
        let entry = |name: InstanceName| {
            let index = live.binary_search_by(|peer| peer.name.cmp(&name)).ok()?;
            Some(KeeperEntry { instance: name, domain: live[index].domain.clone() })
        };
        let keepers = keepers_of(service, &live, KEEPER_COUNT);
        KeeperRanking { keepers: keepers.into_iter().filter_map(entry).collect() }
    }
}

/// Returns the member name sent in every vote: a vote concerns the service's primary, whichever
/// member that is.
fn vote_subject() -> MemberName {
    "primary".parse().expect("the name has only allowed characters")
}
