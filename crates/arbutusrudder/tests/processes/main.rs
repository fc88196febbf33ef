//! Proofs with the real program: one operating system process per proxy, killed, frozen, asked to
//! end, and not listened to.

mod failures;
mod logs;
mod program;
mod shutdown;
mod startup;
