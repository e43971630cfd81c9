//! Rows: everything comes back as it was, and what a newer version wrote is kept.

use fleet::config::Size;
use fleet::config::Weights;
use fleet::instance::Instance;
use fleet::instance::Purpose;
use fleet::instance::State;
use fleet::pool;
use fleet::pool::Absence;
use fleet::pool::Reason;
use fleet::row;
use fleet::time::Time;
use fleet::wave::Phase;
use fleet::wave::Run;
use fleet::wave::Wave;
use fleet::world::Change;
use fleet::world::World;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::site::Pool;
use super::site::Site;

fn site() -> Site {
    let pools = [Pool("a", 2, 1, false, &["r0", "r1"]), Pool("b", 1, 0, true, &["r2"])];
    Site::new(&pools, Weights::default())
}

/// All that a site's tables hold, as rows.
fn rows(world: &World) -> Vec<row::Update> {
    let pools = world.pools.iter().map(|(_, value)| Change::Pool(value.clone()));
    let waves = world.waves.iter().map(|(_, value)| Change::Wave(value.clone()));
    let instances = world.instances.iter().map(|(_, value)| Change::Instance(value.clone()));
    instances.chain(waves).chain(pools).map(|change| row::write(world, &change)).collect()
}

/// The same site, known only from the configuration and the rows.
pub(crate) fn copy(site: &Site) -> Site {
    let mut world = World::default();
    world.configure(&site.config);
    for entry in rows(&site.world) {
        let read = row::read(&mut world, &entry.key, entry.value.as_deref());
        world.apply(read.expect("it is read").expect("it is of a known kind"));
    }
    Site { world, ..site.clone() }
}

fn round_trip(site: &mut Site, change: &Change) {
    let entry = row::write(&site.world, change);
    let read = row::read(&mut site.world, &entry.key, entry.value.as_deref());
    assert_eq!(read.as_ref(), Ok(&Some(change.clone())));
}

fn times() -> impl Strategy<Value = Time> {
    any::<u64>().prop_map(Time::from_micros)
}

fn states() -> impl Strategy<Value = State> {
    prop::sample::select(vec![
        State::Serving,
        State::Draining,
        State::Drained,
        State::Stopped,
        State::Checking,
        State::Failed,
        State::Gone,
    ])
}

fn absences() -> impl Strategy<Value = Absence> {
    prop::sample::select(vec![
        Absence::Planned,
        Absence::Failed,
        Absence::Suspect,
        Absence::Leaving,
        Absence::Checking,
    ])
}

fn phases() -> impl Strategy<Value = Phase> {
    prop::sample::select(vec![
        Phase::Idle,
        Phase::Running,
        Phase::Paused,
        Phase::Aborting,
        Phase::Aborted,
        Phase::Done,
    ])
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn instances_come_back_as_they_were(
        (name, address) in ("[a-z0-9-]{1,12}", ".{0,20}"),
        (since, enlisted, maintained) in (times(), times(), times()),
        (state, epoch, strikes, run) in (states(), any::<u64>(), any::<u32>(), any::<u64>()),
        (purpose, marked) in (0..6_u32, any::<bool>()),
        (milli_cores, memory_mb, accelerators) in any::<(u32, u32, u32)>(),
    ) {
        let mut site = site();
        let mark = Run { wave: site.wave(), number: run };
        let purpose = match purpose {
            0 => None,
            1 => Some(Purpose::Wave(mark)),
            2 => Some(Purpose::Move { to: site.pool("b"), reason: Reason::Short }),
            3 => Some(Purpose::Operator),
            4 => Some(Purpose::Leaving),
            _ => Some(Purpose::Parked),
        };
        let instance = Instance {
            name,
            address,
            data_centre: site.world.data_centre("east"),
            rack: site.world.rack("r9"),
            pool: site.pool("a"),
            capacity: Size { milli_cores, memory_mb, accelerators },
            state,
            since,
            epoch,
            enlisted,
            purpose,
            strikes,
            maintained,
            last_run: marked.then_some(mark),
        };
        round_trip(&mut site, &Change::Instance(instance));
    }

    #[test]
    fn pools_and_waves_come_back_as_they_were(
        (members, changed) in (any::<u32>(), times()),
        out in prop::collection::btree_map("[a-z0-9]{1,8}", absences(), 0..5),
        (phase, run, steps) in (phases(), any::<u64>(), any::<u64>()),
        (started, ended) in (times(), prop::option::of(times())),
        lost in prop::collection::vec("[a-z0-9]{1,8}", 0..4),
    ) {
        let mut site = site();
        let pool = site.world.pools.get(site.pool("a")).expect("it is there").clone();
        round_trip(&mut site, &Change::Pool(pool::Pool { members, changed, absences: out, ..pool }));
        let wave = site.world.waves.get(site.wave()).expect("it is there").clone();
        let wave = Wave { phase, run, steps, started, ended, lost, ..wave };
        round_trip(&mut site, &Change::Wave(wave));
    }

    #[test]
    fn no_row_makes_reading_panic(key in ".{0,40}", value in ".{0,80}") {
        let mut world = World::default();
        let kinds = ["instance/", "pool/", "wave/", "team/", "job/", "worker/", ""];
        for kind in kinds {
            let _ = row::read(&mut world, &format!("{kind}{key}"), Some(&value));
            let _ = row::read(&mut world, &format!("{kind}{key}"), None);
        }
    }
}

#[test]
fn fields_of_a_newer_version_are_written_back() {
    let mut site = site();
    let text = r#"{"members":2,"out":{},"changed":0,"quota":{"of":[1,2]}}"#;
    let read = row::read(&mut site.world, "pool/org/a", Some(text));
    let change = read.expect("it is read").expect("it is a pool");
    let written = row::write(&site.world, &change).value.expect("it has a value");
    assert!(written.contains(r#""quota":{"of":[1,2]}"#), "{written}");
}

#[test]
fn an_unknown_field_within_a_field_is_passed_over() {
    let mut site = site();
    let text = r#"{"capacity":{"milli_cores":1,"disks":3},"purpose":{"for":"parked","until":7}}"#;
    let read = row::read(&mut site.world, "instance/x", Some(text));
    let Ok(Some(Change::Instance(instance))) = read else {
        panic!("{read:?}");
    };
    assert_eq!((instance.capacity.milli_cores, instance.purpose), (1, Some(Purpose::Parked)));
}

#[test]
fn a_row_may_come_before_what_it_names() {
    let site = site();
    let mut entries = rows(&site.world);
    let mut world = World::default();
    entries.reverse();
    for entry in &entries {
        let read = row::read(&mut world, &entry.key, entry.value.as_deref());
        world.apply(read.expect("it is read").expect("it is of a known kind"));
    }
    world.configure(&site.config);
    let organisation = world.names.organisations["org"];
    let pool = world.names.pools[&(organisation, "a".to_owned())];
    assert_eq!(world.ready(pool).count(), 2);
}
