//! Threads for calls that block: the control thread must never wait for an engine or the store.

use std::io;
use std::thread;

use crossbeam::channel::{Sender, TrySendError, bounded};

type Job = Box<dyn FnOnce() + Send>;

/// A fixed set of threads that run jobs in the order in which they come.
pub struct Workers {
    jobs: Sender<Job>,
}

impl Workers {
    /// Starts `threads` threads, with room for `queue` waiting jobs. They end when the value is dropped.
    ///
    /// # Errors
    /// When a thread can't be started.
    pub fn start(name: &str, threads: usize, queue: usize) -> io::Result<Self> {
        let (jobs, waiting) = bounded::<Job>(queue);
        for _ in 0..threads {
            let waiting = waiting.clone();
            thread::Builder::new().name(name.to_owned()).spawn(move || waiting.iter().for_each(|job| job()))?;
        }
        Ok(Workers { jobs })
    }

    /// Runs `job` on one of the threads.
    ///
    /// # Errors
    /// Gives the job back when the queue is full: engines or store answer more slowly than they are asked.
    pub fn run(&self, job: impl FnOnce() + Send + 'static) -> Result<(), Busy> {
        match self.jobs.try_send(Box::new(job)) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => Err(Busy),
        }
    }
}

/// The queue is full; the job has not run and will not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Busy;
