//! Runtime with one worker thread for each daemon, like a VM with one core; it can be paused.

use std::time::Duration;

use tokio::runtime::{Builder, Handle, Runtime};

/// Runtime of one daemon; dropping it ends the thread and all tasks on it.
#[derive(Debug)]
pub struct Host(Option<Runtime>);

impl Host {
    /// Starts the worker thread.
    ///
    /// # Errors
    ///
    /// Fails if the thread can't be started.
    pub fn start() -> std::io::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()?;
        Ok(Self(Some(runtime)))
    }

    /// Handle that spawns tasks onto the worker thread.
    ///
    /// # Panics
    ///
    /// Never: only `drop` takes the runtime.
    pub fn handle(&self) -> &Handle {
        self.0
            .as_ref()
            .expect("runtime is present until drop")
            .handle()
    }

    /// Blocks the worker thread for a time. Clocks go on, so timers are late afterwards.
    pub fn pause(&self, duration: Duration) {
        self.handle()
            .spawn(async move { std::thread::sleep(duration) });
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}
