//! The platform's stand-in and a site's instances, for entries that run as processes of their own.
//!
//! Writes one settings file an entry into a folder, then serves until it is ended.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;

use async_executor::Executor;
use async_io::Timer;
use bpaf::Bpaf;
use knapweedsail::demo::DataCentre;
use knapweedsail::demo::Plan;
use knapweedsail::demo::Stage;

/// Threads that the stand-ins share.
const THREADS: usize = 4;
/// Time between two lines on what the platform was asked.
const REPORT: std::time::Duration = std::time::Duration::from_secs(5);

/// Stage for entries that run as processes of their own.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Entries of each of the three data centres
    #[bpaf(argument("N"), fallback(3))]
    entries: u32,
    /// Documents of one organisation (JSON), in place of the example's
    #[bpaf(argument("FILE"))]
    documents: Option<PathBuf>,
    /// Folder for the settings files
    #[bpaf(positional("FOLDER"))]
    folder: PathBuf,
}

fn main() -> ExitCode {
    match run(&options().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("stage: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(options: &Options) -> std::io::Result<()> {
    let mut plan = Plan::lisbon();
    plan.data_centres = (1..=3)
        .map(|number| DataCentre { name: format!("lisbon-{number}"), entries: options.entries })
        .collect();
    if let Some(file) = &options.documents {
        plan.documents = vec![serde_json::from_str(&std::fs::read_to_string(file)?)?];
    }
    let executor = Arc::new(Executor::new());
    let stage = Stage::open(&executor, &plan)?;
    std::fs::create_dir_all(&options.folder)?;
    for (number, settings) in stage.entries().iter().enumerate() {
        let file = options.folder.join(format!("entry-{number}.json"));
        std::fs::write(file, serde_json::to_string_pretty(settings)?)?;
        println!("entry-{number} callers={} admin={}", settings.callers, settings.admin);
    }
    for document in &plan.documents {
        let file = options.folder.join(format!("{}.json", document.organisation));
        std::fs::write(file, serde_json::to_string_pretty(document)?)?;
    }
    for _ in 0..THREADS {
        let executor = Arc::clone(&executor);
        thread::spawn(move || async_io::block_on(executor.run(std::future::pending::<()>())));
    }
    async_io::block_on(async {
        loop {
            Timer::after(REPORT).await;
            println!("platform {:?}", stage.counters());
        }
    })
}
