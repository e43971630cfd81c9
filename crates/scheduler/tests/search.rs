//! Every sequence of four troubles out of seven, laid on a job of two steps whose tasks stand apart: at most once, in the
//! order of its steps, and to its end, whatever order they come in.

mod site;

use std::cell::RefCell;
use std::collections::BTreeSet;

use cases::cases;
use scheduler::job::Step;
use site::Fake;
use site::Site;
use site::id;
use site::ms;
use site::spec;
use site::step;

/// What may go wrong at one point of the search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    /// Nothing, for a while.
    Pause,
    /// Another scheduler takes over without a word of the one before.
    Change,
    /// The store does not answer.
    StoreDown,
    /// An instance that has work, if any has, can't be reached.
    Cut,
    /// It dies and starts anew.
    Crash,
    /// Orders get no answer and take effect later.
    LateOrders,
    /// The caller takes the job back.
    Cancel,
}

const ALL: [Trouble; 7] = [
    Trouble::Pause,
    Trouble::Change,
    Trouble::StoreDown,
    Trouble::Cut,
    Trouble::Crash,
    Trouble::LateOrders,
    Trouble::Cancel,
];

/// Troubles in one sequence.
const DEPTH: u32 = 4;

/// Distinct states that a search from one first trouble has to reach at least: fewer would mean
/// that troubles do not meet.
const LEAST: usize = 25;

thread_local! {
    static STATES: RefCell<BTreeSet<String>> = const { RefCell::new(BTreeSet::new()) };
}

cases! {
    searches;
    first_a_pause: Trouble::Pause,
    first_a_change_of_office: Trouble::Change,
    first_the_store_down: Trouble::StoreDown,
    first_a_cut: Trouble::Cut,
    first_a_crash: Trouble::Crash,
    first_late_orders: Trouble::LateOrders,
    first_a_cancel: Trouble::Cancel,
}

fn searches(first: Trouble) {
    let rest = ALL.len().pow(DEPTH - 1);
    for number in 0..rest {
        let mut sequence = vec![first];
        let mut left = number;
        for _ in 1..DEPTH {
            sequence.push(ALL[left % ALL.len()]);
            left /= ALL.len();
        }
        play(&sequence);
    }
    let states = STATES.with_borrow(BTreeSet::len);
    println!("{rest} sequences, {states} distinct states");
    assert!(states >= LEAST, "{states} distinct states");
}

fn play(sequence: &[Trouble]) {
    let fakes = (0..3).map(|n| Fake::new(&format!("i-{n}"), "oven", &format!("r{n}"))).collect();
    let mut site = Site::new(&["oven"], fakes, 9);
    site.run(ms(100));
    let second = Step { after: vec![0], anti_affinity: 1, ..step(3, 300) };
    for fake in &mut site.fakes {
        fake.usual_ms = 300;
    }
    site.submit(1, "oven", spec(vec![step(1, 300), second]));
    watch(&mut site, 2);
    for &trouble in sequence {
        strike(&mut site, trouble);
        watch(&mut site, 8);
        site.late_percent = 0;
    }
    // The longest time for which a successor waits for leases that it can't see the end of.
    site.run(ms(16_000));
    assert!(site.ledger.broken.is_empty(), "{sequence:?}: {:#?}", site.ledger.broken);
    if site.accepted.contains_key(&id(1)) {
        let ended = site.state(1).is_some_and(scheduler::job::State::is_ended);
        assert!(ended, "{sequence:?}: {:?}", site.state(1));
        assert_eq!(site.ledger.running(id(1)), 0, "{sequence:?}");
    }
}

/// Lets 15 ms pass so many times, and notes the state at each.
fn watch(site: &mut Site, times: u32) {
    for _ in 0..times {
        site.run(ms(15));
        let state = fingerprint(site);
        STATES.with_borrow_mut(|states| states.insert(state));
    }
}

fn strike(site: &mut Site, trouble: Trouble) {
    let now = site.now;
    let victim = site.fakes.iter().position(|fake| fake.runs() > 0).unwrap_or(0);
    match trouble {
        Trouble::Pause => site.run(ms(280)),
        Trouble::Change => site.take_office(false),
        Trouble::StoreDown => site.store_down_until = now + ms(600),
        Trouble::Cut => site.fakes[victim].cut_until = now + ms(900),
        Trouble::Crash => site.fakes[victim].crash(now, ms(150), &mut site.ledger),
        Trouble::LateOrders => site.late_percent = 100,
        Trouble::Cancel => {
            site.core().cancel(now, id(1));
        }
    }
}

/// What tells one state of the machines from another: leases, fences, orders, ends, and what the
/// store holds; no times.
fn fingerprint(site: &mut Site) -> String {
    let stored = site.progress.get(&id(1)).map(|progress| {
        let runs: Vec<(u32, bool, String)> =
            progress.tasks.iter().map(|row| (row.index, row.done, row.instance.clone())).collect();
        (progress.state, runs)
    });
    let now = site.now;
    let held: Vec<_> = site
        .fakes
        .iter()
        .map(|fake| {
            let look = fake.look(now);
            let running: Vec<_> = look.running.iter().map(|run| (run.task, run.run)).collect();
            let ended: Vec<_> =
                look.ended.iter().map(|end| (end.task, end.run, end.exit)).collect();
            (fake.reachable(now), running, ended)
        })
        .collect();
    let core = site.core();
    let job = core.job(id(1)).map(|job| {
        let phases: Vec<_> = job.tasks.iter().map(|task| (task.phase, task.run)).collect();
        (job.state, job.maybe_unrecorded, phases)
    });
    let runners: Vec<_> = core
        .instances()
        .map(|(_, row)| {
            (
                row.synced,
                row.outcome_unknown,
                row.unresponsive_since.is_some(),
                row.expiry,
                row.tasks.len(),
            )
        })
        .collect();
    let unsaved = !core.is_saved(id(1));
    format!("{job:?} {runners:?} {unsaved} {stored:?} {held:?}")
}
