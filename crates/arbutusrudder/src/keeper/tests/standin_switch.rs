//! A planned switch of the stand-in group under writes, with replication lag.

use super::fake_platform::{FakeExchange, FakePlatform, entry};
use crate::keeper::view::GroupView;
use crate::keeper::{KeeperConfig, KeeperMember, KeeperRanking, spawn_keeper};
use async_trait::async_trait;
use rudder_core::{
    ControlStatement, LogTerm, MemberName, MemberStatus, PlanMember, SwitchOrder, WriterMark,
};
use rudder_endpoint::{ControlError, MemberControl};
use rudder_settings::TimingSettings;
use rudder_standins::{GroupSettings, GroupStandin, MemberKnob};
use rudder_store::{ObjectKind, PlatformStore};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};
use tokio_postgres::NoTls;
use tokio_util::sync::CancellationToken;

const LINK_DELAY: Duration = Duration::from_millis(30);
const WAIT_MAX: Duration = Duration::from_secs(30);

struct StandinControl {
    group: Arc<GroupStandin>,
    member: MemberName,
}

#[async_trait]
impl MemberControl for StandinControl {
    async fn run(
        &self,
        statement: &ControlStatement,
        _within: Duration,
    ) -> Result<MemberStatus, ControlError> {
        let response = self.group.control(&self.member, statement);
        response.map_err(|error| ControlError::Refused(error.to_string()))
    }
}

fn config(group: &Arc<GroupStandin>, platform: &Arc<FakePlatform>) -> KeeperConfig {
    let own = entry(0);
    let ranking = KeeperRanking { keepers: vec![own.clone()] };
    let names: Vec<_> = group.members().map(|(name, _)| name.clone()).collect();
    let member = |(preference, name): (u32, MemberName)| KeeperMember {
        member: PlanMember { name: name.clone(), preference },
        control: Arc::new(StandinControl { group: group.clone(), member: name }),
    };
    KeeperConfig {
        service: group.service().clone(),
        instance: own.instance.clone(),
        domain: own.domain.clone(),
        members: (0..).zip(names).map(member).collect(),
        timing: TimingSettings::default(),
        store: platform.clone(),
        exchange: Arc::new(FakeExchange::new(own, ranking, Arc::default())),
    }
}

/// Inserts rows until the member rejects one.
async fn keep_writing(port: u16) {
    let config = format!("host=127.0.0.1 port={port} user=tester dbname=orders");
    let (client, connection) = tokio_postgres::connect(&config, NoTls).await.unwrap();
    tokio::spawn(connection);
    client.batch_execute("CREATE TABLE page (id int PRIMARY KEY)").await.unwrap();
    for id in 0.. {
        let insert = format!("INSERT INTO page (id) VALUES ({id})");
        if client.batch_execute(&insert).await.is_err() {
            return;
        }
        sleep(Duration::from_millis(1)).await;
    }
}

// An operator orders a switch while callers write. The target always lags by the link delay; it
// must fetch the missing entries from the fenced primary, or the switch would fail under any load.
#[tokio::test]
async fn switch_under_writes_reaches_its_target() {
    let settings = GroupSettings::loopback("orders".parse().unwrap());
    let group = Arc::new(GroupStandin::start(settings).await.unwrap());
    let members: Vec<_> = group.members().map(|(name, at)| (name.clone(), at.port())).collect();
    for (name, _) in &members {
        group.turn(name, MemberKnob::LinkDelay(LINK_DELAY)).unwrap();
    }
    let writer = tokio::spawn(keep_writing(members[0].1));
    let platform = FakePlatform::new();
    let target = members[1].0.clone();
    let order = SwitchOrder { target: target.clone(), mark: WriterMark::random() };
    let spec = serde_json::to_value(&order).unwrap();
    platform.put(ObjectKind::SwitchOrder, "orders", None, spec).await.unwrap();

    let stop = CancellationToken::new();
    let handle = spawn_keeper(config(&group, &platform), stop.clone());
    let mut view = handle.view();
    let is_over = |view: &Arc<GroupView>| view.primary.is_some() && view.term > LogTerm(1);
    let after = timeout(WAIT_MAX, view.wait_for(is_over)).await.unwrap().unwrap().clone();

    stop.cancel();
    writer.await.unwrap();
    assert_eq!(after.primary, Some(target));
}
