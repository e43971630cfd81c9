//! Whatever phase a task is in, and whatever becomes of its instance, of the leader or of the store
//! then, the task ends: the rows of `docs/design/phases.md`.

mod site;

use cases::cases;
use scheduler::job::Phase;
use scheduler::job::Step;
use site::Fake;
use site::Site;
use site::id;
use site::ms;
use site::spec;
use site::step;

/// The phase in which a fault comes, of the task of the job's second step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum In {
    Waiting,
    Planned,
    Recording,
    Starting,
    Unknown,
    Inherited,
    Running,
}

impl In {
    fn is(self, phase: Phase) -> bool {
        match self {
            Self::Waiting => phase == Phase::Waiting,
            Self::Planned => matches!(phase, Phase::Planned(_)),
            Self::Recording => matches!(phase, Phase::Recording(_)),
            Self::Starting => matches!(phase, Phase::Starting(_)),
            Self::Unknown => matches!(phase, Phase::Unknown(_)),
            Self::Inherited => matches!(phase, Phase::Inherited(_)),
            Self::Running => matches!(phase, Phase::Running(_)),
        }
    }
}

/// What becomes of the event that would end the phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// It comes.
    None,
    /// The instance is gone for good.
    Gone,
    /// The instance comes back as another incarnation.
    Restarted,
    /// The same, with a lower incarnation.
    SetBack,
    /// Its process comes back under another name.
    Renamed,
    /// The same, in another pool.
    Moved,
    /// The instance list lacks it for a while.
    Unlisted,
    /// Nothing reaches it for a while.
    Cut,
    /// Its heartbeats neither return nor fail.
    Mute,
    /// It drains, and does what it has.
    Draining,
    /// Its runs hang, and the first stop commands are lost.
    Hung,
    /// All messages and the leader are lost.
    PowerLost,
    /// The same, and the next leader is lost at once.
    TwoLeaders,
    /// The leader steps down.
    SteppedDown,
    /// All writes fail for a while.
    WritesFail,
    /// The store does not answer for a while.
    StoreDown,
}

const FAULTS: [Fault; 16] = [
    Fault::None,
    Fault::Gone,
    Fault::Restarted,
    Fault::SetBack,
    Fault::Renamed,
    Fault::Moved,
    Fault::Unlisted,
    Fault::Cut,
    Fault::Mute,
    Fault::Draining,
    Fault::Hung,
    Fault::PowerLost,
    Fault::TwoLeaders,
    Fault::SteppedDown,
    Fault::WritesFail,
    Fault::StoreDown,
];

cases! {
    ends_after_any_fault;
    waiting: In::Waiting,
    planned: In::Planned,
    recording: In::Recording,
    starting: In::Starting,
    unknown: In::Unknown,
    inherited: In::Inherited,
    running: In::Running,
}

fn ends_after_any_fault(phase: In) {
    for fault in FAULTS {
        let mut site = in_phase(phase);
        inject(&mut site, fault);
        for fake in &mut site.fakes[1..] {
            fake.draining = false;
        }
        site.run(ms(2_000));
        // What leases keep may stand still until they expire; it has to end after that.
        let mut faults = site.settle();
        faults.retain(|fault| !fault.contains("has stood still"));
        assert!(faults.is_empty(), "{phase:?}, {fault:?}: {faults:#?}");
    }
}

/// A job whose second step is in a phase on the only open instance.
fn in_phase(phase: In) -> Site {
    let fakes = (0..3).map(|n| Fake::new(&format!("i-{n}"), "oven", &format!("r{n}")));
    let mut site = Site::new(&["oven", "till"], fakes.collect(), 5);
    for fake in &mut site.fakes[1..] {
        fake.draining = true;
    }
    site.write_time = ms(30);
    site.run(ms(600));
    let second = Step { after: vec![0], ..step(1, 500) };
    site.submit(1, "oven", spec(vec![step(1, 500), second]));
    site.run(ms(300));
    site.command_cost = if phase == In::Starting { ms(20) } else { ms(0) };
    site.fakes[0].ignores_starts = phase == In::Unknown;
    for count in 0..3_000 {
        let task = site.core().job(id(1)).expect("the job is known").tasks[1].clone();
        if phase.is(task.phase) {
            site.command_cost = ms(0);
            site.fakes[0].ignores_starts = false;
            return site;
        }
        if phase == In::Planned && count % 10 == 0 {
            // A write is in flight when the task is placed.
            let small = Step { cpu: 1, memory: 1, ..step(1, 500) };
            site.submit(100 + count, "oven", spec(vec![small]));
        }
        if phase == In::Inherited && matches!(task.phase, Phase::Running(_)) {
            site.change_leader(false);
            continue;
        }
        site.run(ms(1));
    }
    panic!("{phase:?} is not reached");
}

fn inject(site: &mut Site, fault: Fault) {
    let now = site.now;
    match fault {
        Fault::None => {}
        Fault::Gone => site.fakes[0].crash(now, ms(60_000), &mut site.monitor),
        Fault::Restarted => site.fakes[0].crash(now, ms(200), &mut site.monitor),
        Fault::SetBack => site.restart_earlier(0, ms(200)),
        Fault::Renamed => site.rename(0, "oven", ms(200)),
        Fault::Moved => site.rename(0, "till", ms(200)),
        Fault::Unlisted => site.fakes[0].unlisted_until = now + ms(3_000),
        Fault::Cut => site.fakes[0].unreachable_until = now + ms(2_000),
        Fault::Mute => site.fakes[0].mutes_heartbeats = true,
        Fault::Draining => site.fakes[0].draining = true,
        Fault::Hung => {
            site.run(ms(100));
            site.fakes[0].hang_runs();
            site.losses.stops = 100;
        }
        Fault::PowerLost | Fault::TwoLeaders => {
            site.lose_power();
            site.run(ms(1_500));
            site.change_leader(false);
            if fault == Fault::TwoLeaders {
                site.run(ms(5));
                site.lose_power();
                site.change_leader(false);
            }
        }
        Fault::SteppedDown => site.change_leader(true),
        Fault::WritesFail => site.losses.writes = 100,
        Fault::StoreDown => site.store_down_until = now + ms(2_000),
    }
}
