//! What all parts of one instance share.

use crate::clock::boot_time;
use crate::group::{GroupMember, MemberEntry, ServiceGroup};
use crate::identity::{DrainPhase, EngineBorders, InstanceIdentity};
use crate::lead::{LeadPermit, LeadRecord, LeaderEpoch};
use crate::own_seat::OwnSeat;
use crate::peers::{CopyVersion, FleetCopy, PeerBoard};
use crate::records_word::RecordsWord;
use crate::session::CallerSession;
use crate::settings::{DatabaseName, FleetSettings, RouteRule, SettingsVersion};
use crate::statement::StatementError;
use crate::store_word::StoreWord;
use crate::sync::lock;
use rudder_core::{DomainName, InstanceName, ServiceName};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{Notify, watch};

/// How long a new caller waits for the first settings of an instance that just started. Callers
/// give up after two seconds.
const FIRST_SETTINGS_WAIT: Duration = Duration::from_millis(1500);

/// The age of the store's word, as a reader has it, from which on the others ask the store
/// themselves. A reader's watch answers every 1.2 s and its word is passed on every 0.5 s; settings
/// must be in force within 3 s, also where the reader has just died.
const FEED_AGE_MAX: Duration = Duration::from_millis(2200);

/// What is taken off the time for which a leaving member may be sent work: an instance learns up to
/// 1.2 s later that it leaves, and a statement is some hundred ms under way.
const LEAVE_MARGIN: Duration = Duration::from_millis(2000);

/// Idle time of transactions before the settings say it.
const TRANSACTION_IDLE: Duration = Duration::from_secs(3);

/// One instance of the proxy.
pub struct ProxyEngine {
    identity: InstanceIdentity,
    /// Drawn at the start; tells this process from the instance's earlier and later ones.
    process: u64,
    borders: EngineBorders,
    settings: watch::Sender<Option<Arc<FleetSettings>>>,
    /// Sorted by service.
    groups: Mutex<Vec<Arc<ServiceGroup>>>,
    store_word: Mutex<StoreWord>,
    board: PeerBoard,
    drain: watch::Sender<DrainPhase>,
    position_wanted: Notify,
    own_seat: Mutex<OwnSeat>,
    /// Tells that this instance has entered the list.
    list_entered: Notify,
    /// Whether a peer's copy is being fetched.
    fetching: AtomicBool,
    records_word: Mutex<RecordsWord>,
    /// Tells that callers wait for word of the primaries.
    word_wanted: Notify,
}

impl ProxyEngine {
    pub(crate) fn new(identity: InstanceIdentity, borders: EngineBorders) -> Arc<Self> {
        Arc::new(Self {
            board: PeerBoard::new(&identity),
            identity,
            process: rand::random(),
            borders,
            settings: watch::Sender::new(None),
            groups: Mutex::default(),
            store_word: Mutex::default(),
            drain: watch::Sender::new(DrainPhase::Serving),
            position_wanted: Notify::new(),
            own_seat: Mutex::default(),
            list_entered: Notify::new(),
            fetching: AtomicBool::new(false),
            records_word: Mutex::default(),
            word_wanted: Notify::new(),
        })
    }

    /// Takes in that the list showed this instance at `listed_at`, or did not.
    pub(crate) fn set_listed(&self, listed_at: Option<Duration>) {
        let entered = match listed_at {
            Some(listed_at) => lock(&self.own_seat).show(listed_at, boot_time()),
            None => {
                lock(&self.own_seat).hide();
                false
            }
        };
        if entered {
            self.list_entered.notify_one();
        }
    }

    /// Takes in a peer's word that the list showed this instance at `listed_at`. It renews what the
    /// store itself has said before, and does not stand in for it.
    pub(crate) fn renew_listed(&self, listed_at: Duration) {
        lock(&self.own_seat).renew(listed_at);
    }

    /// Waits until this instance has entered the list.
    pub(crate) async fn list_entered(&self) {
        self.list_entered.notified().await;
    }

    /// Whether this caller is the one to fetch a peer's copy.
    pub(crate) fn may_fetch_copy(&self) -> bool {
        !self.fetching.swap(true, Ordering::AcqRel)
    }

    pub(crate) fn end_fetch_copy(&self) {
        self.fetching.store(false, Ordering::Release);
    }

    /// Takes in which services have a record, by this process's own question of `asked_at`.
    pub(crate) fn note_records_read(&self, recorded: &[ServiceName], asked_at: Duration) {
        let services = self.groups().into_iter().map(|group| group.service().clone());
        let without = services.filter(|service| !recorded.contains(service)).collect();
        lock(&self.records_word).note_read(without, asked_at);
    }

    /// Takes in a peer's word that it had read all records at `read_at`.
    pub(crate) fn note_records_told(&self, read_at: Duration) {
        lock(&self.records_word).note_told(read_at);
    }

    /// What is known of the records as a whole.
    pub(crate) fn records_word(&self) -> RecordsWord {
        lock(&self.records_word).clone()
    }

    /// Whether this process has read the records from the store itself.
    pub(crate) fn has_read_records(&self) -> bool {
        lock(&self.records_word).read_at().is_some()
    }

    /// Asks for word of the primaries now.
    pub(crate) fn want_word(&self) {
        self.word_wanted.notify_one();
    }

    /// Waits until word of the primaries is wanted.
    pub(crate) async fn word_wanted(&self) {
        self.word_wanted.notified().await;
    }

    /// Whether what the store or a peer said at `said_at` may give this process permits.
    ///
    /// Guards against a permit that no change of primary waits for. An instance that the store does
    /// not list yet, or may list no more, is not asked to stop. And one that stopped, was killed
    /// and started again does not know that it stopped: a peer that is behind may tell it of the
    /// version before, so it needs the store's own word first.
    fn may_lead_by(&self, said_at: Duration) -> bool {
        lock(&self.own_seat).may_lead_by(said_at, boot_time()) && self.has_read_records()
    }

    /// Takes in that most instances knew of no later version at `vouched_at`.
    pub(crate) fn vouch(&self, service: &ServiceName, epoch: LeaderEpoch, vouched_at: Duration) {
        if self.may_lead_by(vouched_at) {
            self.group(service).vouch(epoch, vouched_at);
        }
    }

    /// Whether the store's last list had no record of a service.
    pub(crate) fn is_recordless(&self, service: &ServiceName) -> bool {
        lock(&self.records_word).lacks(service)
    }

    /// Takes in a record that was in place at `confirmed_at` or later.
    pub(crate) fn observe(
        &self,
        service: &ServiceName,
        record: &LeadRecord,
        confirmed_at: Duration,
    ) -> bool {
        let counts = self.may_lead_by(confirmed_at);
        let confirmed_at = if counts { confirmed_at } else { Duration::ZERO };
        self.group(service).observe(record, confirmed_at)
    }

    pub(crate) fn identity(&self) -> &InstanceIdentity {
        &self.identity
    }

    pub(crate) fn process(&self) -> u64 {
        self.process
    }

    /// The region of a failure domain; empty if it is not known.
    pub(crate) fn region_of(&self, domain: &DomainName) -> String {
        let regions = &self.identity.regions;
        let found = regions.binary_search_by(|(known, _)| known.cmp(domain));
        found.map_or_else(|_| String::new(), |index| regions[index].1.clone())
    }

    /// Whether this instance reads the store for others as well, and so often.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        self.board.is_reader()
    }

    /// The name of this instance.
    #[must_use]
    pub fn identity_name(&self) -> &InstanceName {
        &self.identity.name
    }

    pub(crate) fn borders(&self) -> &EngineBorders {
        &self.borders
    }

    pub(crate) fn board(&self) -> &PeerBoard {
        &self.board
    }

    /// Whether this instance knows enough to serve.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let led = self.groups().iter().any(|group| !group.members().is_empty());
        self.settings.borrow().is_some() && led && self.drain_phase() == DrainPhase::Serving
    }

    /// Whether this instance goes on serving.
    #[must_use]
    pub fn drain_phase(&self) -> DrainPhase {
        *self.drain.borrow()
    }

    /// Tells when that changes.
    #[must_use]
    pub fn watch_drain(&self) -> watch::Receiver<DrainPhase> {
        self.drain.subscribe()
    }

    pub(crate) fn set_drain(&self, phase: DrainPhase) {
        self.drain.send_replace(phase);
    }

    /// Takes in a version of the settings; an older one than is in force is dropped.
    pub fn apply_settings(&self, settings: FleetSettings) {
        let known = self.settings_version();
        if known.is_some_and(|known| settings.version <= known) {
            return;
        }
        log::info!(
            version:% = settings.version, routes = settings.routes.len(),
            services = settings.services.len(); "settings are in force"
        );
        self.settings.send_replace(Some(Arc::new(settings)));
    }

    /// The version in force.
    #[must_use]
    pub fn settings_version(&self) -> Option<SettingsVersion> {
        self.settings.borrow().as_ref().map(|settings| settings.version)
    }

    pub(crate) fn settings(&self) -> Option<Arc<FleetSettings>> {
        self.settings.borrow().clone()
    }

    pub(crate) fn route(&self, database: &DatabaseName) -> Option<Arc<RouteRule>> {
        self.settings.borrow().as_ref()?.route(database).cloned()
    }

    pub(crate) fn transaction_idle(&self) -> Duration {
        let settings = self.settings.borrow();
        settings.as_ref().map_or(TRANSACTION_IDLE, |settings| settings.transaction_idle)
    }

    /// Takes in the members of all services, as the store has them at `revision`.
    pub fn apply_members(&self, entries: &[MemberEntry], revision: u64) {
        self.confirm_members();
        let changed = lock(&self.store_word).take_members(entries, revision);
        if changed {
            self.spread_members(entries, "store");
        }
    }

    /// Takes in what a peer knows, as far as it is newer.
    pub(crate) fn apply_copy(&self, copy: FleetCopy) {
        self.apply_settings(copy.settings);
        let changed = lock(&self.store_word).take_copy(&copy.members, copy.members_version);
        if changed {
            self.spread_members(&copy.members, "peer");
        }
    }

    /// What this instance knows of the store's word, for a peer; none before the first settings.
    pub(crate) fn fleet_copy(&self) -> Option<FleetCopy> {
        let settings = self.settings()?.as_ref().clone();
        let word = lock(&self.store_word);
        let (members, members_version) = word.members();
        Some(FleetCopy { settings, members: members.to_vec(), members_version })
    }

    /// The primary of a group, if it may be sent work, and the permission to answer for it.
    ///
    /// Guards against a leaving primary that is sent work until it ends: while too few instances
    /// hear each other to change it, nothing else takes it out of use, and statements under way as
    /// it ends are lost.
    pub(crate) fn leader(&self, group: &ServiceGroup) -> Option<(Arc<GroupMember>, LeadPermit)> {
        group.leader().filter(|(member, _)| !member.has_left(self.leave_limit()))
    }

    /// How long a member that says it is leaving is sent work.
    pub(crate) fn leave_limit(&self) -> Duration {
        self.identity.member_drain.saturating_sub(LEAVE_MARGIN)
    }

    /// The versions of settings and members that are known.
    pub(crate) fn copy_version(&self) -> CopyVersion {
        let settings = self.settings_version().unwrap_or_default();
        CopyVersion { settings, members: lock(&self.store_word).members().1 }
    }

    fn spread_members(&self, entries: &[MemberEntry], source: &str) {
        log::info!(members = entries.len(), source = source; "the list of members changed");
        let mut services: Vec<ServiceName> =
            entries.iter().map(|entry| entry.target.service.clone()).collect();
        services.sort_unstable();
        services.dedup();
        for service in &services {
            self.group(service);
        }
        for group in self.groups() {
            let of_group = |entry: &&MemberEntry| entry.target.service == *group.service();
            let own: Vec<MemberEntry> = entries.iter().filter(of_group).cloned().collect();
            group.set_members(&own, &self.borders.dialer);
        }
    }

    /// Takes in that the list of members is current.
    pub fn confirm_members(&self) {
        lock(&self.store_word).confirm_members(boot_time());
    }

    /// Takes in that the settings in force are current.
    pub fn confirm_settings(&self) {
        lock(&self.store_word).confirm_settings(boot_time());
    }

    /// When the list of members was last known to be current.
    pub(crate) fn members_confirmed_at(&self) -> Option<Duration> {
        lock(&self.store_word).members_at()
    }

    /// When the store last said that members and settings are current.
    pub(crate) fn store_confirmed_at(&self) -> Option<Duration> {
        lock(&self.store_word).confirmed_at()
    }

    /// Whether peers tell this instance in time of what the store says, so that it need not ask.
    #[must_use]
    pub fn is_fed(&self) -> bool {
        let fed_at = self.board.fed_at();
        fed_at.is_some_and(|at| boot_time() < at + FEED_AGE_MAX) && !self.board.is_reader()
    }

    /// The group of a service; made if it is new.
    pub(crate) fn group(&self, service: &ServiceName) -> Arc<ServiceGroup> {
        let mut groups = lock(&self.groups);
        match groups.binary_search_by(|group| group.service().cmp(service)) {
            Ok(index) => Arc::clone(&groups[index]),
            Err(index) => {
                let group = ServiceGroup::new(service.clone());
                groups.insert(index, Arc::clone(&group));
                group
            }
        }
    }

    pub(crate) fn groups(&self) -> Vec<Arc<ServiceGroup>> {
        lock(&self.groups).clone()
    }

    /// Asks the watches of the primaries for positions now.
    pub(crate) fn want_position(&self) {
        self.position_wanted.notify_waiters();
    }

    /// Waits until a position is wanted, at most until `limit` is over.
    pub(crate) async fn position_wanted(&self, limit: Duration) {
        let wanted = self.position_wanted.notified();
        // Over means that nobody asked; the caller looks again in either case.
        let _ = tokio::time::timeout(limit, wanted).await;
    }

    /// Opens a caller's session.
    ///
    /// # Errors
    ///
    /// [`StatementError::NoDatabase`] if the settings know no such database,
    /// [`StatementError::Busy`] if there are no settings yet.
    pub async fn open_session(
        self: &Arc<Self>,
        database: DatabaseName,
    ) -> Result<CallerSession, StatementError> {
        let mut settings = self.settings.subscribe();
        let known = settings.wait_for(Option::is_some);
        match tokio::time::timeout(FIRST_SETTINGS_WAIT, known).await {
            Ok(Ok(settings)) => {
                if settings.as_ref().is_none_or(|settings| settings.route(&database).is_none()) {
                    return Err(StatementError::NoDatabase);
                }
            }
            Ok(Err(_)) | Err(_) => return Err(StatementError::Busy),
        }
        Ok(CallerSession::new(Arc::clone(self), database))
    }
}
