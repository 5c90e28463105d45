//! Threads beside the daemon's, for servers and callers that must not wait for it.

use tokio::runtime::{Builder, Runtime};
use tokio::task::JoinHandle;

/// A runtime of its own; its tasks end when it is dropped.
pub struct OtherThreads(Option<Runtime>);

impl OtherThreads {
    pub fn start() -> Self {
        let runtime = Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build();
        Self(Some(runtime.unwrap()))
    }

    pub fn spawn<T: Send + 'static>(
        &self,
        f: impl Future<Output = T> + Send + 'static,
    ) -> JoinHandle<T> {
        self.0.as_ref().unwrap().spawn(f)
    }
}

impl Drop for OtherThreads {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}
