use super::OwnEntry;
use crate::peers::LISTING_VALIDITY;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_record_read_before_registration_gives_no_lease() {
    // An instance reads the record, another one begins a change and reads the list, and then the
    // new instance registers. The change does not wait for it, so the record that it read must not
    // permit acknowledgments for the replaced primary.
    let mut entry = OwnEntry::default();

    let registered = entry.observe_listed(ms(100), ms(140));

    assert!(registered);
    assert!(!entry.may_lead_by(ms(139), ms(150)));
    assert!(entry.may_lead_by(ms(140), ms(150)));
}

#[test]
fn an_entry_read_again_counts_from_its_registration() {
    let mut entry = OwnEntry::default();
    entry.observe_listed(ms(100), ms(140));

    let registered = entry.observe_listed(ms(4000), ms(4040));

    assert!(!registered);
    assert!(entry.may_lead_by(ms(3900), ms(4050)));
}

#[test]
fn an_entry_that_was_missing_counts_from_its_reappearance() {
    let mut entry = OwnEntry::default();
    entry.observe_listed(ms(100), ms(140));
    entry.clear();
    let hidden = entry.may_lead_by(ms(5000), ms(5000));

    let registered = entry.observe_listed(ms(6000), ms(6040));

    assert!(!hidden && registered);
    assert!(!entry.may_lead_by(ms(6010), ms(6050)));
}

#[test]
fn an_entry_without_a_recent_read_gives_no_lease() {
    let mut entry = OwnEntry::default();
    entry.observe_listed(ms(100), ms(140));
    let late = ms(100) + LISTING_VALIDITY;

    let before = entry.may_lead_by(late, late);
    entry.renew(ms(2000));

    assert!(!before);
    assert!(entry.may_lead_by(late, late));
}

#[test]
fn a_leaving_instance_does_not_lead_by_an_older_read_of_the_list() {
    // A stopping instance removes its entry, and a change that does not wait for it begins. The
    // response to its last read of the list, which still shows the entry, must not permit
    // acknowledgments for the replaced primary.
    let mut entry = OwnEntry::default();
    entry.observe_listed(ms(100), ms(140));
    entry.leave();

    let registered = entry.observe_listed(ms(4990), ms(5030));

    assert!(!registered);
    assert!(!entry.may_lead_by(ms(5040), ms(5050)));
}

/// An instance must not lead by an entry that another instance has removed.
#[test]
fn a_registration_missing_from_a_later_list_gives_no_lease() {
    let second = Duration::from_secs;
    let mut entry = OwnEntry::default();
    entry.observe_listed(second(10), second(11));

    let older = entry.observe_missing(second(11));
    let may_lead = entry.may_lead_by(second(12), second(13));
    let later = entry.observe_missing(second(14));

    assert!(!older && may_lead, "a list from before the registration is ignored");
    assert!(later && !entry.may_lead_by(second(15), second(15)));
}
