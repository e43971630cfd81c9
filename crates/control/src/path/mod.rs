//! Interface of the control loop to the request path.

use fleet::view::Load;
use fleet::view::View;

/// The request path of the control loop's own process.
pub trait Path: Send + Sync + 'static {
    /// Sets a new view; every later request is routed by this view or a newer one.
    fn update(&self, view: View);

    /// Requests in flight, and the highest serial such that every new request is routed by the view
    /// with that serial or a newer one.
    fn load(&self) -> Load;
}
