//! Tests of the execution of statements at members.

mod failing_member;
mod memory;
