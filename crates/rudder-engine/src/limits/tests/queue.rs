//! Claims that wait at an owner, and grants that are returned.

use super::{access, account, engine, engine_with, entry, set_instance_list, settings};
use crate::clock::boot_time;
use crate::engine::{ProxyEngine, RouteAccess};
use crate::limits::claim::{ClaimError, ClaimGrant};
use crate::limits::serve_queues;
use crate::peers::{
    ClaimOutcome, ClaimResponse, PeerEntry, PeerExchange, PeerMessage, QueueClaim, QueuedClaim,
    QueuedOutcome, ReturnClaim,
};
use crate::session::CallerSession;
use crate::settings::{AccountLimit, AccountRule, AccountTable, DatabaseName, KeyDigest};
use crate::statement::{CallerStatement, RequestId, StatementError, StatementOutcome};
use rudder_decisions::ClaimScope;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

type Responder = dyn Fn(usize, &PeerMessage) -> Vec<PeerMessage> + Send + Sync;

/// Owner that responds as a test requires.
struct StandInOwner {
    received: Arc<Mutex<Vec<PeerMessage>>>,
    address: SocketAddr,
}

impl StandInOwner {
    /// Starts an owner whose responses depend on the number of messages before and the message.
    async fn start(
        respond: impl Fn(usize, &PeerMessage) -> Vec<PeerMessage> + Send + Sync + 'static,
    ) -> Self {
        let respond: Arc<Responder> = Arc::new(respond);
        let exchange = PeerExchange::bind(([127, 0, 0, 1], 0).into()).await.expect("a socket");
        let (received, address) = (Arc::<Mutex<Vec<_>>>::default(), exchange.address());
        let log = Arc::clone(&received);
        tokio::spawn(async move {
            loop {
                let (message, from) = exchange.receive().await;
                let count = log.lock().expect("no holder panics").len();
                for response in respond(count, &message) {
                    exchange.send(&response, from).await;
                }
                log.lock().expect("no holder panics").push(message);
            }
        });
        Self { received, address }
    }

    fn received(&self) -> Vec<PeerMessage> {
        self.received.lock().expect("no holder panics").clone()
    }

    fn entry(&self, name: &str) -> PeerEntry {
        PeerEntry { address: self.address, ..entry(name) }
    }
}

/// Returns an instance that handles the responses of its peers.
async fn connected_engine(entries: Vec<PeerEntry>) -> Arc<ProxyEngine> {
    let engine = engine();
    let exchange = PeerExchange::bind(([127, 0, 0, 1], 0).into()).await.expect("a socket");
    engine.set_exchange(exchange.clone());
    engine.membership().set_entries(entries, boot_time());
    let receiver = Arc::clone(&engine);
    tokio::spawn(async move {
        loop {
            match exchange.receive().await {
                (PeerMessage::ClaimResponse(response), from) => {
                    receiver.handle_claim_response(response, from).await;
                }
                (PeerMessage::QueuedClaim(response), from) => {
                    receiver.handle_queued_claim(response, from).await;
                }
                _ => {}
            }
        }
    });
    engine
}

async fn claim(
    engine: &ProxyEngine,
    access: &RouteAccess,
) -> Result<Option<ClaimGrant>, ClaimError> {
    engine.claim_operation(access, &RequestId("r1".to_owned()), None).await
}

fn access_with_priority(priority: u8) -> RouteAccess {
    let mut access = access();
    Arc::make_mut(&mut access.route).priority = priority;
    access
}

fn queued(claim: &PeerMessage, outcome: QueuedOutcome) -> PeerMessage {
    let PeerMessage::QueueClaim(QueueClaim { request_id, .. }) = claim else {
        panic!("a claim with a queue: {claim:?}");
    };
    PeerMessage::QueuedClaim(QueuedClaim { request_id: *request_id, outcome })
}

/// Waits until a condition holds, at most a second.
async fn eventually(condition: impl Fn() -> bool) -> bool {
    let began_at = Instant::now();
    while !condition() && began_at.elapsed() < Duration::from_secs(1) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    condition()
}

/// Urgent work that arrives later could wait behind other work.
#[tokio::test]
async fn tokens_go_to_waiting_claims_by_priority() {
    let engine = engine();
    set_instance_list(&engine, &["own"]);
    let limit = AccountLimit { milli_per_second: 10_000, burst: 3 };
    let keys = vec![KeyDigest::of("key-one")];
    let rule = AccountRule { name: account(), keys, limit: Some(limit) };
    let accounts = AccountTable::sorted(vec![rule]).expect("one account");
    engine.apply_settings(settings(2, 3).with_accounts(accounts));
    tokio::spawn(serve_queues(Arc::clone(&engine)));
    for _ in 0..3 {
        assert!(claim(&engine, &access_with_priority(2)).await.is_ok());
    }
    let order = Arc::new(Mutex::new(Vec::new()));
    let mut claims = Vec::new();
    for priority in [2, 0] {
        let (engine, order) = (Arc::clone(&engine), Arc::clone(&order));
        claims.push(tokio::spawn(async move {
            let result = claim(&engine, &access_with_priority(priority)).await;
            order.lock().expect("no holder panics").push((priority, result.is_ok()));
        }));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for claim in claims {
        claim.await.expect("a claim ends");
    }

    let order = order.lock().expect("no holder panics").clone();
    assert_eq!(order, [(0, true), (2, true)]);
}

fn tokens(engine: &ProxyEngine) -> u64 {
    let limit = engine.operation_limit(&account()).expect("a limit");
    let bounds = engine.identity().limit_bounds;
    let role = engine.limits().state().ledger.role(&account());
    let state = &mut *engine.limits().state();
    let scope = ClaimScope { limit, bounds, role, rank: 0, now: boot_time() };
    let supply = state.ledger.supply(&account(), scope);
    supply.map_or(0, |supply| supply.available)
}

/// Operations that no member ran would use up the account's limit.
#[tokio::test]
async fn a_statement_that_reached_no_member_returns_its_grant() {
    let engine = engine_with(None, Duration::from_secs(5));
    set_instance_list(&engine, &["own"]);
    let (database, key) = (DatabaseName("db".to_owned()), KeyDigest::of("key-one"));
    let mut session = CallerSession::new(Arc::clone(&engine), database, key);

    for _ in 0..3 {
        let id = RequestId("r1".to_owned());
        let reply = session.run(id, CallerStatement::Read("READ x".to_owned())).await;
        assert_eq!(reply.error(), Some(&StatementError::Busy));
        let StatementOutcome::Error { text, .. } = reply.outcome else { panic!("a refusal") };
        assert!(!text.contains("the account's limit"), "{text}");
        assert!(text.starts_with("not run, retry after "), "{text}");
    }

    assert_eq!(tokens(&engine), 3);
}

/// An owner of an older build drops the new claims; its accounts would be refused.
#[tokio::test]
async fn an_owner_of_an_older_build_gets_claims_without_a_queue() {
    let owner = StandInOwner::start(|_, message| match message {
        PeerMessage::Claim(claim) => {
            let outcome = ClaimOutcome::Granted;
            let request_id = claim.request_id;
            vec![PeerMessage::ClaimResponse(ClaimResponse { request_id, outcome })]
        }
        _ => Vec::new(),
    })
    .await;
    let engine = connected_engine(vec![owner.entry("older")]).await;

    for _ in 0..4 {
        assert!(claim(&engine, &access()).await.is_ok());
    }

    let with_queue =
        owner.received().iter().filter(|m| matches!(m, PeerMessage::QueueClaim(_))).count();
    assert_eq!((with_queue, owner.received().len()), (3, 7));
}

/// A peer that responds twice must not let an operation run twice, and its token must not be lost.
#[tokio::test]
async fn a_second_grant_is_returned() {
    let owner = StandInOwner::start(|_, message| match message {
        PeerMessage::QueueClaim(_) => {
            [7, 8].map(|grant| queued(message, QueuedOutcome::Granted { grant })).into()
        }
        _ => Vec::new(),
    })
    .await;
    let engine = connected_engine(vec![owner.entry("owner")]).await;

    let grant = claim(&engine, &access()).await.expect("a grant");

    assert!(grant.is_some());
    let returned = PeerMessage::ReturnClaim(ReturnClaim { account: account(), grant: 8 });
    assert!(eventually(|| owner.received().contains(&returned)).await);
}

/// A claim could be lost with the owner that queued it.
#[tokio::test]
async fn a_claim_whose_owner_is_lost_goes_to_the_next_one() {
    let respond = |outcome: QueuedOutcome| {
        move |_: usize, message: &PeerMessage| match message {
            PeerMessage::QueueClaim(_) => vec![queued(message, outcome)],
            _ => Vec::new(),
        }
    };
    let lost = StandInOwner::start(respond(QueuedOutcome::Queued { within_ms: 100 })).await;
    let next = StandInOwner::start(respond(QueuedOutcome::Granted { grant: 5 })).await;
    let names = ["one", "two"];
    let engine = connected_engine(names.map(entry).into()).await;
    let first = engine.membership().limit_owners(&account(), 1)[0].instance.clone();
    let is_first = |name: &str| first.as_str() == name;
    let entries =
        names.map(|name| if is_first(name) { lost.entry(name) } else { next.entry(name) });
    engine.membership().set_entries(entries.into(), boot_time());

    assert!(claim(&engine, &access()).await.is_ok());

    let wait_ms = |owner: &StandInOwner| {
        let received = owner.received();
        let claim = received.iter().find_map(|message| match message {
            PeerMessage::QueueClaim(claim) => Some(claim.wait_ms),
            _ => None,
        });
        claim.unwrap_or_else(|| panic!("a claim with a queue: {received:?}"))
    };
    assert_eq!(wait_ms(&lost), 500);
    assert!(wait_ms(&next) < 400, "{}", wait_ms(&next));
}

/// At several times the limit, claims that the owner rejects in any case would be most of the
/// traffic.
#[tokio::test]
async fn claims_are_rejected_locally_while_all_tokens_are_promised() {
    let owner = StandInOwner::start(|_, message| {
        let (reservation, promised_until_ms) = (None, Some(900));
        let outcome =
            QueuedOutcome::Rejected { retry_after_ms: 1500, reservation, promised_until_ms };
        vec![queued(message, outcome)]
    })
    .await;
    let engine = connected_engine(vec![owner.entry("owner")]).await;

    for priority in [1, 1, 2, 0] {
        let error = claim(&engine, &access_with_priority(priority)).await.expect_err("a refusal");
        assert!(error.retry_after() >= Duration::from_millis(1000), "{error:?}");
    }

    assert_eq!(owner.received().len(), 2, "one of priority 1 and one of priority 0");
}

/// Callers whose claims wait at a draining owner would wait for nothing.
#[tokio::test]
async fn a_draining_owner_rejects_its_queue() {
    let engine = engine();
    set_instance_list(&engine, &["own"]);
    let scope_account = account();
    let terms = rudder_decisions::ClaimTerms {
        priority: Some(0),
        wait: Duration::from_secs(5),
        deadline: Duration::from_secs(9),
        ..rudder_decisions::ClaimTerms::default()
    };
    let limit = AccountLimit { milli_per_second: 1000, burst: 3 };
    let keys = vec![KeyDigest::of("key-one")];
    let rule = AccountRule { name: account(), keys, limit: Some(limit) };
    let accounts = AccountTable::sorted(vec![rule]).expect("one account");
    engine.apply_settings(settings(2, 3).with_accounts(accounts));
    let mut responses = Vec::new();
    for _ in 0..4 {
        let (request_id, receiver) = engine.limits().state().begin_claim(&scope_account);
        let claimant = crate::limits::queue::QueueClaimant::Own { request_id };
        engine.queue_claim(&scope_account, terms, claimant).await;
        responses.push(receiver);
    }
    let last = responses.last_mut().expect("a claim");
    let first = last.recv().await.expect("a response").reply;
    assert!(matches!(first, crate::limits::state::ClaimReply::Queued { .. }), "{first:?}");

    engine.set_drain_phase(crate::identity::DrainPhase::Leaving);
    tokio::spawn(serve_queues(Arc::clone(&engine)));

    let next = last.recv().await.expect("a response").reply;
    assert_eq!(next, crate::limits::state::ClaimReply::NotOwner);
}

/// An account whose limit does not bind could need more messages than before.
#[tokio::test]
async fn a_claim_that_is_granted_at_once_needs_one_message() {
    let owner = StandInOwner::start(|count, message| {
        vec![queued(message, QueuedOutcome::Granted { grant: count as u64 })]
    })
    .await;
    let engine = connected_engine(vec![owner.entry("owner")]).await;

    for _ in 0..5 {
        assert!(claim(&engine, &access()).await.is_ok());
    }

    assert_eq!(owner.received().len(), 5);
}

/// A peer that says again and again that a claim is queued must not hold its caller for longer than
/// the claim's wait.
#[tokio::test]
async fn an_owner_cannot_extend_the_wait_of_a_claim() {
    let owner = StandInOwner::start(|_, message| match message {
        PeerMessage::QueueClaim(_) => {
            vec![queued(message, QueuedOutcome::Queued { within_ms: 10_000 })]
        }
        _ => Vec::new(),
    })
    .await;
    let engine = connected_engine(vec![owner.entry("owner")]).await;
    let (claimant, began_at) = (Arc::clone(&engine), Instant::now());
    let waiting = tokio::spawn(async move { claim(&claimant, &access()).await });

    while !waiting.is_finished() && began_at.elapsed() < Duration::from_secs(3) {
        for message in owner.received() {
            if let PeerMessage::QueueClaim(QueueClaim { request_id, .. }) = message {
                let outcome = QueuedOutcome::Queued { within_ms: 10_000 };
                let response = QueuedClaim { request_id, outcome };
                engine.handle_queued_claim(response, owner.address).await;
            }
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }

    // The wait is 500 ms, and one more attempt follows.
    assert!(began_at.elapsed() < Duration::from_millis(1500), "{:?}", began_at.elapsed());
    assert!(waiting.await.expect("a claim ends").is_err());
}

/// An instance that counts again after another one did must not get tokens back that it granted
/// before.
#[tokio::test]
async fn grants_cannot_be_returned_after_another_instance_counted() {
    let engine = engine_with(None, Duration::from_secs(5));
    set_instance_list(&engine, &["own"]);
    let mut grants = Vec::new();
    while let Ok(Some(grant)) = claim(&engine, &access()).await {
        grants.push(grant);
    }
    set_instance_list(&engine, &["other"]);
    assert!(!engine.counts_for(&account()).await);
    set_instance_list(&engine, &["own"]);

    assert!(!grants.is_empty());
    for grant in grants {
        engine.return_grant(grant).await;
    }

    assert!(claim(&engine, &access()).await.is_err());
}

/// Two owners that are asked at once may both grant. The operation runs once, so the second token
/// would be lost.
#[tokio::test]
async fn the_second_grant_of_a_claim_to_two_owners_is_returned() {
    let respond = |number: u64| {
        move |_: usize, message: &PeerMessage| match message {
            PeerMessage::QueueClaim(_) => {
                vec![queued(message, QueuedOutcome::Granted { grant: number })]
            }
            _ => Vec::new(),
        }
    };
    let owners = [StandInOwner::start(respond(7)).await, StandInOwner::start(respond(8)).await];
    let entries = vec![owners[0].entry("one"), owners[1].entry("two")];
    let engine = connected_engine(entries).await;
    let first = engine.membership().limit_owners(&account(), 1)[0].instance.clone();
    engine.limits().state().doubtful_owners.insert(&first, boot_time());

    assert!(claim(&engine, &access()).await.expect("a grant").is_some());

    let returned = || {
        let received = owners.iter().flat_map(StandInOwner::received);
        received.filter(|message| matches!(message, PeerMessage::ReturnClaim(_))).count()
    };
    assert!(eventually(|| returned() == 1).await, "{}", returned());
}
