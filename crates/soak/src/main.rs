//! A randomized soak: real nodes as processes of their own on loopback, faults laid on from
//! outside, promises checked from what callers and instances see.
//!
//! * [`process`]: nodes as processes, and signals to them.
//! * [`proxy`]: connections that are delayed, reset, silenced or cut one way.
//! * [`client`]: callers, and what they were told.
//! * [`count`]: lengths of queues and states of jobs, held against what instances have started.
//! * [`fault`]: what goes wrong, drawn from a seed.
//! * [`work`]: what goes wrong with work alone, in the second part of a run.
//! * [`load`]: more work than a leader can start and store, and changes of leader, in the third part.
//! * [`series`]: planned work on one node after the other, under callers that pipeline, in the fourth part.
//! * [`strain`]: tasks that crash their instances, capacities that shrink, and instances that refuse all starts, in
//!   parts of their own.
//! * [`outage`]: a loss of all nodes at once under load, in the fifth part.
//! * [`upkeep`]: maintenance waves under long-running tasks, and losses of all nodes, in a part of its own.
//! * [`size`]: jobs, lists of ended runs and numbers of waves of the largest size, in a part of its own.
//! * [`keys`]: keys of tenants that come and go, in all parts of a run that asks for them.
//! * [`watch`]: work that stands still beside free instances.

mod client;
mod count;
mod fault;
mod keys;
mod load;
mod outage;
mod process;
mod proxy;
mod run;
mod series;
mod size;
mod strain;
mod upkeep;
mod watch;
mod work;
mod writer;

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;

/// Runs nodes under faults drawn from a seed, and checks their promises.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
pub(crate) struct Options {
    /// Seed of the first run
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Number of runs, each with the next seed
    #[bpaf(argument("N"), fallback(1))]
    runs: u64,
    /// Seconds of faults in each run; up to 40 follow in which all has to come to its end
    #[bpaf(argument("S"), fallback(15))]
    seconds: u64,
    /// Seconds after the faults in which only runs fail, hang or are slow
    #[bpaf(argument("S"), fallback(10))]
    work_seconds: u64,
    /// Seconds after that in which the leader has more to start and to store than it can, long-running
    /// tasks fail, and leaders change in series
    #[bpaf(argument("S"), fallback(0))]
    load_seconds: u64,
    /// Seconds after that in which nodes are told to stop one after the other, settings and configurations
    /// change, and callers pipeline over connections that they keep
    #[bpaf(argument("S"), fallback(0))]
    series_seconds: u64,
    /// Seconds after that in which some jobs crash each instance on which they start
    #[bpaf(argument("S"), fallback(0))]
    deadly_seconds: u64,
    /// Seconds after that in which capacities shrink and grow on instances without admission check
    #[bpaf(argument("S"), fallback(0))]
    capacity_seconds: u64,
    /// Seconds after that in which instances refuse all starts for seconds at a time, while leaders change
    #[bpaf(argument("S"), fallback(0))]
    refusal_seconds: u64,
    /// Seconds after that of maintenance waves under long-running tasks, while leaders end between calls and
    /// their effects, and all nodes lose power
    #[bpaf(argument("S"), fallback(0))]
    upkeep_seconds: u64,
    /// Seconds after that of jobs, lists of ended runs and waves of the largest size, while idle instances
    /// restart, the store turns the leader away, and leaders end
    #[bpaf(argument("S"), fallback(0))]
    size_seconds: u64,
    /// Seconds before and after a loss of all nodes at once in which more is submitted than the instances
    /// can do, and the share that is served is measured
    #[bpaf(argument("S"), fallback(0))]
    outage_seconds: u64,
    /// Seconds after the nodes are back from which on requests have to be served
    #[bpaf(argument("S"), fallback(12))]
    recovery_bound: u64,
    /// Seconds at the end in which nothing is submitted and nothing fails, and no work may stand still
    #[bpaf(argument("S"), fallback(14))]
    quiet_seconds: u64,
    /// Callers have keys, and versions of the configuration add and withdraw others
    keys: bool,
    /// Number of nodes
    #[bpaf(argument("N"), fallback(3))]
    nodes: usize,
    /// Number of instances
    #[bpaf(argument("N"), fallback(6))]
    instances: usize,
    /// Only faults of this kind, as the report names them; all without it
    #[bpaf(argument("KIND"), optional)]
    only: Option<String>,
    /// The node's program; beside this one, if not given
    #[bpaf(argument("PATH"), optional)]
    program: Option<PathBuf>,
    /// Folder for settings and logs; one of the system's for temporary files, if not given
    #[bpaf(argument("PATH"), optional)]
    folder: Option<PathBuf>,
}

fn main() -> ExitCode {
    let options = options().run();
    let mut failed = 0;
    for seed in options.seed..options.seed + options.runs {
        match run::run(&options, seed) {
            Ok(report) => {
                print!("{report}");
                failed += u64::from(report.is_broken());
            }
            Err(error) => {
                println!("seed {seed}: not run: {error}");
                failed += 1;
            }
        }
    }
    println!("{} passed, {failed} failed", options.runs - failed);
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
