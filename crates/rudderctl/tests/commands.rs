//! Runs the built binary's commands against a stand-in of the platform.

use rudder_standins::{PlatformFaults, PlatformOutage, PlatformStandin};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::process::Command;

const SERVICE: &str = r#"[domains.a]
region = "north"

[services.orders.members.orders-1]
address = "10.0.0.1:5432"
domain = "a"
slots = 1
connections = 1

[services.orders.members.orders-2]
address = "10.0.0.2:5432"
domain = "a"
slots = 1
connections = 1
"#;

/// Output and exit code of a command.
struct CommandOutput {
    code: i32,
    stdout: String,
    stderr: String,
}

async fn rudderctl(args: &[&str]) -> CommandOutput {
    let binary = env!("CARGO_BIN_EXE_rudderctl");
    let output = Command::new(binary).args(args).output().await.expect("the binary is built");
    CommandOutput {
        code: output.status.code().expect("it ends by itself"),
        stdout: String::from_utf8(output.stdout).expect("it prints text"),
        stderr: String::from_utf8(output.stderr).expect("it prints text"),
    }
}

async fn start_platform() -> PlatformStandin {
    PlatformStandin::start(SocketAddr::from(([127, 0, 0, 1], 0))).await.expect("a free port")
}

/// Creates an empty folder for one test and writes the files into it.
fn folder(test: &str, files: &[(&str, &str)]) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("the target folder can be written");
    for (name, path_str) in files {
        std::fs::write(folder.join(name), path_str).expect("the target folder can be written");
    }
    folder
}

fn path_str(path: &Path) -> &str {
    path.to_str().expect("the target folder has a plain name")
}

/// Starts a platform that has accepted [`SERVICE`], and returns it with its address.
async fn start_platform_with_settings(test: &str) -> (PlatformStandin, String) {
    let standin = start_platform().await;
    let url = standin.url();
    let folder = folder(test, &[("10-all.toml", SERVICE)]);
    let output = rudderctl(&["submit", path_str(&folder), "--platform", &url]).await;
    assert_eq!((output.code, output.stdout.as_str()), (0, "accepted as revision 1\n"));
    (standin, url)
}

/// Starts a server that responds to every connection with `page`, and returns its address.
async fn status_page(page: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 2048];
            let _ = stream.read(&mut request).await;
            let length = page.len();
            let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{page}");
            let _ = stream.write_all(response.as_bytes()).await;
        }
    });
    address
}

#[tokio::test]
async fn check_passes_the_examples_without_a_platform() {
    let examples = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples");

    let inanga = rudderctl(&["check", path_str(&examples.join("inanga-scores"))]).await;
    let cyflwr = rudderctl(&["check", path_str(&examples.join("cyflwr-ffyrdd"))]).await;

    assert_eq!((inanga.code, cyflwr.code), (0, 0), "{}{}", inanga.stderr, cyflwr.stderr);
    insta::assert_snapshot!(format!("{}{}", inanga.stdout, cyflwr.stdout));
}

#[tokio::test]
async fn check_explains_which_file_gave_each_value() {
    let later = "[services.orders.members.orders-2]\nslots = 7\nconnections = 9\n";
    let folder = folder("explain", &[("10-all.toml", SERVICE), ("20-later.toml", later)]);

    let output = rudderctl(&["check", path_str(&folder), "--explain"]).await;

    assert_eq!(output.code, 0, "{}", output.stderr);
    insta::assert_snapshot!(output.stdout);
}

#[tokio::test]
async fn refused_folder_exits_with_one_and_names_every_problem() {
    let wrong = SERVICE.replace("slots = 1", "slot = 1");
    let folder = folder("refused", &[("10-all.toml", &wrong)]);

    let plain = rudderctl(&["check", path_str(&folder)]).await;
    let json = rudderctl(&["check", path_str(&folder), "--json"]).await;

    assert_eq!((plain.code, json.code), (1, 1));
    insta::assert_snapshot!(plain.stderr);
    let value: serde_json::Value = serde_json::from_str(&json.stdout).unwrap();
    assert_eq!(value["error"], "refused");
    assert_eq!(value["problems"][0]["place"]["line"], 4);
}

#[tokio::test]
async fn help_and_usage_errors_have_their_codes() {
    let help = rudderctl(&["--help"]).await;
    let wrong = rudderctl(&["chek", "folder"]).await;
    let name = rudderctl(&["drain", "NOT A NAME", "--service", "orders"]).await;
    let address = rudderctl(&["status", "--platform", "127.0.0.1:18001"]).await;

    assert_eq!((help.code, wrong.code, name.code, address.code), (0, 2, 2, 2));
    assert!(address.stderr.contains("give http://HOST:PORT"), "{}", address.stderr);
    insta::assert_snapshot!(help.stdout);
}

/// Two operators fetch the same revision, change the same file and submit it concurrently. One
/// submission is rejected; otherwise one change would be lost although both commands succeeded.
#[tokio::test]
async fn concurrent_submits_of_one_file_accept_one() {
    let (_standin, url) = start_platform_with_settings("race").await;
    let copies = ["race-one", "race-two"].map(|name| folder(name, &[]));
    for (index, copy) in copies.iter().enumerate() {
        rudderctl(&["fetch", path_str(copy), "--platform", &url]).await;
        let changed = SERVICE.replace("slots = 1", &format!("slots = 1 # {index}"));
        std::fs::write(copy.join("10-all.toml"), changed).unwrap();
    }

    let args = copies.each_ref().map(|copy| ["submit", path_str(copy), "--platform", &url]);
    let (one, other) = tokio::join!(rudderctl(&args[0]), rudderctl(&args[1]));

    let (accepted, refused) = if one.code == 0 { (one, other) } else { (other, one) };
    assert_eq!((accepted.code, accepted.stdout.as_str()), (0, "accepted as revision 2\n"));
    assert_eq!(refused.code, 1);
    assert!(
        refused.stderr.starts_with("10-all.toml was changed by another operator"),
        "{}",
        refused.stderr
    );
}

/// After a folder was fetched, another operator adds a file. Submitting the folder, which lacks
/// that file and holds older copies of the others, must not remove or revert the other operator's
/// changes.
#[tokio::test]
async fn fetched_folder_submits_only_its_own_changes() {
    let (_standin, url) = start_platform_with_settings("own").await;
    let own = folder("own-copy", &[]);
    rudderctl(&["fetch", path_str(&own), "--platform", &url]).await;
    let theirs = folder("own-theirs", &[("20-theirs.toml", "[timing]\nread_wait = \"9ms\"\n")]);
    rudderctl(&["submit", path_str(&theirs), "--platform", &url]).await;

    std::fs::write(own.join("30-mine.toml"), "[timing]\nack_timeout = \"3s\"\n").unwrap();
    let first = rudderctl(&["submit", path_str(&own), "--platform", &url]).await;
    let again = rudderctl(&["submit", path_str(&own), "--platform", &url]).await;
    let status = rudderctl(&["status", "--platform", &url]).await;

    assert_eq!(first.stdout, "accepted as revision 3\n", "{}", first.stderr);
    assert_eq!(again.stdout, "nothing to change: revision 3 has it already\n", "{}", again.stderr);
    insta::assert_snapshot!(status.stdout);
}

/// An operator edits a fetched file; another one changes the same file and removes a second one.
/// Fetching again must not overwrite the edit. After the edit is undone, fetching applies both.
#[tokio::test]
async fn fetch_overwrites_no_edits_and_drops_what_others_removed() {
    let (_standin, url) = start_platform_with_settings("fetch").await;
    let extra = folder("fetch-extra", &[("20-extra.toml", "[timing]\nread_wait = \"9ms\"\n")]);
    rudderctl(&["submit", path_str(&extra), "--platform", &url]).await;
    let own = folder("fetch-own", &[]);
    rudderctl(&["fetch", path_str(&own), "--platform", &url]).await;
    let newer = SERVICE.replace("slots = 1", "slots = 1 # theirs");
    let theirs = folder("fetch-theirs", &[("10-all.toml", &newer)]);
    let remove = ["--remove", "20-extra.toml", "--platform", &url];
    rudderctl(&[&["submit", path_str(&theirs)], &remove[..]].concat()).await;
    let edit = SERVICE.replace("slots = 1", "slots = 1 # mine");
    std::fs::write(own.join("10-all.toml"), &edit).unwrap();

    let refused = rudderctl(&["fetch", path_str(&own), "--platform", &url]).await;
    let kept = std::fs::read_to_string(own.join("10-all.toml")).unwrap();
    std::fs::write(own.join("10-all.toml"), SERVICE).unwrap();
    let fetched = rudderctl(&["fetch", path_str(&own), "--platform", &url]).await;

    assert_eq!((refused.code, kept), (1, edit), "{}", refused.stderr);
    assert_eq!(fetched.stdout, "fetched revision 3: 10-all.toml\n", "{}", fetched.stderr);
    assert_eq!(std::fs::read_to_string(own.join("10-all.toml")).unwrap(), newer);
    assert!(!own.join("20-extra.toml").exists());
}

#[tokio::test]
async fn drain_adds_a_file_and_undo_removes_it() {
    let (_standin, url) = start_platform_with_settings("drain").await;
    let copy = folder("drain-copy", &[]);
    let args = ["drain", "orders-1", "--service", "orders", "--platform", &url];

    let drained = rudderctl(&args).await;
    rudderctl(&["fetch", path_str(&copy), "--platform", &url]).await;
    let explained = rudderctl(&["check", path_str(&copy), "--explain"]).await;
    let undone = rudderctl(&[&args[..], &["--undo"]].concat()).await;
    let unknown = rudderctl(&["drain", "x", "--service", "orders", "--platform", &url]).await;

    assert_eq!(drained.stdout, "accepted as revision 2\n", "{}", drained.stderr);
    let line = "services.orders.members.orders-1.draining = true  # zz-drain-orders-1.toml:2";
    assert!(explained.stdout.contains(line), "{}", explained.stdout);
    assert_eq!(undone.stdout, "accepted as revision 3\n", "{}", undone.stderr);
    assert_eq!(unknown.code, 1);
    assert_eq!(unknown.stderr, "service orders has no member x; it has orders-1, orders-2\n");
}

/// The order is placed, but the response is lost. The command must report the order as placed, and
/// a second order must be rejected.
#[tokio::test]
async fn switch_survives_a_lost_answer() {
    let (standin, url) = start_platform_with_settings("switch").await;
    standin.set_faults(PlatformFaults { lost_answers: 1, ..PlatformFaults::default() });
    let args = ["switch", "orders", "--to", "orders-2", "--platform", &url];

    let ordered = rudderctl(&args).await;
    let again = rudderctl(&args).await;

    assert_eq!(standin.faults().lost_answers, 0);
    assert_eq!(ordered.stdout, "ordered: orders switches to orders-2; see its status\n");
    assert_eq!(again.code, 1);
}

/// No keeper runs that could carry out the order. It may be carried out later, so the command must
/// not report it as refused.
#[tokio::test]
async fn unfinished_order_is_an_unknown_outcome() {
    let (_standin, url) = start_platform_with_settings("stands").await;

    let args = ["switch", "orders", "--to", "orders-2", "--wait", "1", "--platform", &url];
    let output = rudderctl(&args).await;

    assert_eq!(output.code, 4);
    assert!(output.stderr.starts_with("the order for orders still stands"), "{}", output.stderr);
}

#[tokio::test]
async fn status_shows_instances_also_while_the_platform_is_down() {
    let page = r#"{"instance":"inst-1","domain":"a","revision":7,"leaving":true,"groups":[
        {"service":"orders","term":4,"primary":"orders-2","members":[]},
        {"service":"pages","term":null,"primary":null}]}"#;
    let (admin, other) = (status_page(page).await, status_page("no json").await);
    let (standin, url) = start_platform_with_settings("status").await;
    let outage = PlatformOutage::Refused;
    standin.set_faults(PlatformFaults { outage, ..PlatformFaults::default() });

    let (admin, other) = (admin.to_string(), other.to_string());
    let args = ["status", "--platform", &url, "--admin", &admin, "--admin", &other];
    let output = rudderctl(&args).await;
    let json = rudderctl(&[&args[..], &["--json"]].concat()).await;

    assert_eq!((output.code, json.code), (3, 3), "{}{}", output.stderr, json.stderr);
    insta::assert_snapshot!(output.stdout.replace(&admin, "ADMIN").replace(&other, "OTHER"));
    let value: serde_json::Value = serde_json::from_str(&json.stdout).unwrap();
    assert_eq!(value["instances"][0]["status"]["revision"], 7);
}
