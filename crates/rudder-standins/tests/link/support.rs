//! Fixtures: TCP and UDP echo servers.

use rudder_standins::{LinkSettings, LinkStandin};
use std::net::SocketAddr;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream, UdpSocket};

pub(crate) async fn echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut reader, mut writer) = stream.split();
                tokio::io::copy(&mut reader, &mut writer).await
            });
        }
    });
    address
}

pub(crate) async fn datagram_echo_server() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap();
    tokio::spawn(async move {
        let mut buffer = [0; 100];
        while let Ok((length, sender)) = socket.recv_from(&mut buffer).await {
            socket.send_to(&buffer[..length], sender).await.unwrap();
        }
    });
    address
}

pub(crate) async fn link_to_echo() -> LinkStandin {
    let settings = LinkSettings::loopback(echo_server().await);
    LinkStandin::start(&settings).await.unwrap()
}

pub(crate) async fn read_exactly(stream: &mut TcpStream, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await.unwrap();
    bytes
}
