//! Spawns tasks on the request thread.

use std::future::Future;
use std::rc::Rc;
use std::rc::Weak;

use async_executor::LocalExecutor;

/// Spawns tasks on the request thread. Refers to the executor weakly: tasks hold spawners, and
/// would otherwise keep the executor that owns them alive.
#[derive(Clone, Debug)]
pub struct Spawner(Weak<LocalExecutor<'static>>);

impl Spawner {
    /// Creates a spawner for `executor`.
    pub fn new(executor: &Rc<LocalExecutor<'static>>) -> Self {
        Self(Rc::downgrade(executor))
    }

    /// Spawns a task. Drops it if the thread is ending.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        if let Some(executor) = self.0.upgrade() {
            executor.spawn(task).detach();
        }
    }
}
