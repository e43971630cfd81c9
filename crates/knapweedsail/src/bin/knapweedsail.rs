//! The operators' command line.

use std::process::ExitCode;

use knapweedsail::cli;

fn main() -> ExitCode {
    let _guard = knapweedsail::log::open("warn");
    cli::run(cli::command().run())
}
