//! Tests of statements' way to a member.

mod failing_member;
