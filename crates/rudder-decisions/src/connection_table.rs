//! Limit on the connections of callers, and the choice of those that make room for new ones.
//!
//! Load pattern: thousands of connections are opened and stay idle, send a byte at a time or do not
//! read their replies. If they are kept until the process has no descriptor left, it can neither
//! accept other callers nor reach members, the store and its peers. If new connections are refused
//! instead, the ones that do nothing keep out those that would.
//!
//! At the limit, the connections that have been waiting for their callers longest are closed: first
//! those that never sent their startup message, then those without a request in progress, whose
//! callers lose nothing but time, at last those that do not take a reply. A connection whose request
//! is running and a transaction that its idle timeout will end are not closed.
//!
//! The same holds where memory is used up: callers that never finish a request, or do not take a
//! reply, would keep the memory from all others. Connections that hold some and have been waiting
//! for their callers for seconds are closed then.

use std::time::{Duration, Instant};

/// Time within which the startup message of a new connection is expected. It follows the connection
/// at once; a connection without it counts as abandoned after several round trips.
const STARTUP_EXPECTED: Duration = Duration::from_millis(500);

/// Connections closed at once. All connections are compared for each choice, so choosing one at a
/// time would cost most when connections are opened fastest.
const CLOSED_AT_ONCE: usize = 16;

/// Time for which a connection that holds memory may wait for its caller when others need it.
const HOLDING_MAX: Duration = Duration::from_secs(2);

/// Interval between two choices of connections that hold memory.
const RELEASE_INTERVAL: Duration = Duration::from_millis(100);

/// What a connection is waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// The caller has not sent its startup message.
    Starting,
    /// The caller has no transaction open, and its next request has not arrived completely.
    Idle,
    /// The caller's transaction failed, and its next request has not arrived completely.
    Failed,
    /// The caller has not taken its reply.
    Replying,
    /// The request is running, or the idle timeout of the open transaction applies.
    Busy,
}

/// Rank of connections in the choice; the first ranks are closed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ClosingRank {
    Abandoned,
    Unused,
    Stalled,
    New,
}

struct TableEntry {
    id: u64,
    phase: ConnectionPhase,
    since: Instant,
    /// Whether the connection holds memory beyond the exempt amount.
    holding: bool,
    /// Whether the connection is to be closed.
    closing: bool,
}

impl TableEntry {
    /// Returns the rank of a connection that may be closed. With `idle_min`, one that waits for its
    /// caller may be closed only after this time, a new one only after [`STARTUP_EXPECTED`].
    fn rank(&self, now: Instant, idle_min: Option<Duration>) -> Option<(ClosingRank, Instant)> {
        if self.closing {
            return None;
        }
        let waiting = now.saturating_duration_since(self.since);
        let rank = match self.phase {
            ConnectionPhase::Starting if waiting < STARTUP_EXPECTED => ClosingRank::New,
            ConnectionPhase::Starting => ClosingRank::Abandoned,
            ConnectionPhase::Idle => ClosingRank::Unused,
            ConnectionPhase::Failed | ConnectionPhase::Replying => ClosingRank::Stalled,
            ConnectionPhase::Busy => return None,
        };
        let is_kept = match rank {
            ClosingRank::New => idle_min.is_some(),
            ClosingRank::Abandoned => false,
            ClosingRank::Unused | ClosingRank::Stalled => idle_min.is_some_and(|min| waiting < min),
        };
        (!is_kept).then_some((rank, self.since))
    }

    /// Whether the connection keeps memory from others while it waits for its caller.
    fn keeps_memory(&self, now: Instant) -> bool {
        let waits = !self.closing && self.phase != ConnectionPhase::Busy;
        waits && self.holding && now.saturating_duration_since(self.since) >= HOLDING_MAX
    }
}

/// Decision on a new connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConnectionDecision {
    /// The connection is admitted under this id. The connections with the other ids must be closed.
    Admitted {
        /// Id of the new connection.
        id: u64,
        /// Ids of the connections to close.
        closed: Vec<u64>,
    },
    /// All other connections are busy.
    Refused,
}

/// Connections of callers and what they are waiting for.
///
/// ```
/// use rudder_decisions::{ConnectionDecision, ConnectionPhase, ConnectionTable};
/// use std::time::Instant;
/// let now = Instant::now();
/// let mut table = ConnectionTable::new(1);
/// assert_eq!(table.admit(now), ConnectionDecision::Admitted { id: 1, closed: Vec::new() });
/// table.set_phase(1, ConnectionPhase::Busy, now);
/// assert_eq!(table.admit(now), ConnectionDecision::Refused);
/// table.set_phase(1, ConnectionPhase::Idle, now);
/// assert_eq!(table.admit(now), ConnectionDecision::Admitted { id: 2, closed: vec![1] });
/// ```
pub struct ConnectionTable {
    max: usize,
    /// Time for which a connection must have waited for its caller before it is closed for another,
    /// if connections in use are kept.
    idle_min: Option<Duration>,
    last_id: u64,
    /// Sorted by id.
    entries: Vec<TableEntry>,
    /// Number of entries that are to be closed.
    closing: usize,
    /// When connections that hold memory were last looked for.
    released_at: Option<Instant>,
}

impl ConnectionTable {
    /// Creates a table for at most `max` connections.
    #[must_use]
    pub fn new(max: usize) -> Self {
        Self { max, idle_min: None, last_id: 0, entries: Vec::new(), closing: 0, released_at: None }
    }

    /// Keeps connections that were opened just now, and those that have waited for their callers for
    /// less than `idle_min`, from being closed for others: for sessions whose state their callers
    /// would have to restore.
    ///
    /// ```
    /// use rudder_decisions::{ConnectionDecision, ConnectionPhase, ConnectionTable};
    /// use std::time::{Duration, Instant};
    /// let now = Instant::now();
    /// let mut table = ConnectionTable::new(1).with_idle_min(Duration::from_secs(2));
    /// table.admit(now);
    /// table.set_phase(1, ConnectionPhase::Idle, now);
    /// assert_eq!(table.admit(now + Duration::from_secs(1)), ConnectionDecision::Refused);
    /// let later = now + Duration::from_secs(2);
    /// assert_eq!(table.admit(later), ConnectionDecision::Admitted { id: 2, closed: vec![1] });
    /// ```
    #[must_use]
    pub fn with_idle_min(self, idle_min: Duration) -> Self {
        Self { idle_min: Some(idle_min), ..self }
    }

    /// Decides on a new connection.
    pub fn admit(&mut self, now: Instant) -> ConnectionDecision {
        let mut closed = Vec::new();
        if self.entries.len() - self.closing >= self.max {
            closed = self.choose_closed(now);
            if closed.is_empty() {
                return ConnectionDecision::Refused;
            }
        }
        self.last_id += 1;
        let id = self.last_id;
        let phase = ConnectionPhase::Starting;
        self.entries.push(TableEntry { id, phase, since: now, holding: false, closing: false });
        ConnectionDecision::Admitted { id, closed }
    }

    /// Records what a connection is waiting for. Recording the same phase again restarts its wait.
    pub fn set_phase(&mut self, id: u64, phase: ConnectionPhase, now: Instant) {
        if let Some(index) = self.position(id) {
            self.entries[index].phase = phase;
            self.entries[index].since = now;
        }
    }

    /// Records whether a connection holds memory beyond the exempt amount.
    pub fn set_holding(&mut self, id: u64, holding: bool) {
        if let Some(index) = self.position(id) {
            self.entries[index].holding = holding;
        }
    }

    /// Returns connections to close because memory is used up: those that hold some and have waited
    /// longest for their callers, in the order of their ids.
    ///
    /// ```
    /// use rudder_decisions::{ConnectionPhase, ConnectionTable};
    /// use std::time::{Duration, Instant};
    /// let now = Instant::now();
    /// let mut table = ConnectionTable::new(10);
    /// table.admit(now);
    /// table.set_holding(1, true);
    /// assert!(table.release_memory(now + Duration::from_secs(1)).is_empty());
    /// assert_eq!(table.release_memory(now + Duration::from_secs(3)), [1]);
    /// ```
    pub fn release_memory(&mut self, now: Instant) -> Vec<u64> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < RELEASE_INTERVAL;
        if self.released_at.is_some_and(is_recent) {
            return Vec::new();
        }
        self.released_at = Some(now);
        let mut keeping: Vec<_> = self
            .entries
            .iter()
            .enumerate()
            .filter(|(_, entry)| entry.keeps_memory(now))
            .map(|(index, entry)| (entry.since, index))
            .collect();
        keeping.sort_unstable();
        keeping.truncate(CLOSED_AT_ONCE);
        self.mark_closing(keeping.into_iter().map(|(_, index)| index).collect())
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: u64) {
        if let Some(index) = self.position(id) {
            let entry = self.entries.remove(index);
            self.closing -= usize::from(entry.closing);
        }
    }

    /// Returns the number of connections, including those that are being closed.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no connections.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn position(&self, id: u64) -> Option<usize> {
        self.entries.binary_search_by_key(&id, |entry| entry.id).ok()
    }

    /// Chooses connections to close, in the order of their ids.
    fn choose_closed(&mut self, now: Instant) -> Vec<u64> {
        let mut ranked: Vec<_> = self
            .entries
            .iter()
            .enumerate()
            .filter_map(|(index, entry)| Some((entry.rank(now, self.idle_min)?, index)))
            .collect();
        let count = CLOSED_AT_ONCE.min(self.max.div_ceil(CLOSED_AT_ONCE)).min(ranked.len());
        if count == 0 {
            return Vec::new();
        }
        ranked.select_nth_unstable(count - 1);
        ranked.truncate(count);
        self.mark_closing(ranked.into_iter().map(|(_, index)| index).collect())
    }

    fn mark_closing(&mut self, mut indices: Vec<usize>) -> Vec<u64> {
        indices.sort_unstable();
        for index in &indices {
            self.entries[*index].closing = true;
        }
        self.closing += indices.len();
        indices.into_iter().map(|index| self.entries[index].id).collect()
    }
}
