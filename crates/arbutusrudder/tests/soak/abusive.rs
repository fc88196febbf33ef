//! Abusive clients: they send large, unfinished or many requests and do not read replies.

use super::environment::{BOUNDED, SoakEnvironment};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Number of clients.
const CLIENTS: u64 = 60;

/// Size of a large message, just under the maximum of a megabyte.
const LARGE: usize = (1 << 20) - 64;

/// Statements that a client sends ahead.
const STATEMENTS_AHEAD: usize = 200;

/// Longest time that a client stays, and the pause before it connects again, in milliseconds.
const STAY_MS: std::ops::Range<u64> = 20..1500;
const PAUSE_MS: std::ops::Range<u64> = 5..100;

/// Starts the clients, which end when the set is dropped.
pub(crate) fn start(environment: &SoakEnvironment, seed: u64) -> JoinSet<()> {
    let addresses = environment.addresses();
    let mut clients = JoinSet::new();
    for number in 0..CLIENTS {
        let mut rng = StdRng::seed_from_u64(seed * 1000 + number);
        let addresses = addresses.clone();
        clients.spawn(async move {
            loop {
                let address = addresses[rng.random_range(0..addresses.len())];
                let stay = Duration::from_millis(rng.random_range(STAY_MS));
                let behaviour = rng.random_range(0..6);
                // A client that is refused or cut off connects again, like one whose time is over.
                let _ = tokio::time::timeout(stay, abuse(address, behaviour)).await;
                let pause = Duration::from_millis(rng.random_range(PAUSE_MS));
                tokio::time::sleep(pause).await;
            }
        });
    }
    clients
}

/// Runs one behaviour until the connection ends.
async fn abuse(address: SocketAddr, behaviour: u32) -> std::io::Result<()> {
    let large = "x".repeat(LARGE);
    let mut stream = TcpStream::connect(address).await?;
    if behaviour == 0 {
        stream.write_all(format!("STARTUP {large}").as_bytes()).await?;
        return read_to_end(&mut stream).await;
    }
    stream.write_all(format!("STARTUP {BOUNDED} probe\r\n").as_bytes()).await?;
    stream.read_u8().await?;
    match behaviour {
        1 => stream.write_all(format!("QUERY q READ {large}").as_bytes()).await?,
        2 => loop {
            stream.write_all(format!("QUERY q READ {large}\r\n").as_bytes()).await?;
        },
        3 => {
            for name in 0.. {
                stream.write_all(format!("QUERY q SET {name} {large}\r\n").as_bytes()).await?;
            }
        }
        4 => {
            stream.write_all(b"QUERY q BEGIN\r\n").await?;
            stream.write_all("QUERY q READ item0\r\n".repeat(STATEMENTS_AHEAD).as_bytes()).await?;
            // Ends in the middle of its transaction, or keeps it open.
            std::future::pending::<()>().await;
        }
        _ => loop {
            stream.write_all(large.as_bytes()).await?;
        },
    }
    read_to_end(&mut stream).await
}

async fn read_to_end(stream: &mut TcpStream) -> std::io::Result<()> {
    let mut buffer = [0; 4096];
    while stream.read(&mut buffer).await? > 0 {}
    Ok(())
}
