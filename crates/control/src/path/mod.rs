//! The request path, as the control loop sees it.

use fleet::view::Load;
use fleet::view::View;

/// What the control loop needs of the request path of its own process.
pub trait Path: Send + Sync + 'static {
    /// Hands over a new view; every later request is sent by it or by a newer one.
    fn update(&self, view: View);

    /// What is in flight, and the serial of the last view that every new request is sent by.
    fn load(&self) -> Load;
}
