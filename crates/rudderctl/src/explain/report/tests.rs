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
