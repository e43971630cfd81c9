//! Scenes of the review: the project's own nodes as processes against the project's stand-ins.
//!
//! `review-scenes SCENE ROOT RECORD` runs one scene and writes what was sent, answered and run to the
//! file RECORD. ROOT is the project's root. With `TROUBLE=0` the disruption is left out. Exit codes: 0
//! if the rule held, 1 if it was broken, 2 if the scene could not run.

mod handover;
mod renamed_route;
mod stage;

use std::path::Path;
use std::process::ExitCode;

use stage::Verdict;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [scene, root, record] = arguments.as_slice() else {
        eprintln!("usage: review-scenes SCENE ROOT RECORD");
        return ExitCode::from(2);
    };
    let (root, record) = (Path::new(root), Path::new(record));
    let verdict = match scene.as_str() {
        "handover" => stage::run(root, record, handover::SERVICES, handover::play),
        "renamed-route" => stage::run(root, record, renamed_route::SERVICES, renamed_route::play),
        _ => Err(format!("no scene {scene}")),
    };
    match verdict {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the scene could not run: {error}");
            ExitCode::from(2)
        }
    }
}
