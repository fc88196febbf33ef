use super::current::PolicySettings;
use super::scenes::saturation;
use super::summary::LoadSummary;
use super::{SEED, group, play_both};
use std::time::Duration;

fn settings() -> PolicySettings {
    PolicySettings {
        queue_wait: Duration::from_millis(500),
        queue_max: 40,
        ..PolicySettings::default()
    }
}

// Twice as many callers come as can be served. Without limits everyone waits longer than they care
// to, and the group works on answers that nobody reads any more.
#[test]
fn goodput_stays_up_at_twice_saturation() {
    let (full, double) = (saturation(1.0, SEED), saturation(2.0, SEED));

    let (full_now, _) = play_both(&group(), &full, settings());
    let (double_now, double_plain) = play_both(&group(), &double, settings());

    let served = |requests, outcomes| LoadSummary::of(requests, outcomes, |_, _| true).served;
    let at_saturation = served(&full, &full_now);
    assert!(served(&double, &double_now) * 10 >= at_saturation * 9);
    assert!(served(&double, &double_plain) * 10 < at_saturation * 9);
}

// Under overload auditors, who can come back later, are turned away before crews, who cannot.
#[test]
fn what_can_wait_is_shed_first() {
    let requests = saturation(1.3, SEED);

    let (now, _) = play_both(&group(), &requests, settings());

    let crews = LoadSummary::of(&requests, &now, |request, _| !request.shed);
    let auditors = LoadSummary::of(&requests, &now, |request, _| request.shed);
    assert!(crews.served_share() > 0.9, "{crews:?}");
    assert!(auditors.served_share() < 0.7, "{auditors:?}");
    assert!(auditors.served_share() > 0.1, "shed work is slow, not starved: {auditors:?}");
}

// Whoever is refused learns it when the wait is over at the latest, and mostly at once: a
// caller told after half a second has lost it for nothing.
#[test]
fn refusals_come_within_the_wait() {
    let requests = saturation(2.0, SEED);

    let (now, _) = play_both(&group(), &requests, settings());

    let refused: Vec<Duration> = requests
        .iter()
        .zip(&now)
        .filter_map(|(request, outcome)| Some(outcome.refused?.0 - request.at))
        .collect();
    assert!(!refused.is_empty());
    assert!(refused.iter().all(|wait| *wait <= settings().queue_wait));
    let at_once = refused.iter().filter(|wait| wait.is_zero()).count();
    assert!(at_once * 20 > refused.len() * 17, "{at_once} of {}", refused.len());
}
