//! Start of an instance.

use super::{heartbeat, holders, keeper, loans, records, registry, watch};
use crate::callers::report_usage;
use crate::engine::ProxyEngine;
use crate::identity::{EngineDependencies, InstanceIdentity};
use crate::limits::{probe_owners, report_reach, serve_queues};
use crate::peers::{PeerExchange, serve_copies};
use rudder_core::plain_data;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

plain_data! {
    /// Timing that the deployment sets for the shutdown.
    #[derive(Copy)]
    pub struct EngineTiming {
        /// Time between the request to stop and the forced end of the process.
        pub grace: Duration,
    }
}

/// Starts an instance and its background tasks, which run until the process ends.
///
/// # Errors
///
/// Returns an error if the address for peers cannot be bound.
pub async fn start_engine(
    identity: InstanceIdentity,
    dependencies: EngineDependencies,
) -> std::io::Result<Arc<ProxyEngine>> {
    let address = identity.peer_address;
    let engine = ProxyEngine::new(identity, dependencies);
    let exchange = PeerExchange::bind(address).await?;
    let listener = TcpListener::bind(address).await?;
    engine.set_exchange(exchange.clone());
    tokio::spawn(serve_copies(Arc::clone(&engine), listener));
    tokio::spawn(heartbeat::receive(Arc::clone(&engine), exchange.clone()));
    tokio::spawn(heartbeat::send(Arc::clone(&engine), exchange.clone()));
    tokio::spawn(probe_owners(Arc::clone(&engine)));
    tokio::spawn(report_reach(Arc::clone(&engine), exchange.clone()));
    tokio::spawn(registry::keep_registered(Arc::clone(&engine)));
    tokio::spawn(records::follow(Arc::clone(&engine), exchange.clone()));
    tokio::spawn(watch::supervise(Arc::clone(&engine)));
    tokio::spawn(serve_queues(Arc::clone(&engine)));
    tokio::spawn(report_usage(Arc::clone(&engine)));
    tokio::spawn(holders::keep_holders(Arc::clone(&engine)));
    tokio::spawn(loans::keep_loans(Arc::clone(&engine), exchange.clone()));
    tokio::spawn(keeper::run_keeper(Arc::clone(&engine), exchange));
    Ok(engine)
}
