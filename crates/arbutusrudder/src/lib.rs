//! The proxy: one process that serves callers and carries its share of the control work.

#[allow(dead_code, unused_imports, reason = "the proxy's start wires the keeper in")]
mod keeper;
