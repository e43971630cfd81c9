//! What can be typed, as types. Doc comments here are the texts of `--help`.

#![expect(missing_docs, reason = "a comment on a group of options would show up in its help")]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use bpaf::Bpaf;
use control::act;
use derive_more::Display;

/// How answers are printed.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub enum Output {
    /// For people.
    #[default]
    #[display("text")]
    Text,
    /// For programs: one JSON value.
    #[display("json")]
    Json,
}

impl FromStr for Output {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err("give text or json".to_owned()),
        }
    }
}

/// Where to ask, and how to print what comes back.
#[derive(Clone, Debug, Default, Bpaf)]
pub struct Site {
    /// Admin address of an entry; more than one: the next is asked where one can't be reached
    #[bpaf(argument("IP:PORT"), env("KNAPWEEDSAIL_ENTRY"))]
    pub entry: Vec<SocketAddr>,
    /// Who acts, for the history
    #[bpaf(argument("NAME"), env("USER"), fallback("operator".to_owned()))]
    pub author: String,
    /// Name of the act, to ask again about one whose answer was lost
    #[bpaf(argument("ID"))]
    pub operation: Option<String>,
    /// text or json
    #[bpaf(argument("FORMAT"), fallback(Output::Text))]
    pub output: Output,
}

/// Fleet capacity and maintenance manager: the operators' command line.
///
/// Exit codes: 0 done; 1 failed, or a promise was broken; 2 refused, bad input; 3 another operator
/// was first; 4 may have been recorded, ask again; 5 nothing could be reached, nothing changed;
/// 6 recorded, not in force everywhere yet.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Run the whole path on loopback with embedded stand-ins, and check it against their ledgers
    #[bpaf(command)]
    Demo {
        #[bpaf(external(demo))]
        demo: Demo,
    },
    /// Run the decisions over a recorded trace in virtual time, and say what they cost
    #[bpaf(command)]
    Replay {
        #[bpaf(external(replay))]
        replay: Replay,
    },
    /// One screen: what is promised, at risk, going on, and waits for a person
    #[bpaf(command)]
    Status {
        #[bpaf(external(site))]
        site: Site,
    },
    /// List pools, their promises and what is out
    #[bpaf(command)]
    Pool {
        #[bpaf(external(site))]
        site: Site,
    },
    /// List teams, their quotas and what they use
    #[bpaf(command)]
    Team {
        #[bpaf(external(site))]
        site: Site,
    },
    /// Templates: list, show, render, diff, apply, set
    #[bpaf(command)]
    Template(#[bpaf(external(template))] Template),
    /// Configuration: show, history, wait
    #[bpaf(command)]
    Config(#[bpaf(external(config))] Config),
    /// Instances: list, drain, move, return
    #[bpaf(command)]
    Instance(#[bpaf(external(instance))] Instance),
    /// Maintenance waves: list, start, pause, resume, abort, watch
    #[bpaf(command)]
    Wave(#[bpaf(external(wave))] Wave),
    /// Jobs: submit, cancel, list, explain, resolve
    #[bpaf(command)]
    Job(#[bpaf(external(job))] Job),
    /// Settings of an entry: check, schema
    #[bpaf(command)]
    Settings(#[bpaf(external(settings))] Settings),
}

/// What the demo runs.
#[derive(Clone, Debug, Default, Bpaf)]
pub struct Demo {
    /// The site (JSON); two data centres and both example organisations if not given
    #[bpaf(argument("FILE"))]
    pub site: Option<PathBuf>,
    /// The callers' load (JSON)
    #[bpaf(argument("FILE"))]
    pub load: Option<PathBuf>,
    /// The faults (JSON), "none", or "drawn" for eight drawn by the seed
    #[bpaf(argument("FILE"))]
    pub faults: Option<String>,
    /// Seed of callers and faults
    #[bpaf(argument("N"), fallback(1))]
    pub seed: u64,
    /// Print the report as JSON
    pub json: bool,
}

/// What is replayed, and by which policy.
#[derive(Clone, Debug, Bpaf)]
pub struct Replay {
    /// product, naive, or weights as BUFFER:ROLLOUT:MOVES in place of the trace's own
    #[bpaf(argument("POLICY"), fallback("product".to_owned()))]
    pub policy: String,
    /// Seed of what the trace leaves to chance
    #[bpaf(argument("N"), fallback(1))]
    pub seed: u64,
    /// text or json
    #[bpaf(argument("FORMAT"), fallback(Output::Text))]
    pub output: Output,
    /// The trace (JSON lines); decisions are logged with RUST_LOG=info
    #[bpaf(positional("TRACE"))]
    pub trace: PathBuf,
}

/// Acts on templates.
#[derive(Clone, Debug, Bpaf)]
pub enum Template {
    /// List an organisation's templates and what is made of them
    #[bpaf(command)]
    List {
        #[bpaf(external(site))]
        site: Site,
    },
    /// Show an organisation's documents, to edit and apply
    #[bpaf(command)]
    Show {
        #[bpaf(external(site))]
        site: Site,
        /// Name of the organisation
        #[bpaf(positional("ORGANISATION"))]
        organisation: String,
    },
    /// Fill a file's templates in and check them, with no entry asked
    #[bpaf(command)]
    Render {
        /// text or json
        #[bpaf(argument("FORMAT"), fallback(Output::Text))]
        output: Output,
        /// Documents of one organisation (JSON)
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show what applying a file would change
    #[bpaf(command)]
    Diff {
        #[bpaf(external(site))]
        site: Site,
        /// Documents of one organisation (JSON)
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Apply a file and wait until it is in force
    #[bpaf(command)]
    Apply {
        #[bpaf(external(site))]
        site: Site,
        #[bpaf(external(applying))]
        applying: Applying,
        /// Documents of one organisation (JSON)
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Change parameters of one use and wait until it is in force
    #[bpaf(command)]
    Set {
        #[bpaf(external(site))]
        site: Site,
        #[bpaf(external(applying))]
        applying: Applying,
        /// Name of the organisation
        #[bpaf(positional("ORGANISATION"))]
        organisation: String,
        /// Name of the use
        #[bpaf(positional("USE"))]
        name: String,
        /// Parameters with their new values; values that are no JSON are texts
        #[bpaf(positional("PARAMETER=VALUE"), some("give a parameter and its value"))]
        parameters: Vec<String>,
    },
    /// Print the JSON Schema of documents
    #[bpaf(command)]
    Schema,
}

/// How a change is applied.
#[derive(Clone, Debug, Default, Bpaf)]
pub struct Applying {
    /// The revision that the change was made from; the one in force now if not given
    #[bpaf(argument("REVISION"))]
    pub seen: Option<u64>,
    /// Longest wait until it is in force everywhere, seconds
    #[bpaf(argument("SECONDS"), fallback(18))]
    pub wait: u64,
    /// Show the effect and stop there
    pub dry_run: bool,
}

/// Acts on the configuration.
#[derive(Clone, Debug, Bpaf)]
pub enum Config {
    /// Show what is in force
    #[bpaf(command)]
    Show {
        #[bpaf(external(site))]
        site: Site,
    },
    /// Show the latest revisions
    #[bpaf(command)]
    History {
        #[bpaf(external(site))]
        site: Site,
        /// How many
        #[bpaf(argument("N"), fallback(20))]
        limit: u64,
    },
    /// Wait until a revision is in force everywhere
    #[bpaf(command)]
    Wait {
        #[bpaf(external(site))]
        site: Site,
        /// Longest wait, seconds
        #[bpaf(argument("SECONDS"), fallback(18))]
        wait: u64,
        /// The revision
        #[bpaf(positional("REVISION"))]
        revision: u64,
    },
}

/// Acts on instances.
#[derive(Clone, Debug, Bpaf)]
pub enum Instance {
    /// List instances
    #[bpaf(command)]
    List {
        #[bpaf(external(site))]
        site: Site,
    },
    /// Take an instance out of service
    #[bpaf(command)]
    Drain {
        #[bpaf(external(site))]
        site: Site,
        /// Name of the instance
        #[bpaf(positional("INSTANCE"))]
        name: String,
    },
    /// Hand an instance to another pool
    #[bpaf(command)]
    Move {
        #[bpaf(external(site))]
        site: Site,
        /// Name of the instance
        #[bpaf(positional("INSTANCE"))]
        name: String,
        /// Name of the pool
        #[bpaf(positional("POOL"))]
        pool: String,
    },
    /// Put an instance back to service
    #[bpaf(command)]
    Return {
        #[bpaf(external(site))]
        site: Site,
        /// Name of the instance
        #[bpaf(positional("INSTANCE"))]
        name: String,
    },
}

/// A wave's name.
#[derive(Clone, Debug, Default, Bpaf)]
pub struct WaveName {
    /// Name of the organisation
    #[bpaf(positional("ORGANISATION"))]
    pub organisation: String,
    /// Name of the wave
    #[bpaf(positional("WAVE"))]
    pub name: String,
}

/// Acts on waves.
#[derive(Clone, Debug, Bpaf)]
pub enum Wave {
    /// List waves and their progress
    #[bpaf(command)]
    List {
        #[bpaf(external(site))]
        site: Site,
    },
    /// Start a wave
    #[bpaf(command)]
    Start {
        #[bpaf(external(site))]
        site: Site,
        #[bpaf(external(wave_name))]
        wave: WaveName,
    },
    /// Begin no new instance until it is resumed
    #[bpaf(command)]
    Pause {
        #[bpaf(external(site))]
        site: Site,
        #[bpaf(external(wave_name))]
        wave: WaveName,
    },
    /// Go on after a pause
    #[bpaf(command)]
    Resume {
        #[bpaf(external(site))]
        site: Site,
        #[bpaf(external(wave_name))]
        wave: WaveName,
    },
    /// Begin no new instance for good; those under way are brought back
    #[bpaf(command)]
    Abort {
        #[bpaf(external(site))]
        site: Site,
        #[bpaf(external(wave_name))]
        wave: WaveName,
    },
    /// Follow a wave until it is over
    #[bpaf(command)]
    Watch {
        #[bpaf(external(site))]
        site: Site,
        #[bpaf(external(wave_name))]
        wave: WaveName,
    },
}

/// Acts on jobs.
#[derive(Clone, Debug, Bpaf)]
pub enum Job {
    /// Submit a job of a kind that the configuration names
    #[bpaf(command)]
    Submit {
        #[bpaf(external(site))]
        site: Site,
        /// What the task is handed
        #[bpaf(argument("TEXT"), fallback(String::new()))]
        input: String,
        /// Name of the organisation
        #[bpaf(positional("ORGANISATION"))]
        organisation: String,
        /// Name of the team
        #[bpaf(positional("TEAM"))]
        team: String,
        /// Kind of job
        #[bpaf(positional("KIND"))]
        kind: String,
        /// Name of the job, unique in the site
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Cancel jobs
    #[bpaf(command)]
    Cancel {
        #[bpaf(external(site))]
        site: Site,
        /// Names of the jobs
        #[bpaf(positional("NAME"), some("give the name of a job"))]
        names: Vec<String>,
    },
    /// List jobs
    #[bpaf(command)]
    List {
        #[bpaf(external(site))]
        site: Site,
        /// Only those of this organisation
        #[bpaf(argument("ORGANISATION"))]
        organisation: Option<String>,
    },
    /// Say why a job stands as it does
    #[bpaf(command)]
    Explain {
        #[bpaf(external(site))]
        site: Site,
        /// Name of the job
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Say what became of a job whose end is unknown
    #[bpaf(command)]
    Resolve {
        #[bpaf(external(site))]
        site: Site,
        /// Name of the job
        #[bpaf(positional("NAME"))]
        name: String,
        /// ran, or run-again
        #[bpaf(positional::<String>("RESOLUTION"), parse(resolution))]
        resolution: act::Resolution,
    },
}

/// Acts on settings files.
#[derive(Clone, Debug, Bpaf)]
pub enum Settings {
    /// Check a settings file
    #[bpaf(command)]
    Check {
        /// Settings of one entry (JSON)
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print the JSON Schema of settings
    #[bpaf(command)]
    Schema,
}

fn resolution(text: String) -> Result<act::Resolution, &'static str> {
    match text.as_str() {
        "ran" => Ok(act::Resolution::Ran),
        "run-again" => Ok(act::Resolution::RunAgain),
        _ => Err("give ran or run-again"),
    }
}
