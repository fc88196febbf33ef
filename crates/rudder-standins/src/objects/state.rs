//! Objects, revisions and faults of the object store.

use rudder_core::plain_data;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::net::TcpListener;
use tokio::sync::watch;

plain_data! {
    /// Order to promote a member, as received.
    pub struct PromotionRequest {
        /// Service of the member.
        pub service: String,
        /// Member to promote.
        pub member: String,
        /// Instance that sent the order.
        pub holder: String,
        /// Fencing token.
        pub token: u64,
    }
}

/// Callback for promotions. Returns whether the member accepted the promotion.
pub type PromotionSink = Arc<dyn Fn(&PromotionRequest) -> bool + Send + Sync>;

/// Fault of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ObjectsFault {
    /// No fault.
    None,
    /// Rejects every call as unavailable, without effect.
    Busy,
    /// Carries out every write but sends no response to it.
    LostWrites,
}

/// Kind of a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ObjectsCall {
    /// Lists all objects of a kind, up to date.
    List,
    /// Lists all objects of a kind; the caller accepts a result that is some seconds old.
    CachedList,
    /// Waits for changes of a kind.
    Watch,
    /// Reads one object.
    Get,
    /// Creates, replaces or removes one object.
    Write,
}

#[derive(Clone, Debug)]
pub(super) struct ObjectRow {
    pub(super) kind: String,
    pub(super) name: String,
    pub(super) revision: u64,
    pub(super) created: u64,
    pub(super) spec: Value,
    /// Content and status as another writer left them, which need not be valid JSON.
    pub(super) foreign: Option<(Vec<u8>, Vec<u8>)>,
}

impl ObjectRow {
    /// Returns the object as it is sent.
    pub(super) fn to_bytes(&self) -> Vec<u8> {
        let meta = json!({
            "name": self.name, "revision": self.revision, "created": self.created,
            "finalizers": [], "deletionPending": false,
        });
        let (spec, status) = match &self.foreign {
            Some((spec, status)) => (spec.clone(), status.clone()),
            None => (self.spec.to_string().into_bytes(), b"null".to_vec()),
        };
        let meta = meta.to_string().into_bytes();
        [b"{\"meta\":", &*meta, b",\"spec\":", &spec, b",\"status\":", &status, b"}"].concat()
    }
}

#[derive(Clone, Debug)]
pub(super) struct ObjectEvent {
    pub(super) row: ObjectRow,
    pub(super) removed: bool,
}

#[derive(Default)]
pub(super) struct ObjectsState {
    /// Objects, sorted by kind and name.
    pub(super) rows: Vec<ObjectRow>,
    pub(super) events: Vec<ObjectEvent>,
    pub(super) revision: u64,
    pub(super) fault: Option<ObjectsFault>,
    /// Number of calls, sorted by kind of call.
    pub(super) calls: Vec<(ObjectsCall, u64)>,
}

impl ObjectsState {
    pub(super) fn count_call(&mut self, call: ObjectsCall) {
        match self.calls.binary_search_by(|(known, _)| known.cmp(&call)) {
            Ok(index) => self.calls[index].1 += 1,
            Err(index) => self.calls.insert(index, (call, 1)),
        }
    }

    pub(super) fn find(&self, kind: &str, name: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| (row.kind.as_str(), row.name.as_str()).cmp(&(kind, name)))
    }

    /// Creates or replaces an object. An unchanged object keeps its revision.
    pub(super) fn put(&mut self, kind: &str, name: &str, spec: Value) -> ObjectRow {
        let found = self.find(kind, name);
        if let Ok(index) = found
            && self.rows[index].spec == spec
            && self.rows[index].foreign.is_none()
        {
            return self.rows[index].clone();
        }
        self.insert(kind, name, spec, None)
    }

    /// Creates or replaces an object with a new revision.
    pub(super) fn insert(
        &mut self,
        kind: &str,
        name: &str,
        spec: Value,
        foreign: Option<(Vec<u8>, Vec<u8>)>,
    ) -> ObjectRow {
        let found = self.find(kind, name);
        self.revision += 1;
        let created = found.map_or(self.revision, |index| self.rows[index].created);
        let (kind, name) = (kind.to_owned(), name.to_owned());
        let row = ObjectRow { kind, name, revision: self.revision, created, spec, foreign };
        match found {
            Ok(index) => self.rows[index] = row.clone(),
            Err(index) => self.rows.insert(index, row.clone()),
        }
        self.events.push(ObjectEvent { row: row.clone(), removed: false });
        row
    }

    pub(super) fn remove(&mut self, kind: &str, name: &str) {
        if let Ok(index) = self.find(kind, name) {
            let mut row = self.rows.remove(index);
            self.revision += 1;
            row.revision = self.revision;
            self.events.push(ObjectEvent { row, removed: true });
        }
    }
}

/// A running object store. It stops with the runtime that started it.
#[derive(Clone)]
pub struct ObjectsStandin {
    address: SocketAddr,
    pub(super) shared: Arc<ObjectsShared>,
}

pub(super) struct ObjectsShared {
    pub(super) state: Mutex<ObjectsState>,
    /// Notifies watchers of the newest revision.
    pub(super) changed: watch::Sender<u64>,
    pub(super) promotions: PromotionSink,
}

impl ObjectsShared {
    pub(super) fn state(&self) -> MutexGuard<'_, ObjectsState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn notify_watchers(&self) {
        let revision = self.state().revision;
        self.changed.send_replace(revision);
    }
}

impl ObjectsStandin {
    /// Starts the store on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is available.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// let store = rudder_standins::ObjectsStandin::start(std::sync::Arc::new(|_| true)).await?;
    /// store.put("config", "main", serde_json::json!({"version": 1}));
    /// assert!(store.address().ip().is_loopback());
    /// # Ok::<(), std::io::Error>(())
    /// # })?;
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub async fn start(promotions: PromotionSink) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(ObjectsShared {
            state: Mutex::default(),
            changed: watch::Sender::new(0),
            promotions,
        });
        let router = super::routes::router(Arc::clone(&shared));
        tokio::spawn(async move {
            if let Err(error) = axum::serve(listener, router).await {
                log::error!(reason:% = error; "the objects stand-in stopped");
            }
        });
        Ok(Self { address, shared })
    }

    /// Returns the address on which the store listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes an object as an operator or a member would.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.shared.state().put(kind, name, spec);
        self.shared.notify_watchers();
    }

    /// Writes an object whose content and status are these bytes, valid JSON or not, as a writer of
    /// another system would.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// let store = rudder_standins::ObjectsStandin::start(std::sync::Arc::new(|_| true)).await?;
    /// store.put_bytes("servers", "stranger", b"{\"capacity\": NaN}", b"null");
    /// assert!(store.get("servers", "stranger").is_some_and(|spec| spec.is_null()));
    /// # Ok::<(), std::io::Error>(())
    /// # })?;
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn put_bytes(&self, kind: &str, name: &str, spec: &[u8], status: &[u8]) {
        let foreign = Some((spec.to_vec(), status.to_vec()));
        self.shared.state().insert(kind, name, Value::Null, foreign);
        self.shared.notify_watchers();
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        self.shared.state().remove(kind, name);
        self.shared.notify_watchers();
    }

    /// Returns the content of an object.
    #[must_use]
    pub fn get(&self, kind: &str, name: &str) -> Option<Value> {
        let state = self.shared.state();
        state.find(kind, name).ok().map(|index| state.rows[index].spec.clone())
    }

    /// Returns the number of calls of a kind, failed ones included.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// use rudder_standins::ObjectsCall;
    /// let store = rudder_standins::ObjectsStandin::start(std::sync::Arc::new(|_| true)).await?;
    /// assert_eq!(store.calls(ObjectsCall::List), 0);
    /// # Ok::<(), std::io::Error>(())
    /// # })?;
    /// # Ok::<(), std::io::Error>(())
    /// ```
    #[must_use]
    pub fn calls(&self, call: ObjectsCall) -> u64 {
        let state = self.shared.state();
        let found = state.calls.binary_search_by(|(known, _)| known.cmp(&call));
        found.map_or(0, |index| state.calls[index].1)
    }

    /// Sets the fault of the store.
    pub fn set_fault(&self, fault: ObjectsFault) {
        self.shared.state().fault = Some(fault);
    }
}
