//! Stand-ins and the slow plain model, for tests only.
