//! Requests of ordinary size while others have used up the memory.

use rudder_core::ByteSize;
use rudder_decisions::{BudgetError, MachineLimits, MemoryBudget};

const EXEMPT: ByteSize = ByteSize(4 * 1024);

/// Size of a request of the maximum size with its copies.
const LARGE_REQUEST: ByteSize = ByteSize(4 << 20);

/// Guards against many large requests that together exceed the memory, and against small ones
/// that are rejected for it.
#[test]
fn large_requests_stay_within_the_budget_and_small_ones_are_served() {
    let limits = MachineLimits { memory: ByteSize(260_000_000), descriptors: 4_300 };
    let budget = MemoryBudget::new(limits.request_memory());

    let mut large: Vec<_> = (0..600).map(|_| budget.reservation(EXEMPT)).collect();
    let admitted =
        large.iter_mut().filter_map(|request| request.resize(LARGE_REQUEST).ok()).count();
    let mut ordinary = budget.reservation(EXEMPT);

    assert!(admitted >= 10, "{admitted} were admitted");
    assert!(budget.used() <= limits.request_memory());
    assert_eq!(ordinary.resize(ByteSize(2 * 1024)), Ok(()));
    assert_eq!(ordinary.resize(LARGE_REQUEST), Err(BudgetError::Exhausted));
    drop(large);
    assert_eq!((ordinary.resize(LARGE_REQUEST), budget.is_scarce()), (Ok(()), false));
}

/// Guards against a rejected request that is accounted for all the same.
#[test]
fn a_rejected_reservation_keeps_its_size() {
    let budget = MemoryBudget::new(ByteSize(1000));
    let mut reservation = budget.reservation(ByteSize(0));
    reservation.resize(ByteSize(600)).expect("there is enough");

    let rejected = reservation.resize(ByteSize(1001));

    assert_eq!(rejected, Err(BudgetError::Exhausted));
    assert_eq!((reservation.size(), budget.used()), (ByteSize(600), ByteSize(600)));
    drop(reservation);
    assert_eq!(budget.used(), ByteSize(0));
}

/// Guards against parts of the memory that add up to more than the machine has.
#[test]
fn the_parts_of_the_memory_fit_the_machine() {
    for memory in [64_000_000, 256_000_000, 260_000_000, 1 << 30, 16 << 30] {
        let limits = MachineLimits { memory: ByteSize(memory), descriptors: 4_300 };

        let unread = limits.receive_buffer().0 * limits.callers_max() as u64;
        let parts = [limits.request_memory(), limits.session_memory(), limits.reply_memory()];
        let sum = unread + parts.iter().map(|part| part.0).sum::<u64>();

        assert!(sum <= memory * 3 / 4, "{sum} of {memory}");
    }
}
