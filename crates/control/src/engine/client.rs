//! What is asked of instances.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use contract::Attempt;
use contract::Call;
use contract::Drain;
use contract::Health;
use contract::Outcome;
use contract::Renew;
use contract::Report;

/// Longest wait for an instance's answer.
const TIMEOUT: Duration = Duration::from_millis(700);

/// What is asked of instances: the [contract], or a fake of it.
pub trait InstanceClient: Send + Sync + 'static {
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

    /// Gives an order about an attempt.
    fn command(
        &self,
        address: SocketAddr,
        command: Call,
    ) -> impl Future<Output = Outcome<Attempt>> + Send;
}

/// The instances themselves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HttpClient;

impl InstanceClient for HttpClient {
    async fn report(&self, address: SocketAddr) -> Outcome<Report> {
        contract::Client::new(address, TIMEOUT).report().await
    }

    async fn drain(&self, address: SocketAddr, drain: Drain) -> Outcome<Health> {
        contract::Client::new(address, TIMEOUT).drain(drain).await
    }

    async fn renew(&self, address: SocketAddr, renew: Renew) -> Outcome<Health> {
        contract::Client::new(address, TIMEOUT).renew(renew).await
    }

    async fn command(&self, address: SocketAddr, order: Call) -> Outcome<Attempt> {
        contract::Client::new(address, TIMEOUT).order(order).await
    }
}
