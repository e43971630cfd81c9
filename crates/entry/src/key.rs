//! Small `Copy` keys into the request path's own tables.

fleet::keys! {
    /// Names a service's route.
    Route;
    /// Names an upstream.
    Upstream;
}
