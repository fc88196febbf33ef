//! Tests of the consistency checker: a valid run, and runs that violate one rule each.

use rudder_core::{
    HistoryFault, HistoryLog, OutcomeClass, ReadRecord, StoredValue, WriteOutcome, WriteRecord,
    check_history,
};
use std::time::Duration;

const ACKNOWLEDGED: WriteOutcome = WriteOutcome::Acknowledged;
const UNKNOWN: WriteOutcome = WriteOutcome::Refused(OutcomeClass::Unknown);
const NOT_RUN: WriteOutcome = WriteOutcome::Refused(OutcomeClass::NotRun);
const FAILED: WriteOutcome = WriteOutcome::Refused(OutcomeClass::Failed);

fn stored(value: u64) -> StoredValue {
    StoredValue { row: "page-7".to_owned(), value }
}

fn write(session: &str, at: u64, value: u64, outcome: WriteOutcome) -> WriteRecord {
    WriteRecord {
        session: session.parse().expect("a valid id"),
        invoked: Duration::from_secs(at),
        returned: Duration::from_secs(at + 1),
        stored: stored(value),
        key: None,
        outcome,
    }
}

fn keyed(value: u64, outcome: WriteOutcome) -> WriteRecord {
    WriteRecord {
        key: Some("claim-7".parse().expect("a valid key")),
        ..write("anna", 0, value, outcome)
    }
}

fn read(session: &str, at: u64, bound: u64, values: &[u64]) -> ReadRecord {
    ReadRecord {
        session: session.parse().expect("a valid id"),
        invoked: Duration::from_secs(at),
        row: "page-7".to_owned(),
        values: values.to_vec(),
        bound: Duration::from_secs(bound),
    }
}

fn run(writes: Vec<WriteRecord>, reads: Vec<ReadRecord>, values: &[u64]) -> HistoryLog {
    HistoryLog { writes, reads, stored: values.iter().copied().map(stored).collect() }
}

#[test]
fn valid_history_passes() {
    let writes = vec![
        write("anna", 0, 1, ACKNOWLEDGED),
        write("anna", 2, 2, UNKNOWN),
        write("ben", 2, 3, UNKNOWN),
        write("ben", 4, 4, NOT_RUN),
        write("ben", 4, 5, FAILED),
        keyed(6, UNKNOWN),
        keyed(7, NOT_RUN),
    ];
    let reads = vec![read("anna", 1, 9, &[1]), read("ben", 5, 9, &[]), read("ben", 9, 1, &[1, 2])];
    let log = run(writes, reads, &[1, 2, 6]);

    let faults = check_history(&log);

    assert_eq!(faults, vec![]);
}

#[test]
fn each_violation_is_reported() {
    let anna = || "anna".parse().unwrap();
    let acked = || vec![write("anna", 0, 1, ACKNOWLEDGED)];
    let claims = || vec![keyed(1, ACKNOWLEDGED), keyed(2, UNKNOWN)];
    let own_unseen = vec![read("anna", 1, 60, &[])];
    let too_old = vec![read("ben", 11, 10, &[])];
    let seen = || vec![read("anna", 9, 60, &[1])];
    let cases = [
        (run(acked(), vec![], &[]), HistoryFault::Lost(1)),
        (run(acked(), vec![], &[1, 1]), HistoryFault::Repeated(1, 2)),
        (run(vec![write("anna", 0, 1, UNKNOWN)], vec![], &[1, 1]), HistoryFault::Repeated(1, 2)),
        (run(vec![write("anna", 0, 1, NOT_RUN)], vec![], &[1]), HistoryFault::Forbidden(1)),
        (run(vec![write("anna", 0, 1, FAILED)], vec![], &[1]), HistoryFault::Forbidden(1)),
        (run(vec![], vec![], &[1]), HistoryFault::Unwritten(1)),
        (run(claims(), vec![], &[1, 2]), HistoryFault::KeyRepeated("claim-7".parse().unwrap(), 2)),
        (run(acked(), own_unseen, &[1]), HistoryFault::OwnWriteUnseen(anna(), 1)),
        (run(acked(), too_old, &[1]), HistoryFault::ReadTooOld("ben".parse().unwrap(), 1)),
        (
            run(vec![write("ben", 0, 1, NOT_RUN)], seen(), &[]),
            HistoryFault::ReadForbidden(anna(), 1),
        ),
        (run(vec![], seen(), &[]), HistoryFault::ReadForbidden(anna(), 1)),
    ];

    for (log, expected) in cases {
        let faults = check_history(&log);

        assert_eq!(faults, vec![expected]);
    }
}
