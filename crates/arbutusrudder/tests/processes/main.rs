//! Proofs with the real program: one operating system process per proxy, killed, frozen and asked
//! to end.

mod failures;
mod program;
mod shutdown;
mod startup;
