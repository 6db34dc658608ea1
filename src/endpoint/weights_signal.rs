use std::future::poll_fn;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::task::Poll;
use std::task::Waker;

/// Tasks that wait for a change.
#[derive(Debug, Default)]
struct Waiters {
    /// Number of changes so far.
    generation: u64,
    wakers: Vec<Waker>,
}

/// Wakes waiting tasks, on any thread, after a change.
#[derive(Debug, Default)]
pub(super) struct ChangeSignal {
    waiters: Mutex<Waiters>,
}

impl ChangeSignal {
    fn lock_waiters(&self) -> MutexGuard<'_, Waiters> {
        self.waiters
            .lock()
            .expect("no holder of the waiters panics")
    }

    /// Number of changes so far.
    pub(super) fn generation(&self) -> u64 {
        self.lock_waiters().generation
    }

    /// Records a change and wakes all waiting tasks.
    pub(super) fn notify(&self) {
        let wakers = {
            let mut waiters = self.lock_waiters();
            waiters.generation += 1;
            std::mem::take(&mut waiters.wakers)
        };
        for waker in wakers {
            waker.wake();
        }
    }

    /// Waits until there is a change after `generation`.
    pub(super) async fn wait_for_change(&self, generation: u64) {
        poll_fn(|context| {
            let mut waiters = self.lock_waiters();
            if waiters.generation > generation {
                return Poll::Ready(());
            }
            waiters.wakers.push(context.waker().clone());
            Poll::Pending
        })
        .await;
    }
}
