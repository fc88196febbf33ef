//! Handle of a running database group: start, status, control statements and injected faults.

use super::knob::{KnobCommand, MemberKnob};
use super::member::{GroupMember, GroupShared};
use super::replication::replicate;
use super::settings::GroupSettings;
use super::slots::lock;
use super::state::MemberState;
use crate::group::sql::error::SqlError;
use crate::group::wire::client::ClientStream;
use crate::group::wire::connection::serve_connection;
use rudder_core::{ControlStatement, MemberName, MemberStatus, ServiceName};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Interval at which a restarted member retries to bind its address.
const LISTEN_RETRY: Duration = Duration::from_millis(10);

/// Database group of several members that run in this process and listen on TCP.
///
/// The group stops when the handle is dropped.
#[derive(Debug)]
pub struct GroupStandin {
    service: ServiceName,
    members: Arc<[Arc<GroupMember>]>,
    shared: Arc<GroupShared>,
}

impl GroupStandin {
    /// Starts all members. The first one is the primary of term 1; the others replicate from it.
    ///
    /// Must be called from within a tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or the settings name no member.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// use rudder_standins::{GroupSettings, GroupStandin};
    /// let group = GroupStandin::start(GroupSettings::loopback("orders".parse()?)).await?;
    /// assert_eq!(group.members().count(), 3);
    /// # Ok::<(), Box<dyn std::error::Error>>(()) })?;
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub async fn start(settings: GroupSettings) -> io::Result<Self> {
        let shared = Arc::new(GroupShared::new(settings.password.clone()));
        let Some(first) = settings.members.first() else {
            return Err(io::Error::new(
                io::ErrorKind::InvalidInput,
                "a group needs at least one member",
            ));
        };
        let mut members = Vec::with_capacity(settings.members.len());
        let mut listeners = Vec::with_capacity(settings.members.len());
        for (index, member) in settings.members.iter().enumerate() {
            let listener = TcpListener::bind(member.listen).await?;
            let address = listener.local_addr()?;
            let state = match index {
                0 => MemberState::first_primary(),
                _ => MemberState::first_replica(first.name.clone()),
            };
            let seed = settings.seed.wrapping_add(index as u64);
            let shared = Arc::clone(&shared);
            let member = GroupMember::new(member, &settings, address, state, shared, seed);
            members.push(Arc::new(member));
            listeners.push(listener);
        }
        let members: Arc<[Arc<GroupMember>]> = members.into();
        for (index, listener) in listeners.into_iter().enumerate() {
            if let Some(run_token) = members[index].mark_started() {
                let listen_task = listen(Arc::clone(&members), index, Some(listener), run_token);
                tokio::spawn(listen_task);
            }
            tokio::spawn(replicate(Arc::clone(&members), index));
        }
        Ok(Self { service: settings.service, members, shared })
    }

    /// Returns the service that the group belongs to.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// use rudder_standins::{GroupSettings, GroupStandin};
    /// let group = GroupStandin::start(GroupSettings::loopback("orders".parse()?)).await?;
    /// assert_eq!(group.service().as_str(), "orders");
    /// # Ok::<(), Box<dyn std::error::Error>>(()) })?;
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    #[must_use]
    pub fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Returns the members' names and listen addresses.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// use rudder_standins::{GroupSettings, GroupStandin};
    /// let group = GroupStandin::start(GroupSettings::loopback("orders".parse()?)).await?;
    /// assert!(group.members().all(|(_, address)| address.port() != 0));
    /// # Ok::<(), Box<dyn std::error::Error>>(()) })?;
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn members(&self) -> impl Iterator<Item = (&MemberName, SocketAddr)> {
        self.members.iter().map(|member| (&member.name, member.address))
    }

    /// Returns a member's status without a network connection or a slot, so also if the member is
    /// killed or frozen.
    ///
    /// # Errors
    ///
    /// Fails if no member has this name.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// use rudder_standins::{GroupSettings, GroupStandin};
    /// let group = GroupStandin::start(GroupSettings::loopback("orders".parse()?)).await?;
    /// assert_eq!(group.status(&"orders-1".parse()?)?.accepted.0, 1);
    /// # Ok::<(), Box<dyn std::error::Error>>(()) })?;
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn status(&self, member: &MemberName) -> Result<MemberStatus, GroupError> {
        Ok(find(&self.members, member)?.status())
    }

    /// Runs a control statement on a member, as if it had been received over the network.
    ///
    /// # Errors
    ///
    /// Fails if no member has this name or the member rejects the statement.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// use rudder_core::{ControlStatement, LogTerm};
    /// use rudder_standins::{GroupSettings, GroupStandin};
    /// let group = GroupStandin::start(GroupSettings::loopback("orders".parse()?)).await?;
    /// let fence = ControlStatement::Fence(LogTerm(4));
    /// assert_eq!(group.control(&"orders-2".parse()?, &fence)?.accepted, LogTerm(4));
    /// # Ok::<(), Box<dyn std::error::Error>>(()) })?;
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn control(
        &self,
        member: &MemberName,
        statement: &ControlStatement,
    ) -> Result<MemberStatus, GroupError> {
        let member = find(&self.members, member)?;
        member.control(statement).map_err(|error| GroupError::Refused(error.to_string()))
    }

    /// Changes a member's behaviour, for example to inject a fault.
    ///
    /// # Errors
    ///
    /// Fails if no member has this name.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// use rudder_standins::{GroupSettings, GroupStandin, MemberKnob};
    /// use std::time::Duration;
    /// let group = GroupStandin::start(GroupSettings::loopback("orders".parse()?)).await?;
    /// group.turn(&"orders-2".parse()?, MemberKnob::ApplyLag(Duration::from_millis(100)))?;
    /// group.turn(&"orders-1".parse()?, MemberKnob::Kill)?;
    /// # Ok::<(), Box<dyn std::error::Error>>(()) })?;
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn turn(&self, member: &MemberName, knob: MemberKnob) -> Result<(), GroupError> {
        apply_knob(&self.members, find(&self.members, member)?, &knob);
        Ok(())
    }
}

impl Drop for GroupStandin {
    fn drop(&mut self) {
        self.shared.stop.cancel();
    }
}

/// Error of an operation on a group.
#[derive(Clone, Debug, displaydoc::Display, PartialEq, Eq)]
pub enum GroupError {
    /// the group has no member "{0}"
    UnknownMember(MemberName),
    /// the member refused the statement: {0}
    Refused(String),
}

impl std::error::Error for GroupError {}

fn find<'a>(
    members: &'a [Arc<GroupMember>],
    name: &MemberName,
) -> Result<&'a Arc<GroupMember>, GroupError> {
    members
        .iter()
        .find(|member| member.name == *name)
        .ok_or_else(|| GroupError::UnknownMember(name.clone()))
}

fn apply_knob(members: &Arc<[Arc<GroupMember>]>, member: &Arc<GroupMember>, knob: &MemberKnob) {
    match knob {
        MemberKnob::Kill => member.mark_stopped(),
        MemberKnob::Restart => restart(members, member),
        knob => member.apply_knob(knob),
    }
}

fn restart(members: &Arc<[Arc<GroupMember>]>, member: &Arc<GroupMember>) {
    let Some(run_token) = member.mark_started() else { return };
    lock(&member.state).restart();
    let Some(index) = members.iter().position(|other| Arc::ptr_eq(other, member)) else { return };
    tokio::spawn(listen(Arc::clone(members), index, None, run_token));
    member.shared.notify_replication();
}

/// Applies a knob that was received as an SQL statement.
pub(crate) fn apply_knob_command(
    members: &Arc<[Arc<GroupMember>]>,
    receiver: &Arc<GroupMember>,
    command: &KnobCommand,
) -> Result<(), SqlError> {
    let member = match &command.member {
        None => receiver,
        Some(name) => {
            find(members, name).map_err(|error| SqlError::InvalidControl(error.to_string()))?
        }
    };
    apply_knob(members, member, &command.knob);
    Ok(())
}

/// Accepts a member's connections until the member is killed or the group stops.
async fn listen(
    members: Arc<[Arc<GroupMember>]>,
    index: usize,
    listener: Option<TcpListener>,
    run_token: CancellationToken,
) {
    let member = Arc::clone(&members[index]);
    let accept_loop = async {
        let listener = match listener {
            Some(listener) => listener,
            None => rebind_listener(member.address).await,
        };
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    // With Nagle's algorithm, small responses wait for the client's TCP
                    // acknowledgements.
                    if stream.set_nodelay(true).is_ok() {
                        let client =
                            ClientStream::new(Arc::clone(&member), stream, run_token.clone());
                        spawn_connection(&members, &member, client, run_token.clone());
                    }
                }
                Err(error) => {
                    log::warn!(member:% = member.name, error:% = error; "failed to accept a connection");
                    tokio::time::sleep(LISTEN_RETRY).await;
                }
            }
        }
    };
    tokio::select! {
        () = run_token.cancelled() => {}
        () = accept_loop => {}
    }
}

async fn rebind_listener(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(LISTEN_RETRY).await,
        }
    }
}

fn spawn_connection(
    members: &Arc<[Arc<GroupMember>]>,
    member: &Arc<GroupMember>,
    client: ClientStream,
    run_token: CancellationToken,
) {
    let connection_task = serve_connection(Arc::clone(members), Arc::clone(member), client);
    tokio::spawn(async move {
        tokio::select! {
            biased;
            () = run_token.cancelled() => {}
            // A lost client connection is not an error of the member.
            _ = connection_task => {}
        }
    });
}
