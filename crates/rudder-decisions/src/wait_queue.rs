//! Who gets the next connection that comes free.
//!
//! Load pattern: a burst of reads that may wait for seconds, and among them orders whose callers wait
//! for an answer. Served in the order of their arrival, an order stands behind hundreds of reads;
//! served by priority alone, equal ones overtake each other and the first to come may wait for ever.
//!
//! So it goes by priority, and among equals by turn. There is no bound on the length: each waiter
//! has a time of its own after which it gives up, and those who gave up are passed over.

/// What a connection is waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitingWork {
    /// One statement that only the primary may run.
    StrictStatement,
    /// A transaction that only the primary may run.
    StrictTransaction,
    /// One read that other members may serve as well.
    Read,
    /// A transaction of such reads.
    ReadTransaction,
}

impl WaitingWork {
    /// Where the work stands in a queue, by its route's priority first; the least is served first.
    ///
    /// A transaction holds its connection over its caller's pauses, for as long as dozens of single
    /// statements take: those go first, which costs it little. Reads go last, as they wait in other
    /// queues, too.
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

/// One who waits.
#[derive(Clone, Debug)]
struct QueueWaiter<T> {
    priority: u8,
    sequence: u64,
    waiter: T,
}

/// Those who wait for one thing, the next one first.
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
    /// Adds one who waits, and returns its turn; priority 0 is served first.
    ///
    /// ```
    /// use rudder_decisions::WaitQueue;
    /// let mut queue = WaitQueue::default();
    /// queue.join(2, "read");
    /// queue.join(0, "order");
    /// queue.join(0, "second order");
    /// assert_eq!(queue.next(), Some("order"));
    /// assert_eq!(queue.next(), Some("second order"));
    /// ```
    pub fn join(&mut self, priority: u8, waiter: T) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.rejoin(priority, sequence, waiter);
        sequence
    }

    /// Adds one who waited before, at its old turn: what it was given turned out to be of no use.
    ///
    /// ```
    /// use rudder_decisions::WaitQueue;
    /// let mut queue = WaitQueue::default();
    /// let sequence = queue.join(1, "first");
    /// queue.join(1, "second");
    /// assert_eq!(queue.next(), Some("first"));
    /// queue.rejoin(1, sequence, "first again");
    /// assert_eq!(queue.next(), Some("first again"));
    /// ```
    pub fn rejoin(&mut self, priority: u8, sequence: u64, waiter: T) {
        let index = self
            .waiters
            .partition_point(|entry| (entry.priority, entry.sequence) <= (priority, sequence));
        self.waiters.insert(index, QueueWaiter { priority, sequence, waiter });
    }

    /// Takes out the one who is next.
    ///
    /// ```
    /// let mut queue: rudder_decisions::WaitQueue<&str> = rudder_decisions::WaitQueue::default();
    /// assert_eq!(queue.next(), None);
    /// ```
    #[expect(clippy::should_implement_trait, reason = "the queue goes on after it was empty")]
    pub fn next(&mut self) -> Option<T> {
        (!self.waiters.is_empty()).then(|| self.waiters.remove(0).waiter)
    }

    /// Takes out the first one who may be served now.
    ///
    /// ```
    /// let mut queue = rudder_decisions::WaitQueue::default();
    /// queue.join(1, "read that must leave a connection free");
    /// queue.join(1, "write");
    /// assert_eq!(queue.next_where(|waiter| *waiter == "write"), Some("write"));
    /// assert_eq!(queue.next_where(|waiter| *waiter == "write"), None);
    /// ```
    pub fn next_where(&mut self, may_be_served: impl Fn(&T) -> bool) -> Option<T> {
        let index = self.waiters.iter().position(|entry| may_be_served(&entry.waiter))?;
        Some(self.waiters.remove(index).waiter)
    }

    /// Keeps only those who still wait.
    ///
    /// ```
    /// let mut queue = rudder_decisions::WaitQueue::default();
    /// queue.join(1, "gave up");
    /// queue.join(1, "waits");
    /// queue.retain(|waiter| *waiter == "waits");
    /// assert_eq!(queue.len(), 1);
    /// ```
    pub fn retain(&mut self, still_waits: impl Fn(&T) -> bool) {
        self.waiters.retain(|entry| still_waits(&entry.waiter));
    }

    /// How many wait, those who gave up included.
    ///
    /// ```
    /// let mut queue = rudder_decisions::WaitQueue::default();
    /// queue.join(1, "read");
    /// assert_eq!((queue.len(), queue.is_empty()), (1, false));
    /// ```
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether nobody waits.
    ///
    /// ```
    /// assert!(rudder_decisions::WaitQueue::<u8>::default().is_empty());
    /// ```
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }
}
