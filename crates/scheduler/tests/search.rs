//! Exhaustive search over all sequences of four faults out of seven, injected while a job of two
//! steps with anti-affinity runs. Whatever the sequence, each task runs at most once at a time, the
//! steps run in order, and the job ends.

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

/// A fault that the search injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// No fault for a while.
    Pause,
    /// A new leader takes over, and the previous one has not stepped down.
    LeaderChange,
    /// The store does not answer.
    StoreDown,
    /// An instance becomes unreachable: one that runs a task, if there is one.
    Unreachable,
    /// An instance crashes and restarts: one that runs a task, if there is one.
    Crash,
    /// Start commands get no answer and take effect later.
    LateCommands,
    /// The caller cancels the job.
    Cancel,
}

const ALL: [Fault; 7] = [
    Fault::Pause,
    Fault::LeaderChange,
    Fault::StoreDown,
    Fault::Unreachable,
    Fault::Crash,
    Fault::LateCommands,
    Fault::Cancel,
];

/// Number of faults in a sequence.
const DEPTH: u32 = 4;

/// Minimum number of distinct states that the search from one first fault has to reach: fewer would
/// mean that faults do not overlap.
const MIN_STATES: usize = 25;

thread_local! {
    static STATES: RefCell<BTreeSet<String>> = const { RefCell::new(BTreeSet::new()) };
}

cases! {
    search;
    first_a_pause: Fault::Pause,
    first_a_leader_change: Fault::LeaderChange,
    first_the_store_down: Fault::StoreDown,
    first_a_cut: Fault::Unreachable,
    first_a_crash: Fault::Crash,
    first_late_commands: Fault::LateCommands,
    first_a_cancel: Fault::Cancel,
}

fn search(first: Fault) {
    let sequences = ALL.len().pow(DEPTH - 1);
    for number in 0..sequences {
        let mut sequence = vec![first];
        let mut digits = number;
        for _ in 1..DEPTH {
            sequence.push(ALL[digits % ALL.len()]);
            digits /= ALL.len();
        }
        run_sequence(&sequence);
    }
    let states = STATES.with_borrow(BTreeSet::len);
    println!("{sequences} sequences, {states} distinct states");
    assert!(states >= MIN_STATES, "{states} distinct states");
}

fn run_sequence(sequence: &[Fault]) {
    let fakes = (0..3).map(|n| Fake::new(&format!("i-{n}"), "oven", &format!("r{n}"))).collect();
    let mut site = Site::new(&["oven"], fakes, 9);
    site.run(ms(100));
    let second = Step { after: vec![0], anti_affinity: 1, ..step(3, 300) };
    for fake in &mut site.fakes {
        fake.default_duration_ms = 300;
    }
    site.submit(1, "oven", spec(vec![step(1, 300), second]));
    record(&mut site, 2);
    for &fault in sequence {
        inject(&mut site, fault);
        record(&mut site, 8);
        site.late_percent = 0;
    }
    // The maximum time for which a new leader waits for leases whose expiry it can only infer.
    site.run(ms(16_000));
    assert!(site.monitor.violations.is_empty(), "{sequence:?}: {:#?}", site.monitor.violations);
    if site.accepted.contains_key(&id(1)) {
        let ended = site.state(1).is_some_and(scheduler::job::State::is_ended);
        assert!(ended, "{sequence:?}: {:?}", site.state(1));
        assert_eq!(site.monitor.running(id(1)), 0, "{sequence:?}");
    }
}

/// Advances the clock by 15 ms `times` times, and records the state after each step.
fn record(site: &mut Site, times: u32) {
    for _ in 0..times {
        site.run(ms(15));
        let state = fingerprint(site);
        STATES.with_borrow_mut(|states| states.insert(state));
    }
}

fn inject(site: &mut Site, fault: Fault) {
    let now = site.now;
    let victim = site.fakes.iter().position(|fake| fake.runs() > 0).unwrap_or(0);
    match fault {
        Fault::Pause => site.run(ms(280)),
        Fault::LeaderChange => site.change_leader(false),
        Fault::StoreDown => site.store_down_until = now + ms(600),
        Fault::Unreachable => site.fakes[victim].unreachable_until = now + ms(900),
        Fault::Crash => site.fakes[victim].crash(now, ms(150), &mut site.monitor),
        Fault::LateCommands => site.late_percent = 100,
        Fault::Cancel => {
            site.core().cancel(now, id(1));
        }
    }
}

/// The state without times: phases of tasks, health of instances, runs and ends on instances, and
/// the rows in the store.
fn fingerprint(site: &mut Site) -> String {
    let stored = site.progress.get(&id(1)).map(|progress| {
        let runs: Vec<(u32, bool, String)> = progress
            .tasks
            .iter()
            .map(|task| (task.index, task.done, task.instance.clone()))
            .collect();
        (progress.state, runs)
    });
    let now = site.now;
    let fakes: Vec<_> = site
        .fakes
        .iter()
        .map(|fake| {
            let heartbeat = fake.heartbeat(now);
            let running: Vec<_> = heartbeat.running.iter().map(|run| (run.task, run.run)).collect();
            let ended: Vec<_> =
                heartbeat.ended.iter().map(|end| (end.task, end.run, end.exit)).collect();
            (fake.reachable(now), running, ended)
        })
        .collect();
    let core = site.core();
    let job = core.job(id(1)).map(|job| {
        let phases: Vec<_> = job.tasks.iter().map(|task| (task.phase, task.run)).collect();
        (job.state, job.maybe_unrecorded, phases)
    });
    let instances: Vec<_> = core
        .instances()
        .map(|(_, instance)| {
            (
                instance.synced,
                instance.outcome_unknown,
                instance.unresponsive_since.is_some(),
                instance.expiry,
                instance.tasks.len(),
            )
        })
        .collect();
    let unsaved = !core.is_saved(id(1));
    format!("{job:?} {instances:?} {unsaved} {stored:?} {fakes:?}")
}
