//! A node's parts are polled only when they have something to do.

use std::cell::Cell;
use std::future::Future;
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::future::yield_now;

/// The work of other tasks does not poll the listeners: each poll of one costs a system call.
#[test]
fn wakeups_of_tasks_leave_the_main_future_alone() {
    let executor = Rc::new(LocalExecutor::new());
    let (stop, stopped) = async_channel::bounded::<()>(1);
    executor
        .spawn(async move {
            for _ in 0..1_000 {
                Timer::after(Duration::from_micros(10)).await;
                yield_now().await;
            }
            stop.close();
        })
        .detach();
    let polls = Rc::new(Cell::new(0));
    let counter = Rc::clone(&polls);
    node::block_on(&executor, async move {
        let mut waiting = Box::pin(async move {
            let _ = stopped.recv().await;
        });
        poll_fn(|context| {
            counter.set(counter.get() + 1);
            waiting.as_mut().poll(context)
        })
        .await;
    });
    assert!(polls.get() <= 2, "polled {} times, for its start and its end", polls.get());
}
