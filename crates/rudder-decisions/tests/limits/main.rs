//! Operation limits of client accounts, enforced by a simulated fleet of instances under network
//! partitions, message loss, restarts and suspended processes.

mod claim_terms;
mod fleet;
mod queue_load;
mod returns;
mod schedules;
