//! Priority queue of the callers that wait for a connection.
//!
//! Load pattern: a burst of reads that may wait for seconds, mixed with orders whose callers wait
//! for the response. Served in order of arrival, an order waits behind hundreds of reads; served by
//! priority alone, requests of equal priority overtake each other and the oldest may starve.
//!
//! The queue is therefore ordered by priority, and by arrival among equal priorities. Its length
//! has no bound: each waiter has its own timeout, and waiters that timed out are skipped.

/// Kind of work that waits for a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitingWork {
    /// One statement that only the primary may run.
    StrictStatement,
    /// A transaction that only the primary may run.
    StrictTransaction,
    /// One read that other members may serve as well.
    Read,
    /// A read-only transaction that other members may serve as well.
    ReadTransaction,
}

impl WaitingWork {
    /// Returns the rank of the work in a queue, ordered by the priority of its route first; the
    /// lowest rank is served first.
    ///
    /// A transaction holds its connection while its caller is idle, as long as dozens of single
    /// statements do. Single statements go first, which delays a transaction only a little. Reads
    /// go last, as they also wait in the queues of other members.
    ///
    /// ```
    /// use rudder_decisions::WaitingWork;
    /// let [write, transaction] = [WaitingWork::StrictStatement, WaitingWork::StrictTransaction];
    /// assert!(write.rank(1) < transaction.rank(1));
    /// assert!(transaction.rank(1) < WaitingWork::Read.rank(1));
    /// assert!(WaitingWork::ReadTransaction.rank(1) < write.rank(2));
    /// ```
    #[must_use]
    pub fn rank(self, priority: u8) -> u8 {
        let order = match self {
            Self::StrictStatement => 0,
            Self::StrictTransaction => 1,
            Self::Read => 2,
            Self::ReadTransaction => 3,
        };
        priority.saturating_mul(4).saturating_add(order)
    }
}

/// A waiter and its position in the queue.
#[derive(Clone, Debug)]
struct QueueWaiter<T> {
    priority: u8,
    sequence: u64,
    waiter: T,
}

/// Waiters for one resource, in the order in which they are served.
#[derive(Clone, Debug)]
pub struct WaitQueue<T> {
    waiters: Vec<QueueWaiter<T>>,
    next_sequence: u64,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self { waiters: Vec::new(), next_sequence: 0 }
    }
}

impl<T> WaitQueue<T> {
    /// Adds a waiter and returns its sequence number; priority 0 is served first.
    ///
    /// ```
    /// use rudder_decisions::WaitQueue;
    /// let mut queue = WaitQueue::default();
    /// queue.push(2, "read");
    /// queue.push(0, "order");
    /// queue.push(0, "second order");
    /// assert_eq!(queue.pop(), Some("order"));
    /// assert_eq!(queue.pop(), Some("second order"));
    /// ```
    pub fn push(&mut self, priority: u8, waiter: T) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.requeue(priority, sequence, waiter);
        sequence
    }

    /// Adds a waiter again with its previous sequence number, because the resource that it got was
    /// unusable.
    ///
    /// ```
    /// use rudder_decisions::WaitQueue;
    /// let mut queue = WaitQueue::default();
    /// let sequence = queue.push(1, "first");
    /// queue.push(1, "second");
    /// assert_eq!(queue.pop(), Some("first"));
    /// queue.requeue(1, sequence, "first again");
    /// assert_eq!(queue.pop(), Some("first again"));
    /// ```
    pub fn requeue(&mut self, priority: u8, sequence: u64, waiter: T) {
        let index = self
            .waiters
            .partition_point(|entry| (entry.priority, entry.sequence) <= (priority, sequence));
        self.waiters.insert(index, QueueWaiter { priority, sequence, waiter });
    }

    /// Removes and returns the first waiter.
    ///
    /// ```
    /// let mut queue: rudder_decisions::WaitQueue<&str> = rudder_decisions::WaitQueue::default();
    /// assert_eq!(queue.pop(), None);
    /// ```
    pub fn pop(&mut self) -> Option<T> {
        (!self.waiters.is_empty()).then(|| self.waiters.remove(0).waiter)
    }

    /// Removes and returns the first waiter that may be served now.
    ///
    /// ```
    /// let mut queue = rudder_decisions::WaitQueue::default();
    /// queue.push(1, "read that must leave a connection free");
    /// queue.push(1, "write");
    /// assert_eq!(queue.pop_where(|waiter| *waiter == "write"), Some("write"));
    /// assert_eq!(queue.pop_where(|waiter| *waiter == "write"), None);
    /// ```
    pub fn pop_where(&mut self, may_be_served: impl Fn(&T) -> bool) -> Option<T> {
        let index = self.waiters.iter().position(|entry| may_be_served(&entry.waiter))?;
        Some(self.waiters.remove(index).waiter)
    }

    /// Removes the waiters for which `still_waits` returns false.
    ///
    /// ```
    /// let mut queue = rudder_decisions::WaitQueue::default();
    /// queue.push(1, "gave up");
    /// queue.push(1, "waits");
    /// queue.retain(|waiter| *waiter == "waits");
    /// assert_eq!(queue.len(), 1);
    /// ```
    pub fn retain(&mut self, still_waits: impl Fn(&T) -> bool) {
        self.waiters.retain(|entry| still_waits(&entry.waiter));
    }

    /// Returns the waiters in the order in which they are served.
    ///
    /// ```
    /// let mut queue = rudder_decisions::WaitQueue::default();
    /// queue.push(2, "read");
    /// queue.push(0, "order");
    /// assert_eq!(queue.iter().collect::<Vec<_>>(), [&"order", &"read"]);
    /// ```
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.waiters.iter().map(|entry| &entry.waiter)
    }

    /// Returns the number of waiters, including those that timed out.
    ///
    /// ```
    /// let mut queue = rudder_decisions::WaitQueue::default();
    /// queue.push(1, "read");
    /// assert_eq!((queue.len(), queue.is_empty()), (1, false));
    /// ```
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether the queue is empty.
    ///
    /// ```
    /// assert!(rudder_decisions::WaitQueue::<u8>::default().is_empty());
    /// ```
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }
}
