//! Calls to instances.

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

/// Timeout of one call.
const TIMEOUT: Duration = Duration::from_millis(700);

/// Calls to instances under the [contract]; tests replace it with a fake.
pub trait InstanceClient: Send + Sync + 'static {
    /// Reads the health of the instance and the state of its attempts.
    fn report(&self, address: SocketAddr) -> impl Future<Output = Outcome<Report>> + Send;

    /// Sends the instance its epoch, and starts or ends its draining.
    fn drain(
        &self,
        address: SocketAddr,
        drain: Drain,
    ) -> impl Future<Output = Outcome<Health>> + Send;

    /// Renews the leases of all attempts on the instance.
    fn renew(
        &self,
        address: SocketAddr,
        renew: Renew,
    ) -> impl Future<Output = Outcome<Health>> + Send;

    /// Sends a command about an attempt.
    fn command(
        &self,
        address: SocketAddr,
        command: Call,
    ) -> impl Future<Output = Outcome<Attempt>> + Send;
}

/// Calls instances over HTTP.
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

    async fn command(&self, address: SocketAddr, command: Call) -> Outcome<Attempt> {
        contract::Client::new(address, TIMEOUT).command(command).await
    }
}
