//! Who gets the next connection that comes free.
//!
//! Load pattern: a burst of reads that may wait for seconds, and among them orders whose callers wait
//! for an answer. Served in the order of their arrival, an order stands behind hundreds of reads;
//! served by priority alone, equal ones overtake each other and the first to come may wait for ever.
//!
//! So it goes by priority, and among equals by turn. There is no bound on the length: each waiter
//! has a time of its own after which it gives up, and those who gave up are passed over.

/// One who waits.
#[derive(Clone, Debug)]
struct LineWaiter<T> {
    priority: u8,
    turn: u64,
    waiter: T,
}

/// Those who wait for one thing, the next one first.
#[derive(Clone, Debug)]
pub struct WaitLine<T> {
    waiters: Vec<LineWaiter<T>>,
    next_turn: u64,
}

impl<T> Default for WaitLine<T> {
    fn default() -> Self {
        Self { waiters: Vec::new(), next_turn: 0 }
    }
}

impl<T> WaitLine<T> {
    /// Adds one who waits; priority 0 is served first.
    ///
    /// ```
    /// use rudder_decisions::WaitLine;
    /// let mut line = WaitLine::default();
    /// line.join(2, "read");
    /// line.join(0, "order");
    /// line.join(0, "second order");
    /// assert_eq!(line.next(), Some("order"));
    /// assert_eq!(line.next(), Some("second order"));
    /// ```
    pub fn join(&mut self, priority: u8, waiter: T) {
        let turn = self.next_turn;
        self.next_turn += 1;
        let index =
            self.waiters.partition_point(|known| (known.priority, known.turn) <= (priority, turn));
        self.waiters.insert(index, LineWaiter { priority, turn, waiter });
    }

    /// Takes out the one who is next.
    ///
    /// ```
    /// let mut line: rudder_decisions::WaitLine<&str> = rudder_decisions::WaitLine::default();
    /// assert_eq!(line.next(), None);
    /// ```
    #[expect(clippy::should_implement_trait, reason = "the line goes on after it was empty")]
    pub fn next(&mut self) -> Option<T> {
        (!self.waiters.is_empty()).then(|| self.waiters.remove(0).waiter)
    }

    /// How many wait, those who gave up included.
    ///
    /// ```
    /// let mut line = rudder_decisions::WaitLine::default();
    /// line.join(1, "read");
    /// assert_eq!((line.len(), line.is_empty()), (1, false));
    /// ```
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether nobody waits.
    ///
    /// ```
    /// assert!(rudder_decisions::WaitLine::<u8>::default().is_empty());
    /// ```
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }
}
