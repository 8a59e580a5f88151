//! The threads that handlers run on.

use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;

use crossbeam::channel::{Receiver, Sender, unbounded};

type Job = Box<dyn FnOnce() + Send>;

/// A pool of threads that grows up to its maximum and never lets a job wait.
pub(super) struct Workers {
    name: &'static str,
    maximum: usize,
    jobs: Sender<Job>,
    waiting_jobs: Receiver<Job>,
    /// Invariant: `threads >= jobs`, so that each job that has been taken in has a thread to run on at once.
    count: Arc<Mutex<Count>>,
}

#[derive(Default)]
struct Count {
    jobs: usize,
    threads: usize,
}

/// All threads are taken, or no further one can be started.
pub(super) struct NoThread;

impl Workers {
    pub(super) fn new(name: &'static str, maximum: usize) -> Self {
        let (jobs, waiting_jobs) = unbounded();
        Workers { name, maximum, jobs, waiting_jobs, count: Arc::default() }
    }

    /// Runs `job` on a thread of its own, at once.
    pub(super) fn run(&self, job: impl FnOnce() + Send + 'static) -> Result<(), NoThread> {
        let mut count = lock(&self.count);
        if count.jobs == self.maximum {
            return Err(NoThread);
        }
        if count.jobs == count.threads {
            self.start_thread().map_err(|_| NoThread)?;
            count.threads += 1;
        }
        self.jobs.send(Box::new(job)).map_err(|_| NoThread)?;
        count.jobs += 1;
        Ok(())
    }

    fn start_thread(&self) -> io::Result<()> {
        let jobs = self.waiting_jobs.clone();
        let count = Arc::clone(&self.count);
        let name = format!("{}-handler", self.name);
        thread::Builder::new().name(name).spawn(move || {
            for job in jobs {
                run_job(job);
                lock(&count).jobs -= 1;
            }
        })?;
        Ok(())
    }
}

/// A handler that panics costs its own request only. The panic hook has logged it.
fn run_job(job: Job) {
    let _ = catch_unwind(AssertUnwindSafe(job));
}

fn lock(count: &Mutex<Count>) -> MutexGuard<'_, Count> {
    count.lock().unwrap_or_else(PoisonError::into_inner)
}
