//! Tests of forwarding.
