//! Limits that several services share.

/// Returns the maximum number of connections from other controllers. Each controller may hold
/// several, including dead ones that have not been closed yet.
pub fn max_peer_connections(others: usize) -> usize {
    (others + 1) * 4
}
