//! Tests of the keeper against fakes at its borders.
