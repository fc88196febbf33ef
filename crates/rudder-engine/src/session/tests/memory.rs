//! Memory that sessions keep and requests need.

use crate::callers::CallerMemory;
use crate::session::state::{SessionState, StateFull};
use crate::statement::{PreparedStatement, SessionValue, StatementEffect};
use rudder_core::ByteSize;
use rudder_decisions::MachineLimits;

/// Size of a value that is far beyond the exempt amount.
const LARGE: usize = 400_000;

/// Returns the memory of a machine on which all sessions may keep a megabyte.
fn memory() -> CallerMemory {
    CallerMemory::new(&MachineLimits { memory: ByteSize(16_000_000), descriptors: 100 })
}

fn session(memory: &CallerMemory) -> SessionState {
    SessionState::new(memory.session_reservation())
}

fn value(name: &str, bytes: usize) -> SessionValue {
    SessionValue { name: name.to_owned(), value: "x".repeat(bytes) }
}

fn prepared(bytes: usize) -> PreparedStatement {
    PreparedStatement { effect: StatementEffect::Read, text: "x".repeat(bytes) }
}

/// Guards against sessions that keep more together than the machine has, and against small values
/// that are refused for it.
#[test]
fn sessions_share_the_memory_for_large_values_and_keep_small_ones() {
    let memory = memory();
    let (mut first, mut second) = (session(&memory), session(&memory));

    assert_eq!(first.set_value(value("a", LARGE)), Ok(()));
    assert_eq!(first.prepare("p".to_owned(), prepared(LARGE)), Ok(()));
    assert_eq!(second.set_value(value("a", LARGE)), Err(StateFull::Memory));
    assert_eq!(second.set_value(value("zone", 20)), Ok(()));
    assert!(first.holds_memory() && !second.holds_memory());
}

/// Guards against memory that stays reserved for values that were replaced or removed.
#[test]
fn replaced_and_removed_entries_release_their_memory() {
    let memory = memory();
    let mut state = session(&memory);
    state.set_value(value("a", LARGE)).expect("there is enough");
    state.prepare("p".to_owned(), prepared(LARGE)).expect("there is enough");

    state.set_value(value("a", 10)).expect("a smaller value fits");
    let removed = state.remove_prepared("p");

    assert!(removed && !state.holds_memory());
    assert_eq!(state.set_value(value("b", 2 * LARGE)), Ok(()));
}

/// Guards against a value that is lost because its replacement was refused.
#[test]
fn a_refused_replacement_keeps_the_value() {
    let memory = memory();
    let mut state = session(&memory);
    state.set_value(value("a", 10)).expect("there is enough");

    let refused = state.set_value(value("a", 4 * LARGE));

    assert_eq!(refused, Err(StateFull::Memory));
    assert_eq!(state.values(), [value("a", 10)]);
}
