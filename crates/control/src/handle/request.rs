//! Requests to the control loop, each with a channel for its answer.

use std::time::Duration;

use async_channel::Sender;
use fleet::config::Config;
use fleet::config::Revision;
use fleet::template::Set;

use crate::act;
use crate::act::Error;
use crate::act::Stamp;
use crate::configuration;
use crate::status::Status;

/// The channel for an answer. Dropping it without an answer means [`Error::Stopping`].
pub type Reply<R> = Sender<Result<R, Error>>;

/// A request to the loop. Each method of [`Control`](crate::Control) sends one.
#[derive(Debug)]
pub enum Request {
    /// See [`Control::is_ready`](crate::Control::is_ready).
    Ready(Reply<bool>),
    /// See [`Control::stop`](crate::Control::stop).
    Stop(Reply<()>),
    /// See [`Control::documents`](crate::Control::documents).
    Documents(Reply<Set>),
    /// See [`Control::config`](crate::Control::config).
    Config(Reply<Config>),
    /// See [`Control::preview`](crate::Control::preview).
    Preview(configuration::Change, Reply<configuration::Applied>),
    /// See [`Control::apply`](crate::Control::apply).
    Apply(Stamp, configuration::Change, Reply<configuration::Applied>),
    /// See [`Control::history`](crate::Control::history).
    History(usize, Reply<Vec<configuration::Entry>>),
    /// See [`Control::wait`](crate::Control::wait).
    Wait(Revision, Duration, Reply<configuration::Rollout>),
    /// See [`Control::status`](crate::Control::status).
    Status(Reply<Status>),
    /// See [`Control::instances`](crate::Control::instances).
    Instances(Reply<Vec<act::Instance>>),
    /// See [`Control::drain`](crate::Control::drain).
    Drain(Stamp, String, Reply<act::Recorded>),
    /// See [`Control::put_back`](crate::Control::put_back).
    PutBack(Stamp, String, Reply<act::Recorded>),
    /// See [`Control::move_to`](crate::Control::move_to).
    MoveTo(Stamp, String, String, Reply<act::Recorded>),
    /// See [`Control::waves`](crate::Control::waves).
    Waves(Reply<Vec<act::Wave>>),
    /// See [`Control::command_wave`](crate::Control::command_wave).
    CommandWave(Stamp, String, String, act::WaveCommand, Reply<act::Recorded>),
    /// See [`Control::jobs`](crate::Control::jobs).
    Jobs(String, Reply<Vec<act::Job>>),
    /// See [`Control::submit`](crate::Control::submit).
    Submit(Stamp, act::Submission, Reply<act::Job>),
    /// See [`Control::cancel`](crate::Control::cancel).
    Cancel(Stamp, String, Reply<act::Job>),
    /// See [`Control::explain`](crate::Control::explain).
    Explain(String, Reply<act::Explanation>),
    /// See [`Control::resolve`](crate::Control::resolve).
    Resolve(Stamp, String, act::Resolution, Reply<act::Job>),
}
