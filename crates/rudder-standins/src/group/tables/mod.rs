//! Tables, transactions on them, and the execution of plans.

pub(crate) mod database;
pub(crate) mod describe;
pub(crate) mod matching;
pub(crate) mod result;
pub(crate) mod run;
pub(crate) mod run_insert;
pub(crate) mod run_select;
pub(crate) mod transaction;
