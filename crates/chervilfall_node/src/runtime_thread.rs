//! Threads that run tasks apart from the thread for traffic.
//!
//! What keeps a group and its links alive must not wait behind other traffic, which is most when the
//! node is busy: that is when losing a claim or a link costs most.

use std::future::{pending, Future};
use std::io;
use std::thread;

use tokio::runtime::{Builder, Handle};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// A running thread with a runtime of its own. It ends when this is dropped.
#[derive(Debug)]
pub(crate) struct RuntimeThread {
    spawner: Spawner,
    _stop: oneshot::Sender<()>,
}

impl RuntimeThread {
    /// Spawns a thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread or its runtime cannot be started.
    pub(crate) fn spawn(name: &str) -> io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let (stop, stopped) = oneshot::channel();
        thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || runtime.block_on(stopped).ok())?;
        Ok(Self {
            spawner: Spawner(handle),
            _stop: stop,
        })
    }

    /// Returns what spawns tasks on this thread.
    pub(crate) fn spawner(&self) -> Spawner {
        self.spawner.clone()
    }
}

/// Spawns tasks on a thread.
#[derive(Debug, Clone)]
pub(crate) struct Spawner(Handle);

impl Spawner {
    /// Runs a future to its end without waiting for it.
    pub(crate) fn spawn(
        &self,
        future: impl Future<Output = ()> + Send + 'static,
    ) -> JoinHandle<()> {
        self.0.spawn(future)
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
