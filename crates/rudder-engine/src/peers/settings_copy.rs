//! Settings handed from one instance to another that the store turns away.

use crate::engine::ProxyEngine;
use crate::settings::FleetSettings;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The most time for a copy: some hundred kilobytes between regions, a packet lost.
const COPY_LIMIT: Duration = Duration::from_millis(1500);

/// The longest copy that is read; the store holds values of up to a megabyte.
const COPY_BYTES_MAX: u64 = 4 << 20;

/// Hands the settings in force to whoever connects.
pub(crate) async fn serve_settings(engine: Arc<ProxyEngine>, listener: TcpListener) {
    loop {
        let (mut stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!(reason:% = error; "a peer's connection was not accepted");
                tokio::time::sleep(COPY_LIMIT / 10).await;
                continue;
            }
        };
        let Some(settings) = engine.settings() else { continue };
        tokio::spawn(async move {
            let bytes = match postcard::to_stdvec(settings.as_ref()) {
                Ok(bytes) => bytes,
                Err(error) => {
                    log::error!(reason:% = error; "the settings cannot be written for a peer");
                    return;
                }
            };
            let copy = stream.write_all(&bytes);
            if !matches!(tokio::time::timeout(COPY_LIMIT, copy).await, Ok(Ok(()))) {
                log::debug!(peer:% = peer; "a peer did not take the settings");
            }
        });
    }
}

/// Asks an instance for its settings.
pub(crate) async fn fetch_settings(peer: SocketAddr) -> Option<FleetSettings> {
    let fetch = async {
        let stream = TcpStream::connect(peer).await?;
        let mut bytes = Vec::new();
        stream.take(COPY_BYTES_MAX).read_to_end(&mut bytes).await?;
        Ok::<_, std::io::Error>(bytes)
    };
    let bytes = match tokio::time::timeout(COPY_LIMIT, fetch).await {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(error)) => {
            log::info!(peer:% = peer, reason:% = error; "a peer's settings were not had");
            return None;
        }
        Err(_) => {
            log::info!(peer:% = peer, reason = "timeout"; "a peer's settings were not had");
            return None;
        }
    };
    match postcard::from_bytes(&bytes) {
        Ok(settings) => Some(settings),
        Err(error) => {
            log::info!(peer:% = peer, reason:% = error; "a peer's settings are unreadable");
            None
        }
    }
}
