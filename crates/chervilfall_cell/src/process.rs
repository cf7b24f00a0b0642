//! Child processes of a cell.

use std::fs::File;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;

use anyhow::Context;
use tokio::process::{Child, Command};
use tokio::time::timeout;

/// A child process; it is killed when it is dropped.
#[derive(Debug)]
pub(crate) struct Process {
    child: Child,
}

impl Process {
    /// Starts a program whose output goes to a log file.
    pub(crate) fn start(program: &Path, arguments: &[String], log: &Path) -> anyhow::Result<Self> {
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("can't start {}", program.display()))?;
        Ok(Self { child })
    }

    /// Returns the id of the process while it runs.
    pub(crate) fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Returns whether the process has ended.
    pub(crate) fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal to the process, by its id.
    pub(crate) async fn signal(&self, signal: &str) -> anyhow::Result<()> {
        let id = self.id().context("the process has ended")?;
        let status = Command::new("kill")
            .args([format!("-{signal}"), id.to_string()])
            .status()
            .await?;
        anyhow::ensure!(status.success(), "can't send {signal} to process {id}");
        Ok(())
    }

    /// Asks the process to stop and waits; kills it after `limit_ms` milliseconds. Returns
    /// whether it ended by itself and well.
    pub(crate) async fn stop(&mut self, limit_ms: u64) -> bool {
        if self.signal("TERM").await.is_err() {
            return false;
        }
        let ended = timeout(Duration::from_millis(limit_ms), self.child.wait()).await;
        if let Ok(Ok(status)) = ended {
            return status.success();
        }
        self.kill().await;
        false
    }

    /// Kills the process and waits until it is gone.
    pub(crate) async fn kill(&mut self) {
        // An error says that the process has ended already.
        let _ = self.child.kill().await;
    }
}
