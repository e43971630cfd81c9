//! One entry instance.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use async_executor::Executor;
use async_signal::Signal;
use async_signal::Signals;
use bpaf::Bpaf;
use entry::Entry;
use entry::claim::Absent;
use fleet::view::View;
use futures_lite::StreamExt;
use knapweedsail::settings::Settings;
use rand::RngCore;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// One entry instance of the fleet capacity and maintenance manager.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Settings file (JSON)
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let options = options().run();
    let _guard = knapweedsail::log::open("info");
    match run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("knapweedsaild: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(options: &Options) -> Result<(), Box<dyn std::error::Error>> {
    let settings = Settings::open(&options.settings)?;
    let executor = Arc::new(Executor::new());
    let path = entry::Settings {
        name: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        callers: settings.callers,
        seed: ChaCha8Rng::try_from_os_rng()?.next_u64(),
        ..Default::default()
    };
    let entry = Entry::bind(path, Absent, View::default())?;
    tracing::info!(event = "start", name = settings.name, callers = %entry.address());
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    async_io::block_on(executor.run(signals.next()));
    tracing::info!(event = "stop", name = settings.name);
    Ok(())
}
