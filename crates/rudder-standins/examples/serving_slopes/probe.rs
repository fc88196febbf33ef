//! Size of a status probe's request and response on the wire.

use crate::MeasureError;
use rudder_core::ControlStatement;
use rudder_standins::{GroupSettings, GroupStandin};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Version 3.0 of the wire protocol, as encoded in the startup message.
const PROTOCOL_VERSION: u32 = 196_608;

/// Size of a message's type byte and length field.
const HEADER_BYTES: usize = 5;

/// Size of the length field, which is included in the length.
const LENGTH_BYTES: usize = 4;

pub(crate) async fn measure() -> Result<(), MeasureError> {
    let group = GroupStandin::start(GroupSettings::loopback("scores-orders".parse()?)).await?;
    let (_, address) = group.members().next().ok_or("the group has no member")?;
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(&startup_message()).await?;
    read_until_ready(&mut stream).await?;
    let request = query_message(&ControlStatement::Status.to_string());
    stream.write_all(&request).await?;
    let messages = read_until_ready(&mut stream).await?;
    let response_bytes: usize = messages.iter().map(|(_, bytes)| bytes).sum();
    let sizes: Vec<_> = messages.iter().map(|(kind, bytes)| format!("{kind}:{bytes}")).collect();
    crate::print_figure(&json!({
        "figure": "status_probe", "question_bytes": request.len(), "answer_bytes": response_bytes,
        "answer_messages": sizes,
    }));
    Ok(())
}

fn startup_message() -> Vec<u8> {
    let mut body = PROTOCOL_VERSION.to_be_bytes().to_vec();
    body.extend_from_slice(b"user\0app\0database\0scores-orders\0\0");
    let mut message = encode_length(&body).to_vec();
    message.extend(body);
    message
}

fn query_message(text: &str) -> Vec<u8> {
    let mut body = text.as_bytes().to_vec();
    body.push(0);
    let mut message = vec![b'Q'];
    message.extend(encode_length(&body));
    message.extend(body);
    message
}

fn encode_length(body: &[u8]) -> [u8; LENGTH_BYTES] {
    let bytes = u32::try_from(body.len() + LENGTH_BYTES).expect("the message is short");
    bytes.to_be_bytes()
}

/// Reads messages up to `ReadyForQuery` and returns the type and full length of each.
async fn read_until_ready(stream: &mut TcpStream) -> Result<Vec<(char, usize)>, MeasureError> {
    let mut messages = Vec::new();
    loop {
        let mut header = [0; HEADER_BYTES];
        stream.read_exact(&mut header).await?;
        let [kind, length @ ..] = header;
        let length = usize::try_from(u32::from_be_bytes(length))?;
        let mut body = vec![0; length - LENGTH_BYTES];
        stream.read_exact(&mut body).await?;
        messages.push((char::from(kind), length + 1));
        if kind == b'Z' {
            return Ok(messages);
        }
    }
}
