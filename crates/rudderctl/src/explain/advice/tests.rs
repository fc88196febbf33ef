use super::MEANINGS;

/// The binary search would not find an explanation that is out of order.
#[test]
fn explanations_are_sorted_by_reason() {
    assert!(MEANINGS.is_sorted_by(|before, after| before.reason < after.reason));
}
