//! Processes of the program.

use rudder_standins::{BOOT_VARIABLE, LineSlot, ProcessMemory};
use std::fs::File;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

const PROGRAM: &str = env!("CARGO_BIN_EXE_arbutusrudder");

/// Signal to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProcessSignal {
    Pause,
    Resume,
    Terminate,
    Reload,
}

impl ProcessSignal {
    fn argument(self) -> &'static str {
        match self {
            Self::Pause => "-STOP",
            Self::Resume => "-CONT",
            Self::Terminate => "-TERM",
            Self::Reload => "-HUP",
        }
    }
}

/// Files of an instance, which remain when its process is replaced.
#[derive(Clone, Debug)]
pub(crate) struct ProcessFiles {
    pub(crate) settings: PathBuf,
    pub(crate) log: PathBuf,
}

impl ProcessFiles {
    pub(crate) fn new(seed: u64, slot: &LineSlot) -> Self {
        let folder = std::env::temp_dir();
        let name = format!("rudder-soak-{}-{seed}-{}", std::process::id(), slot.number);
        Self {
            settings: folder.join(format!("{name}.json")),
            log: folder.join(format!("{name}.log")),
        }
    }
}

/// A process of the program, which is killed on drop.
pub(crate) struct SoakProcess {
    child: Child,
    /// Whether the process was terminated.
    stopping: bool,
}

impl SoakProcess {
    /// Starts the program; its log is appended to that of the instance's earlier processes.
    pub(crate) fn start(files: &ProcessFiles) -> Self {
        let log = File::options().create(true).append(true).open(&files.log);
        let mut command = Command::new(PROGRAM);
        command.arg("--platform").env(BOOT_VARIABLE, &files.settings);
        command.stdout(log.expect("a log file is opened")).stderr(Stdio::inherit());
        Self { child: command.spawn().expect("the program starts"), stopping: false }
    }

    /// Sends a signal to the process, unless it has exited.
    pub(crate) fn signal(&mut self, signal: ProcessSignal) {
        if self.has_ended() {
            return;
        }
        self.stopping |= signal == ProcessSignal::Terminate;
        let id = self.child.id().to_string();
        Command::new("kill").args([signal.argument(), &id]).status().expect("kill starts");
    }

    /// Whether the process was terminated; it may still serve callers for some seconds.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Returns the greatest resident memory so far in bytes, unless the process has exited.
    pub(crate) fn peak_memory(&self) -> Option<u64> {
        Some(ProcessMemory::of(self.child.id())?.peak)
    }

    pub(crate) fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("the child can be waited for").is_some()
    }
}

impl Drop for SoakProcess {
    fn drop(&mut self) {
        // Both fail only if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
