//! Tests of the link stand-in.

#[cfg(test)]
mod support;
#[cfg(test)]
mod traffic;
