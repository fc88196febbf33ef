//! A protocol client that sends arbitrary frames and returns the types of the replies.

use bytes::{Buf, BytesMut};
use postgres_protocol::IsNull;
use postgres_protocol::message::frontend;
use rudder_standins::Deployment;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

pub(crate) struct RawClient {
    pub(crate) stream: TcpStream,
    /// Frames to send.
    pub(crate) out: BytesMut,
    input: BytesMut,
    /// First column of the received rows.
    pub(crate) rows: Vec<String>,
    /// SQLSTATEs of the received errors.
    pub(crate) errors: Vec<String>,
}

impl RawClient {
    /// Connects without logging in.
    pub(crate) async fn open(deployment: &Deployment) -> Self {
        let stream = TcpStream::connect(deployment.proxy(0).listen_address())
            .await
            .expect("the frame is well formed and sent");
        let (out, input) = (BytesMut::new(), BytesMut::new());
        Self { stream, out, input, rows: Vec::new(), errors: Vec::new() }
    }

    pub(crate) async fn login(deployment: &Deployment, parameters: &[(&str, &str)]) -> Self {
        let mut client = Self::open(deployment).await;
        let service = deployment.groups[0].service().to_string();
        let names = [("user", "copyist"), ("database", service.as_str())];
        let all = names.iter().chain(parameters).copied();
        frontend::startup_message(all, &mut client.out).expect("the frame is well formed and sent");
        client.replies(1).await;
        client
    }

    pub(crate) fn query(&mut self, text: &str) -> &mut Self {
        frontend::query(text, &mut self.out).expect("the frame is well formed and sent");
        self
    }

    pub(crate) fn parse(&mut self, name: &str, text: &str) -> &mut Self {
        frontend::parse(name, text, [], &mut self.out).expect("the frame is well formed and sent");
        self
    }

    pub(crate) fn bind(&mut self, portal: &str, statement: &str) -> &mut Self {
        let none: [&str; 0] = [];
        let value = |_: &str, _: &mut BytesMut| Ok(IsNull::Yes);
        frontend::bind(portal, statement, [], none, value, [0], &mut self.out)
            .map_err(|_| "no bind")
            .expect("the frame is well formed and sent");
        self
    }

    pub(crate) fn describe(&mut self, variant: u8, name: &str) -> &mut Self {
        frontend::describe(variant, name, &mut self.out)
            .expect("the frame is well formed and sent");
        self
    }

    pub(crate) fn execute(&mut self, portal: &str, max_rows: i32) -> &mut Self {
        frontend::execute(portal, max_rows, &mut self.out)
            .expect("the frame is well formed and sent");
        self
    }

    pub(crate) fn close(&mut self, name: &str) -> &mut Self {
        frontend::close(b'S', name, &mut self.out).expect("the frame is well formed and sent");
        self
    }

    pub(crate) fn flush(&mut self) -> &mut Self {
        frontend::flush(&mut self.out);
        self
    }

    pub(crate) fn sync(&mut self) -> &mut Self {
        frontend::sync(&mut self.out);
        self
    }

    /// Sends the queued frames.
    pub(crate) async fn send(&mut self) {
        self.stream.write_all(&self.out.split()).await.expect("the frame is well formed and sent");
    }

    /// Sends the queued frames and returns the types of the replies up to the `count`th
    /// ReadyForQuery, which is followed by its transaction status. ParameterStatus messages are
    /// left out.
    pub(crate) async fn replies(&mut self, count: usize) -> String {
        self.send().await;
        let mut types = String::new();
        while types.matches('Z').count() < count {
            types.push_str(&self.next_reply().await.expect("the connection stays open"));
        }
        types
    }

    /// Returns the type of the next reply, or `None` if the connection was closed.
    pub(crate) async fn next_reply(&mut self) -> Option<String> {
        loop {
            while self.input.len() < 5 || self.input.len() < self.length() {
                if self.stream.read_buf(&mut self.input).await.unwrap_or(0) == 0 {
                    return None;
                }
            }
            let length = self.length();
            let frame = self.input.split_to(length);
            match frame[0] {
                b'S' => continue,
                b'D' => self.rows.push(String::from_utf8_lossy(&frame[11..]).into_owned()),
                b'E' => self.errors.push(sqlstate_of(&frame)),
                _ => {}
            }
            let status =
                if frame[0] == b'Z' { char::from(frame[5]).to_string() } else { String::new() };
            return Some(format!("{}{status}", char::from(frame[0])));
        }
    }

    fn length(&self) -> usize {
        (&self.input[1..5]).get_u32() as usize + 1
    }
}

fn sqlstate_of(frame: &[u8]) -> String {
    let mut fields = frame[5..].split(|byte| *byte == 0);
    let code = fields.find_map(|field| field.strip_prefix(b"C"));
    String::from_utf8_lossy(code.unwrap_or_default()).into_owned()
}
