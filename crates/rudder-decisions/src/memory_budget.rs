//! Limit on the memory that callers can occupy together.
//!
//! Load pattern: hundreds of callers each send requests of the maximum size, stop before the end of
//! one, or do not read large replies. Each is within the limits of a single request, but together
//! they exceed the memory of the machine, and the process is killed with everyone's sessions.
//!
//! All memory that grows with what callers send therefore counts against one budget, except for an
//! exempt amount per holder: requests of ordinary size are served while others have used up the
//! budget. The limit of connections bounds the sum of the exempt amounts.
//!
//! A reservation that does not fit is rejected at once. Waiting would keep the memory that the
//! waiting callers hold already, and a caller that never finishes would never release its share.

use displaydoc::Display;
use rudder_core::ByteSize;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// The budget is used up.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[ignore_extra_doc_attributes]
pub enum BudgetError {
    /// too much memory is in use
    Exhausted,
}

impl std::error::Error for BudgetError {}

/// Memory that callers may occupy together.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: u64,
    used: AtomicU64,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    ///
    /// ```
    /// use rudder_core::ByteSize;
    /// use rudder_decisions::{BudgetError, MemoryBudget};
    /// let budget = MemoryBudget::new(ByteSize(1000));
    /// let mut first = budget.reservation(ByteSize(100));
    /// let mut second = budget.reservation(ByteSize(100));
    /// assert_eq!(first.resize(ByteSize(900)), Ok(()));
    /// assert_eq!(second.resize(ByteSize(400)), Err(BudgetError::Exhausted));
    /// assert_eq!(second.resize(ByteSize(100)), Ok(()), "the exempt amount always fits");
    /// drop(first);
    /// assert_eq!(second.resize(ByteSize(400)), Ok(()));
    /// ```
    #[must_use]
    pub fn new(limit: ByteSize) -> Arc<Self> {
        Arc::new(Self { limit: limit.0, used: AtomicU64::new(0) })
    }

    /// Returns an empty reservation. Its first `exempt` bytes do not count against the budget.
    #[must_use]
    pub fn reservation(self: &Arc<Self>, exempt: ByteSize) -> MemoryReservation {
        MemoryReservation { budget: Arc::clone(self), exempt: exempt.0, size: 0, charged: 0 }
    }

    /// Returns the bytes in use, without the exempt amounts.
    ///
    /// ```
    /// use rudder_core::ByteSize;
    /// let budget = rudder_decisions::MemoryBudget::new(ByteSize(1000));
    /// let mut reservation = budget.reservation(ByteSize(100));
    /// reservation.resize(ByteSize(250))?;
    /// assert_eq!(budget.used(), ByteSize(150));
    /// # Ok::<(), rudder_decisions::BudgetError>(())
    /// ```
    #[must_use]
    pub fn used(&self) -> ByteSize {
        ByteSize(self.used.load(Ordering::Relaxed))
    }

    /// Whether more than half of the budget is in use. Buffers that only save time are kept small
    /// then.
    ///
    /// ```
    /// use rudder_core::ByteSize;
    /// let budget = rudder_decisions::MemoryBudget::new(ByteSize(1000));
    /// let mut reservation = budget.reservation(ByteSize(0));
    /// reservation.resize(ByteSize(501))?;
    /// assert!(budget.is_scarce());
    /// # Ok::<(), rudder_decisions::BudgetError>(())
    /// ```
    #[must_use]
    pub fn is_scarce(&self) -> bool {
        self.used().0 > self.limit / 2
    }

    fn charge(&self, bytes: u64) -> Result<(), BudgetError> {
        let fits = |used: u64| used.checked_add(bytes).filter(|sum| *sum <= self.limit);
        let charged = self.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, fits);
        charged.map(|_| ()).map_err(|_| BudgetError::Exhausted)
    }

    fn release(&self, bytes: u64) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// Memory that one holder occupies. Dropping it releases the memory.
#[derive(Debug)]
pub struct MemoryReservation {
    budget: Arc<MemoryBudget>,
    exempt: u64,
    size: u64,
    charged: u64,
}

impl MemoryReservation {
    /// Sets how many bytes the holder occupies. A smaller size than before always succeeds.
    ///
    /// # Errors
    ///
    /// [`BudgetError::Exhausted`] if the budget does not allow it. The size stays as it was.
    ///
    /// ```
    /// use rudder_core::ByteSize;
    /// let budget = rudder_decisions::MemoryBudget::new(ByteSize(1000));
    /// let mut reservation = budget.reservation(ByteSize(0));
    /// reservation.resize(ByteSize(1000))?;
    /// assert!(reservation.resize(ByteSize(1001)).is_err());
    /// reservation.resize(ByteSize(10))?;
    /// assert_eq!(budget.used(), ByteSize(10));
    /// # Ok::<(), rudder_decisions::BudgetError>(())
    /// ```
    pub fn resize(&mut self, size: ByteSize) -> Result<(), BudgetError> {
        let charged = size.0.saturating_sub(self.exempt);
        if charged > self.charged {
            self.budget.charge(charged - self.charged)?;
        } else {
            self.budget.release(self.charged - charged);
        }
        self.charged = charged;
        self.size = size.0;
        Ok(())
    }

    /// Returns the bytes that the holder occupies, with the exempt amount.
    ///
    /// ```
    /// use rudder_core::ByteSize;
    /// let budget = rudder_decisions::MemoryBudget::new(ByteSize(1000));
    /// let mut reservation = budget.reservation(ByteSize(100));
    /// reservation.resize(ByteSize(60))?;
    /// assert_eq!((reservation.size(), reservation.charged()), (ByteSize(60), ByteSize(0)));
    /// # Ok::<(), rudder_decisions::BudgetError>(())
    /// ```
    #[must_use]
    pub fn size(&self) -> ByteSize {
        ByteSize(self.size)
    }

    /// Whether more than half of the budget is in use.
    ///
    /// ```
    /// use rudder_core::ByteSize;
    /// let budget = rudder_decisions::MemoryBudget::new(ByteSize(1000));
    /// assert!(!budget.reservation(ByteSize(0)).is_scarce());
    /// ```
    #[must_use]
    pub fn is_scarce(&self) -> bool {
        self.budget.is_scarce()
    }

    /// Returns the bytes that count against the budget.
    ///
    /// ```
    /// use rudder_core::ByteSize;
    /// let budget = rudder_decisions::MemoryBudget::new(ByteSize(1000));
    /// let reservation = budget.reservation(ByteSize(100));
    /// assert_eq!(reservation.charged(), ByteSize(0));
    /// ```
    #[must_use]
    pub fn charged(&self) -> ByteSize {
        ByteSize(self.charged)
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget.release(self.charged);
    }
}
