//! Operation limits of client accounts, enforced by a simulated fleet of instances under network
//! partitions, cut links, message loss, partial outages of the store, restarts and suspended
//! processes.

mod claim_terms;
mod fleet;
mod partial;
mod queue_load;
mod reach;
mod reports;
mod returns;
mod schedules;
mod sets;
