//! A thread for blocking calls to the platform, so that a slow store does not block other work.

use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;

use derive_more::{Display, Error};
use tokio::sync::oneshot;

use crate::Platform;

type Job = Box<dyn FnOnce(&dyn Platform) + Send>;

/// Why a job did not complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum WorkerError {
    /// The queue of the thread is full.
    #[display("too many calls to the platform are waiting")]
    Full,
    /// The thread has terminated.
    #[display("the platform's thread has terminated")]
    Ended,
}

/// A handle to the thread; the thread terminates when the last handle is dropped.
#[derive(Clone)]
pub struct Worker {
    jobs: SyncSender<Job>,
}

impl Worker {
    /// Starts a thread with a queue of at most `limit` waiting jobs.
    pub fn spawn(name: &str, platform: Box<dyn Platform>, limit: usize) -> std::io::Result<Worker> {
        let (jobs, waiting) = sync_channel(limit);
        thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || run(&*platform, &waiting))?;
        Ok(Worker { jobs })
    }

    /// Runs a job on the thread and returns its result.
    pub async fn run<T: Send + 'static>(
        &self,
        job: impl FnOnce(&dyn Platform) -> T + Send + 'static,
    ) -> Result<T, WorkerError> {
        let (done, answer) = oneshot::channel();
        let job: Job = Box::new(move |platform| {
            let _ = done.send(job(platform));
        });
        match self.jobs.try_send(job) {
            Ok(()) => answer.await.map_err(|_| WorkerError::Ended),
            Err(TrySendError::Full(_)) => Err(WorkerError::Full),
            Err(TrySendError::Disconnected(_)) => Err(WorkerError::Ended),
        }
    }
}

fn run(platform: &dyn Platform, waiting: &Receiver<Job>) {
    while let Ok(job) = waiting.recv() {
        job(platform);
    }
}
