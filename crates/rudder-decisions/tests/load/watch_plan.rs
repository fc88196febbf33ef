use rudder_core::{InstanceName, ServiceName};
use rudder_decisions::WatchPlan;

const SERVICES: [usize; 5] = [3, 50, 300, 1000, 2000];

fn readers(count: usize) -> Vec<InstanceName> {
    (0..count).map(|number| format!("entry-{number}").parse().expect("a valid name")).collect()
}

fn service(number: usize) -> ServiceName {
    format!("records-{number}").parse().expect("a valid name")
}

/// Number of services that each reader watches.
fn watched(plan: WatchPlan, readers: &[InstanceName], services: usize) -> Vec<usize> {
    let count = |reader: &InstanceName| {
        (0..services)
            .filter(|number| plan.watches(&service(*number), reader, readers.iter()))
            .count()
    };
    readers.iter().map(count).collect()
}

// A reader of a fleet before a thousand services must not spend its processor on samples.
#[test]
fn no_reader_takes_more_than_some_hundred_samples_per_second() {
    let readers = readers(6);
    for services in SERVICES {
        let plan = WatchPlan::new(services, readers.len());

        for count in watched(plan, &readers, services) {
            // The services of one reader differ from the mean by chance.
            let rate = count as f64 / plan.interval().as_secs_f64();
            assert!(rate <= 250.0, "{services} services: {rate} samples per second");
        }
    }
}

// If a primary had a single watcher, that one's cut link would replace it.
#[test]
fn each_primary_has_several_watchers() {
    for count in [3, 4, 6, 7] {
        let readers = readers(count);
        for services in SERVICES {
            let plan = WatchPlan::new(services, count);
            let all: usize = watched(plan, &readers, services).iter().sum();
            let expected = if plan.is_close() { count } else { 3 };

            assert_eq!(all, expected * services, "{count} readers, {services} services");
        }
    }
}

// A lost primary must be replaced within six seconds; the lease and the promotion take two to three.
#[test]
fn a_lost_primary_is_noticed_in_time_before_a_thousand_services() {
    let plan = WatchPlan::new(1000, 6);

    assert!(plan.interval().as_secs_f64() <= 3.0, "{:?}", plan.interval());
}

// An instance that takes itself for a reader must not watch what others are asked to.
#[test]
fn instances_that_are_no_readers_watch_nothing() {
    let (readers, other) = (readers(6), "other".parse().expect("a valid name"));

    for services in SERVICES {
        let plan = WatchPlan::new(services, readers.len());
        assert!(!plan.watches(&service(1), &other, readers.iter()));
    }
}
