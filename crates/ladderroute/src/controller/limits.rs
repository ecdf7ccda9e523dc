//! Limits that several services keep to.

/// Most connections of other controllers: each may have several, old ones that are dead among them.
pub fn max_peer_connections(others: usize) -> usize {
    (others + 1) * 4
}
