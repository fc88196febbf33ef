//! Starts and controls processes of the program and reads their logs.

use rudder_standins::{Deployment, DeploymentPlan};
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

const PROGRAM: &str = env!("CARGO_BIN_EXE_arbutusrudder");
const POLL: Duration = Duration::from_millis(20);
const POLLS_MAX: u32 = 1500;

/// Task that drives a client's connection and returns the error that ended it.
pub(crate) type ConnectionTask = JoinHandle<Result<(), tokio_postgres::Error>>;

/// Environment variable that holds the callers' password.
pub(crate) const PASSWORD_VARIABLE: &str = "COPYIST_PASSWORD";

/// A settings file that is removed on drop.
pub(crate) struct SettingsPath(pub(crate) PathBuf);

impl SettingsPath {
    pub(crate) fn write(text: &str) -> Self {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("arbutusrudder-{}-{number}.toml", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).expect("the temporary folder can be written");
        Self(path)
    }
}

impl Drop for SettingsPath {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Runs the program until it exits, which invalid settings cause at once.
pub(crate) fn run_to_end(arguments: &[&str]) -> Output {
    Command::new(PROGRAM).args(arguments).output().expect("the program starts")
}

/// Returns process settings with free ports.
pub(crate) fn settings_text(platform: &str, index: usize, seeds: &[SocketAddr]) -> String {
    let domain = ["kigali-a", "nairobi-a", "johannesburg-a"][index % 3];
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    format!(
        "instance = \"entry-{}\"\ndomain = \"{domain}\"\nlisten = \"127.0.0.1:0\"\n\
         admin = \"127.0.0.1:0\"\npeer = \"127.0.0.1:0\"\nseeds = [{}]\n\
         platform = \"{platform}\"\n",
        index + 1,
        seeds.join(", "),
    )
}

/// A process of the program, which is killed on drop.
pub(crate) struct Program {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
    /// Whether the standard output is being read.
    read: Arc<AtomicBool>,
    _settings: SettingsPath,
}

impl Program {
    pub(crate) fn start(settings: &str, variables: &[(&str, &str)]) -> Self {
        let settings = SettingsPath::write(settings);
        let mut command = Command::new(PROGRAM);
        command.arg("--settings").arg(&settings.0).envs(variables.iter().copied());
        let mut child = command.stdout(Stdio::piped()).spawn().expect("the program starts");
        let output = child.stdout.take().expect("standard output is piped");
        let lines = Arc::new(Mutex::new(Vec::new()));
        let read = Arc::new(AtomicBool::new(true));
        let (captured, reading) = (Arc::clone(&lines), Arc::clone(&read));
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                captured.lock().expect("no thread panicked with the lines").push(line);
                while !reading.load(Ordering::Relaxed) {
                    std::thread::sleep(POLL);
                }
            }
        });
        Self { child, lines, read, _settings: settings }
    }

    /// Pauses or resumes reading of the standard output.
    pub(crate) fn set_log_reading(&self, read: bool) {
        self.read.store(read, Ordering::Relaxed);
    }

    /// Returns the log lines read so far.
    pub(crate) fn lines(&self) -> Vec<String> {
        self.lines.lock().expect("no thread panicked with the lines").clone()
    }

    /// Waits for the first log line with this target and message and returns it.
    pub(crate) async fn line(&self, target: &str, message: &str) -> Value {
        let matches = |line: &Value| line["target"] == target && line["message"] == message;
        for _ in 0..POLLS_MAX {
            let lines = self.lines();
            let mut read = lines.iter().filter_map(|line| serde_json::from_str(line).ok());
            if let Some(line) = read.find(matches) {
                return line;
            }
            tokio::time::sleep(POLL).await;
        }
        panic!("no line {target} {message:?} in {:#?}", self.lines());
    }

    /// Returns a listening address by its key in the first log line: `listen`, `admin` or `peer`.
    pub(crate) async fn address(&self, key: &str) -> SocketAddr {
        let line = self.line("rudder::instance", "instance started").await;
        line["kvs"][key].as_str().expect("an address").parse().expect("an address")
    }

    /// Sends a signal to the process.
    pub(crate) fn signal(&self, signal: &str) {
        let id = self.id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status().expect("kill starts");
        assert!(sent.success(), "the signal could not be sent");
    }

    /// Returns the id of the process.
    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for the process to exit and returns its status.
    pub(crate) async fn wait_for_exit(&mut self) -> ExitStatus {
        for _ in 0..POLLS_MAX {
            if let Some(status) = self.child.try_wait().expect("the child can be waited for") {
                return status;
            }
            tokio::time::sleep(POLL).await;
        }
        panic!("the program did not exit: {:#?}", self.lines());
    }

    /// Connects; returns the client and the task that drives its connection.
    pub(crate) async fn connect(&self, options: &str) -> (Client, ConnectionTask) {
        self.try_connect(options).await.expect("login works")
    }

    pub(crate) async fn try_connect(
        &self,
        options: &str,
    ) -> Result<(Client, ConnectionTask), tokio_postgres::Error> {
        let port = self.address("listen").await.port();
        let text = format!(
            "host=127.0.0.1 port={port} user=copyist dbname=scores-orders sslmode=disable {options}"
        );
        let (client, connection) = tokio_postgres::connect(&text, NoTls).await?;
        Ok((client, tokio::spawn(connection)))
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Programs in separate processes, with the group and the platform inside the test process.
pub(crate) struct Fleet {
    pub(crate) programs: Vec<Program>,
    pub(crate) deployment: Deployment,
}

impl Fleet {
    pub(crate) async fn start(count: usize) -> Self {
        let extra_settings = "[callers.copyist]\nusers = [\"copyist\"]\nstaleness = \"5s\"\n\
                              queue_wait = \"5s\"\nin_flight_max = 100\n";
        let plan = DeploymentPlan {
            extra_settings: extra_settings.to_owned(),
            ..DeploymentPlan::small(0)
        };
        let deployment = Deployment::start(plan).await.expect("deployment starts");
        let mut fleet = Self { programs: Vec::new(), deployment };
        for _ in 0..count {
            fleet.add("", &[]).await;
        }
        fleet
    }

    /// Starts another program and waits until it has settings in force.
    pub(crate) async fn add(&mut self, extra: &str, variables: &[(&str, &str)]) {
        let mut seeds = Vec::new();
        for program in &self.programs {
            seeds.push(program.address("peer").await);
        }
        let platform = self.deployment.platform.url();
        let text = settings_text(&platform, self.programs.len(), &seeds) + extra;
        let program = Program::start(&text, variables);
        program.line("rudder::settings", "revision in force").await;
        self.programs.push(program);
    }

    /// Waits for a program to log a succession step and returns its index.
    pub(crate) async fn first_to_start_succession(&self) -> usize {
        let logs_succession = |program: &Program| {
            program.lines().iter().any(|line| line.contains("rudder::succession"))
        };
        for _ in 0..20 * POLLS_MAX {
            if let Some(index) = self.programs.iter().position(logs_succession) {
                return index;
            }
            tokio::time::sleep(POLL / 20).await;
        }
        panic!("no program started a succession");
    }
}

/// Repeats a statement until it is accepted.
pub(crate) async fn execute_until_accepted(client: &Client, statement: &str) {
    for _ in 0..POLLS_MAX {
        if client.batch_execute(statement).await.is_ok() {
            return;
        }
        tokio::time::sleep(POLL).await;
    }
    panic!("the statement was never accepted: {statement}");
}

/// Returns the first column of all rows.
pub(crate) async fn rows_of(client: &Client, query: &str) -> Vec<String> {
    let messages = client.simple_query(query).await.expect("the query runs");
    let row = |message: &SimpleQueryMessage| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    };
    messages.iter().filter_map(row).collect()
}
