//! Waits for a slot at an upstream, and holds it.

use std::rc::Rc;

use futures_lite::FutureExt;
use http::Stream;
use platform::table::Table;

use super::end::End;
use crate::core::Admission;
use crate::core::Core;
use crate::core::Decision;
use crate::core::Outcome;
use crate::core::Queued;
use crate::key;
use crate::queue::Candidate;
use crate::upstream::Picked;

/// A slot at an upstream, released on drop.
#[derive(Debug)]
pub(crate) struct Slot<T: Table> {
    core: Rc<Core<T>>,
    route: key::Route,
    pub(crate) picked: Picked,
    /// Outcome by which the upstream's health is updated on release.
    pub(crate) outcome: Outcome,
}

impl<T: Table> Drop for Slot<T> {
    fn drop(&mut self) {
        self.core.release(self.route, self.picked.upstream, self.outcome);
    }
}

/// A queued request, removed from the queue on drop.
struct Waiting<'core, T: Table> {
    core: &'core Core<T>,
    queued: Queued,
}

impl<T: Table> Drop for Waiting<'_, T> {
    fn drop(&mut self) {
        self.core.abandon(&self.queued);
    }
}

/// Waits for a slot, at an upstream other than `avoid` if another one is open and healthy. Fails
/// if the request is refused or its caller disconnects.
pub(crate) async fn get<T: Table>(
    core: &Rc<Core<T>>,
    route: key::Route,
    candidate: Candidate<'_>,
    avoid: Option<key::Upstream>,
    caller: &Stream,
) -> Result<Slot<T>, End> {
    core.refresh_if_stale().await;
    let decision = match core.admit(route, candidate, avoid) {
        Admission::Decided(decision) => decision,
        Admission::Queued(queued) => wait(core, queued, caller).await?,
    };
    match decision {
        Decision::Send(picked) => {
            Ok(Slot { core: Rc::clone(core), route, picked, outcome: Outcome::Unused })
        }
        refused => Err(refused.into()),
    }
}

/// Waits for the decision on a queued request, or until its caller disconnects.
async fn wait<T: Table>(core: &Core<T>, queued: Queued, caller: &Stream) -> Result<Decision, End> {
    let waiting = Waiting { core, queued };
    let decided = async { waiting.queued.decision.recv().await.ok() };
    let gone = async {
        caller.gone().await;
        None
    };
    decided.or(gone).await.ok_or(End::CallerGone)
}
