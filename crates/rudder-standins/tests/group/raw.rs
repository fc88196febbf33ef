//! A client that sends messages of its own choice and lists the types of the answers.

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
        client.answers(1).await;
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

    /// The type bytes of the answers up to the `count`th end of a request, each of which is
    /// followed by its transaction status.
    pub(crate) async fn answers(&mut self, count: usize) -> String {
        let mut types = String::new();
        let mut ends = 0;
        while ends < count {
            let answer = self.answer().await;
            ends += usize::from(answer.starts_with('Z'));
            types.push_str(&answer);
        }
        types
    }

    /// The type byte of the next answer.
    pub(crate) async fn answer(&mut self) -> String {
        while self.input.len() < 5 || self.input.len() < self.length() {
            assert_ne!(self.stream.read_buf(&mut self.input).await.unwrap(), 0, "closed");
        }
        let mut answer = String::from(char::from(self.input[0]));
        if answer == "Z" {
            answer.push(char::from(self.input[5]));
        }
        self.input.advance(self.length());
        answer
    }

    fn length(&self) -> usize {
        u32::from_be_bytes(self.input[1..5].try_into().unwrap()) as usize + 1
    }
}

pub(crate) fn query(text: &str) -> FrontendMessage {
    FrontendMessage::Query(Query::new(text.to_owned()))
}

/// `Parse`, `Bind` and `Execute` of a statement without parameters.
pub(crate) fn execution(text: &str, max_rows: i32) -> Vec<FrontendMessage> {
    vec![
        FrontendMessage::Parse(Parse::new(None, text.to_owned(), Vec::new())),
        FrontendMessage::Bind(Bind::new(None, None, Vec::new(), Vec::new(), Vec::new())),
        FrontendMessage::Execute(Execute::new(None, max_rows)),
    ]
}

pub(crate) fn sync() -> FrontendMessage {
    FrontendMessage::Sync(Sync::new())
}

/// The data of a `COPY`, and its end.
pub(crate) fn copy_data(text: &'static str) -> Vec<FrontendMessage> {
    vec![
        FrontendMessage::CopyData(CopyData::new(text.into())),
        FrontendMessage::CopyDone(CopyDone::new()),
    ]
}
