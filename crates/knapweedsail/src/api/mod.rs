//! What operators' programs and entries say to each other: JSON over HTTP at the admin address.
//!
//! | request | body | answer |
//! |---|---|---|
//! | `GET /healthz`, `GET /readyz` | | 200 or 503 |
//! | `GET /metrics` | | text |
//! | `GET /v1/status` | | [`Status`](control::status::Status) |
//! | `GET /v1/documents` | | [`Set`](fleet::template::Set) |
//! | `GET /v1/config` | | [`Config`](fleet::config::Config) |
//! | `POST /v1/config/preview` | [`Change`] | [`Applied`](control::configuration::Applied) |
//! | `POST /v1/config/apply` | [`Act`] of [`Change`] | [`Applied`](control::configuration::Applied) |
//! | `GET /v1/config/history/<limit>` | | list of [`Entry`](control::configuration::Entry) |
//! | `GET /v1/config/wait/<revision>/<ms>` | | [`Rollout`](control::configuration::Rollout) |
//! | `GET /v1/instances` | | list of [`Instance`](control::act::Instance) |
//! | `POST /v1/instances/<name>/drain`, `/return` | [`Act`] of nothing | [`Recorded`](control::act::Recorded) |
//! | `POST /v1/instances/<name>/move` | [`Act`] of [`Move`] | [`Recorded`](control::act::Recorded) |
//! | `GET /v1/waves` | | list of [`Wave`](control::act::Wave) |
//! | `POST /v1/waves/<organisation>/<name>` | [`Act`] of [`WaveCommand`](control::act::WaveCommand) | [`Recorded`](control::act::Recorded) |
//! | `GET /v1/jobs`, `GET /v1/jobs/of/<organisation>` | | list of [`Job`](control::act::Job) |
//! | `POST /v1/jobs` | [`Act`] of [`Submission`](control::act::Submission) | [`Job`](control::act::Job) |
//! | `GET /v1/jobs/<name>` | | [`Explanation`](control::act::Explanation) |
//! | `POST /v1/jobs/<name>/cancel` | [`Act`] of nothing | [`Job`](control::act::Job) |
//! | `POST /v1/jobs/<name>/resolve` | [`Act`] of [`Resolution`](control::act::Resolution) | [`Job`](control::act::Job) |
//!
//! What fails is answered with a serialised [`Error`](control::act::Error) and the status that
//! [`status`] gives it.

use control::act::Error;
use control::act::Stamp;
use control::configuration::Change;
use serde::Deserialize;
use serde::Serialize;

/// An act with its stamp. The same stamp twice is the same act.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Act<T> {
    /// Who acts, and the name of the act.
    pub stamp: Stamp,
    /// What is to be done.
    pub act: T,
}

/// Where an instance is to be moved.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    /// Name of the pool, of the same organisation.
    pub pool: String,
}

/// What `POST /v1/config/apply` takes.
pub type Apply = Act<Change>;

/// The HTTP status of a failed act.
pub fn status(error: &Error) -> u16 {
    match error {
        Error::NotFound(_) => 404,
        Error::Refused(_) | Error::Raced(_) => 409,
        Error::Invalid(_) => 422,
        Error::Unavailable(_) | Error::Stopping => 503,
        Error::Unknown(_) => 504,
    }
}
