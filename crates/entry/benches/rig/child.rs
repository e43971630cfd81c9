//! A proxy in a child process, so that its processor time and memory can be measured separately.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

/// Environment variables with a child's role and the addresses of the upstreams.
const ROLE: &str = "KNAPWEEDSAIL_BENCH_ROLE";
const UPSTREAMS: &str = "KNAPWEEDSAIL_BENCH_UPSTREAMS";

/// Clock ticks per second in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// A proxy in a child process, which is stopped on drop.
pub(crate) struct Proxy {
    child: Child,
    pub(crate) address: SocketAddr,
}

/// Role of this process and addresses of its upstreams, if it is a child.
pub(crate) fn role() -> Option<(String, Vec<SocketAddr>)> {
    let role = std::env::var(ROLE).ok()?;
    let upstreams = std::env::var(UPSTREAMS).unwrap_or_default();
    let upstreams = upstreams.split(',').filter_map(|address| address.parse().ok()).collect();
    Some((role, upstreams))
}

/// Writes the address of this child for the parent, and waits until the parent ends it.
pub(crate) fn announce(address: SocketAddr) {
    println!("{address}");
    let mut line = String::new();
    let _ = std::io::stdin().read_line(&mut line);
}

impl Proxy {
    /// Starts this program as a child in the given role.
    pub(crate) fn spawn(role: &str, upstreams: &[SocketAddr]) -> Self {
        let list: Vec<_> = upstreams.iter().map(SocketAddr::to_string).collect();
        let program = std::env::current_exe().expect("the path of this program is known");
        let mut child = Command::new(program)
            .env(ROLE, role)
            .env(UPSTREAMS, list.join(","))
            .env_remove("RUST_BACKTRACE")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the child process can be started");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("the output is piped");
        BufReader::new(stdout).read_line(&mut line).expect("the child writes a line");
        let address = line.trim().parse().expect("the line is an address");
        Self { child, address }
    }

    /// Processor time used so far, in seconds.
    pub(crate) fn cpu(&self) -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        let stat = stat.expect("the child process is running");
        let rest = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let ticks = |index: usize| fields[index].parse::<f64>().unwrap_or_default();
        (ticks(11) + ticks(12)) / TICKS_PER_SECOND
    }

    /// Resident memory, in bytes.
    pub(crate) fn memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the child process is running");
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
        let kilobytes = line.split_whitespace().nth(1).and_then(|text| text.parse::<u64>().ok());
        kilobytes.unwrap_or_default() << 10
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        drop(self.child.stdin.take());
        let _ = self.child.wait();
    }
}
