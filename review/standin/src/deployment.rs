//! Starts the program of the deploy file as separate processes.

use std::fs::File;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use foxtailhold_http::client::{Call, HttpClient, Reuse};
use http::{Method, StatusCode};
use tokio::time::Instant;

use crate::Result;

/// The command of the deploy file, from the repository's root.
const PROGRAM: &str = "target/release/foxtailhold-node";
/// `GraceS`, and the platform's delay before it starts a process again.
const GRACE_MS: u64 = 8_000;
const RESTART_DELAY_MS: u64 = 500;
const RESOLVE_PATH: &str = "/v1/resolve?Name=records.example&Region=new-england&Zone=concord-hall";
/// Time limit for all instances to be ready and to know each other.
const READY_MS: u64 = 20_000;

/// One process; it is killed when this is dropped.
#[derive(Debug)]
pub struct Node {
    /// Name of its machine.
    pub name: String,
    /// Address for clients.
    pub caller_address: SocketAddr,
    ready_address: SocketAddr,
    directory_address: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// A loopback port that is free for TCP and UDP.
fn free_port() -> Result<u16> {
    loop {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let port = listener.local_addr()?.port();
        if UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            return Ok(port);
        }
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl Node {
    /// Writes the settings file into `folder` and starts the process.
    pub fn start(name: &str, zone: &str, store: SocketAddr, folder: &Path) -> Result<Node> {
        let (caller, ready) = (free_port()?, free_port()?);
        let (directory, peer) = (free_port()?, free_port()?);
        let settings = folder.join(format!("{name}.toml"));
        let text = format!(
            "Node = \"{name}\"\nRole = \"entry\"\nMachineClass = \"edge\"\n\
             Serves = [\"edge\",\"directory\"]\nIp = \"127.0.0.1\"\nZone = \"{zone}\"\n\
             Region = \"new-england\"\nInternalPorts = [{peer},{peer}]\nBootstrap = true\n\
             Discovery = \"platform\"\nEntry = \"directory\"\nHeartbeatMs = 1200\n\
             [Listen]\nFront = \"127.0.0.1:{caller}\"\nReady = \"127.0.0.1:{ready}\"\n\
             Directory = \"127.0.0.1:{directory}\"\n\
             [Limits]\nCpuShare = 0.5\nCores = 1\nMemoryMb = 280\nMaxFds = 8200\n\
             [Bounds]\nStableWindowMs = 3000\nAckMs = 4000\nDrainMs = 2000\nGraceS = 8\n\
             ConfigMs = 2000\nRecoveryS = 12\nFinishS = 18\nStatusS = 120\nCancelMs = 3000\n\
             SettleMs = 1000\nttl_max_s = 5\n\
             [Provider]\nAddress = \"{store}\"\nform = \"table\"\nRowBytes = 65536\n\
             BlobBytes = 8388608\n"
        );
        std::fs::write(&settings, text)?;
        let mut node = Node {
            name: name.to_owned(),
            caller_address: address(caller),
            ready_address: address(ready),
            directory_address: address(directory),
            settings,
            log: folder.join(format!("{name}.log")),
            child: None,
        };
        node.spawn()?;
        Ok(node)
    }

    fn spawn(&mut self) -> Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(PROGRAM)
            .env("FOXTAILHOLD_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends SIGTERM, waits until the process has ended and starts it again a moment later.
    pub async fn restart_planned(&mut self) -> Result<()> {
        let Some(child) = &mut self.child else {
            return Err(format!("{} does not run", self.name).into());
        };
        let id = child.id().to_string();
        if !Command::new("kill")
            .args(["-TERM", &id])
            .status()?
            .success()
        {
            return Err(format!("{} cannot be sent SIGTERM", self.name).into());
        }
        let until = Instant::now() + Duration::from_millis(GRACE_MS);
        while child.try_wait()?.is_none() {
            if Instant::now() > until {
                child.kill()?;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        self.start_again().await
    }

    /// Sends SIGKILL and starts the process again a moment later.
    pub async fn restart_killed(&mut self) -> Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
        }
        self.start_again().await
    }

    /// Only the first start is told that the whole system starts for the first time.
    async fn start_again(&mut self) -> Result<()> {
        tokio::time::sleep(Duration::from_millis(RESTART_DELAY_MS)).await;
        let text = std::fs::read_to_string(&self.settings)?;
        let text = text.replace("Bootstrap = true", "Bootstrap = false");
        std::fs::write(&self.settings, text)?;
        self.spawn()
    }

    /// Addresses that clients are told at this instance.
    pub async fn addresses(&self, client: &HttpClient) -> Result<Vec<String>> {
        let resolve = Call::new(Method::GET, self.directory_address, RESOLVE_PATH);
        let (_, bytes) = client.call::<()>(&resolve, None).await?;
        let answer: serde_json::Value = serde_json::from_slice(&bytes)?;
        let all = answer["Addresses"].as_array().cloned().unwrap_or_default();
        let texts = all.iter().filter_map(|address| address.as_str());
        Ok(texts.map(str::to_owned).collect())
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> Result<bool> {
        match &mut self.child {
            Some(child) => Ok(child.try_wait()?.is_none()),
            None => Ok(false),
        }
    }

    /// What the process has logged.
    pub fn log(&self) -> Result<String> {
        Ok(std::fs::read_to_string(&self.log)?)
    }

    async fn is_ready(&self, client: &HttpClient, count: usize) -> bool {
        let ready = Call::new(Method::GET, self.ready_address, "/v1/ready");
        let Ok((StatusCode::OK, _)) = client.call::<()>(&ready, None).await else {
            return false;
        };
        let addresses = self.addresses(client).await;
        addresses.is_ok_and(|addresses| addresses.len() == count)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let Some(mut child) = self.child.take() else {
            return;
        };
        if let Err(error) = child.kill().and_then(|()| child.wait().map(drop)) {
            eprintln!("{} cannot be ended: {error}", self.name);
        }
    }
}

/// Waits until all instances are ready and list each other.
pub async fn wait_ready(nodes: &[Node]) -> Result<()> {
    let client = HttpClient::new(Reuse::Fresh);
    let until = Instant::now() + Duration::from_millis(READY_MS);
    for node in nodes {
        while !node.is_ready(&client, nodes.len()).await {
            if Instant::now() > until {
                return Err(format!("{} is not ready", node.name).into());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}
