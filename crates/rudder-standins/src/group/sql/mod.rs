//! SQL: values, expressions, plans, and the parsing of text into plans.

pub(crate) mod cache;
pub(crate) mod error;
pub(crate) mod parse;
pub(crate) mod parse_control;
pub(crate) mod parse_scalar;
pub(crate) mod parse_select;
pub(crate) mod parse_table;
pub(crate) mod plan;
pub(crate) mod scalar;
pub(crate) mod value;
