//! Each way in which a command fails has its exit code.

use cases::cases;
use control::act;
use control::configuration::Difference;
use knapweedsail::cli::exit;
use knapweedsail::cli::exit::Error;

fn ends_with((error, code): (Error, u8)) {
    assert_eq!(error.code(), code, "{error}");
}

cases! {
    ends_with;
    broken: (Error::Broken("double run".to_owned()), exit::FAILED),
    input: (Error::Input("no such file".to_owned()), exit::REFUSED),
    refused: (Error::Act(act::Error::Refused("budget".to_owned())), exit::REFUSED),
    invalid: (Error::Act(act::Error::Invalid(Vec::new())), exit::REFUSED),
    not_found: (Error::Act(act::Error::NotFound("wave x".to_owned())), exit::REFUSED),
    raced: (Error::Act(act::Error::Raced(Difference::default())), exit::RACED),
    unknown: (Error::Act(act::Error::Unknown("reply lost".to_owned())), exit::UNKNOWN),
    lost: (Error::Lost("7f".to_owned()), exit::UNKNOWN),
    unavailable: (Error::Act(act::Error::Unavailable("down".to_owned())), exit::UNREACHABLE),
    stopping: (Error::Act(act::Error::Stopping), exit::UNREACHABLE),
    unreachable: (Error::Unreachable("refused".to_owned()), exit::UNREACHABLE),
    not_everywhere: (Error::NotEverywhere("lisbon-2-entry-1".to_owned()), exit::NOT_EVERYWHERE),
}
