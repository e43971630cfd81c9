//! Nodes as processes of their own.

use std::fs::File;
use std::io;
use std::net::Ipv4Addr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use serde_json::Value;

/// A node as a process of its own.
#[derive(Debug)]
pub(crate) struct Process {
    /// Its name.
    pub(crate) name: String,
    /// Its address.
    pub(crate) ip: Ipv4Addr,
    /// Whether it is stopped by a signal.
    pub(crate) paused: bool,
    /// Whether it was told to stop.
    pub(crate) leaving: bool,
    /// Counts its lives.
    pub(crate) lives: u32,
    program: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// A node that is not started yet; its settings and log go into `folder`.
    pub(crate) fn new(program: &Path, folder: &Path, name: &str, ip: Ipv4Addr) -> Self {
        Self {
            name: name.to_owned(),
            ip,
            paused: false,
            leaving: false,
            lives: 0,
            program: program.to_owned(),
            folder: folder.to_owned(),
            child: None,
        }
    }

    /// Writes its settings.
    pub(crate) fn write_settings(&self, settings: &Value) -> io::Result<()> {
        std::fs::write(self.settings(), settings.to_string())
    }

    /// Changes a bound in its settings that it can read again while it runs.
    ///
    /// # Errors
    ///
    /// Its settings can't be read or written.
    pub(crate) fn alter_settings(&self) -> io::Result<()> {
        let bytes = std::fs::read(self.settings())?;
        let mut settings: Value = serde_json::from_slice(&bytes)?;
        let bound = settings["bounds"]["maxHoldMs"].as_u64().unwrap_or_default();
        settings["bounds"]["maxHoldMs"] = if bound == 10_000 { 9_000 } else { 10_000 }.into();
        self.write_settings(&settings)
    }

    fn settings(&self) -> PathBuf {
        self.folder.join(format!("{}.json", self.name))
    }

    /// Starts it, unless it runs.
    pub(crate) fn start(&mut self) -> io::Result<()> {
        if self.is_alive() {
            return Ok(());
        }
        self.lives += 1;
        let log = self.folder.join(format!("{}-{}.log", self.name, self.lives));
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(self.settings())
            .stdout(File::create(log)?)
            .stderr(Stdio::null())
            .spawn()?;
        self.child = Some(child);
        self.paused = false;
        self.leaving = false;
        Ok(())
    }

    /// Whether it has not ended.
    pub(crate) fn is_alive(&mut self) -> bool {
        match &mut self.child {
            Some(child) => matches!(child.try_wait(), Ok(None)),
            None => false,
        }
    }

    /// Sends it a signal; nothing where it has ended.
    pub(crate) fn signal(&mut self, signal: Signal) {
        if !self.is_alive() {
            return;
        }
        let id = self.child.as_ref().map(|child| child.id() as i32);
        if let Some(pid) = id.and_then(Pid::from_raw) {
            self.leaving |= signal == Signal::TERM;
            // It may have ended this moment.
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills it and waits for its end.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Both fail only where it has ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
        self.paused = false;
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
