//! Callers that connect while thousands of other connections do nothing.

use rudder_decisions::{ConnectionDecision, ConnectionPhase, ConnectionTable};
use std::time::{Duration, Instant};

const CONNECTIONS_MAX: usize = 3_000;

/// Round trips of an ordinary caller from its connection to its reply.
const REQUEST_TIME: Duration = Duration::from_millis(10);

/// Admits a connection, which the table must have room for; returns its id and those to close.
fn admit(table: &mut ConnectionTable, now: Instant) -> (u64, Vec<u64>) {
    match table.admit(now) {
        ConnectionDecision::Admitted { id, closed } => (id, closed),
        ConnectionDecision::Refused => panic!("a connection was refused"),
    }
}

/// Returns a table that is full of connections in a phase.
fn full_table(phase: ConnectionPhase, now: Instant) -> ConnectionTable {
    let mut table = ConnectionTable::new(CONNECTIONS_MAX);
    for _ in 0..CONNECTIONS_MAX {
        let (id, closed) = admit(&mut table, now);
        table.set_phase(id, phase, now);
        assert!(closed.is_empty());
    }
    table
}

/// Guards against callers that are refused, or cut off in the middle, while idle connections occupy
/// the table.
#[test]
fn ordinary_callers_are_served_among_idle_connections() {
    let start = Instant::now();
    let mut table = full_table(ConnectionPhase::Idle, start);
    let mut served: Vec<u64> = Vec::new();

    for step in 1..=2_000 {
        let now = start + step * REQUEST_TIME;
        let (id, closed) = admit(&mut table, now);
        assert!(served.iter().all(|id| !closed.contains(id)), "an ordinary caller was closed");
        closed.iter().for_each(|id| table.remove(*id));
        table.set_phase(id, ConnectionPhase::Busy, now);
        served.push(id);
        // An ordinary caller stays connected for a hundred requests of others.
        if served.len() > 100 {
            table.remove(served.remove(0));
        }
    }

    assert!(table.len() <= CONNECTIONS_MAX);
}

/// Guards against sessions that are closed while connections without a startup message remain.
#[test]
fn connections_without_a_startup_message_are_closed_first() {
    let start = Instant::now();
    let mut table = ConnectionTable::new(2);
    let (session, _) = admit(&mut table, start);
    table.set_phase(session, ConnectionPhase::Idle, start);
    let (silent, _) = admit(&mut table, start);

    let (_, closed) = admit(&mut table, start + Duration::from_secs(1));

    assert_eq!(closed, [silent]);
}

/// Guards against new callers that make room for each other while idle connections remain.
#[test]
fn a_connection_that_has_just_been_opened_is_not_closed_for_the_next() {
    let start = Instant::now();
    let mut table = ConnectionTable::new(2);
    let (session, _) = admit(&mut table, start);
    table.set_phase(session, ConnectionPhase::Idle, start);
    let now = start + Duration::from_secs(1);
    admit(&mut table, now);

    let (_, closed) = admit(&mut table, now + Duration::from_millis(5));

    assert_eq!(closed, [session]);
}

/// Guards against requests that are cut off to make room.
#[test]
fn busy_connections_are_never_closed() {
    let start = Instant::now();
    let mut table = full_table(ConnectionPhase::Busy, start);

    let decision = table.admit(start + Duration::from_secs(60));

    assert_eq!(decision, ConnectionDecision::Refused);
}

/// Guards against callers that keep memory from all others by never finishing a request.
#[test]
fn memory_is_released_by_connections_that_have_waited_longest() {
    let start = Instant::now();
    let mut table = full_table(ConnectionPhase::Idle, start);
    table.set_holding(7, true);
    table.set_holding(8, true);
    table.set_phase(8, ConnectionPhase::Busy, start);
    table.set_holding(9, true);
    table.set_phase(9, ConnectionPhase::Replying, start + Duration::from_secs(3));

    let early = table.release_memory(start + Duration::from_secs(1));
    let late = table.release_memory(start + Duration::from_secs(4));
    let last = table.release_memory(start + Duration::from_secs(6));

    assert_eq!((early.as_slice(), late.as_slice(), last.as_slice()), (&[][..], &[7][..], &[9][..]));
}

/// Time for which a session with state must be idle before it is closed.
const IDLE_MIN: Duration = Duration::from_secs(2);

/// Interval at which rejected callers connect again.
const RECONNECT_TIME: Duration = Duration::from_millis(1);

/// Guards against callers that use their sessions and are closed, or never admitted, while others
/// occupy all places and connect again at once.
#[test]
fn sessions_in_use_are_kept_and_admitted_among_unused_ones() {
    let start = Instant::now();
    let mut table = ConnectionTable::new(CONNECTIONS_MAX).with_idle_min(IDLE_MIN);
    let mut used = Vec::new();

    for step in 1..=10_000 {
        let now = start + step * RECONNECT_TIME;
        let admitted = table.admit(now);
        if let ConnectionDecision::Admitted { id, closed } = admitted {
            assert!(used.iter().all(|id| !closed.contains(id)), "a session in use was closed");
            closed.iter().for_each(|id| table.remove(*id));
            // One of a hundred callers sends requests.
            if step % 100 == 0 {
                used.push(id);
            }
        }
        for id in &used {
            table.set_phase(*id, ConnectionPhase::Idle, now);
        }
    }

    assert_eq!(used.len(), 100);
}

/// Guards against the loss of sessions that were opened or used just now for those that come later.
#[test]
fn recent_sessions_are_kept_from_later_callers() {
    let now = Instant::now();
    for phase in [ConnectionPhase::Starting, ConnectionPhase::Idle, ConnectionPhase::Replying] {
        let mut table = ConnectionTable::new(1).with_idle_min(IDLE_MIN);
        let (session, _) = admit(&mut table, now);
        table.set_phase(session, phase, now);

        let recent = table.admit(now + Duration::from_millis(400));
        let later = table.admit(now + IDLE_MIN);

        assert_eq!(recent, ConnectionDecision::Refused);
        assert_eq!(later, ConnectionDecision::Admitted { id: 2, closed: vec![session] });
    }
}
