//! Test deployments of separate processes on loopback: platform, engines, services and entry
//! instances.
#![allow(dead_code)]

pub mod answers;
pub mod supervised;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use foxtailhold_operator::client::OperatorClient;
use foxtailhold_standin::demo::Caller;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::Value;

/// Operator token of the test instances.
pub const TOKEN: &str = "test-operator-token";
/// Time limit for conditions that must come true without further action.
pub const WAIT_LIMIT: Duration = Duration::from_secs(30);
const ZONES: [&str; 3] = ["concord-hall", "nashua-hall", "keene-hall"];

/// A child process that is killed when dropped.
pub struct Process {
    child: Child,
    /// The JSON line that the process printed when it was ready.
    pub ready: Value,
}

/// The path of a program of this workspace; it must be built before.
pub fn program(name: &str) -> PathBuf {
    let standin = PathBuf::from(env!("CARGO_BIN_EXE_foxtailhold-standin"));
    let path = standin.with_file_name(name);
    assert!(
        path.exists(),
        "{name} is not built; run `cargo test --workspace`"
    );
    path
}

impl Process {
    /// Starts a program and waits for the line that it prints when ready.
    pub fn start(name: &str, arguments: &[&str]) -> Self {
        Process::start_with(name, arguments, &[])
    }

    /// Like [`Process::start`], with these environment variables.
    pub fn start_with(name: &str, arguments: &[&str], environment: &[(&str, String)]) -> Self {
        let mut command = Command::new(program(name));
        let level = std::env::var("RUST_LOG").unwrap_or("error".into());
        command.args(arguments).env("RUST_LOG", level);
        command.envs(environment.iter().map(|(name, value)| (name, value)));
        Process::spawn(name, command)
    }

    /// Starts a command and waits for the line that it prints when ready.
    pub fn spawn(name: &str, mut command: Command) -> Self {
        let mut child = command.stdout(Stdio::piped()).spawn().unwrap();
        let stdout = child.stdout.take().unwrap();
        let (sender, line) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            let mut line = String::new();
            let _ = BufReader::new(stdout).read_line(&mut line);
            let _ = sender.send(line);
        });
        let line = line.recv_timeout(WAIT_LIMIT).unwrap_or_default();
        let ready = serde_json::from_str(&line).unwrap_or_else(|error| {
            panic!("{name} did not print a JSON line when ready, but {line:?}: {error}")
        });
        Process { child, ready }
    }

    /// Identifier of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).unwrap();
    }

    /// The exit status; `None` while the process runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().unwrap()
    }

    /// Waits until the process exits, at most [`WAIT_LIMIT`].
    pub fn wait(&mut self) -> ExitStatus {
        let start = Instant::now();
        while start.elapsed() < WAIT_LIMIT {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        panic!("the process did not exit within {WAIT_LIMIT:?}");
    }

    /// An address from the line that the process printed when ready.
    pub fn address(&self, field: &str) -> SocketAddr {
        self.ready[field].as_str().unwrap().parse().unwrap()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A deployment of separate processes.
pub struct Deployment {
    pub platform: Process,
    pub engines: Vec<Process>,
    pub services: Vec<Process>,
    pub entries: Vec<Process>,
    pub caller: Caller,
}

impl Deployment {
    /// Starts the platform, `engines`, one service and `entries`, and waits until all instances
    /// know each other and every backend server.
    pub async fn start(engines: usize, entries: usize) -> Self {
        Deployment::start_with_environment(engines, entries, &[]).await
    }

    /// Like [`Deployment::start`], with these environment variables of the entry instances.
    pub async fn start_with_environment(
        engines: usize,
        entries: usize,
        environment: &[(&str, String)],
    ) -> Self {
        let platform = Process::start(
            "foxtailhold-standin",
            &["platform", "--fleet-lag-ms", "200"],
        );
        let mut deployment = Deployment {
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            entries: Vec::new(),
            caller: Caller::default(),
        };
        for index in 0..engines {
            deployment.add_engine(&format!("engine-{index}"), ZONES[index % 3], &[]);
        }
        deployment.add_service("service-0", ZONES[0]);
        for index in 0..entries {
            let id = format!("entry-{index}");
            deployment.add_entry_with(&id, ZONES[index % 3], &[], environment);
        }
        deployment.settle(entries).await;
        deployment
    }

    pub fn platform_address(&self) -> String {
        self.platform.address("listening").to_string()
    }

    pub fn add_engine(&mut self, id: &str, zone: &str, more: &[&str]) {
        let platform = self.platform_address();
        let mut arguments = vec!["engine", "--id", id, "--availability-zone", zone];
        arguments.extend(["--platform-address", &platform]);
        arguments.extend(more);
        self.engines
            .push(Process::start("foxtailhold-standin", &arguments));
    }

    pub fn add_service(&mut self, id: &str, zone: &str) {
        let platform = self.platform_address();
        let mut arguments = vec!["service", "--id", id, "--availability-zone", zone];
        arguments.extend(["--platform-address", &platform]);
        self.services
            .push(Process::start("foxtailhold-standin", &arguments));
    }

    /// Starts an entry instance on ports chosen by the system and adds it to the fleet list.
    pub fn add_entry(&mut self, id: &str, zone: &str, more: &[&str]) {
        self.add_entry_with(id, zone, more, &[]);
    }

    fn add_entry_with(
        &mut self,
        id: &str,
        zone: &str,
        more: &[&str],
        environment: &[(&str, String)],
    ) {
        let platform = self.platform_address();
        let any = "127.0.0.1:0";
        let mut arguments = vec!["--instance", id, "--availability-zone", zone];
        arguments.extend(["--caller-address", any, "--peer-address", any]);
        arguments.extend(["--operator-address", any, "--platform-address", &platform]);
        arguments.extend(["--operator-token", TOKEN, "--keep-for-ms", "500"]);
        arguments.extend(more);
        let entry = Process::start_with("foxtailhold-entry", &arguments, environment);
        let peer = entry.address("peer_address").to_string();
        let mut add = vec!["add-instance", "--id", id, "--peer-address", &peer];
        add.extend(["--platform-address", &platform]);
        let status = Command::new(program("foxtailhold-standin"))
            .args(add)
            .status();
        assert!(status.unwrap().success());
        self.entries.push(entry);
    }

    pub fn caller_address(&self, index: usize) -> SocketAddr {
        self.entries[index].address("caller_address")
    }

    pub fn operator(&self, index: usize) -> OperatorClient {
        OperatorClient::new(self.entries[index].address("operator_address"), TOKEN)
    }

    /// Waits until every entry instance lists `entries` addresses and knows every backend server.
    pub async fn settle(&self, entries: usize) {
        let backends = self.engines.len() + self.services.len();
        until("the deployment to settle", async || {
            for index in 0..self.entries.len() {
                let seen = self.listed_instances(index).await;
                let known = self.operator(index).backends().await;
                if seen.len() != entries || known.map_or(0, |known| known.len()) != backends {
                    return false;
                }
            }
            true
        })
        .await;
    }

    /// The instances in the address list that an entry instance returns.
    pub async fn listed_instances(&self, index: usize) -> Vec<String> {
        let address = self.caller_address(index);
        let answer = self
            .caller
            .json(address, http::Method::GET, "/v1/entries", &Value::Null);
        let answer = answer.await.unwrap_or_default();
        let entries = answer["entries"].as_array().cloned().unwrap_or_default();
        let id = |entry: &Value| entry["instance"].as_str().unwrap().to_owned();
        entries.iter().map(id).collect()
    }

    /// Sets the demo customer's contract and waits until it is in force on every instance.
    pub async fn set_demo_contract(&self) {
        let customer = "granite-trail".try_into().unwrap();
        let document = foxtailhold_standin::demo::contract(10_000);
        self.operator(0)
            .set_contract(&customer, 0, &document)
            .await
            .unwrap();
        until("the contract to be in force", async || {
            for index in 0..self.entries.len() {
                if self.operator(index).contract(&customer).await.is_err() {
                    return false;
                }
            }
            true
        })
        .await;
    }
}

/// Waits until `done` returns true; panics after [`WAIT_LIMIT`]. `condition` is named in the panic.
pub async fn until<F: AsyncFnMut() -> bool>(condition: &str, mut done: F) {
    let start = Instant::now();
    while start.elapsed() < WAIT_LIMIT {
        if done().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("timed out after {WAIT_LIMIT:?} waiting for {condition}");
}
