//! Starting an instance.

use super::{heartbeat, keeper, records, registry, watch};
use crate::engine::ProxyEngine;
use crate::identity::{EngineBorders, InstanceIdentity};
use crate::peers::{PeerExchange, serve_copies};
use rudder_core::plain_data;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

plain_data! {
    /// The bounds that the deployment sets for stopping.
    #[derive(Copy)]
    pub struct EngineTiming {
        /// The time between being told to stop and being ended.
        pub grace: Duration,
    }
}

/// Starts an instance: its duties run until the process ends.
///
/// # Errors
///
/// When the address for peers cannot be used.
pub async fn start_engine(
    identity: InstanceIdentity,
    borders: EngineBorders,
) -> std::io::Result<Arc<ProxyEngine>> {
    let address = identity.peer_address;
    let engine = ProxyEngine::new(identity, borders);
    let exchange = PeerExchange::bind(address).await?;
    let listener = TcpListener::bind(address).await?;
    engine.set_exchange(exchange.clone());
    tokio::spawn(serve_copies(Arc::clone(&engine), listener));
    tokio::spawn(heartbeat::receive(Arc::clone(&engine), exchange.clone()));
    tokio::spawn(heartbeat::send(Arc::clone(&engine), exchange.clone()));
    tokio::spawn(registry::keep_registered(Arc::clone(&engine)));
    tokio::spawn(records::follow(Arc::clone(&engine), exchange.clone()));
    tokio::spawn(watch::supervise(Arc::clone(&engine)));
    tokio::spawn(keeper::run_keeper(Arc::clone(&engine), exchange));
    Ok(engine)
}
