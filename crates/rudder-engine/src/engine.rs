//! State that all parts of one instance share.

mod fleet;
mod invalid;
mod leadership;

pub(crate) use invalid::shorten;

use crate::callers::CallerMemory;
use crate::clock::boot_time;
use crate::forwarding::ForwardingState;
use crate::forwarding::holders::HolderTable;
use crate::group::{ConnectionLoans, GroupMember, ServiceGroup};
use crate::identity::{DrainPhase, EngineDependencies, InstanceIdentity};
use crate::lead::LeaderLease;
use crate::limits::AccountLimits;
use crate::own_entry::OwnEntry;
use crate::peers::{
    EncodedCopy, EncodedRecords, MembershipView, PeerExchange, PendingCopy, RecordsDigest,
};
use crate::records_status::RecordsStatus;
use crate::session::CallerSession;
use crate::settings::{DatabaseName, FleetSettings, KeyDigest, RouteRule, SettingsVersion};
use crate::statement::StatementError;
use crate::store_snapshot::StoreSnapshot;
use crate::sync::lock;
use rudder_core::{AccountName, InstanceName, ServiceName, plain_data};
use rudder_decisions::{MemoryReservation, WatchPlan};
use rudder_store::{InvalidNames, ObjectVersion};
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;
use tokio::sync::{Notify, watch};

/// Maximum time a new caller waits for the first settings of an instance that has just started.
/// Must stay below two seconds, after which callers give up.
const FIRST_SETTINGS_TIMEOUT: Duration = Duration::from_millis(1500);

/// Margin subtracted from the time for which a leaving member may be sent statements: an instance
/// learns of the shutdown up to 1.2 s late, and a statement can be in flight for several hundred
/// milliseconds.
const LEAVING_USE_MARGIN: Duration = Duration::from_millis(2000);

/// Idle timeout of transactions until settings are in force.
const DEFAULT_TRANSACTION_IDLE_TIMEOUT: Duration = Duration::from_secs(3);

plain_data! {
    /// Route and client account that a caller may use.
    pub(crate) struct RouteAccess {
        pub(crate) route: Arc<RouteRule>,
        /// Client account of the caller's key; none on public routes and if the settings define no
        /// accounts.
        pub(crate) account: Option<AccountName>,
    }
}

/// One instance of the proxy.
pub struct ProxyEngine {
    identity: InstanceIdentity,
    /// Random identifier that distinguishes this process from earlier and later processes of the
    /// same instance.
    process: u64,
    dependencies: EngineDependencies,
    settings: watch::Sender<Option<Arc<FleetSettings>>>,
    /// Sorted by service. Shared, as each pass over all services takes it.
    groups: Mutex<Arc<Vec<Arc<ServiceGroup>>>>,
    store_snapshot: Mutex<StoreSnapshot>,
    /// Number of changes of the list of members.
    member_changes: AtomicU64,
    membership: MembershipView,
    drain: watch::Sender<DrainPhase>,
    own_entry: Mutex<OwnEntry>,
    /// Store version of this instance's entry as last written or found.
    entry_version: Mutex<Option<ObjectVersion>>,
    /// Notified when this instance's entry is in the list of instances.
    wait_registered: Notify,
    /// Whether this process has tried to read a list of other instances.
    contacts_read: watch::Sender<bool>,
    /// Whether a peer's copy is being fetched.
    copy_fetch_running: AtomicBool,
    records_status: Mutex<RecordsStatus>,
    /// Digest of the versions of all known records.
    records_digest: Mutex<RecordsDigest>,
    /// Whether the records as of this process's registration are known.
    records_known: AtomicBool,
    encoded_records: EncodedRecords,
    encoded_copy: EncodedCopy,
    /// Time at which all records were last fetched from a peer.
    records_fetched_at: Mutex<Option<Duration>>,
    limits: AccountLimits,
    forwarding: ForwardingState,
    loans: ConnectionLoans,
    /// Datagram exchange with other instances; set at the start.
    exchange: OnceLock<PeerExchange>,
    pending_copy: PendingCopy,
    /// Notified when callers wait for current records of the primaries.
    wait_records_request: Notify,
    holders: HolderTable,
    caller_memory: CallerMemory,
    /// Invalid objects of the store that have been logged.
    invalid_objects: Mutex<InvalidNames>,
}

impl ProxyEngine {
    pub(crate) fn new(identity: InstanceIdentity, dependencies: EngineDependencies) -> Arc<Self> {
        Arc::new(Self {
            membership: MembershipView::new(&identity),
            limits: AccountLimits::new(identity.domain.clone()),
            caller_memory: CallerMemory::new(&identity.machine),
            identity,
            process: rand::random(),
            dependencies,
            settings: watch::Sender::new(None),
            groups: Mutex::default(),
            store_snapshot: Mutex::default(),
            member_changes: AtomicU64::new(0),
            drain: watch::Sender::new(DrainPhase::Serving),
            own_entry: Mutex::default(),
            invalid_objects: Mutex::default(),
            entry_version: Mutex::default(),
            wait_registered: Notify::new(),
            contacts_read: watch::Sender::new(false),
            copy_fetch_running: AtomicBool::new(false),
            records_status: Mutex::default(),
            records_digest: Mutex::default(),
            records_known: AtomicBool::new(false),
            encoded_records: EncodedRecords::default(),
            encoded_copy: EncodedCopy::default(),
            records_fetched_at: Mutex::default(),
            forwarding: ForwardingState::default(),
            loans: ConnectionLoans::new(),
            exchange: OnceLock::new(),
            pending_copy: PendingCopy::default(),
            wait_records_request: Notify::new(),
            holders: HolderTable::default(),
        })
    }

    pub(crate) fn identity(&self) -> &InstanceIdentity {
        &self.identity
    }

    pub(crate) fn process(&self) -> u64 {
        self.process
    }

    /// Returns whether this instance polls the store on behalf of the whole fleet.
    #[must_use]
    pub fn is_fleet_reader(&self) -> bool {
        self.membership.is_fleet_reader()
    }

    /// Returns whether this instance is a hub: one of those of its failure domain from which the
    /// others receive the store's contents.
    #[must_use]
    pub fn is_hub(&self) -> bool {
        self.membership.is_hub()
    }

    /// Waits until this process has tried to read a list of other instances, at most for `limit`.
    /// Until then each process takes itself for a hub.
    pub async fn wait_contacts_read(&self, limit: Duration) {
        let mut contacts_read = self.contacts_read.subscribe();
        // After a timeout this instance acts on its own.
        let _ = tokio::time::timeout(limit, contacts_read.wait_for(|read| *read)).await;
    }

    pub(crate) fn record_contacts_read(&self) {
        self.contacts_read.send_replace(true);
    }

    /// Returns the name of this instance.
    #[must_use]
    pub fn identity_name(&self) -> &InstanceName {
        &self.identity.name
    }

    pub(crate) fn dependencies(&self) -> &EngineDependencies {
        &self.dependencies
    }

    /// Sets the exchange through which datagrams are sent to other instances.
    pub(crate) fn set_exchange(&self, exchange: PeerExchange) {
        if self.exchange.set(exchange).is_err() {
            log::error!("the exchange with peers was set twice");
        }
    }

    pub(crate) fn exchange(&self) -> Option<&PeerExchange> {
        self.exchange.get()
    }

    /// Returns the records as they were last encoded.
    pub(crate) fn encoded_records(&self) -> &EncodedRecords {
        &self.encoded_records
    }

    /// Returns the copy of the store's state as it was last encoded.
    pub(crate) fn encoded_copy(&self) -> &EncodedCopy {
        &self.encoded_copy
    }

    pub(crate) fn pending_copy(&self) -> &PendingCopy {
        &self.pending_copy
    }

    /// Returns the limits of client accounts.
    pub(crate) fn limits(&self) -> &AccountLimits {
        &self.limits
    }

    /// Returns the budgets for the memory of callers.
    pub(crate) fn caller_memory(&self) -> &CallerMemory {
        &self.caller_memory
    }

    /// Returns the reservation for the input of one caller's connection.
    #[must_use]
    pub fn input_reservation(&self) -> MemoryReservation {
        self.caller_memory.input_reservation()
    }

    /// Returns the state of forwarding to and from other instances.
    pub(crate) fn forwarding(&self) -> &ForwardingState {
        &self.forwarding
    }

    /// Returns the holders of the connections of client accounts.
    pub(crate) fn holders(&self) -> &HolderTable {
        &self.holders
    }

    /// Returns the loans of connections between instances.
    pub(crate) fn loans(&self) -> &ConnectionLoans {
        &self.loans
    }

    pub(crate) fn membership(&self) -> &MembershipView {
        &self.membership
    }

    /// Returns whether this instance can serve callers: it has settings and members and is not
    /// shutting down.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let led = self.groups().iter().any(|group| !group.members().is_empty());
        self.settings.borrow().is_some() && led && self.drain_phase() == DrainPhase::Serving
    }

    /// Returns the phase of this instance's shutdown.
    #[must_use]
    pub fn drain_phase(&self) -> DrainPhase {
        *self.drain.borrow()
    }

    /// Returns a receiver for changes of the shutdown phase.
    #[must_use]
    pub fn watch_drain(&self) -> watch::Receiver<DrainPhase> {
        self.drain.subscribe()
    }

    pub(crate) fn set_drain_phase(&self, phase: DrainPhase) {
        self.drain.send_replace(phase);
    }

    /// Returns the version of the settings in force.
    #[must_use]
    pub fn settings_version(&self) -> Option<SettingsVersion> {
        self.settings.borrow().as_ref().map(|settings| settings.version)
    }

    pub(crate) fn settings(&self) -> Option<Arc<FleetSettings>> {
        self.settings.borrow().clone()
    }

    /// Returns the number of replicas that receive a commit of a service before it is acknowledged.
    pub(crate) fn sync_replicas(&self, service: &ServiceName) -> u32 {
        let Some(settings) = self.settings() else { return 0 };
        let rules = &settings.services;
        let found = rules.binary_search_by(|rule| rule.service.cmp(service));
        found.map_or(0, |index| rules[index].sync_replicas)
    }

    /// Returns the route and account that the settings in force grant to the holder of a key.
    pub(crate) fn access(
        &self,
        database: &DatabaseName,
        key: &KeyDigest,
    ) -> Result<RouteAccess, StatementError> {
        let settings = self.settings.borrow();
        let settings = settings.as_ref().ok_or(StatementError::Busy)?;
        let route = settings.route(database).ok_or(StatementError::NoDatabase)?;
        let account = match &settings.accounts {
            Some(accounts) if !route.is_public => {
                self.check_key_validity()?;
                let rule = accounts.holder(key).ok_or(StatementError::Unauthorized)?;
                Some(rule.name.clone())
            }
            Some(_) | None => None,
        };
        Ok(RouteAccess { route: Arc::clone(route), account })
    }

    /// Rejects callers with keys if the settings have been unconfirmed for longer than the
    /// deployment allows, as a key may have been revoked meanwhile.
    fn check_key_validity(&self) -> Result<(), StatementError> {
        let Some(validity) = self.identity.key_validity else { return Ok(()) };
        let settings_at = lock(&self.store_snapshot).settings_at();
        let trusted = settings_at.is_some_and(|at| boot_time() < at + validity);
        if trusted { Ok(()) } else { Err(StatementError::Busy) }
    }

    pub(crate) fn transaction_idle(&self) -> Duration {
        let settings = self.settings.borrow();
        settings
            .as_ref()
            .map_or(DEFAULT_TRANSACTION_IDLE_TIMEOUT, |settings| settings.transaction_idle)
    }

    /// Returns the primary of a group and the lease on it, unless it has been leaving for too long.
    /// Without a quorum that could replace a leaving primary, nothing else takes it out of use, and
    /// statements in flight are lost when it stops.
    pub(crate) fn serving_primary(
        &self,
        group: &ServiceGroup,
    ) -> Option<(Arc<GroupMember>, LeaderLease)> {
        group.leader().filter(|(member, _)| !member.has_drained_for(self.leaving_use_limit()))
    }

    /// Returns the time for which a member that announced its shutdown is sent statements.
    pub(crate) fn leaving_use_limit(&self) -> Duration {
        self.identity.member_drain.saturating_sub(LEAVING_USE_MARGIN)
    }

    /// Returns the group of a service, creating it if needed.
    pub(crate) fn group(&self, service: &ServiceName) -> Arc<ServiceGroup> {
        let mut groups = lock(&self.groups);
        match groups.binary_search_by(|group| group.service().cmp(service)) {
            Ok(index) => Arc::clone(&groups[index]),
            Err(index) => {
                let group = ServiceGroup::new(service.clone());
                Arc::make_mut(&mut *groups).insert(index, Arc::clone(&group));
                group
            }
        }
    }

    pub(crate) fn groups(&self) -> Arc<Vec<Arc<ServiceGroup>>> {
        Arc::clone(&lock(&self.groups))
    }

    /// Requests a sample of the primary's position from each watch of this instance that has none.
    pub(crate) fn request_missing_positions(&self) {
        if !self.watch_plan().is_close() {
            return;
        }
        for group in self.groups().iter().filter(|group| group.newest_sample().is_none()) {
            group.request_position();
        }
    }

    /// Returns how the readers share the watch of the primaries.
    pub(crate) fn watch_plan(&self) -> WatchPlan {
        let services = lock(&self.groups).len();
        self.membership.watch_plan(services)
    }

    /// Opens a session for a caller.
    ///
    /// # Errors
    ///
    /// [`StatementError::NoDatabase`] if the settings define no such database,
    /// [`StatementError::Unauthorized`] if no client account has the key,
    /// [`StatementError::Busy`] if there are no settings yet, or if the settings have been
    /// unconfirmed for so long that keys are no longer trusted.
    pub async fn open_session(
        self: &Arc<Self>,
        database: DatabaseName,
        key: KeyDigest,
    ) -> Result<CallerSession, StatementError> {
        let mut settings = self.settings.subscribe();
        let known = settings.wait_for(Option::is_some);
        match tokio::time::timeout(FIRST_SETTINGS_TIMEOUT, known).await {
            Ok(Ok(_)) => {}
            Ok(Err(_)) | Err(_) => return Err(StatementError::Busy),
        }
        if let Err(error) = self.access(&database, &key) {
            log::info!(database:% = database, reason:% = error; "a session was refused");
            return Err(error);
        }
        Ok(CallerSession::new(Arc::clone(self), database, key))
    }
}
