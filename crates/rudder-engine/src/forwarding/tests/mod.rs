//! Tests of forwarding between instances in one process, and with holders that follow a script.

mod counters;
mod fixture;
mod frames;
mod lost_holder;
mod requests;
mod scripted;
mod served;
mod sizes;
