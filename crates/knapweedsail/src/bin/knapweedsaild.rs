//! One entry instance.

use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use async_executor::Executor;
use async_signal::Signal;
use async_signal::Signals;
use bpaf::Bpaf;
use futures_lite::StreamExt;
use knapweedsail::daemon::Daemon;
use knapweedsail::settings::Settings;

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
        Ok(code) => code,
        Err(error) => {
            eprintln!("knapweedsaild: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Serves until a signal, then stops. Fails if requests had to be cut off.
fn run(options: &Options) -> Result<ExitCode, Box<dyn Error>> {
    let settings = Settings::open(&options.settings)?;
    let executor = Arc::new(Executor::new());
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    let name = settings.name.clone();
    let daemon = Daemon::open(&executor, settings)?;
    tracing::info!(event = "start", entry = name, callers = %daemon.callers());
    let stopped = async_io::block_on(executor.run(async {
        signals.next().await;
        daemon.stop().await
    }));
    Ok(if stopped.cut_off == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
