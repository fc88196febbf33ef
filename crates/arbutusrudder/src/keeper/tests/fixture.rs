//! Test group with keepers, and a writer that records the outcome of each write.

use super::fake_group::{FakeControl, FakeGroup};
use super::fake_platform::{FakeExchange, FakePlatform, VoteLog, entry};
use super::model::member_name;
use crate::keeper::group_keeper::GroupKeeper;
use crate::keeper::view::GroupView;
use crate::keeper::{KeeperConfig, KeeperMember, KeeperRanking};
use rudder_core::{
    AckDecision, HistoryLog, OutcomeClass, PlanMember, ServiceName, StoredValue, WriteOutcome,
    WriteRecord, decide_commit,
};
use rudder_settings::TimingSettings;
use std::pin::pin;
use std::sync::{Arc, Mutex, Weak};
use std::task::Poll;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

const WRITE_INTERVAL: Duration = Duration::from_millis(20);
const ACK_TIMEOUT: Duration = Duration::from_millis(500);
const REPLICATION_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum time that a test waits for an acknowledgement.
const WAIT_MAX: Duration = Duration::from_secs(10);
const ROW: &str = "orders";

pub(super) struct Fixture {
    pub(super) group: Arc<FakeGroup>,
    pub(super) platform: Arc<FakePlatform>,
    votes: Arc<VoteLog>,
    keepers: usize,
    log: Arc<Mutex<HistoryLog>>,
    stop: CancellationToken,
}

/// A running keeper. While it is frozen, its task is not polled.
pub(super) struct RunningKeeper {
    pub(super) view: watch::Receiver<Arc<GroupView>>,
    pub(super) frozen: watch::Sender<bool>,
    _traffic: mpsc::Sender<crate::keeper::TrafficReport>,
}

pub(super) fn service() -> ServiceName {
    "scores-db".parse().expect("a valid name")
}

impl Fixture {
    pub(super) fn new(members: usize, keepers: usize) -> Self {
        let (group, platform) = (FakeGroup::new(members), FakePlatform::new());
        let (votes, log, stop) = (Arc::default(), Arc::default(), CancellationToken::new());
        let fixture = Self { group, platform, votes, keepers, log, stop };
        tokio::spawn(replicate(Arc::downgrade(&fixture.group)));
        tokio::spawn(write_continuously(
            fixture.group.clone(),
            fixture.log.clone(),
            fixture.stop.clone(),
        ));
        fixture
    }

    /// Starts keeper `index`; `cut` lists the members that it cannot reach.
    pub(super) fn start_keeper(&self, index: usize, cut: &[usize]) -> RunningKeeper {
        let keepers = (0..self.keepers).map(entry).collect();
        self.start_keeper_with(index, KeeperRanking { keepers }, cut)
    }

    pub(super) fn start_keeper_with(
        &self,
        index: usize,
        ranking: KeeperRanking,
        cut: &[usize],
    ) -> RunningKeeper {
        let own = entry(index);
        let members = 0..self.group.model().members.len();
        let config = KeeperConfig {
            service: service(),
            instance: own.instance.clone(),
            domain: own.domain.clone(),
            members: members.map(|member| self.member(member, cut)).collect(),
            timing: TimingSettings::default(),
            store: self.platform.clone(),
            exchange: Arc::new(FakeExchange::new(own, ranking, self.votes.clone())),
        };
        let (traffic, incoming) = mpsc::channel(8);
        let (keeper, view) = GroupKeeper::new(config, incoming);
        let (frozen, frozen_changes) = watch::channel(false);
        tokio::spawn(run_unless_frozen(keeper, frozen_changes));
        RunningKeeper { view, frozen, _traffic: traffic }
    }

    fn member(&self, index: usize, cut: &[usize]) -> KeeperMember {
        let preference = u32::try_from(index).expect("few members");
        let group = self.group.clone();
        KeeperMember {
            member: PlanMember { name: member_name(index), preference },
            control: Arc::new(FakeControl { group, index, is_cut: cut.contains(&index) }),
        }
    }

    /// Waits for the acknowledgement of a write that is sent after this call.
    pub(super) async fn next_acknowledgement(&self) {
        let since = Instant::now();
        let count = || {
            let log = self.log.lock().expect("no panic while held");
            let acked = |write: &&WriteRecord| write.outcome == WriteOutcome::Acknowledged;
            log.writes.iter().filter(acked).filter(|write| write.invoked >= elapsed(since)).count()
        };
        while count() == 0 {
            sleep(WRITE_INTERVAL).await;
            assert!(since.elapsed() < WAIT_MAX, "no write acknowledged");
        }
    }

    /// Returns the longest time between two acknowledgements so far.
    pub(super) fn longest_gap(&self) -> Duration {
        let log = self.log.lock().expect("no panic while held");
        let acked = |write: &&WriteRecord| write.outcome == WriteOutcome::Acknowledged;
        let returned: Vec<_> =
            log.writes.iter().filter(acked).map(|write| write.returned).collect();
        returned.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or_default()
    }

    /// Stops the writer, and returns the history with the rows stored on the primary of this
    /// keeper's view.
    pub(super) async fn history(&self, keeper: &RunningKeeper) -> HistoryLog {
        self.stop.cancel();
        sleep(2 * ACK_TIMEOUT).await;
        let mut log = self.log.lock().expect("no panic while held").clone();
        let primary = keeper.view.borrow().primary.clone().expect("a primary");
        let model = self.group.model();
        let entries = &model.members[model.index_of(&primary)].log;
        let stored = |value| StoredValue { row: ROW.to_owned(), value };
        log.stored = entries.iter().map(|entry| stored(entry.value)).collect();
        log
    }
}

fn elapsed(at: Instant) -> Duration {
    at.duration_since(ORIGIN.with(|origin| *origin))
}

thread_local! {
    static ORIGIN: Instant = Instant::now();
}

async fn run_unless_frozen(keeper: GroupKeeper, mut frozen_changes: watch::Receiver<bool>) {
    let mut running = pin!(keeper.run());
    loop {
        let resumed = frozen_changes.wait_for(|frozen| !frozen).await.is_ok();
        if !resumed {
            return;
        }
        let mut froze =
            pin!(async { frozen_changes.clone().wait_for(|frozen| *frozen).await.is_ok() });
        let step = std::future::poll_fn(|context| {
            if let Poll::Ready(frozen) = froze.as_mut().poll(context) {
                return Poll::Ready(frozen);
            }
            running.as_mut().poll(context).map(|()| false)
        });
        if !step.await {
            return;
        }
    }
}

/// Replicates the log to all members until the group is dropped.
async fn replicate(group: Weak<FakeGroup>) {
    loop {
        sleep(REPLICATION_INTERVAL).await;
        let Some(group) = group.upgrade() else { return };
        let mut model = group.model();
        (0..model.members.len()).for_each(|index| model.replicate(index, 8));
    }
}

/// Sends writes one after another to a member that accepts them.
async fn write_continuously(
    group: Arc<FakeGroup>,
    log: Arc<Mutex<HistoryLog>>,
    stop: CancellationToken,
) {
    let origin = ORIGIN.with(|origin| *origin);
    for value in 0.. {
        sleep(WRITE_INTERVAL).await;
        if stop.is_cancelled() {
            return;
        }
        let invoked = origin.elapsed();
        let outcome = write_once(&group, value).await;
        let record = WriteRecord {
            session: "anna".parse().expect("a valid id"),
            invoked,
            returned: origin.elapsed(),
            stored: StoredValue { row: ROW.to_owned(), value },
            key: None,
            outcome,
        };
        log.lock().expect("no panic while held").writes.push(record);
    }
}

async fn write_once(group: &FakeGroup, value: u64) -> WriteOutcome {
    let commit = {
        let mut model = group.model();
        let mut candidates = (0..model.members.len()).rev();
        candidates.find_map(|index| model.write(index, value))
    };
    let Some(commit) = commit else { return WriteOutcome::Refused(OutcomeClass::NotRun) };
    let deadline = Instant::now() + ACK_TIMEOUT;
    while Instant::now() < deadline {
        sleep(REPLICATION_INTERVAL).await;
        let model = group.model();
        let up = model.members.iter().filter(|member| member.up);
        let reports: Vec<_> = up.map(|member| (member.name.clone(), member.status())).collect();
        match decide_commit(commit, model.members.len(), &reports) {
            AckDecision::Acknowledged => return WriteOutcome::Acknowledged,
            AckDecision::Superseded => break,
            AckDecision::Waiting => {}
        }
    }
    WriteOutcome::Refused(OutcomeClass::Unknown)
}
