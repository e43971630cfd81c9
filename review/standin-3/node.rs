//! Nodes: the project's program as processes, with the command of the deploy file.

use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::os::unix::process::ExitStatusExt;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::wire;

/// Processes that were started and not reaped.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

pub fn kill_all() {
    let Ok(mut started) = STARTED.lock() else { return };
    for id in started.drain(..) {
        signal(id, "KILL");
    }
}

fn signal(id: u32, name: &str) {
    let _ = Command::new("kill").args([format!("-{name}"), id.to_string()]).stderr(Stdio::null()).status();
}

pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    folder: PathBuf,
    process: Option<Child>,
    lives: u32,
}

impl Node {
    /// Writes the settings of a node and starts it.
    pub fn start(name: &str, ip: Ipv4Addr, store: SocketAddr, memory_mb: u64, folder: &str) -> Self {
        let front = SocketAddr::from((ip, 8_624));
        let ready = SocketAddr::from((ip, 8_622));
        let settings = format!(
            "{{\"nodeName\":\"{name}\",\"role\":\"node\",\"machineClass\":\"front\",\"serves\":[\"front\",\"control\"],\
             \"ip\":\"{ip}\",\"zone\":\"zone-a\",\"region\":\"region\",\"zones\":{{\"zone-a\":\"region\"}},\
             \"listen\":{{\"front\":\"{front}\",\"ready\":\"{ready}\",\"control\":\"{ip}:8623\"}},\
             \"internalPorts\":[7060,7075],\"seeds\":[],\"bootstrap\":true,\"lossCounts\":false,\
             \"limits\":{{\"cpuShare\":0.25,\"cores\":1,\"memoryMb\":{memory_mb},\"maxFds\":4100,\"linkMbps\":1000.0,\"diskMb\":0}},\
             \"dataDir\":null,\"discovery\":\"platform\",\"entry\":\"vip\",\"heartbeatMs\":1500,\
             \"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"platform\"],\
             \"faultTolerance\":{{\"machines\":2,\"zones\":1,\"regions\":0}},\
             \"bounds\":{{\"seedLagS\":3,\"addrReuseS\":2,\"contactMs\":3000,\"ackMs\":4000,\"catchUpS\":4,\"drainMs\":2000,\
             \"graceS\":6,\"lossSlackMs\":200,\"configApplyMs\":2000,\"rollbackSlackMs\":250,\"maxStretchMs\":5000,\
             \"recoveryS\":12,\"maxHoldMs\":10000,\"stopMs\":400,\"gangWaitMs\":3000,\"cancel_ms\":3000,\"visible_ms\":3000,\
             \"early_ms\":250,\"finish_s\":14,\"status_s\":120,\"farFactor\":3,\"checkpointS\":2,\"restoreMs\":100,\
             \"noticeMs\":4500,\"migrateS\":1.5,\"maintenanceS\":2,\"fencing\":false,\"leaseMs\":3000,\"thawMs\":300,\
             \"pacingMs\":100,\"impactMs\":4000}},\"orders\":\"call\",\
             \"platform\":{{\"address\":\"{store}\",\"form\":\"table\",\"writesPerS\":800,\"readsPerS\":2000,\"txnMs\":3.0,\
             \"partitionOpsS\":300,\"rowBytes\":65536,\"crossShard\":true,\"retentionS\":20,\"blobBytes\":8388608,\
             \"blobMs\":25.0,\"blobRateS\":80.0}}}}"
        );
        let folder = PathBuf::from(folder);
        std::fs::write(folder.join(format!("{name}.json")), settings).expect("settings");
        let mut node = Self { name: name.to_owned(), front, ready, folder, process: None, lives: 0 };
        node.spawn();
        node
    }

    /// Starts the process, unless it runs.
    pub fn spawn(&mut self) {
        if self.id().is_some() {
            return;
        }
        self.lives += 1;
        let log = File::create(self.folder.join(format!("{}.{}.log", self.name, self.lives))).expect("log");
        let errors = log.try_clone().expect("log");
        let process = Command::new("target/release/knapweedsail-node")
            .args(["--metrics", "9464"])
            .env_clear()
            .env("KNAPWEEDSAIL_NODE_FILE", self.folder.join(format!("{}.json", self.name)))
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("target/release/knapweedsail-node");
        STARTED.lock().unwrap().push(process.id());
        self.process = Some(process);
    }

    /// Process id; none if it has ended.
    pub fn id(&mut self) -> Option<u32> {
        let process = self.process.as_mut()?;
        match process.try_wait() {
            Ok(None) => Some(process.id()),
            _ => None,
        }
    }

    /// How the last process ended.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.process.as_mut()?.try_wait().ok()??;
        Some(match status.signal() {
            Some(signal) => format!("signal {signal}"),
            None => format!("code {}", status.code().unwrap_or_default()),
        })
    }

    pub fn signal(&mut self, name: &str) {
        if let Some(id) = self.id() {
            signal(id, name);
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
            STARTED.lock().unwrap().retain(|id| *id != process.id());
        }
    }

    /// Resident memory now and at its peak, in megabytes.
    pub fn memory_mb(&mut self) -> Option<(f64, f64)> {
        let id = self.id()?;
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let field = |name: &str| -> Option<f64> {
            let line = status.lines().find(|line| line.starts_with(name))?;
            line.split_whitespace().nth(1)?.parse::<f64>().ok().map(|kb| kb / 1_024.0)
        };
        Some((field("VmRSS:")?, field("VmHWM:")?))
    }

    pub fn is_ready(&self) -> bool {
        let answer = wire::call(self.ready, "GET", "/readyz", &[("host", "x")], "", Duration::from_millis(300));
        answer.is_some_and(|(status, _)| status == 200)
    }

    pub fn wait_ready(&self, time: Duration) -> bool {
        let began = Instant::now();
        while began.elapsed() < time {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
