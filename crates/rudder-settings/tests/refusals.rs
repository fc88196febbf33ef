//! Tests of the error messages for invalid folders: file, line, key, problem and correction.

use rudder_settings::{SettingsFile, merge_folder};

const DOMAIN: &str = "[domains.kigali-a]\nregion = \"kigali\"\n";

const SERVICE: &str = r#"[services.orders.members.orders-1]
address = "10.20.1.11:5432"
domain = "kigali-a"
slots = 5
connections = 30
"#;

const CALLER: &str = r#"[callers.copyists]
users = ["anna"]
staleness = "2s"
"#;

fn refusal(files: &[(&str, &str)]) -> String {
    let files: Vec<SettingsFile> = files
        .iter()
        .map(|(name, text)| SettingsFile::new(name, *text).expect("the tests use allowed names"))
        .collect();
    match merge_folder(&files) {
        Ok(merged) => format!("accepted: {merged:?}"),
        Err(refusal) => refusal.to_string(),
    }
}

#[test]
fn unknown_keys() {
    let member = format!("{SERVICE}adress = \"10.20.1.12:5432\"\npassword = \"secret\"\n");
    let files = [
        ("10-domains.toml", DOMAIN),
        ("20-services.toml", &member),
        ("30-rest.toml", "[timings]\nread_wait = \"1s\"\n\n[timing]\nread_wiat = \"1s\"\n"),
    ];

    insta::assert_snapshot!(refusal(&files));
}

#[test]
fn wrong_units_and_types() {
    let member = r#"[services.orders]
ack = "all"
password_variable = "hunter2!"
[services.orders.members.orders-1]
address = "db.example.org:5432"
domain = 7
slots = "5"
connections = 30.5
speed = 40
draining = "yes"
"#;
    let caller = r#"[callers.copyists]
users = "anna"
staleness = 2
shed = "never"
in_flight_max = -1
queue_wait = "10 parsecs"
"#;
    let files =
        [("10-domains.toml", DOMAIN), ("20-services.toml", member), ("30-callers.toml", caller)];

    insta::assert_snapshot!(refusal(&files));
}

#[test]
fn values_out_of_range() {
    let member = r#"[services.orders.members.orders-1]
address = "10.20.1.11:0"
domain = "kigali-a"
slots = 0
connections = 0
speed = "0%"
"#;
    let few = r#"[services.pages.members.pages-1]
address = "10.20.1.12:5432"
domain = "kigali-a"
slots = 5
connections = 4
"#;
    let timing = r#"[timing]
probe_interval = "0s"
read_wait = "2d"
suspect_after = "300ms"
"#;
    let files = [
        ("10-domains.toml", DOMAIN),
        ("20-services.toml", member),
        ("21-more.toml", few),
        ("30-timing.toml", timing),
    ];

    insta::assert_snapshot!(refusal(&files));
}

#[test]
fn missing_keys() {
    let files = [
        ("10-domains.toml", "[domains.kigali-a]\n"),
        ("20-services.toml", "[services.orders.members.orders-1]\n\n[services.pages]\n"),
        ("30-callers.toml", "[callers.copyists]\n"),
    ];

    insta::assert_snapshot!(refusal(&files));
}

#[test]
fn members_given_twice() {
    let same_address = SERVICE.replace("orders-1", "orders-2");
    let same_name = SERVICE.replace("services.orders", "services.pages").replace(".11:", ".12:");
    let files = [
        ("10-domains.toml", DOMAIN),
        ("20-services.toml", SERVICE),
        ("21-address.toml", &same_address),
        ("22-name.toml", &same_name),
    ];

    insta::assert_snapshot!(refusal(&files));
}

#[test]
fn undeclared_domain() {
    let files = [
        ("10-domains.toml", DOMAIN),
        ("20-services.toml", &SERVICE.replace("kigali-a", "kigali-b")),
    ];

    insta::assert_snapshot!(refusal(&files));
}

#[test]
fn users_claimed_twice() {
    let other = CALLER.replace("copyists", "proofreaders");
    let twice = CALLER.replace("copyists", "crews").replace("[\"anna\"]", "[\"ben\", \"ben\"]");
    let files =
        [("10-a.toml", CALLER), ("20-b.toml", other.as_str()), ("30-c.toml", twice.as_str())];

    insta::assert_snapshot!(refusal(&files));
}

#[test]
fn syntax_errors_of_several_files() {
    let files = [
        ("10-twice.toml", "[timing]\nread_wait = \"1s\"\nread_wait = \"2s\"\n"),
        ("20-bare.toml", "[timing]\n\nread_wait = 1s\n"),
        ("30-open.toml", "[timing\n"),
    ];

    insta::assert_snapshot!(refusal(&files));
}

#[test]
fn tables_and_names() {
    let files = [
        ("10-flat.toml", "timing = 3\n"),
        ("20-name.toml", "[domains.\"Kigali A\"]\nregion = \"kigali\"\n"),
        ("30-flat.toml", "[services]\norders = \"10.20.1.11:5432\"\n"),
    ];

    insta::assert_snapshot!(refusal(&files));
}
