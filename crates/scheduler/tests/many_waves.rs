//! Maintenance waves, more of them and with more machines than one write of the store holds.

mod site;

use std::collections::BTreeSet;
use std::time::Duration;

use scheduler::core::Limits;
use scheduler::core::WaveRow;
use scheduler::machine::Wave;
use site::Fake;
use site::LIMITS;
use site::Platform;
use site::Site;
use site::ms;
use site::spec;
use site::step;

/// Months of maintenance, one machine a wave.
const WAVES: u64 = 130;

fn wave(number: u64, hosts: Vec<String>) -> Wave {
    Wave { number, hosts, duration: Duration::from_secs(30), max_down: 1 }
}

fn open(count: usize) -> (Site, Platform) {
    let fakes = (0..count).map(|n| Fake::new(&format!("i-{n}"), "oven", &format!("r{}", n % 3)));
    let mut site = Site::new(&["oven"], fakes.collect(), 5);
    let mut platform = Platform::new(&mut site);
    platform.run(&mut site, ms(300));
    (site, platform)
}

/// A platform of twelve machines, on which waves of one machine each are completed, some at a time.
fn maintained() -> (Site, Platform) {
    let (mut site, mut platform) = open(12);
    let hosts: Vec<String> = (0..12).map(|n| format!("m-i-{n}")).collect();
    for first in (1..=WAVES).step_by(10) {
        for number in first..=WAVES.min(first + 9) {
            platform.request(&mut site, wave(number, vec![hosts[number as usize % 12].clone()]));
        }
        for _ in 0..80 {
            if platform.is_done(&mut site) {
                break;
            }
            platform.run(&mut site, ms(200));
        }
        assert!(platform.is_done(&mut site), "waves up to {first} are completed");
    }
    (site, platform)
}

/// Guards against a write of the rows of all waves there ever were, which the store refuses: nothing is stored
/// any more, in no term.
#[test]
fn waves_of_long_ago_take_no_part_in_writes() {
    let (mut site, mut platform) = maintained();
    platform.change_leader(&mut site, false);
    platform.run(&mut site, ms(1_000));
    assert!(site.core().waves().all(|wave| wave.completed), "all are known as completed");
    platform.request(&mut site, wave(1_000, vec!["m-i-3".to_owned()]));
    site.submit(1, "oven", spec(vec![step(4, 500)]));
    platform.run(&mut site, ms(8_000));
    assert!(platform.is_done(&mut site), "a further wave is completed");
    assert!(site.completed.contains_key(&site::id(1)), "a job is completed beside it");
    assert_eq!(site.refused_writes, 0);
    site.monitor.check();
}

/// Guards against a division by the room for jobs in a write that other rows fill.
#[test]
fn jobs_are_judged_while_no_write_has_room_for_them() {
    let (mut site, _) = open(2);
    for number in 1..5 {
        site.submit(number, "oven", spec(vec![step(4, 500)]));
    }
    for _ in 0..3 {
        let now = site.now;
        site.core().begin_write(Limits { rows: 0, ..LIMITS });
        site.core().finish_write(now);
        site.submit(10, "oven", spec(vec![step(4, 500)]));
        site.now = now + ms(50);
    }
}

/// A wave of more machines than a row of the store holds is recorded in several.
#[test]
fn the_machines_of_a_large_wave_are_spread_over_rows() {
    let (mut site, _) = open(2);
    let now = site.now;
    let hosts: Vec<String> = (0..1_200).map(|n| format!("m-{n:0180}")).collect();
    site.core().set_waves(now, vec![wave(7, hosts.clone())]);
    let begun: BTreeSet<String> = hosts.iter().cloned().collect();
    site.core().restore_wave(7, begun.clone(), false);
    let rows = site.core().wave_rows(7);
    assert!(rows.len() > 1, "{} rows", rows.len());
    for row in &rows {
        assert!(row.begun.iter().map(|host| host.len() + 3).sum::<usize>() < 48_000);
        assert_eq!(WaveRow::parse_key(&row.key()), Some(7));
    }
    let recorded: BTreeSet<String> = rows.into_iter().flat_map(|row| row.begun).collect();
    assert_eq!(recorded, begun);
}
