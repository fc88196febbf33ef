use super::current::PolicySettings;
use super::summary::LoadSummary;
use super::workloads::saturation;
use super::{SEED, group, simulate_both};
use std::time::Duration;

fn settings() -> PolicySettings {
    PolicySettings {
        queue_wait: Duration::from_millis(500),
        queue_max: 40,
        ..PolicySettings::default()
    }
}

// At twice the capacity and without limits every request exceeds its caller's timeout, and the
// group executes statements whose responses nobody waits for.
#[test]
fn goodput_is_maintained_at_twice_saturation() {
    let (full, double) = (saturation(1.0, SEED), saturation(2.0, SEED));

    let (full_current, _) = simulate_both(&group(), &full, settings());
    let (double_current, double_baseline) = simulate_both(&group(), &double, settings());

    let served = |requests, outcomes| LoadSummary::of(requests, outcomes, |_, _| true).served;
    let at_saturation = served(&full, &full_current);
    assert!(served(&double, &double_current) * 10 >= at_saturation * 9);
    assert!(served(&double, &double_baseline) * 10 < at_saturation * 9);
}

// Under overload, requests of kinds that can retry later are refused first.
#[test]
fn deferrable_requests_are_shed_first() {
    let requests = saturation(1.3, SEED);

    let (current, _) = simulate_both(&group(), &requests, settings());

    let kept = LoadSummary::of(&requests, &current, |request, _| !request.shed);
    let deferrable = LoadSummary::of(&requests, &current, |request, _| request.shed);
    assert!(kept.served_share() > 0.9, "{kept:?}");
    assert!(deferrable.served_share() < 0.7, "{deferrable:?}");
    assert!(deferrable.served_share() > 0.1, "deferrable requests are not starved: {deferrable:?}");
}

// A refusal arrives at the latest when the queue wait expires, and in most cases immediately, as a
// caller that is refused after a wait has waited in vain.
#[test]
fn refusals_arrive_within_the_queue_wait() {
    let requests = saturation(2.0, SEED);

    let (current, _) = simulate_both(&group(), &requests, settings());

    let refusal_delays: Vec<Duration> = requests
        .iter()
        .zip(&current)
        .filter_map(|(request, outcome)| Some(outcome.refused?.0 - request.at))
        .collect();
    assert!(!refusal_delays.is_empty());
    assert!(refusal_delays.iter().all(|wait| *wait <= settings().queue_wait));
    let immediate = refusal_delays.iter().filter(|wait| wait.is_zero()).count();
    assert!(immediate * 20 > refusal_delays.len() * 17, "{immediate} of {}", refusal_delays.len());
}
