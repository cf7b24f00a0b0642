//! Start-up and shutdown of services.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use crate::directory::Directory;

/// Prefix of the log lines.
const PART: &str = "kernel:";

/// Something that the kernel starts and stops.
pub trait Service: Sized + Send + Sync + 'static {
    /// Name under which other services find it.
    const NAME: &'static str;

    /// Checked settings that it starts with.
    type Settings: Send;

    /// Why it can't start.
    type Error;

    /// Starts it; what it needs it finds in the directory.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't start.
    fn open(
        settings: Self::Settings,
        directory: &Directory,
    ) -> impl Future<Output = Result<Self, Self::Error>> + Send;

    /// Stops it; returns once it has nothing left to do.
    fn stop(&self) -> impl Future<Output = ()> + Send;
}

type Stop = Box<dyn FnOnce() -> Pin<Box<dyn Future<Output = ()> + Send>> + Send>;

/// Running services, in the order of their start.
#[derive(Default)]
pub struct Kernel {
    directory: Directory,
    stops: Vec<(&'static str, Stop)>,
}

impl Kernel {
    /// Starts a service.
    ///
    /// # Errors
    ///
    /// Returns the service's error if it can't start.
    pub async fn open<S: Service>(&mut self, settings: S::Settings) -> Result<Arc<S>, S::Error> {
        let service = Arc::new(S::open(settings, &self.directory).await?);
        self.directory.add(Arc::clone(&service));
        let stopped = Arc::clone(&service);
        let stop: Stop = Box::new(move || Box::pin(async move { stopped.stop().await }));
        self.stops.push((S::NAME, stop));
        log::info!("{PART} Started {}.", S::NAME);
        Ok(service)
    }

    /// Stops all services, the last started first.
    pub async fn stop(mut self) {
        while let Some((name, stop)) = self.stops.pop() {
            stop().await;
            log::info!("{PART} Stopped {name}.");
        }
    }
}
