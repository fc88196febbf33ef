//! Startup and log output.

use crate::program::settings_text;
use crate::program::{
    Fleet, PASSWORD_VARIABLE, SettingsPath, execute_until_accepted, rows_of, run_to_end,
};
use rudder_standins::{PlatformFaults, PlatformOutage};
use serde_json::Value;
use std::net::TcpListener;
use tokio_postgres::error::SqlState;

/// A proxy that starts while the platform is unavailable must get its settings from a peer; it
/// would refuse all callers if settings came from the platform only.
#[tokio::test(flavor = "multi_thread")]
async fn a_program_started_during_an_outage_uses_its_peers_settings() {
    let mut fleet = Fleet::start(1).await;
    let outage = PlatformOutage::Refused;
    fleet.deployment.platform.set_faults(PlatformFaults { outage, ..PlatformFaults::default() });

    fleet.add("", &[]).await;
    let (client, _) = fleet.programs[1].connect("").await;
    execute_until_accepted(&client, "CREATE TABLE parts (id int)").await;
    execute_until_accepted(&client, "INSERT INTO parts VALUES (1)").await;

    assert_eq!(rows_of(&client, "SELECT id FROM parts").await, ["1"]);
}

#[test]
fn a_failed_start_prints_one_line() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    let good = settings_text("http://127.0.0.1:1", 0, &[]);
    let in_use = good.replacen("127.0.0.1:0", &address, 1);
    let cases = [
        (good.clone() + "listne = 1\n", "listne"),
        (good.replace("http://", "ftp://"), "platform must be an address"),
        (in_use, "cannot listen on"),
    ];

    for (text, expected) in cases {
        let settings = SettingsPath::write(&text);
        let output = run_to_end(&["--settings", settings.0.to_str().unwrap()]);
        assert_one_line_error(&output, expected);
    }
    assert_one_line_error(&run_to_end(&["--settings", "/no/such/file.toml"]), "cannot be read");
}

#[test]
fn a_check_reads_the_settings_and_opens_nothing() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    let text = settings_text("http://127.0.0.1:1", 0, &[]).replace("127.0.0.1:0", &address);
    let (good, bad) = (SettingsPath::write(&text), SettingsPath::write("listen = 1\n"));

    let passed = run_to_end(&["--check", "--settings", good.0.to_str().unwrap()]);
    let failed = run_to_end(&["--check", "--settings", bad.0.to_str().unwrap()]);

    assert_eq!((passed.status.code(), passed.stderr), (Some(0), Vec::new()));
    assert_eq!(failed.status.code(), Some(1));
}

/// Login errors must not quote the password that was sent, and each routing decision must be logged
/// with its reason, so that slow reads can be explained.
#[tokio::test(flavor = "multi_thread")]
async fn routing_decisions_are_logged_with_a_reason_and_without_passwords() {
    let extra = format!("[[passwords]]\nuser = \"copyist\"\nvariable = \"{PASSWORD_VARIABLE}\"\n");
    let mut fleet = Fleet::start(0).await;
    fleet.add(&extra, &[(PASSWORD_VARIABLE, "agnus-dei-77")]).await;
    let program = &fleet.programs[0];
    let (client, _) = program.connect("password=agnus-dei-77").await;
    let wrong = program.try_connect("password=gloria-88").await.expect_err("refused");

    execute_until_accepted(&client, "CREATE TABLE parts (id int)").await;
    rows_of(&client, "SELECT id FROM parts").await;
    let write = program.line("rudder::route", "write routed").await;
    let read = program.line("rudder::route", "read routed").await;

    let reasons = ["least_time", "only_fresh", "catch_up", "floor_ahead", "too_old"];
    let reasons = [&reasons[..], &["replicas_busy", "no_replica"]].concat();
    assert_eq!(wrong.code().map(SqlState::code), Some("28P01"));
    assert_eq!(write["kvs"]["reason"], "primary");
    assert!(reasons.contains(&read["kvs"]["reason"].as_str().unwrap()), "{read}");
    for line in program.lines() {
        assert!(serde_json::from_str::<Value>(&line).is_ok(), "not JSON: {line}");
        assert!(!line.contains("agnus-dei-77") && !line.contains("gloria-88"), "{line}");
    }
}

fn assert_one_line_error(output: &std::process::Output, expected: &str) {
    let text = String::from_utf8_lossy(&output.stderr);

    assert_eq!(output.status.code(), Some(1), "{text}");
    let messages: Vec<&str> = text.lines().filter(|line| !line.starts_with('{')).collect();
    assert_eq!(messages.len(), 1, "{text}");
    assert!(messages[0].starts_with("arbutusrudder: ") && messages[0].contains(expected), "{text}");
}
