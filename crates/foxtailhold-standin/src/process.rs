//! Child processes of the measuring commands. Only this crate starts processes; foxtailhold itself
//! does not.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::Value;

use crate::error::{Result, StandinError};

/// Maximum wait for the first line of a started process.
const START_TIMEOUT_MS: u64 = 30_000;
/// Clock ticks per second in `/proc/<pid>/stat` on Linux.
const TICKS_PER_S: f64 = 100.0;

/// A program of this Cargo workspace that can be started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Program {
    /// `foxtailhold-entry`, an instance.
    Entry,
    /// `foxtailhold-standin`, a stand-in for the platform, an engine or a service.
    Standin,
}

impl Program {
    fn name(self) -> &'static str {
        match self {
            Program::Entry => "foxtailhold-entry",
            Program::Standin => "foxtailhold-standin",
        }
    }

    /// Returns the path of the program in the directory of the running program. It is an error if
    /// the file does not exist.
    pub fn path(self) -> Result<PathBuf> {
        let path = std::env::current_exe()?.with_file_name(self.name());
        if path.exists() {
            return Ok(path);
        }
        Err(StandinError::Check {
            step: "start a process",
            detail: format!(
                "{} does not exist in the directory of this program",
                self.name()
            ),
        })
    }
}

/// Resource usage of a process, as the kernel counts it.
#[derive(Debug, Clone, Copy, Default)]
pub struct ProcessUsage {
    /// CPU time since the start, user and system.
    pub cpu_s: f64,
    /// Resident memory at the time of the reading.
    pub rss_bytes: u64,
}

/// Returns the resident memory of a process, from `/proc/<pid>/status`.
pub fn resident_bytes(id: u32) -> Result<u64> {
    let path = PathBuf::from("/proc").join(id.to_string()).join("status");
    let status = std::fs::read_to_string(path)?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = resident.and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok());
    Ok(kib.unwrap_or_default() * 1_024)
}

/// A child process, killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// JSON line that the process printed when it was ready; it holds the addresses.
    pub ready: Value,
    /// Availability zone of the process, set by the caller; empty for the platform.
    pub availability_zone: String,
    /// Whether the last signal sent was SIGSTOP or SIGKILL.
    pub unresponsive: bool,
}

impl Process {
    /// Starts a program and waits for its first line, which must be JSON.
    pub async fn start(
        program: Program,
        arguments: &[&str],
        variables: &[(&str, &str)],
    ) -> Result<Self> {
        let mut command = Command::new(program.path()?);
        command.args(arguments).stdout(Stdio::piped());
        let log = std::env::var("RUST_LOG").unwrap_or("off".into());
        command.env("RUST_LOG", log);
        command.envs(variables.iter().copied());
        let mut child = command.spawn()?;
        let stdout = child.stdout.take();
        let read = tokio::task::spawn_blocking(move || {
            let mut line = String::new();
            if let Some(stdout) = stdout {
                let _ = BufReader::new(stdout).read_line(&mut line);
            }
            line
        });
        let wait = Duration::from_millis(START_TIMEOUT_MS);
        let line = match tokio::time::timeout(wait, read).await {
            Ok(Ok(line)) => line,
            _ => String::new(),
        };
        let mut process = Process {
            child,
            ready: Value::Null,
            availability_zone: String::new(),
            unresponsive: false,
        };
        process.ready = serde_json::from_str(&line).map_err(|error| StandinError::Check {
            step: "start a process",
            detail: format!("{} printed {line:?}: {error}", program.name()),
        })?;
        Ok(process)
    }

    /// Returns the process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&mut self, signal: Signal) -> Result<()> {
        kill(Pid::from_raw(self.child.id() as i32), signal).map_err(std::io::Error::from)?;
        self.unresponsive = matches!(signal, Signal::SIGSTOP | Signal::SIGKILL);
        Ok(())
    }

    /// Returns an address from the process's first line.
    pub fn address(&self, field: &str) -> Result<SocketAddr> {
        let text = self.ready[field].as_str().unwrap_or_default();
        text.parse().map_err(|_| StandinError::Check {
            step: "start a process",
            detail: format!("{field} is missing in {}", self.ready),
        })
    }

    /// Returns the resource usage of the process.
    pub fn usage(&self) -> Result<ProcessUsage> {
        let directory = PathBuf::from("/proc").join(self.child.id().to_string());
        let stat = std::fs::read_to_string(directory.join("stat"))?;
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let ticks = |index: usize| -> f64 {
            let field = fields.get(index).and_then(|field| field.parse().ok());
            field.unwrap_or_default()
        };
        Ok(ProcessUsage {
            cpu_s: (ticks(11) + ticks(12)) / TICKS_PER_S,
            rss_bytes: resident_bytes(self.child.id())?,
        })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
