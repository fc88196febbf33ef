//! A measured instance in a separate process, so that its memory and processor time can be read.

use crate::MeasureError;
use crate::relay::MemberRelay;
use arbutusrudder::{ProcessSettings, ProxyInstance};
use rudder_standins::Deployment;
use std::fmt::Write;
use std::net::SocketAddr;
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

/// Failure domains of [`DeploymentPlan::small`](rudder_standins::DeploymentPlan::small).
const DOMAINS: [&str; 3] = ["kigali-a", "nairobi-a", "johannesburg-a"];

/// Runs an instance until the process is killed. Prints one line with its addresses when it has the
/// settings.
pub(crate) async fn serve(text: &str) -> Result<(), MeasureError> {
    let proxy = ProxyInstance::start(ProcessSettings::parse(text)?).await?;
    while proxy.revision() == 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    println!("{} {} {}", proxy.listen_address(), proxy.admin_address(), proxy.peer_address());
    std::future::pending::<()>().await;
    Ok(())
}

/// Process of an instance, killed on drop.
pub(crate) struct InstanceProcess {
    child: Child,
    /// Address for callers.
    pub(crate) address: SocketAddr,
    /// Address of the admin pages.
    pub(crate) admin: SocketAddr,
    /// Address for other instances.
    pub(crate) peer: SocketAddr,
}

impl InstanceProcess {
    /// Starts an instance that reaches the members of `deployment` through `relays`, and waits
    /// until it has the settings.
    pub(crate) async fn start(
        deployment: &Deployment,
        relays: &[MemberRelay],
    ) -> Result<Self, MeasureError> {
        Self::join(deployment, relays, &[]).await
    }

    /// Starts an instance that joins `others`, in the next failure domain. Otherwise like
    /// [`Self::start`].
    pub(crate) async fn join(
        deployment: &Deployment,
        relays: &[MemberRelay],
        others: &[Self],
    ) -> Result<Self, MeasureError> {
        let domain = DOMAINS[others.len() % DOMAINS.len()];
        let seeds: Vec<_> = others.iter().map(|other| format!("\"{}\"", other.peer)).collect();
        let mut text = format!(
            "instance = \"entry-{}\"\ndomain = \"{domain}\"\nlisten = \"127.0.0.1:0\"\n\
             admin = \"127.0.0.1:0\"\npeer = \"127.0.0.1:0\"\nseeds = [{}]\nplatform = \"{}\"\n",
            others.len() + 1,
            seeds.join(", "),
            deployment.platform.url(),
        );
        for relay in relays {
            let (declared, reached) = (relay.target, relay.address);
            writeln!(text, "[[routes]]\ndeclared = \"{declared}\"\nreached = \"{reached}\"")?;
        }
        let mut command = Command::new(std::env::current_exe()?);
        command.args(["--instance", &text]).stdout(Stdio::piped()).kill_on_drop(true);
        let mut child = command.spawn()?;
        let output =
            child.stdout.take().ok_or("the standard output of the instance is not captured")?;
        let line = BufReader::new(output).lines().next_line().await?;
        let line = line.ok_or("the instance exited before it printed its addresses")?;
        let addresses: Vec<SocketAddr> =
            line.split_whitespace().map(str::parse).collect::<Result<_, _>>()?;
        let [address, admin, peer] = addresses[..] else {
            return Err("the instance did not print three addresses".into());
        };
        Ok(Self { child, address, admin, peer })
    }

    /// Kills the process without a graceful shutdown.
    pub(crate) async fn kill(mut self) -> Result<(), MeasureError> {
        self.child.kill().await?;
        Ok(())
    }

    /// Returns the resident memory in KB.
    pub(crate) fn resident_kb(&self) -> Result<u64, MeasureError> {
        let text = std::fs::read_to_string(format!("{}/status", self.proc_directory()?))?;
        let line = text
            .lines()
            .find(|line| line.starts_with("VmRSS:"))
            .ok_or("/proc/<pid>/status has no VmRSS")?;
        Ok(line.split_whitespace().nth(1).ok_or("VmRSS has no value")?.parse()?)
    }

    /// Returns the processor time that all threads of the process have used.
    pub(crate) fn processor_time(&self) -> Result<Duration, MeasureError> {
        let mut nanoseconds = 0;
        for task in std::fs::read_dir(format!("{}/task", self.proc_directory()?))? {
            let text = std::fs::read_to_string(task?.path().join("schedstat"))?;
            let first = text.split_whitespace().next().ok_or("schedstat is empty")?;
            nanoseconds += first.parse::<u64>()?;
        }
        Ok(Duration::from_nanos(nanoseconds))
    }

    fn proc_directory(&self) -> Result<String, MeasureError> {
        Ok(format!("/proc/{}", self.child.id().ok_or("the instance has exited")?))
    }
}
