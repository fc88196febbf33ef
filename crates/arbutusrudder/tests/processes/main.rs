//! Tests with the compiled program, one operating system process for each proxy: processes are
//! killed, frozen and terminated, and their output is left unread.

mod failures;
mod logs;
mod program;
mod shutdown;
mod startup;
