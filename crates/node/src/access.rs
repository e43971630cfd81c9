//! Whether calls are served, by the keys that they carry.
//!
//! The frontend that a caller has reached decides by its own configuration. If that may not be the newest, the leader
//! decides; a leader whose configuration is newer than the frontend's decides anew.

use std::time::Duration;

use async_io::Timer;
use fleet::time::Time;
use scheduler::Config;
use scheduler::config::Queue;
use scheduler::credential;
use scheduler::credential::Bounds;
use scheduler::credential::Decision;
use scheduler::credential::Freshness;
use tracing::info;

use crate::Node;
use crate::clock;
use crate::rpc::Answer;
use crate::rpc::message::Caller;

/// Time after which a caller should try again if it is not certain whether its key is known: most nodes learn of a new
/// configuration within it.
const UNCERTAIN_RETRY: Duration = Duration::from_secs(1);

/// Maximum time that a call waits for the configuration to be confirmed: a read of the store on a slow link.
const MAX_CONFIRM_TIME: Duration = Duration::from_millis(1_000);

/// Interval at which such a call checks whether it has been.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(20);

/// Why a call is refused before anything is spent on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Refusal {
    /// No tenant has its key.
    #[display("unknown-key")]
    Unknown,
    /// Only a newer configuration can tell whether its key is known.
    #[display("uncertain-key")]
    Uncertain,
}

impl From<Refusal> for Answer {
    fn from(refusal: Refusal) -> Self {
        let (status, reason, retry) = match refusal {
            Refusal::Unknown => (401, "unknown key", None),
            Refusal::Uncertain => {
                (503, "it is not certain whether the key is known", Some(UNCERTAIN_RETRY))
            }
        };
        Self::Refused { status, reason: reason.to_owned(), retry }
    }
}

impl Node {
    /// Whether the configuration in force here can be relied on at `now`.
    pub fn freshness(&self, now: Time) -> Freshness {
        self.confirmation.get().freshness(now, self.bounds(), self.is_behind())
    }

    fn bounds(&self) -> Bounds {
        let parameters = self.settings().parameters;
        let (apply, revoke) = (parameters.config_apply, parameters.revoke);
        Bounds { apply, revoke, strict: parameters.strict_revoke }
    }

    /// Records that the store was read at `asked`, and that its configuration is in force here.
    pub fn confirm_config(&self, asked: Time) {
        let mut confirmation = self.confirmation.get();
        confirmation.confirm(asked);
        self.confirmation.set(confirmation);
    }

    /// Records that an attempt to read the store, begun at `asked`, has failed.
    pub fn fail_confirmation(&self, asked: Time) {
        let mut confirmation = self.confirmation.get();
        confirmation.fail(asked);
        self.confirmation.set(confirmation);
    }

    /// For how long nothing has confirmed the configuration, if anything ever has; only told on sites with tenants.
    pub fn confirmation_age(&self, now: Time) -> Option<Duration> {
        let confirmed = self.confirmation.get().confirmed().map(|at| now.since(at));
        confirmed.filter(|_| self.config().tenants.is_some())
    }

    /// Decides on a call that has reached this node's frontend: the caller to be named to the leader, or the refusal.
    /// None if the site has no tenants.
    ///
    /// # Errors
    ///
    /// The call is refused; nothing has run.
    pub fn identify(
        &self,
        config: &Config,
        name: &str,
        queue: &Queue,
        key: Option<&str>,
    ) -> Result<Option<Caller>, Refusal> {
        if config.tenants.is_none() {
            return Ok(None);
        }
        let freshness = self.freshness(clock::now());
        let index = self.key_index();
        let strict = self.bounds().strict;
        let (tenant, certain) =
            match credential::decide(config, &index, Some(queue), key, freshness, strict) {
                Decision::Admitted(tenant) => (tenant.unwrap_or_default().to_owned(), true),
                Decision::Unknown => return Err(self.refused(Refusal::Unknown)),
                Decision::Uncertain if self.follows() => (String::new(), false),
                Decision::Uncertain => return Err(self.refused(Refusal::Uncertain)),
            };
        let key = key.unwrap_or_default().to_owned();
        Ok(Some(Caller { queue: name.to_owned(), tenant, config: config.version, key, certain }))
    }

    /// Decides, as the leader, on a call that a frontend has passed on: the caller's tenant, if it has one.
    ///
    /// # Errors
    ///
    /// The call is refused; nothing has run.
    pub fn admit(&self, caller: Option<&Caller>) -> Result<Option<String>, Refusal> {
        self.check(caller).map_err(|refusal| {
            let (queue, known_by) =
                caller.map_or(("", 0), |caller| (caller.queue.as_str(), caller.config));
            let tenant = caller.map(|caller| caller.tenant.as_str());
            let tenant = tenant.filter(|tenant| !tenant.is_empty());
            let config = self.config().version;
            info!(event = "refuse", reason = %refusal, queue, tenant, config, frontend_config = known_by);
            self.refused(refusal)
        })
    }

    fn check(&self, caller: Option<&Caller>) -> Result<Option<String>, Refusal> {
        let config = self.config();
        let Some(caller) = caller else {
            // A frontend whose configuration has no tenants, or whose build knows none, has looked at no key.
            return if config.tenants.is_some() { Err(Refusal::Uncertain) } else { Ok(None) };
        };
        if caller.certain && caller.config >= config.version {
            return Ok((!caller.tenant.is_empty()).then(|| caller.tenant.clone()));
        }
        let key = (!caller.key.is_empty()).then_some(caller.key.as_str());
        let queue = config.queues.get(&caller.queue);
        let freshness = self.freshness(clock::now());
        let index = self.key_index();
        match credential::decide(&config, &index, queue, key, freshness, self.bounds().strict) {
            Decision::Admitted(tenant) => Ok(tenant.map(str::to_owned)),
            Decision::Unknown => Err(Refusal::Unknown),
            Decision::Uncertain => Err(Refusal::Uncertain),
        }
    }

    /// Waits until the next attempt to confirm the configuration has succeeded or failed, if the last ones are too long
    /// ago; for `timeout` at most.
    pub async fn until_confirmed(&self, timeout: Duration) {
        let began = clock::now();
        let timeout = timeout.min(MAX_CONFIRM_TIME);
        let is_pending = |now| self.confirmation.get().is_pending(now, self.bounds());
        while is_pending(clock::now()) && clock::now().since(began) < timeout {
            Timer::after(CONFIRM_INTERVAL).await;
        }
    }

    /// Whether another node is the leader, and connected.
    pub fn follows(&self) -> bool {
        self.term().is_none() && self.leader().is_some()
    }

    /// Counts a refusal.
    fn refused(&self, refusal: Refusal) -> Refusal {
        self.metrics.refused_key(&refusal.to_string());
        refusal
    }
}
