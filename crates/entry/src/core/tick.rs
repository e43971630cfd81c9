//! The periodic work of the request thread.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use fleet::time::Time;
use futures_lite::FutureExt;
use platform::table::Table;

use super::Core;

/// Interval between ticks while requests are queued.
const BUSY_INTERVAL: Duration = Duration::from_millis(4);

/// Interval between ticks while none are.
const QUIET_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between sweeps of idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Ticks at intervals and when a new view is set. Never returns.
pub(crate) async fn run<T: Table>(core: Rc<Core<T>>) {
    let mut swept = Time::ZERO;
    loop {
        let waiting = core.tick();
        let now = core.now();
        if now.since(swept) >= SWEEP_INTERVAL {
            core.sweep();
            swept = now;
        }
        let sleep = async {
            Timer::after(if waiting { BUSY_INTERVAL } else { QUIET_INTERVAL }).await;
        };
        sleep.or(core.shared().wait_for_update()).await;
    }
}
