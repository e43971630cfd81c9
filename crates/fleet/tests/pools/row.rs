//! Rows: values survive a round trip, and fields of newer versions are kept.

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

/// The rows of all instances, waves and pools of a site.
fn rows(world: &World) -> Vec<row::Update> {
    let pools = world.pools.iter().map(|(_, value)| Change::Pool(value.clone()));
    let waves = world.waves.iter().map(|(_, value)| Change::Wave(value.clone()));
    let instances = world.instances.iter().map(|(_, value)| Change::Instance(value.clone()));
    instances.chain(waves).chain(pools).map(|change| row::write(world, &change)).collect()
}

/// Rebuilds the site from its configuration and rows alone.
pub(crate) fn copy(site: &Site) -> Site {
    let mut world = World::default();
    world.configure(&site.config);
    for update in rows(&site.world) {
        let read = row::read(&mut world, &update.key, update.value.as_deref());
        world.apply(read.expect("the row is valid").expect("the row is of a known kind"));
    }
    Site { world, ..site.clone() }
}

fn round_trip(site: &mut Site, change: &Change) {
    let update = row::write(&site.world, change);
    let read = row::read(&mut site.world, &update.key, update.value.as_deref());
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
    fn instances_round_trip(
        (name, address) in ("[a-z0-9-]{1,12}", ".{0,20}"),
        (since, enlisted, maintained) in (times(), times(), times()),
        (state, epoch, strikes, number) in (states(), any::<u64>(), any::<u32>(), any::<u64>()),
        (purpose, has_last_run) in (0..6_u32, any::<bool>()),
        (milli_cores, memory_mb, accelerators) in any::<(u32, u32, u32)>(),
    ) {
        let mut site = site();
        let run = Run { wave: site.wave(), number };
        let purpose = match purpose {
            0 => None,
            1 => Some(Purpose::Wave(run)),
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
            last_run: has_last_run.then_some(run),
        };
        round_trip(&mut site, &Change::Instance(instance));
    }

    #[test]
    fn pools_and_waves_round_trip(
        (members, changed) in (any::<u32>(), times()),
        absences in prop::collection::btree_map("[a-z0-9]{1,8}", absences(), 0..5),
        (phase, run, steps) in (phases(), any::<u64>(), any::<u64>()),
        (started, ended) in (times(), prop::option::of(times())),
        lost in prop::collection::vec("[a-z0-9]{1,8}", 0..4),
    ) {
        let mut site = site();
        let pool = site.world.pools.get(site.pool("a")).expect("the pool exists").clone();
        round_trip(&mut site, &Change::Pool(pool::Pool { members, changed, absences, ..pool }));
        let wave = site.world.waves.get(site.wave()).expect("the wave exists").clone();
        let wave = Wave { phase, run, steps, started, ended, lost, ..wave };
        round_trip(&mut site, &Change::Wave(wave));
    }

    #[test]
    fn reading_a_row_never_panics(key in ".{0,40}", value in ".{0,80}") {
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
    let change = read.expect("the row is valid").expect("the row is a pool's");
    let written = row::write(&site.world, &change).value.expect("the row is not deleted");
    assert!(written.contains(r#""quota":{"of":[1,2]}"#), "{written}");
}

#[test]
fn unknown_nested_fields_are_ignored() {
    let mut site = site();
    let text = r#"{"capacity":{"milli_cores":1,"disks":3},"purpose":{"for":"parked","until":7}}"#;
    let read = row::read(&mut site.world, "instance/x", Some(text));
    let Ok(Some(Change::Instance(instance))) = read else {
        panic!("{read:?}");
    };
    assert_eq!((instance.capacity.milli_cores, instance.purpose), (1, Some(Purpose::Parked)));
}

#[test]
fn rows_can_be_read_in_any_order() {
    let site = site();
    let mut updates = rows(&site.world);
    let mut world = World::default();
    updates.reverse();
    for update in &updates {
        let read = row::read(&mut world, &update.key, update.value.as_deref());
        world.apply(read.expect("the row is valid").expect("the row is of a known kind"));
    }
    world.configure(&site.config);
    let organisation = world.names.organisations["org"];
    let pool = world.names.pools[&(organisation, "a".to_owned())];
    assert_eq!(world.ready(pool).count(), 2);
}
