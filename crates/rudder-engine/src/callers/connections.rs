//! Connections of callers, and the notification of those that are closed to make room.

use crate::sync::lock;
use rudder_decisions::{ConnectionDecision, ConnectionPhase, ConnectionTable, LogThrottle};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Connections to one address of this instance.
#[derive(Clone)]
pub struct CallerConnections(Arc<Mutex<ConnectionState>>);

struct ConnectionState {
    table: ConnectionTable,
    /// Notifications that tell a connection to close, sorted by id.
    closers: Vec<(u64, Arc<Notify>)>,
    /// Label of the address in metrics and logs.
    address: &'static str,
    throttle: LogThrottle,
}

impl ConnectionState {
    fn close(&mut self, ids: &[u64], reason: &'static str) {
        for id in ids {
            if let Ok(index) = self.closers.binary_search_by_key(id, |(known, _)| *known) {
                self.closers[index].1.notify_one();
            }
        }
        self.record_closed(ids.len() as u64, reason);
    }

    /// Counts and logs connections that were closed or refused.
    fn record_closed(&mut self, count: u64, reason: &'static str) {
        if count == 0 {
            return;
        }
        metrics::counter!(
            "rudder_connections_closed_total", "address" => self.address, "reason" => reason
        )
        .increment(count);
        if let Some(count) = self.throttle.record(count, Instant::now()) {
            log::warn!(
                address = self.address, reason = reason, count = count, open = self.table.len(),
                outcome = "closed"; "connections were closed, as there is no room for all"
            );
        }
    }
}

impl CallerConnections {
    /// Creates an empty set of at most `max` connections; `address` is its label in metrics and
    /// logs.
    ///
    /// ```
    /// let connections = rudder_engine::CallerConnections::new("callers", 2);
    /// let first = connections.admit().expect("there is room");
    /// assert!(!connections.is_empty());
    /// drop(first);
    /// assert!(connections.is_empty());
    /// ```
    #[must_use]
    pub fn new(address: &'static str, max: usize) -> Self {
        Self::with_table(address, ConnectionTable::new(max))
    }

    /// Creates an empty set as [`CallerConnections::new`], whose connections are closed for others
    /// only after they were idle for `idle_min`.
    ///
    /// ```
    /// use std::time::Duration;
    /// let idle_min = Duration::from_secs(2);
    /// let connections = rudder_engine::CallerConnections::with_idle_min("callers", 2, idle_min);
    /// assert!(connections.admit().is_some());
    /// ```
    #[must_use]
    pub fn with_idle_min(address: &'static str, max: usize, idle_min: Duration) -> Self {
        Self::with_table(address, ConnectionTable::new(max).with_idle_min(idle_min))
    }

    fn with_table(address: &'static str, table: ConnectionTable) -> Self {
        Self(Arc::new(Mutex::new(ConnectionState {
            table,
            closers: Vec::new(),
            address,
            throttle: LogThrottle::default(),
        })))
    }

    /// Admits a new connection, if necessary in place of those that have waited longest for their
    /// callers; returns `None` if all others are busy.
    #[must_use]
    pub fn admit(&self) -> Option<CallerConnection> {
        let mut state = lock(&self.0);
        match state.table.admit(Instant::now()) {
            ConnectionDecision::Admitted { id, closed } => {
                state.close(&closed, "connections");
                let close = Arc::new(Notify::new());
                state.closers.push((id, Arc::clone(&close)));
                Some(CallerConnection {
                    connections: self.clone(),
                    id,
                    close,
                    holding: AtomicBool::new(false),
                })
            }
            ConnectionDecision::Refused => {
                state.record_closed(1, "all_busy");
                None
            }
        }
    }

    /// Whether no connection is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        lock(&self.0).table.is_empty()
    }

    /// Closes connections that hold memory and have waited long for their callers.
    fn release_memory(&self) {
        let mut state = lock(&self.0);
        let closed = state.table.release_memory(Instant::now());
        state.close(&closed, "memory");
    }
}

/// A connection of a caller, which counts until it is dropped.
pub struct CallerConnection {
    connections: CallerConnections,
    id: u64,
    close: Arc<Notify>,
    holding: AtomicBool,
}

impl CallerConnection {
    /// Records what the connection is waiting for.
    pub fn set_phase(&self, phase: ConnectionPhase) {
        lock(&self.connections.0).table.set_phase(self.id, phase, Instant::now());
    }

    /// Records whether the connection holds memory beyond the exempt amounts.
    pub fn set_holding(&self, holding: bool) {
        if self.holding.swap(holding, Ordering::Relaxed) != holding {
            lock(&self.connections.0).table.set_holding(self.id, holding);
        }
    }

    /// Closes other connections that hold memory and have waited long for their callers, and lets
    /// their tasks release it.
    pub async fn request_memory(&self) {
        self.connections.release_memory();
        tokio::task::yield_now().await;
    }

    /// Waits until the connection has to be closed to make room for others.
    pub async fn wait_closing(&self) {
        self.close.notified().await;
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        let mut state = lock(&self.connections.0);
        state.table.remove(self.id);
        if let Ok(index) = state.closers.binary_search_by_key(&self.id, |(id, _)| *id) {
            state.closers.remove(index);
        }
    }
}
