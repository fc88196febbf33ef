//! Which instance runs a statement.

use super::HolderBoard;
use rudder_core::{AccountName, InstanceName};
use std::time::{Duration, Instant};

/// Number of holders in order that may serve an account. A large account needs a few; if this many
/// cannot be used, the fault is rather on this instance's side, and it dials itself.
pub const HOLDERS_MAX: usize = 4;

/// Number of waiting callers per connection from which this instance's queue counts as long. The
/// last of them waits for two statements of 3 to 15 ms, more than a round trip to another holder.
const WAITING_PER_CONNECTION_MAX: u32 = 2;

/// State of this instance's connection pool for the member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalPool {
    /// Whether a connection of the account is idle.
    pub is_warm: bool,
    /// Number of callers that wait for a connection.
    pub waiting: u32,
    /// Number of connections that the pool may open.
    pub open_max: u32,
}

impl LocalPool {
    /// Whether so many callers wait that another holder serves a statement sooner.
    ///
    /// ```
    /// use rudder_decisions::LocalPool;
    /// let pool = LocalPool { is_warm: false, waiting: 3, open_max: 2 };
    /// assert!(!pool.has_long_queue());
    /// assert!(LocalPool { waiting: 4, ..pool }.has_long_queue());
    /// ```
    #[must_use]
    pub fn has_long_queue(&self) -> bool {
        self.waiting >= self.open_max.max(1).saturating_mul(WAITING_PER_CONNECTION_MAX)
    }
}

/// Instance that runs a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ForwardChoice {
    /// This instance.
    Local,
    /// The named holder.
    Forward(InstanceName),
    /// None for now: all holders that can be reached are overloaded. A connection opened here would
    /// take from the member what its holders need, so the statement is rejected as not run.
    Busy {
        /// Time until a holder may be tried again.
        retry_after: Duration,
    },
}

/// Returns the instance that runs a statement of `account`, given the `holders` in order: this
/// instance if it has a warm connection; otherwise the first of four holders that is usable. If none
/// is, this instance dials only if none of them can be reached. If some are overloaded instead, the
/// statement waits here if this instance is a holder, and is rejected otherwise.
///
/// ```
/// use rudder_decisions::{ForwardChoice, HolderBoard, LocalPool, forward_choice};
/// use std::time::Instant;
/// let now = Instant::now();
/// let (own, account) = ("entry-9".parse()?, "choirs".parse()?);
/// let holders = ["entry-1".parse()?, "entry-2".parse()?];
/// let mut board = HolderBoard::default();
/// let cold = LocalPool { is_warm: false, waiting: 0, open_max: 1 };
/// let mut choose = |pool, board: &mut HolderBoard| {
///     forward_choice(&own, &account, &holders, pool, board, now)
/// };
/// let warm = LocalPool { is_warm: true, ..cold };
/// assert_eq!(choose(warm, &mut board), ForwardChoice::Local);
/// assert_eq!(choose(cold, &mut board), ForwardChoice::Forward(holders[0].clone()));
/// board.record_unreachable(&holders[0], now);
/// assert_eq!(choose(cold, &mut board), ForwardChoice::Forward(holders[1].clone()));
/// board.record_overloaded(&holders[1], &account, now);
/// assert!(matches!(choose(cold, &mut board), ForwardChoice::Busy { .. }));
/// board.record_unreachable(&holders[1], now);
/// assert_eq!(choose(cold, &mut board), ForwardChoice::Local);
/// # Ok::<(), rudder_core::ParseError>(())
/// ```
#[must_use]
pub fn forward_choice(
    own: &InstanceName,
    account: &AccountName,
    holders: &[InstanceName],
    pool: LocalPool,
    board: &mut HolderBoard,
    now: Instant,
) -> ForwardChoice {
    if pool.is_warm {
        return ForwardChoice::Local;
    }
    let holders = &holders[..holders.len().min(HOLDERS_MAX)];
    for holder in holders {
        if holder == own {
            if pool.has_long_queue() {
                continue;
            }
            return ForwardChoice::Local;
        }
        if board.try_use(holder, account, now) {
            return ForwardChoice::Forward(holder.clone());
        }
    }
    let pauses = holders.iter().filter_map(|holder| board.overloaded_for(holder, account, now));
    match pauses.min() {
        Some(retry_after) if !holders.contains(own) => ForwardChoice::Busy { retry_after },
        Some(_) | None => ForwardChoice::Local,
    }
}
