//! What has to be done as time passes, whether requests come or not.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use fleet::time::Time;
use futures_lite::FutureExt;
use platform::table::Table;

use super::Core;

/// From one tick to the next while requests wait.
const BUSY_INTERVAL: Duration = Duration::from_millis(4);

/// From one tick to the next while none do.
const QUIET_INTERVAL: Duration = Duration::from_millis(50);

/// From one sweep of idle connections to the next.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Ticks for good.
pub(crate) async fn run<T: Table>(core: Rc<Core<T>>) {
    let mut swept = Time::ZERO;
    loop {
        let waiting = core.tick();
        let now = core.now();
        if now.since(swept) >= SWEEP_INTERVAL {
            core.sweep();
            swept = now;
        }
        let pause = async {
            Timer::after(if waiting { BUSY_INTERVAL } else { QUIET_INTERVAL }).await;
        };
        pause.or(core.shared().wait_for_update()).await;
    }
}
