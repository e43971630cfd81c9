//! Jobs whose numbers are at the ends of their ranges, beside usual ones.

mod site;

use cases::cases;
use proptest::prelude::*;
use scheduler::core::Rejection;
use scheduler::core::Verdict;
use scheduler::job::Invalid;
use scheduler::job::Spec;
use scheduler::job::State;
use scheduler::job::Step;
use site::Fake;
use site::Site;
use site::id;
use site::ms;
use site::spec;
use site::step;

/// Number of the odd job.
const ODD: u64 = 1;

/// Number of the first usual job.
const USUAL: u64 = 10;

/// Number of usual jobs.
const JOBS: u64 = 5;

fn open() -> Site {
    let instances = (0..4).map(|n| Fake::new(&format!("i-{n}"), "oven", "r"));
    let mut site = Site::new(&["oven"], instances.collect(), 5);
    site.run(ms(200));
    site
}

/// Plays usual jobs, an odd one after them, and a change of leader. Returns what became of the odd one.
fn play(odd: Spec) -> Verdict {
    let mut site = open();
    for number in USUAL..USUAL + JOBS {
        assert_eq!(site.submit(number, "oven", spec(vec![step(2, 500)])), Verdict::Store);
    }
    let verdict = site.submit(ODD, "oven", odd);
    site.run(ms(300));
    site.change_leader(true);
    site.run(ms(4_000));
    for number in USUAL..USUAL + JOBS {
        assert_eq!(site.state(number), Some(State::Completed), "job {number}");
    }
    verdict
}

const LARGE: Step = Step {
    count: 1,
    cpu: 1_000,
    memory: 100,
    accelerators: 0,
    estimate_ms: 500,
    after: Vec::new(),
    checkpoints: false,
    gang: false,
    same_rack: false,
    requires: String::new(),
    affinity: String::new(),
    anti_affinity: u32::MAX,
    speculative: false,
    long_running: false,
    image: String::new(),
    target_ms: 0,
    best_effort: false,
    max_unavailable: u32::MAX,
};

cases! {
    is_rejected;
    a_chain_of_the_largest_estimates: spec(vec![
        Step { estimate_ms: u64::MAX, ..LARGE },
        Step { estimate_ms: u64::MAX, after: vec![0], ..LARGE },
    ]),
    one_largest_estimate: spec(vec![Step { estimate_ms: u64::MAX, ..LARGE }]),
    the_largest_cpu: spec(vec![Step { cpu: u64::MAX, ..LARGE }]),
    the_largest_memory: spec(vec![Step { memory: u64::MAX, ..LARGE }]),
    the_largest_number_of_accelerators: spec(vec![Step { accelerators: u64::MAX, ..LARGE }]),
    the_largest_target: spec(vec![Step { target_ms: u64::MAX, ..LARGE }]),
    the_largest_interval: Spec { repeats: 2_000, interval_ms: u64::MAX, ..spec(vec![LARGE]) },
    the_latest_start: Spec { repeats: 2, first_ms: u64::MAX, ..spec(vec![LARGE]) },
}

/// What a caller says of one job is no reason to refuse the jobs of others, while most of the pool is
/// free.
#[test]
fn a_job_of_a_long_estimate_leaves_its_pool_open() {
    let mut site = open();
    site.fakes.iter_mut().for_each(|fake| fake.default_duration_ms = 36_000_000);
    assert_eq!(site.submit(ODD, "oven", spec(vec![step(1, 36_000_000)])), Verdict::Store);
    site.run(ms(1_000));
    assert_eq!(site.submit(USUAL, "oven", spec(vec![step(2, 500)])), Verdict::Store);
}

fn is_rejected(odd: Spec) {
    assert_eq!(play(odd), Verdict::Rejected(Rejection::Invalid(Invalid::Range)));
}

/// Rows of a former build may hold jobs that this one would reject.
#[test]
fn a_stored_job_of_any_numbers_is_restored() {
    let mut site = open();
    assert_eq!(site.submit(ODD, "oven", spec(vec![step(1, 500), step(1, 500)])), Verdict::Store);
    assert_eq!(site.submit(USUAL, "oven", spec(vec![step(4, 500)])), Verdict::Store);
    site.run(ms(30));
    let body = site.bodies.get_mut(&id(ODD)).expect("stored");
    body.submitted_ms = u64::MAX;
    body.spec.repeats = 1_000;
    body.spec.interval_ms = u64::MAX;
    body.spec.first_ms = u64::MAX;
    for step in &mut body.spec.steps {
        step.cpu = u64::MAX;
        step.memory = u64::MAX;
        step.accelerators = u64::MAX;
        step.estimate_ms = u64::MAX;
        step.target_ms = u64::MAX;
    }
    body.spec.steps[1].after = vec![0];
    site.change_leader(true);
    site.run(ms(3_000));
    assert_eq!(site.state(USUAL), Some(State::Completed));
    assert_eq!(site.state(ODD), Some(State::Active));
}

/// A number from all magnitudes.
fn number() -> impl Strategy<Value = u64> {
    (any::<u64>(), 0_u32..64).prop_map(|(number, shift)| number >> shift)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    #[test]
    fn any_numbers_leave_usual_jobs_be(
        estimate_ms in number(),
        cpu in number(),
        memory in number(),
        accelerators in number(),
        first_ms in number(),
        interval_ms in number(),
        repeats in 0_u32..3_000,
    ) {
        let steps = vec![
            Step { estimate_ms, cpu, memory, accelerators, ..LARGE },
            Step { estimate_ms, after: vec![0, 0, 0], ..LARGE },
        ];
        play(Spec { repeats, first_ms, interval_ms, ..spec(steps) });
    }
}
