//! Processes of the node's program, with settings like those of a small deployment.

use std::fs::File;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::record::random;

/// Ports for the processes, below those that the system gives to outgoing connections.
const FIRST_PORT: u16 = 20_000;
const PORTS: u64 = 12_000;

/// A port that is free for TCP and UDP.
pub fn free_port() -> u16 {
    loop {
        let port = FIRST_PORT + (random() % PORTS) as u16;
        let address = local(port);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return port;
        }
    }
}

fn local(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// A machine with its process, which is killed when this is dropped.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub settings: PathBuf,
    pub log: PathBuf,
    pub child: Option<Child>,
}

/// Bounds of the site gtsrt-hold, without `ttl_max_s`.
const BOUNDS: &str = "SeedLagS = 3\nReuseAfterS = 2\nStableWindowMs = 3000\nAckMs = 4000\nCatchUpS = 4.6\n\
DrainMs = 2000\nGraceS = 8\nLossSlackMs = 200\nConfigMs = 2000\nRollbackSlackMs = 250\nMaxSkewMs = 5000\n\
RecoveryS = 12\nPassMs = 120\nRetryAfterS = 0\nFinishS = 18\nStatusS = 120\nCancelMs = 3000\nSettleMs = 1000\n\
QuotaOverage = 0.1\n";

impl Node {
    /// Writes the settings file, with `ttl` as `ttl_max_s`.
    pub fn prepare(folder: &Path, name: &str, zone: &str, store: SocketAddr, ttl: &str) -> Node {
        let [front, ready, directory, control, peer]: [u16; 5] =
            std::array::from_fn(|_| free_port());
        let settings = folder.join(format!("{name}.toml"));
        let text = format!(
            "Node = \"{name}\"\nRole = \"entry\"\nMachineClass = \"edge\"\nServes = [\"edge\",\"directory\"]\n\
             Ip = \"127.0.0.1\"\nZone = \"{zone}\"\nRegion = \"new-england\"\nInternalPorts = [{peer},{peer}]\n\
             Seeds = [\"127.0.0.1:{control}\"]\nBootstrap = true\nLossCounts = false\nDiscovery = \"platform\"\n\
             Entry = \"directory\"\nHeartbeatMs = 1200\n\
             Contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"batch\",\"stream\",\"engine\",\"platform\"]\n\
             [Listen]\nFront = \"127.0.0.1:{front}\"\nReady = \"127.0.0.1:{ready}\"\nDirectory = \"127.0.0.1:{directory}\"\n\
             [Limits]\nCpuShare = 0.5\nCores = 1\nMemoryMb = 280\nMaxFds = 8200\nLinkMbps = 1000.0\nDiskMb = 0\n\
             [Tolerate]\nMachines = 1\nZones = 0\nRegions = 0\n\
             [Bounds]\n{BOUNDS}ttl_max_s = {ttl}\n\
             [Provider]\nAddress = \"{store}\"\nform = \"table\"\nWritesPerS = 800\nReadsPerS = 2000\nTxMs = 3.0\n\
             PartWritesS = 300\nRowBytes = 65536\nAcross = true\nHistoryS = 20\nBlobBytes = 8388608\n"
        );
        std::fs::write(&settings, text).expect("the settings file can be written");
        Node {
            name: name.to_owned(),
            front: local(front),
            ready: local(ready),
            log: folder.join(format!("{name}.log")),
            settings,
            child: None,
        }
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("the log file can be opened");
        let error = log.try_clone().expect("the log file can be shared");
        let mut command = Command::new("target/release/foxtailhold-node");
        command
            .env_clear()
            .env("FOXTAILHOLD_NODE_FILE", &self.settings);
        command.stdin(Stdio::null()).stdout(log).stderr(error);
        self.child = Some(command.spawn().expect("the program has been built"));
    }

    fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    pub fn signal(&self, signal: &str) {
        let pid = self.pid().to_string();
        let _ = Command::new("kill").args([signal, &pid]).status();
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let answer = call(
            self.ready,
            "GET",
            "/v1/ready",
            &[("Host", "ready")],
            b"",
            Duration::from_secs(1),
        );
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
