use super::{ReportBuilder, ReportError};

/// Returns a line as an instance writes it, behind a collector's prefix.
fn line(second: u32, instance: &str, message: &str, facts: &str) -> String {
    format!(
        r#" {second}.5 {instance} {{"timestamp":"2026-04-14T22:09:{second:02}.5+00:00","level":"INFO","message":"{message}","kvs":{{{facts}}}}}"#
    )
}

const CHANGED: &str = r#""service":"orders","epoch":"2","phase":"Changing","age_ms":3"#;
const REFUSED: &str = r#""request":"r1","service":"orders","outcome":"not_run","reason":"no primary is confirmed","record_age_ms":2900"#;

fn builder(lines: &[String]) -> ReportBuilder {
    let mut builder = ReportBuilder::new("r1");
    for line in lines {
        builder.add_line(line, "a-file");
    }
    builder
}

#[test]
fn a_refusal_is_traced_to_the_change_of_its_services_primary() {
    let lines = [
        line(20, "entry-1", "a statement was refused", REFUSED),
        line(19, "entry-1", "the record of the primary changed", CHANGED),
        line(19, "entry-2", "the record of the primary changed", &CHANGED.replace(":3", ":7")),
        line(
            19,
            "entry-2",
            "the record of the primary changed",
            r#""service":"pages","epoch":"9""#,
        ),
        line(
            1,
            "entry-1",
            "the record of the primary changed",
            r#""service":"orders","epoch":"1""#,
        ),
        line(20, "entry-1", "a statement was refused", &REFUSED.replace("r1", "r2")),
    ];

    let report = builder(&lines).finish().expect("the request is named");

    insta::assert_snapshot!(report);
}

#[test]
fn lines_of_several_instances_are_put_in_order() {
    let lines = [
        line(22, "entry-2", "a read ran out of time", r#""request":"r1","outcome":"timed_out""#),
        line(21, "entry-1", "a read got no answer", r#""request":"r1","outcome":"next_member""#),
    ];

    let report = builder(&lines).finish().expect("the request is named").to_string();

    let first = report.find("got no answer").expect("it is reported");
    let second = report.find("out of time").expect("it is reported");
    assert!(first < second);
    assert!(report.contains("outcome: timed_out"));
}

#[test]
fn request_missing_from_the_logs_is_an_error() {
    let lines = [line(20, "entry-1", "a statement was refused", &REFUSED.replace("r1", "r2"))];

    let error = builder(&lines).finish().expect_err("no line names it");

    assert_eq!(error, ReportError::RequestNotFound { id: "r1".to_owned(), lines: 1 });
}

#[test]
fn text_that_no_instance_wrote_is_skipped() {
    let cut_off = r#" 3.5 entry-1 {"timestamp":"2026-04-14T22:0"#;
    let foreign = r#"{"level":"INFO"}"#;

    let error = builder(&[cut_off.to_owned(), foreign.to_owned(), "text".to_owned()]).finish();

    assert_eq!(error, Err(ReportError::NoLogLines));
}

#[test]
fn every_reason_of_a_refusal_has_a_meaning() {
    let reasons = [
        "no primary is confirmed",
        "the primary's position is not known",
        "too much work is waiting",
        "all connections are in use",
        "no member could serve the read in time",
        "the account's limit is used up",
        "the account's limit cannot be looked up",
        "holders_overloaded",
    ];
    for reason in reasons {
        let refused = REFUSED.replace("no primary is confirmed", reason);
        let lines = [line(20, "entry-1", "a statement was refused", &refused)];

        let report = builder(&lines).finish().expect("the request is named").to_string();

        assert!(report.contains(&format!("outcome: not_run, {reason}\n  ")), "{report}");
    }
}

#[test]
fn instance_that_repeats_a_line_counts_once() {
    let full = r#""service":"orders","member":"orders-1","outcome":"connection_limit""#;
    let refused = line(20, "entry-1", "a statement was refused", REFUSED);
    let mut lines = vec![refused];
    for instance in ["entry-1", "entry-2", "entry-3", "entry-2", "entry-1"] {
        lines.push(line(19, instance, "a connection to a member was not opened", full));
    }

    let report = builder(&lines).finish().expect("the request is named").to_string();

    assert!(report.contains("entry-1 and 2 more: a connection"), "{report}");
}

const FORWARDED: &str = "a forwarded request was not served";
const ROLE: &str = "the role of this instance in counting the operations of an account changed";

/// A caller's error arises at another instance than the one that answered it.
#[test]
fn a_forwarded_statement_is_followed_from_its_origin_to_the_holder_and_the_member() {
    let declined =
        r#""request":"r1","origin":"10.0.0.1:7000","reason":"draining","outcome":"declined""#;
    let passed_on = r#""request":"r1","service":"orders","holder":"entry-2","reason":"draining","outcome":"declined","took_ms":2"#;
    let full = r#""service":"orders","member":"orders-1","outcome":"connection_limit""#;
    let in_use = r#""request":"r1","service":"orders","member":"orders-1","outcome":"not_run","reason":"all connections are in use""#;
    let refused = r#""request":"r1","service":"orders","holder":"entry-3","reason":"busy","outcome":"refused","took_ms":210"#;
    let lines = [
        line(24, "entry-1", FORWARDED, refused),
        line(20, "entry-2", "a forwarded request was declined", declined),
        line(20, "entry-2", "this instance begins to shut down", r#""grace_ms":900"#),
        line(21, "entry-1", FORWARDED, passed_on),
        line(22, "entry-3", "a connection to a member was not opened", full),
        line(23, "entry-3", "a statement was refused", in_use),
    ];

    let report = builder(&lines).finish().expect("the request is named");

    insta::assert_snapshot!(report);
}

/// The caller was told that the outcome is unknown, whatever its holder logs afterwards.
#[test]
fn outcome_at_the_origin_prevails_over_a_late_one_of_the_holder() {
    let in_doubt = r#""request":"r1","service":"orders","holder":"entry-2","reason":"silent","outcome":"in_doubt""#;
    let served = r#""request":"r1","service":"orders","outcome":"served""#;
    let lines = [
        line(20, "entry-1", FORWARDED, in_doubt),
        line(21, "entry-2", "a statement was served", served),
    ];

    let report = builder(&lines).finish().expect("the request is named").to_string();

    assert!(report.contains("outcome: in_doubt, silent\n"), "{report}");
    assert!(report.contains("    the holder did not answer for 600 ms"), "{report}");
}

/// A served request leaves only one line in 64, so a request may end with a step that failed.
#[test]
fn last_step_of_a_forwarded_request_has_a_meaning() {
    for outcome in ["declined", "not_sent", "lost", "in_doubt", "refused"] {
        let facts = format!(
            r#""request":"r1","service":"orders","holder":"entry-2","reason":"closed","outcome":"{outcome}""#
        );

        let report = builder(&[line(20, "entry-1", FORWARDED, &facts)]).finish();

        let report = report.expect("the request is named").to_string();
        assert!(report.contains(&format!("outcome: {outcome}, closed\n  ")), "{report}");
    }
}

/// A refusal below the limit follows from the role of the owner, which logs no line of the request.
#[test]
fn a_refused_operation_shows_the_roles_of_its_owners_only() {
    let refused = r#""request":"r1","account":"shop","owner":"entry-7","priority":2,"decided_by":"local","reserved":true,"reason":"the account's limit is used up","outcome":"not_run""#;
    let lines = [
        line(20, "entry-1", "an operation was refused", refused),
        line(18, "entry-7", ROLE, r#""account":"shop","before":"Absent","role":"Provisional""#),
        line(18, "entry-1", ROLE, r#""account":"other","before":"Absent","role":"Full""#),
    ];

    let report = builder(&lines).finish().expect("the request is named").to_string();

    assert!(report.contains("    the owner had said that all tokens are promised"), "{report}");
    assert!(report.contains("    a token is held for a retry in this session"), "{report}");
    assert!(report.contains("entry-7: the role"), "{report}");
    assert!(report.contains("    an earlier owner has become silent"), "{report}");
    assert!(!report.contains("account=other"), "{report}");
}
