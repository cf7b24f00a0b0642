//! The thread that sends commits.
//!
//! Each commit renews the claim, and other nodes take the group over if it comes late. On the thread
//! of all other traffic it would wait behind that traffic when the node is busy, which is when a
//! takeover costs most.

use std::future::{pending, Future};
use std::io;
use std::thread;

use tokio::runtime::{Builder, Handle};
use tokio::sync::oneshot;

/// A running thread for commits. It ends when this is dropped.
#[derive(Debug)]
pub(crate) struct CommitThread {
    runtime: CommitRuntime,
    _stop: oneshot::Sender<()>,
}

impl CommitThread {
    /// Spawns the thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread or its runtime cannot be started.
    pub(crate) fn spawn() -> io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let (stop, stopped) = oneshot::channel();
        thread::Builder::new()
            .name("commits".to_owned())
            .spawn(move || runtime.block_on(stopped).ok())?;
        Ok(Self {
            runtime: CommitRuntime(handle),
            _stop: stop,
        })
    }

    /// Returns where commits run.
    pub(crate) fn runtime(&self) -> CommitRuntime {
        self.runtime.clone()
    }
}

/// Runs commits on their thread.
#[derive(Debug, Clone)]
pub(crate) struct CommitRuntime(Handle);

impl CommitRuntime {
    /// Runs a future to its end without waiting for it.
    pub(crate) fn spawn(&self, future: impl Future<Output = ()> + Send + 'static) {
        self.0.spawn(future);
    }

    /// Runs a future to its end, also if this is dropped before. Never returns if the thread ends
    /// first, as it does only with the node.
    pub(crate) async fn run<T: Send + 'static>(
        &self,
        future: impl Future<Output = T> + Send + 'static,
    ) -> T {
        match self.0.spawn(future).await {
            Ok(output) => output,
            Err(_) => pending().await,
        }
    }
}
