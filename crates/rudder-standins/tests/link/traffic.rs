//! Delays, cuts, holds, resets and losses of a link.

use crate::support::{datagram_echo_server, link_to_echo, read_exactly};
use rudder_standins::{DatagramLinkStandin, LinkDirection, LinkFault, LinkSettings};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};

/// Timeout after which nothing is expected to arrive; long enough for any bytes in transit over
/// loopback.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(50);

#[tokio::test]
async fn bytes_arrive_in_order_after_both_delays() {
    let link = link_to_echo().await;
    let mut stream = TcpStream::connect(link.address()).await.unwrap();
    link.set_delay(Duration::from_millis(10), Duration::from_millis(5));

    let start = Instant::now();
    for byte in 0..=255_u8 {
        stream.write_all(&[byte]).await.unwrap();
        tokio::task::yield_now().await;
    }
    let bytes = read_exactly(&mut stream, 256).await;

    assert_eq!(bytes, (0..=255).collect::<Vec<u8>>());
    assert!(start.elapsed() >= Duration::from_millis(20));
}

/// A connection that sent bytes while the link was cut stays silent after the link is healed, as if
/// a device on the path had dropped the connection's state. A new connection works at once.
#[tokio::test]
async fn a_connection_that_lost_bytes_stays_silent() {
    let link = link_to_echo().await;
    let mut old = TcpStream::connect(link.address()).await.unwrap();
    old.write_all(b"a").await.unwrap();
    read_exactly(&mut old, 1).await;

    link.cut();
    old.write_all(b"b").await.unwrap();
    while link.silenced_connections() == 0 {
        tokio::task::yield_now().await;
    }
    link.heal();
    old.write_all(b"c").await.unwrap();
    let response = tokio::time::timeout(SILENCE_TIMEOUT, old.read_u8()).await;
    let mut new = TcpStream::connect(link.address()).await.unwrap();
    new.write_all(b"d").await.unwrap();
    let bytes = read_exactly(&mut new, 1).await;

    assert!(response.is_err());
    assert_eq!(bytes, b"d");
}

#[tokio::test]
async fn held_bytes_arrive_after_the_link_is_healed() {
    let link = link_to_echo().await;
    let mut stream = TcpStream::connect(link.address()).await.unwrap();
    link.set_fault(LinkDirection::Backward, LinkFault::Hold);

    stream.write_all(b"late").await.unwrap();
    let early = tokio::time::timeout(SILENCE_TIMEOUT, stream.read_u8()).await;
    link.heal();
    let bytes = read_exactly(&mut stream, 4).await;

    assert!(early.is_err());
    assert_eq!(bytes, b"late");
}

#[tokio::test]
async fn a_reset_ends_connections_with_an_error() {
    let link = link_to_echo().await;
    let mut stream = TcpStream::connect(link.address()).await.unwrap();
    stream.write_all(b"a").await.unwrap();
    read_exactly(&mut stream, 1).await;

    link.reset();
    let result = stream.read_u8().await;

    assert_eq!(result.unwrap_err().kind(), std::io::ErrorKind::ConnectionReset);
}

#[tokio::test]
async fn datagrams_return_to_their_sender_unless_lost() {
    let settings = LinkSettings::loopback(datagram_echo_server().await);
    let link = DatagramLinkStandin::start(&settings).await.unwrap();
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let mut buffer = [0; 10];

    socket.send_to(b"one", link.address()).await.unwrap();
    let (length, _) = socket.recv_from(&mut buffer).await.unwrap();
    link.set_delay(Duration::ZERO, Duration::ZERO, 100);
    socket.send_to(b"two", link.address()).await.unwrap();
    let lost = tokio::time::timeout(SILENCE_TIMEOUT, socket.recv_from(&mut buffer)).await;

    assert_eq!(&buffer[..length], b"one");
    assert!(lost.is_err());
}
