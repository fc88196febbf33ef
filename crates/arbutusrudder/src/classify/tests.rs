//! Tests of the classification of statements.

use super::estimate::count_tokens;
use super::facts::{SessionChange, TransactionStep};
use super::scan::classify_text;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::tokenizer::Tokenizer;

#[test]
fn only_provable_reads_are_reads() {
    let reads = [
        "SELECT 1",
        "select count(*) from pages where state = 'claimed' -- update",
        "WITH recent AS (SELECT * FROM orders) SELECT max(id) FROM recent",
        "VALUES (1), (2)",
        "SELECT 'insert into x'",
    ];
    let writes = [
        "INSERT INTO orders VALUES (1)",
        "SELECT * FROM pages FOR UPDATE",
        "SELECT claim_page(7)",
        "SELECT \"Claim\"(7)",
        "WITH gone AS (DELETE FROM pages RETURNING id) SELECT * FROM gone",
        "SELECT * INTO copy FROM pages",
        "SELECT 1; DELETE FROM pages",
        "EXPLAIN ANALYZE DELETE FROM pages",
        "SELECT 'unterminated",
    ];

    let misread = writes.iter().filter(|text| classify_text(text).is_read()).collect::<Vec<_>>();
    let missed = reads.iter().filter(|text| !classify_text(text).is_read()).collect::<Vec<_>>();

    assert_eq!(misread, Vec::<&&str>::new());
    assert_eq!(missed, Vec::<&&str>::new());
}

#[test]
fn transaction_steps_are_recognized() {
    let step_of = |text: &str| classify_text(text).statements[0].step;

    let steps =
        ["BEGIN", "START TRANSACTION READ ONLY", "END", "ROLLBACK TO SAVEPOINT a"].map(step_of);

    assert_eq!(
        steps,
        [
            Some(TransactionStep::Begin { read_only: false }),
            Some(TransactionStep::Begin { read_only: true }),
            Some(TransactionStep::End),
            None,
        ]
    );
}

#[test]
fn set_and_show_give_name_and_value() {
    let change_of = |text: &str| classify_text(text).statements[0].change.clone();

    let set = change_of("SET rudder.key = 'claim-7'");
    let to = change_of("SET SESSION TimeZone TO 'Europe/London'");
    let show = change_of("SHOW rudder.session");

    assert_eq!(
        set,
        Some(SessionChange::Set {
            name: "rudder.key".into(),
            value: Some("claim-7".into()),
            statement: "SET rudder.key = 'claim-7'".into(),
        })
    );
    assert!(matches!(to, Some(SessionChange::Set { name, value: Some(value), .. })
        if name == "timezone" && value == "Europe/London"));
    assert_eq!(show, Some(SessionChange::Show { name: "rudder.session".into() }));
}

#[test]
fn request_keys_are_read_from_comments_only() {
    let commented = classify_text("/* rudder:key=claim-7 */ UPDATE pages SET by = 'anna'");
    let quoted = classify_text("SELECT '/* rudder:key=claim-7 */'");

    assert_eq!(commented.key.map(|key| key.to_string()), Some("claim-7".to_owned()));
    assert_eq!(quoted.key, None);
}

#[test]
fn statements_that_need_their_own_connection_are_refused() {
    let texts = [
        "LISTEN news",
        "PREPARE a AS SELECT 1",
        "CREATE TEMP TABLE t (a int)",
        "DECLARE c CURSOR WITH HOLD FOR SELECT 1",
        "SELECT pg_advisory_lock(1)",
    ];

    let accepted = texts
        .iter()
        .filter(|text| classify_text(text).statements[0].refusal.is_none())
        .collect::<Vec<_>>();

    assert_eq!(accepted, Vec::<&&str>::new());
}

/// Guards against texts whose tokens take far more memory than was reserved for them.
#[test]
fn the_estimate_of_tokens_is_an_upper_bound() {
    const PIECES: [&str; 24] = [
        "'", "''", "\"", "e'", "E'\\''", "xe'\\'", "$$", "$a$", "$1", "$", "--", "\n", "/*", "*/",
        "/", "*", " ", "1", ",", "word", "1.5e3", "->>", "U&'", "é",
    ];
    let mut rng = StdRng::seed_from_u64(51);

    for _ in 0..20_000 {
        let length = rng.random_range(1..24);
        let text: String = (0..length).map(|_| PIECES[rng.random_range(0..PIECES.len())]).collect();
        let mut tokens = Vec::new();
        // After an error, the list holds the tokens before it.
        let _ = Tokenizer::new(&PostgreSqlDialect {}, &text)
            .with_unescape(false)
            .tokenize_with_location_into_buf(&mut tokens);
        let estimate = count_tokens(text.as_bytes());
        assert!(estimate >= tokens.len(), "{estimate} of {}: {text:?}", tokens.len());
    }
}
