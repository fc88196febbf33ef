//! Tests of submissions: concurrent operators, lost responses, outages, rejections, and pruning.

use crate::common::{
    FaultyStore, PutFault, SubmissionDuringPruning, UpdateFaults, change, domain_file, file,
    standin, store, store_with_long_timeout,
};
use rudder_standins::{PlatformFaults, PlatformOutage};
use rudder_store::{
    FolderChange, KubeStore, ObjectKind, PlatformStore, RevisionNumber, SettingsRevision,
    SubmitError, poll_revision, read_revision, submit_change,
};
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

async fn revision(store: &KubeStore) -> SettingsRevision {
    let read = read_revision(store).await.expect("the stand-in answers");
    read.map(|(_, revision)| revision).unwrap_or_default()
}

fn names(revision: &SettingsRevision) -> Vec<&str> {
    revision.files.iter().map(|file| file.name.as_str()).collect()
}

/// Six operators concurrently add one file each, starting from the same revision. Without
/// conditional updates, the last one would overwrite the changes of the five others.
#[tokio::test]
async fn concurrent_submissions_are_all_accepted() {
    let standin = standin().await;
    let stems = ["a", "b", "c", "d", "e", "f"];

    let submissions = stems.map(|stem| {
        let store = store_with_long_timeout(&standin);
        async move { submit_change(&store, change(&[domain_file(stem, "north")])).await }
    });
    let outcomes = futures::future::join_all(submissions).await;

    let store = store_with_long_timeout(&standin);
    let mut numbers: Vec<u64> =
        outcomes.into_iter().map(|outcome| outcome.unwrap().number.0).collect();
    numbers.sort_unstable();
    assert_eq!(numbers, vec![1, 2, 3, 4, 5, 6]);
    let revision = revision(&store).await;
    assert_eq!(revision.number, RevisionNumber(6));
    assert_eq!(names(&revision), ["a.toml", "b.toml", "c.toml", "d.toml", "e.toml", "f.toml"]);
}

/// Two operators fetched revision 1 and change the same file differently. If both were accepted,
/// the later one would silently overwrite the change of the earlier one.
#[tokio::test]
async fn concurrent_changes_of_one_file_conflict() {
    let standin = standin().await;
    let store = store_with_long_timeout(&standin);
    submit_change(&store, change(&[domain_file("a", "north")])).await.unwrap();
    let base = revision(&store).await;
    let concurrent_change = |region: &str| FolderChange {
        base: Some(base.clone()),
        ..change(&[domain_file("a", region)])
    };

    let (one, other) = tokio::join!(
        submit_change(&store, concurrent_change("south")),
        submit_change(&store, concurrent_change("east"))
    );

    let (accepted, refused) = if one.is_ok() { (one, other) } else { (other, one) };
    assert_eq!(accepted.unwrap().number, RevisionNumber(2));
    assert!(matches!(refused, Err(SubmitError::FileConflict(_))), "{refused:?}");
    assert_eq!(revision(&store).await.number, RevisionNumber(2));
}

/// An operator submits a whole folder to change a.toml, but its copy of b.toml is outdated because
/// another operator replaced that file. The submission must not revert b.toml.
#[tokio::test]
async fn unchanged_files_of_an_old_copy_do_not_revert_others() {
    let standin = standin().await;
    let store = store_with_long_timeout(&standin);
    let old_copy = [domain_file("a", "north"), domain_file("b", "north")];
    submit_change(&store, change(&old_copy)).await.unwrap();
    let base = revision(&store).await;
    submit_change(&store, change(&[domain_file("b", "south")])).await.unwrap();
    let newer = revision(&store).await;

    let whole = [domain_file("a", "west"), old_copy[1].clone()];
    let outcome =
        submit_change(&store, FolderChange { base: Some(base), ..change(&whole) }).await.unwrap();

    let b = "b.toml".parse().unwrap();
    assert_eq!(outcome.number, RevisionNumber(3));
    assert_eq!(revision(&store).await.object(&b), newer.object(&b));
}

/// An operator removes a file that another one added after the fetch. If the file were treated as
/// absent, the removal would have no effect and still be reported as successful.
#[tokio::test]
async fn removing_what_the_base_lacks_is_refused() {
    let standin = standin().await;
    let store = store_with_long_timeout(&standin);
    submit_change(&store, change(&[domain_file("a", "north")])).await.unwrap();
    let base = Some(revision(&store).await);
    submit_change(&store, change(&[domain_file("b", "south")])).await.unwrap();

    let remove = vec!["b.toml".parse().unwrap()];
    let result =
        submit_change(&store, FolderChange { base, remove, ..FolderChange::default() }).await;

    assert!(matches!(result, Err(SubmitError::FileConflict(_))), "{result:?}");
}

/// The platform applies the writes of the file and of the revision, but both responses are lost.
/// The submission must report the revision that was created instead of creating a second one.
#[tokio::test]
async fn lost_responses_make_one_revision() {
    let standin = standin().await;
    let store = store_with_long_timeout(&standin);
    standin.set_faults(PlatformFaults { lost_answers: 2, ..PlatformFaults::default() });

    let outcome = submit_change(&store, change(&[domain_file("a", "north")])).await.unwrap();

    assert_eq!(standin.faults().lost_answers, 0);
    assert_eq!((outcome.number, outcome.changed), (RevisionNumber(1), true));
    assert_eq!(revision(&store).await.number, RevisionNumber(1));
}

/// The response is lost, and another operator replaces the same file before the writer reads it
/// back. Only the writer's mark shows that its change was accepted.
#[tokio::test]
async fn lost_response_is_recognised_under_a_later_revision() {
    let standin = standin().await;
    let inner = store_with_long_timeout(&standin);
    let concurrent_change = change(&[domain_file("a", "south")]);
    let script =
        UpdateFaults(Mutex::new(vec![PutFault::LostResponseAfterSubmission(concurrent_change)]));
    let scripted = FaultyStore { inner, script };

    let outcome = submit_change(&scripted, change(&[domain_file("a", "north")])).await.unwrap();

    assert_eq!((outcome.number, outcome.changed), (RevisionNumber(1), true));
    assert_eq!(revision(&scripted.inner).await.number, RevisionNumber(2));
}

/// The request of an update is lost. If the update were treated as accepted, the operator's change
/// would be missing although it was reported to be in force.
#[tokio::test]
async fn lost_request_is_retried() {
    let standin = standin().await;
    let inner = store_with_long_timeout(&standin);
    let script = UpdateFaults(Mutex::new(vec![PutFault::LostRequest]));
    let scripted = FaultyStore { inner, script };

    let outcome = submit_change(&scripted, change(&[domain_file("a", "north")])).await.unwrap();

    assert_eq!((outcome.number, outcome.changed), (RevisionNumber(1), true));
    assert_eq!(names(&revision(&scripted.inner).await), ["a.toml"]);
}

/// The connection is lost during an update, and the platform stays unreachable. It is unknown
/// whether the change is in force, so neither "accepted" nor "nothing was changed" may be reported.
#[tokio::test]
async fn lost_request_before_an_outage_is_unresolved() {
    let standin = standin().await;
    let inner = store_with_long_timeout(&standin);
    let mut faults: Vec<PutFault> = (0..100).map(|_| PutFault::ConnectionRefused).collect();
    faults.push(PutFault::LostRequest);
    let scripted = FaultyStore { inner, script: UpdateFaults(Mutex::new(faults)) };

    let result = submit_change(&scripted, change(&[domain_file("a", "north")])).await;

    assert_eq!(result, Err(SubmitError::Unresolved));
}

/// The platform is down during the whole submission, so the result states that nothing was changed.
#[tokio::test]
async fn submission_during_an_outage_is_unavailable() {
    let standin = standin().await;
    let outage = PlatformOutage::Refused;
    standin.set_faults(PlatformFaults { outage, ..PlatformFaults::default() });

    let store_with_short_timeout = store(&standin, Duration::from_millis(100));
    let result =
        submit_change(&store_with_short_timeout, change(&[domain_file("a", "north")])).await;
    standin.set_faults(PlatformFaults::default());

    assert_eq!(result, Err(SubmitError::Unavailable));
}

/// An operator removes a failure domain that a member in another file refers to. The submission is
/// rejected with the location of the reference, and the revision in force remains.
#[tokio::test]
async fn invalid_merge_is_refused_and_the_revision_stays() {
    let standin = standin().await;
    let store = store_with_long_timeout(&standin);
    let service = file(
        "service.toml",
        "[services.s.members.m]\naddress = \"10.0.0.1:5432\"\ndomain = \"a\"\nslots = 1\n\
         connections = 1\n",
    );
    submit_change(&store, change(&[domain_file("a", "north"), service])).await.unwrap();
    let before = revision(&store).await;

    let remove = vec!["a.toml".parse().unwrap()];
    let result = submit_change(&store, FolderChange { remove, ..FolderChange::default() }).await;

    let Err(SubmitError::Invalid(refusal)) = result else { panic!("{result:?}") };
    assert_eq!(
        refusal.to_string(),
        "service.toml:3: services.s.members.m.domain: failure domain \"a\" is not declared; \
         declare it with [domains.a]"
    );
    assert_eq!(revision(&store).await, before);
}

#[tokio::test]
async fn same_content_makes_no_revision() {
    let standin = standin().await;
    let store = store_with_long_timeout(&standin);
    submit_change(&store, change(&[domain_file("a", "north")])).await.unwrap();

    let again = submit_change(&store, change(&[domain_file("a", "north")])).await.unwrap();

    assert_eq!((again.number, again.changed), (RevisionNumber(1), false));
}

/// A platform restored from an old backup has a lower revision number than the instances, which
/// would never adopt its revisions. The operator therefore raises the next number above theirs.
#[tokio::test]
async fn number_can_be_raised_above_what_instances_hold() {
    let standin = standin().await;
    let store = store_with_long_timeout(&standin);
    submit_change(&store, change(&[domain_file("a", "north")])).await.unwrap();

    let raised = FolderChange { above: RevisionNumber(40), ..FolderChange::default() };
    let outcome = submit_change(&store, raised).await.unwrap();

    assert_eq!(outcome.number, RevisionNumber(41));
}

/// Operators replace one file repeatedly, and each content is a separate object. Without pruning,
/// they would fill the platform; pruning too much would remove files that readers still need.
#[tokio::test]
async fn old_files_are_pruned_after_a_few_revisions() {
    let standin = standin().await;
    let store = store_with_long_timeout(&standin);
    let mut objects = Vec::new();
    for round in 0..10 {
        let file = domain_file("a", &format!("region-{round}"));

        submit_change(&store, change(&[file])).await.unwrap();

        let revision = revision(&store).await;
        objects.push(revision.files[0].object.clone());
    }

    let kept = store.list(ObjectKind::SettingsFile).await.unwrap();
    let kept: Vec<&String> = kept.iter().map(|object| &object.name).collect();
    assert!(objects[7..].iter().all(|object| kept.contains(&object)), "{kept:?}");
    assert!(!objects[..5].iter().any(|object| kept.contains(&object)), "{kept:?}");
}

/// An instance has read revision 8 and is about to read its files when an operator replaces the
/// oldest of them. If its object were removed immediately, instances that read at that time would
/// fail to follow.
#[tokio::test]
async fn files_of_the_last_revisions_stay_readable_however_old() {
    let standin = standin().await;
    let store = store_with_long_timeout(&standin);
    submit_change(&store, change(&[domain_file("a", "north")])).await.unwrap();
    for region in ["one", "two", "three", "four", "five", "six", "seven"] {
        submit_change(&store, change(&[domain_file("b", region)])).await.unwrap();
    }
    let read = revision(&store).await;

    submit_change(&store, change(&[domain_file("a", "south")])).await.unwrap();

    for file in &read.files {
        let object = store.get(ObjectKind::SettingsFile, &file.object).await.unwrap();
        assert!(object.is_some(), "{}", file.object);
    }
}

/// One operator has listed an old object and is about to prune it while another submits the content
/// of that object again. If it were removed, the new revision would reference a missing object.
#[tokio::test]
async fn pruning_keeps_an_object_that_another_writer_reuses() {
    let standin = standin().await;
    let store = store_with_long_timeout(&standin);
    for region in ["old", "two", "three", "four"] {
        submit_change(&store, change(&[domain_file("a", region)])).await.unwrap();
    }
    let concurrent_change = change(&[domain_file("a", "old")]);
    let script = SubmissionDuringPruning {
        concurrent_change: Mutex::new(Some(concurrent_change)),
        listed: AtomicBool::new(false),
    };
    let overtaken = FaultyStore { inner: store_with_long_timeout(&standin), script };

    submit_change(&overtaken, change(&[domain_file("a", "five")])).await.unwrap();
    let bundle = poll_revision(&store, None).await.unwrap().unwrap();

    assert!(overtaken.script.concurrent_change.lock().unwrap().is_none());
    assert_eq!(bundle.number, RevisionNumber(6));
    assert_eq!(bundle.merge().unwrap().fleet.domains[0].region, "old");
}

/// Simulates a hash collision by replacing the content of an object. If the submission were
/// accepted, the revision would reference content that was not validated.
#[tokio::test]
async fn another_text_under_the_same_name_is_refused() {
    let standin = standin().await;
    let store = store_with_long_timeout(&standin);
    submit_change(&store, change(&[domain_file("a", "north")])).await.unwrap();
    let object = revision(&store).await.files[0].object.clone();
    let remove = vec!["a.toml".parse().unwrap()];
    submit_change(&store, FolderChange { remove, ..FolderChange::default() }).await.unwrap();
    let stored = store.get(ObjectKind::SettingsFile, &object).await.unwrap().unwrap();
    let mut spec = stored.spec.clone();
    spec["text"] = "# another text".into();
    store.put(ObjectKind::SettingsFile, &object, Some(&stored.version), spec).await.unwrap();

    let result = submit_change(&store, change(&[domain_file("a", "north")])).await;

    assert!(matches!(result, Err(SubmitError::Platform(_))), "{result:?}");
    assert_eq!(revision(&store).await.number, RevisionNumber(2));
}

/// An operator repeatedly returns to earlier content while old objects are pruned. Each revision
/// must be readable as soon as it is accepted.
#[tokio::test]
async fn reused_text_is_readable() {
    let standin = standin().await;
    let store = store_with_long_timeout(&standin);
    for region in ["one", "two", "three", "one", "four", "five", "six", "seven", "one"] {
        submit_change(&store, change(&[domain_file("a", region)])).await.unwrap();

        let bundle = poll_revision(&store, None).await.unwrap().unwrap();

        assert_eq!(bundle.merge().unwrap().fleet.domains[0].region, region);
    }
}
