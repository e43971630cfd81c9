//! Small `Copy` keys into the tables of the request path.

fleet::keys! {
    /// Key of a service, and so of its route.
    Route;
    /// Key of an upstream.
    Upstream;
}
