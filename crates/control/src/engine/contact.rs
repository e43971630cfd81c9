//! What is asked of instances.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use contract::Attempt;
use contract::Client;
use contract::Drain;
use contract::Health;
use contract::Outcome;
use contract::Renew;
use contract::Report;
use contract::Start;
use contract::Target;
use contract::Throttle;

/// Longest wait for an instance's answer.
const TIMEOUT: Duration = Duration::from_millis(700);

/// What an instance is told about one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Instruction {
    /// Start it.
    Start(Start),
    /// Hold it to less.
    Throttle(Throttle),
    /// Write a checkpoint and end.
    Checkpoint(Target),
    /// End it.
    Stop(Target),
    /// Drop it from the reports.
    Forget(Target),
}

/// What is asked of instances: the [contract], or a fake of it.
pub trait Contact: Send + Sync + 'static {
    /// Asks how the instance and its attempts are.
    fn report(&self, address: SocketAddr) -> impl Future<Output = Outcome<Report>> + Send;

    /// Starts or ends draining.
    fn drain(
        &self,
        address: SocketAddr,
        drain: Drain,
    ) -> impl Future<Output = Outcome<Health>> + Send;

    /// Lets the attempts go on.
    fn renew(
        &self,
        address: SocketAddr,
        renew: Renew,
    ) -> impl Future<Output = Outcome<Health>> + Send;

    /// Tells what to do with an attempt.
    fn instruct(
        &self,
        address: SocketAddr,
        instruction: Instruction,
    ) -> impl Future<Output = Outcome<Attempt>> + Send;
}

/// The instances themselves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Instances;

impl Contact for Instances {
    async fn report(&self, address: SocketAddr) -> Outcome<Report> {
        Client::new(address, TIMEOUT).report().await
    }

    async fn drain(&self, address: SocketAddr, drain: Drain) -> Outcome<Health> {
        Client::new(address, TIMEOUT).drain(drain).await
    }

    async fn renew(&self, address: SocketAddr, renew: Renew) -> Outcome<Health> {
        Client::new(address, TIMEOUT).renew(renew).await
    }

    async fn instruct(&self, address: SocketAddr, instruction: Instruction) -> Outcome<Attempt> {
        let client = Client::new(address, TIMEOUT);
        match instruction {
            Instruction::Start(start) => client.start(start).await,
            Instruction::Throttle(throttle) => client.throttle(throttle).await,
            Instruction::Checkpoint(target) => client.checkpoint(target).await,
            Instruction::Stop(target) => client.stop(target).await,
            Instruction::Forget(target) => client.forget(target).await,
        }
    }
}
