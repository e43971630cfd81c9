//! Odd rows that another writer leaves among those of the platform.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use sitestand::Platform;
use sitestand::odd::KINDS;

/// Longest time for which an instance's own entry is odd.
const MAX_OWN_MS: u64 = 1_500;

/// Writes odd rows and deletes them again, for as long as the executor lives.
pub(crate) async fn run(platform: Rc<Platform>, random: ChaCha8Rng) {
    let mut random = random;
    random.set_stream(u64::MAX - 6);
    loop {
        let pause = random.random_range(200..2_000);
        Timer::after(Duration::from_millis(pause)).await;
        let kind = random.random_range(0..KINDS);
        match random.random_range(0..5) {
            0 | 1 => platform.write_odd(kind),
            2 => platform.delete_odd(kind),
            3 => platform.odd.machines.set(random.random()),
            _ => {
                let place = random.random_range(0..platform.instances.len());
                let odd_ms = random.random_range(300..MAX_OWN_MS);
                platform.instances[place].odd_entry.set(true);
                Timer::after(Duration::from_millis(odd_ms)).await;
                platform.instances[place].odd_entry.set(false);
            }
        }
    }
}
