//! Starts tasks on the request thread.

use std::future::Future;
use std::rc::Rc;
use std::rc::Weak;

use async_executor::LocalExecutor;

/// Starts tasks on the request thread; does not keep the executor alive, as tasks hold it.
#[derive(Clone, Debug)]
pub struct Spawner(Weak<LocalExecutor<'static>>);

impl Spawner {
    /// Starts tasks on `executor`.
    pub fn new(executor: &Rc<LocalExecutor<'static>>) -> Self {
        Self(Rc::downgrade(executor))
    }

    /// Starts a task; it is dropped where the thread is ending.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        if let Some(executor) = self.0.upgrade() {
            executor.spawn(task).detach();
        }
    }
}
