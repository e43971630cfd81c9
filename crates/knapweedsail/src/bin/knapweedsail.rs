//! The operators' command line.

use std::process::ExitCode;
use std::sync::Arc;

use async_executor::Executor;
use bpaf::Bpaf;

/// Fleet capacity and maintenance manager: the operators' command line.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Runs the whole path on loopback and checks it against the ledger
    #[bpaf(command)]
    Demo,
}

fn main() -> ExitCode {
    let _guard = knapweedsail::log::open("warn");
    match command().run() {
        Command::Demo => demo(),
    }
}

fn demo() -> ExitCode {
    let executor = Arc::new(Executor::new());
    let report = async_io::block_on(executor.run(knapweedsail::demo::run(&executor)));
    match report {
        Ok(report) => {
            println!("ran={} doubled={} missing={}", report.ran, report.doubled, report.missing);
            if report.kept() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(error) => {
            eprintln!("demo: {error}");
            ExitCode::FAILURE
        }
    }
}
