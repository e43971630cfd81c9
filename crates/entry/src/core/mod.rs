//! The data of the request thread: its [`State`], connections, claims and clock.

mod shared;
mod spawner;
mod tick;

pub(crate) use shared::Phase;
pub(crate) use shared::Shared;
pub(crate) use spawner::Spawner;
pub(crate) use tick::run as run_ticks;

use std::cell::Cell;
use std::cell::Ref;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use fleet::error::Kind;
use fleet::time::Time;
use http::Connection;
use http::Stream;
use platform::table::Table;

use crate::claim::Claimant;
use crate::claim::Claimed;
use crate::claim::Claims;
use crate::clock::Clock;
use crate::connection::Generation;
use crate::connection::Idle;
use crate::key;
use crate::metric::Metrics;
use crate::path;
use crate::queue::Candidate;
use crate::settings::Settings;
use crate::state::State;
use crate::upstream::Picked;
use crate::upstream::Transition;

pub(crate) use crate::state::Admission;
pub(crate) use crate::state::Decision;
pub(crate) use crate::state::Outcome;
pub(crate) use crate::state::Queued;

/// Interval at which requests that wait for a newer view check for it.
const REFRESH_POLL: Duration = Duration::from_millis(5);

/// The data of the request thread, shared by its tasks.
#[derive(Debug)]
pub(crate) struct Core<T> {
    settings: Settings,
    clock: Clock,
    state: RefCell<State>,
    idle: RefCell<BTreeMap<SocketAddr, Idle<Connection<Stream>>>>,
    claims: Claims<T>,
    shared: Arc<Shared>,
    /// Value of [`Shared::updates`] at the last [`Core::sync`].
    synced: Cell<u64>,
    /// Number of the next generated request id.
    next_id: Cell<u64>,
}

impl<T: Table> Core<T> {
    pub(crate) fn new(
        spawner: &Spawner,
        settings: Settings,
        table: T,
        shared: Arc<Shared>,
    ) -> Self {
        let clock = Clock::new();
        let mut state = State::new(settings.data_centre.clone(), settings.seed, clock.now());
        state.policy = settings.policy;
        let process = format!("{}-{:x}", settings.name, settings.seed);
        let claims = Claims::spawn(spawner, table, clock, process, settings.key_retention);
        let this = Self {
            settings,
            clock,
            state: RefCell::new(state),
            idle: RefCell::default(),
            claims,
            shared,
            synced: Cell::new(0),
            next_id: Cell::new(0),
        };
        this.sync();
        this
    }

    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    pub(crate) fn instant(&self, time: Time) -> Instant {
        self.clock.instant(time)
    }

    pub(crate) fn settings(&self) -> &Settings {
        &self.settings
    }

    pub(crate) fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    pub(crate) fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    pub(crate) fn state(&self) -> Ref<'_, State> {
        self.state.borrow()
    }

    /// Largest body limit of all services, in bytes. The limit of the request's own service is
    /// checked once its route is known.
    pub(crate) fn max_body(&self) -> usize {
        let state = self.state();
        let services = state.services.iter().map(|(_, service)| service.spec.max_body as usize);
        services.max().unwrap_or(self.settings.limits.body)
    }

    /// Generates an id for a request that has none.
    pub(crate) fn generate_id(&self) -> String {
        let number = self.next_id.get();
        self.next_id.set(number + 1);
        format!("{}-{:x}-{number}", self.settings.name, self.settings.seed)
    }

    /// Applies the newest view, unless it has been applied already.
    pub(crate) fn sync(&self) {
        let newest = self.shared.updates.load(Ordering::Acquire);
        if newest == self.synced.get() {
            return;
        }
        self.synced.set(newest);
        let view = self.shared.view();
        let mut state = self.state.borrow_mut();
        state.apply(self.clock.now(), &view);
        self.shared.metrics.set_routes(&state);
        self.shared.set_load(state.load());
    }

    /// After a pause of the process, waits for a newer view, for a bounded time.
    pub(crate) async fn refresh_if_stale(&self) {
        if self.state.borrow_mut().pause.check(self.now()) {
            tracing::warn!(event = "paused", serial = self.state().load().serial);
            self.shared.request_refresh();
        }
        while self.state.borrow_mut().pause.is_stale(self.now()) {
            Timer::after(REFRESH_POLL).await;
            self.sync();
        }
    }

    /// Detects a pause of the process, and then requests a newer view.
    pub(crate) fn check_pause(&self) {
        if self.state.borrow_mut().pause.check(self.now()) {
            tracing::warn!(event = "paused", serial = self.state().load().serial);
            self.shared.request_refresh();
        }
    }

    /// Does what depends on time: checks for a pause and a new view, dispatches queues, updates
    /// metrics and the load report. Returns whether requests are queued.
    pub(crate) fn tick(&self) -> bool {
        self.check_pause();
        self.sync();
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.tick(now);
        self.shared.metrics.observe(&state, now);
        self.shared.set_load(state.load());
        state.has_waiting()
    }

    /// Closes connections that have been idle for long, and those beyond the limit of their
    /// upstream.
    pub(crate) fn sweep(&self) {
        let now = self.now();
        let state = self.state.borrow();
        // Connections that may be idle: those within the limit that are not in use.
        let limits: BTreeMap<_, _> = state
            .upstreams
            .iter()
            .map(|(_, upstream)| {
                (upstream.address, upstream.connections.saturating_sub(upstream.in_flight) as usize)
            })
            .collect();
        self.idle.borrow_mut().retain(|address, idle| {
            idle.sweep(now, limits.get(address).copied().unwrap_or(0));
            !idle.is_empty() || limits.contains_key(address)
        });
    }

    pub(crate) fn predict_refusal(
        &self,
        route: key::Route,
        candidate: &Candidate<'_>,
    ) -> Option<Decision> {
        let refusal = self.state().predict_refusal(self.now(), route, candidate)?;
        Some(refusal.into())
    }

    pub(crate) fn admit(
        &self,
        route: key::Route,
        candidate: Candidate<'_>,
        avoid: Option<key::Upstream>,
    ) -> Admission {
        self.sync();
        let now = self.now();
        self.state.borrow_mut().admit(now, route, candidate, avoid)
    }

    pub(crate) fn abandon(&self, queued: &Queued) {
        let now = self.now();
        self.state.borrow_mut().abandon(now, queued);
    }

    pub(crate) fn release(&self, route: key::Route, upstream: key::Upstream, outcome: Outcome) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let transition = state.release(now, route, upstream, outcome);
        if transition == Transition::Unchanged {
            return;
        }
        if let Some(upstream) = state.upstreams.get(upstream) {
            self.metrics().record_transition(&upstream.instance, transition);
            path::log_transition(&upstream.instance, transition);
        }
    }

    pub(crate) fn address(&self, upstream: key::Upstream) -> Option<SocketAddr> {
        self.state().upstreams.get(upstream).map(|upstream| upstream.address)
    }

    /// Whether an upstream is known to send the request id back in its responses.
    pub(crate) fn echoes_id(&self, upstream: key::Upstream) -> bool {
        self.state().upstreams.get(upstream).is_some_and(|upstream| upstream.echoes_id)
    }

    pub(crate) fn set_echoes_id(&self, upstream: key::Upstream) {
        if let Some(upstream) = self.state.borrow_mut().upstreams.get_mut(upstream) {
            upstream.echoes_id = true;
        }
    }

    pub(crate) fn service_time(&self, route: key::Route) -> Duration {
        let state = self.state();
        state.services.get(route).map(|service| service.queue.service_time()).unwrap_or_default()
    }

    /// Adds to the retry budget of a service for one request.
    pub(crate) fn earn_retries(&self, route: key::Route) {
        if let Some(service) = self.state.borrow_mut().services.get_mut(route) {
            service.budget.earn();
        }
    }

    /// Takes one retry from the budget of a service. Returns whether there was one.
    pub(crate) fn spend_retry(&self, route: key::Route) -> bool {
        let mut state = self.state.borrow_mut();
        let spent = state.services.get_mut(route).is_some_and(|service| service.budget.spend());
        self.metrics().record_retry(spent);
        spent
    }

    pub(crate) async fn claim(&self, claimant: Claimant, left: Duration) -> Claimed {
        if left.is_zero() {
            return Claimed::Refused(Kind::QueueTimeout);
        }
        self.claims.claim(claimant, left.min(self.settings.claim_timeout)).await
    }

    /// Takes an idle connection, with its generation.
    pub(crate) fn take_idle(
        &self,
        address: SocketAddr,
        repeatable: bool,
    ) -> Option<(Connection<Stream>, Generation)> {
        let now = self.now();
        let mut all = self.idle.borrow_mut();
        let idle = all.get_mut(&address)?;
        let generation = idle.generation();
        idle.take(now, repeatable).map(|connection| (connection, generation))
    }

    pub(crate) fn generation(&self, address: SocketAddr) -> Generation {
        self.idle.borrow_mut().entry(address).or_default().generation()
    }

    /// Returns a connection to the pool, unless it is finished.
    pub(crate) fn put_idle(
        &self,
        address: SocketAddr,
        connection: Connection<Stream>,
        generation: Generation,
    ) {
        if connection.is_finished() {
            return;
        }
        let now = self.now();
        self.idle.borrow_mut().entry(address).or_default().put(now, connection, generation);
    }

    /// Closes the idle connections to an address, and those in use when they are returned.
    pub(crate) fn invalidate(&self, address: SocketAddr) {
        self.idle.borrow_mut().entry(address).or_default().invalidate();
    }

    /// Logs a routing decision.
    pub(crate) fn log_route(&self, request: &str, route: key::Route, picked: &Picked) {
        let state = self.state();
        let Some(service) = state.services.get(route) else { return };
        let Some(upstream) = state.upstreams.get(picked.upstream) else { return };
        tracing::info!(
            event = "route",
            request,
            revision = state.revision.0,
            service = %service.route,
            instance = upstream.instance,
            reason = %picked.reason,
            in_flight = upstream.in_flight,
        );
    }
}
