//! The request path, as the control loop of the same process sees it.

use std::sync::Arc;
use std::sync::Mutex;

use entry::Entry;
use fleet::view::Load;
use fleet::view::View;

/// Hands views to an [`Entry`] and remembers the latest.
#[derive(Clone, Debug)]
pub(super) struct Path {
    entry: Entry,
    latest: Arc<Mutex<View>>,
}

impl Path {
    pub(super) fn new(entry: Entry) -> Self {
        Self { entry, latest: Arc::default() }
    }

    /// Hands the latest view over once more: it is still the newest there is.
    pub(super) fn repeat(&self) {
        let latest = self.latest.lock().expect("no holder panics").clone();
        self.entry.update(latest);
    }
}

impl control::Path for Path {
    fn update(&self, view: View) {
        *self.latest.lock().expect("no holder panics") = view.clone();
        self.entry.update(view);
    }

    fn load(&self) -> Load {
        self.entry.load()
    }
}
