//! A client that sends arbitrary protocol messages and returns the types of the response messages.

use bytes::{Buf, BytesMut};
use pgwire::messages::PgWireFrontendMessage as FrontendMessage;
use pgwire::messages::copy::{CopyData, CopyDone};
use pgwire::messages::extendedquery::{Bind, Execute, Parse, Sync};
use pgwire::messages::simplequery::Query;
use pgwire::messages::startup::Startup;
use rudder_standins::GroupStandin;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

pub(crate) struct RawClient {
    stream: TcpStream,
    input: BytesMut,
}

impl RawClient {
    pub(crate) async fn connect(group: &GroupStandin, index: usize) -> Self {
        let (_, address) = group.members().nth(index).unwrap();
        let stream = TcpStream::connect(address).await.unwrap();
        let mut client = Self { stream, input: BytesMut::new() };
        let mut startup = Startup::new();
        startup.parameters.insert("user".to_owned(), "raw".to_owned());
        client.send(vec![FrontendMessage::Startup(startup)]).await;
        client.response_types(1).await;
        client
    }

    /// Sends all messages in one write.
    pub(crate) async fn send(&mut self, messages: Vec<FrontendMessage>) {
        let mut output = BytesMut::new();
        for message in messages {
            message.encode(&mut output).unwrap();
        }
        self.stream.write_all(&output).await.unwrap();
    }

    /// Returns the type bytes of all messages up to the `count`th `ReadyForQuery`, each of whose
    /// type bytes (`Z`) is followed by the transaction status.
    pub(crate) async fn response_types(&mut self, count: usize) -> String {
        let mut types = String::new();
        let mut ready_count = 0;
        while ready_count < count {
            let message_type = self.next_type().await;
            ready_count += usize::from(message_type.starts_with('Z'));
            types.push_str(&message_type);
        }
        types
    }

    /// Returns the type byte of the next message, and the transaction status after `Z`.
    pub(crate) async fn next_type(&mut self) -> String {
        while self.input.len() < 5 || self.input.len() < self.message_length() {
            assert_ne!(
                self.stream.read_buf(&mut self.input).await.unwrap(),
                0,
                "the member closed the connection"
            );
        }
        let mut message_type = String::from(char::from(self.input[0]));
        if message_type == "Z" {
            message_type.push(char::from(self.input[5]));
        }
        self.input.advance(self.message_length());
        message_type
    }

    /// Returns the full length of the first message in the input.
    fn message_length(&self) -> usize {
        u32::from_be_bytes(self.input[1..5].try_into().unwrap()) as usize + 1
    }
}

pub(crate) fn query(text: &str) -> FrontendMessage {
    FrontendMessage::Query(Query::new(text.to_owned()))
}

/// Returns `Parse`, `Bind` and `Execute` messages for a statement without parameters.
pub(crate) fn execute_messages(text: &str, max_rows: i32) -> Vec<FrontendMessage> {
    vec![
        FrontendMessage::Parse(Parse::new(None, text.to_owned(), Vec::new())),
        FrontendMessage::Bind(Bind::new(None, None, Vec::new(), Vec::new(), Vec::new())),
        FrontendMessage::Execute(Execute::new(None, max_rows)),
    ]
}

pub(crate) fn sync() -> FrontendMessage {
    FrontendMessage::Sync(Sync::new())
}

/// Returns `CopyData` and `CopyDone` messages for a `COPY`.
pub(crate) fn copy_data(text: &'static str) -> Vec<FrontendMessage> {
    vec![
        FrontendMessage::CopyData(CopyData::new(text.into())),
        FrontendMessage::CopyDone(CopyDone::new()),
    ]
}
