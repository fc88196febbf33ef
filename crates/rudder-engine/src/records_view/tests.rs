//! Size and content of summaries of the records.

use super::{RecordState, RecordTimes, RecordsView};
use crate::lead::LeaderEpoch;
use crate::peers::RecordsDigest;
use rudder_core::ServiceName;
use std::time::Duration;

fn times(ms: u64) -> RecordTimes {
    let at = Duration::from_millis(ms);
    RecordTimes { confirmed_at: at, valid_from: at }
}

fn service(index: usize) -> ServiceName {
    format!("service-{index:04}").parse().expect("a name")
}

/// Returns records that one read confirmed at 500 ms, but for the first `changed` ones.
fn records(count: usize, changed: usize) -> Vec<RecordState> {
    let record = |index: usize| RecordState {
        digest: RecordsDigest::of_record(&service(index), LeaderEpoch(1)),
        times: if index < changed { times(index as u64) } else { times(500) },
        sample: None,
    };
    (0..count).map(record).collect()
}

/// Returns the times that the receiver of a summary applies to the record at `index`.
fn summarized(view: &RecordsView, index: usize) -> RecordTimes {
    let found = view.exceptions.binary_search_by_key(&index, |(known, _)| *known);
    found.map_or(view.common, |found| view.exceptions[found].1)
}

/// With a time for each record, a fleet's proof that its records are unchanged would grow with the
/// number of services.
#[test]
fn one_time_stands_for_records_that_one_read_confirmed() {
    for count in [30, 300, 1000, 2000] {
        let view = RecordsView::of(&records(count, 0));

        assert_eq!((view.count, view.common), (count, times(500)));
        assert!(view.exceptions.is_empty() && view.samples.is_empty(), "{count}");
    }
}

/// A lease must not be renewed by the confirmation of another record.
#[test]
fn no_record_is_summarized_with_a_later_time_than_its_own() {
    for changed in [0, 1, 7, 64, 65, 200, 999, 1000] {
        let records = records(1000, changed);

        let view = RecordsView::of(&records);

        for (index, known) in records.iter().enumerate() {
            let summarized = summarized(&view, index);
            assert!(summarized.confirmed_at <= known.times.confirmed_at, "{changed}: {index}");
            assert!(summarized.valid_from <= known.times.valid_from, "{changed}: {index}");
        }
    }
}

/// One change of primary must not take the proof from all other services.
#[test]
fn a_few_changed_records_keep_the_time_of_the_others() {
    let view = RecordsView::of(&records(1000, 7));

    assert_eq!((view.common, view.exceptions.len()), (times(500), 7));
    assert_eq!(summarized(&view, 3), times(3));
}

#[test]
fn the_digest_tells_versions_and_services_apart() {
    let of = |service, epoch| RecordsDigest::of_record(service, LeaderEpoch(epoch));
    let (first, second) = (service(1), service(2));

    assert_eq!(of(&first, 1).and(of(&second, 2)), of(&second, 2).and(of(&first, 1)));
    assert_ne!(of(&first, 1).and(of(&second, 2)), of(&first, 2).and(of(&second, 1)));
    assert_ne!(of(&first, 1), of(&first, 1).and(of(&second, 1)));
}
