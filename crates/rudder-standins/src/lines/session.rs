//! Server side of one connection to a member.

use super::group::{GroupState, LineCommit, LineStatement, lock};
use std::sync::Mutex;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// Interval at which a commit checks whether replicas have received it.
const REPLICATION_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// State of a connection between statements.
#[derive(Default)]
struct SessionState {
    /// User that connected.
    user: String,
    /// Session values by name, in the order in which they were set.
    values: Vec<(String, String)>,
    /// Names and texts of the prepared statements.
    names: Vec<(String, String)>,
    transaction: Option<OpenTransaction>,
}

struct OpenTransaction {
    /// Whether no statement has been received yet.
    first: bool,
    read_only: bool,
    failed: bool,
    writes: Vec<(String, String, String)>,
}

impl OpenTransaction {
    /// Returns whether the present statement is the first one, and clears the flag.
    fn take_first_statement(&mut self) -> bool {
        std::mem::take(&mut self.first)
    }
}

/// Response to a statement: rows and proof, or the text of an error.
enum LineResponse {
    Done(Vec<String>, String),
    Error(String),
}

pub(super) async fn serve_connection(
    group: &Mutex<GroupState>,
    index: usize,
    stream: TcpStream,
    full: bool,
) {
    let (reader, mut writer) = stream.into_split();
    let mut lines = BufReader::new(reader).lines();
    let Ok(Some(startup)) = lines.next_line().await else { return };
    let response = login_response(&lock(group), index, &startup, full);
    let accepted = response.starts_with("READY");
    if writer.write_all(response.as_bytes()).await.is_err() || !accepted {
        return;
    }
    let user = startup.split(' ').nth(2).unwrap_or_default().to_owned();
    let mut session = SessionState { user, ..SessionState::default() };
    while let Ok(Some(line)) = lines.next_line().await {
        let Some((id, text)) = line.strip_prefix("QUERY ").and_then(|rest| rest.split_once(' '))
        else {
            return;
        };
        let (response, commits) = {
            let mut state = lock(group);
            let before = state.members[index].log.len();
            let response = run(&mut state, index, &mut session, id, text);
            (response, state.members[index].is_primary && state.members[index].log.len() > before)
        };
        while commits && !lock(group).is_replicated(index) {
            tokio::time::sleep(REPLICATION_POLL_INTERVAL).await;
        }
        let text = format_response(&lock(group), index, &session, response);
        if writer.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
}

fn login_response(group: &GroupState, index: usize, startup: &str, full: bool) -> String {
    let fields: Vec<&str> = startup.split(' ').collect();
    let member = &group.members[index];
    match fields.as_slice() {
        _ if full => "ERROR CONNLIMIT full\r\n".to_owned(),
        ["STARTUP", service, _, id] if *service == group.service && *id == member.id => {
            format!("READY I {}\r\n", position(group, index))
        }
        _ => "ERROR MISROUTED not here\r\n".to_owned(),
    }
}

fn position(group: &GroupState, index: usize) -> String {
    let member = &group.members[index];
    member.log.last().map_or_else(
        || format!("{}.0", member.term),
        |commit| format!("{}.{}", commit.term, commit.number),
    )
}

fn format_response(
    group: &GroupState,
    index: usize,
    session: &SessionState,
    response: LineResponse,
) -> String {
    let state = match &session.transaction {
        None => "I",
        Some(open) if open.failed => "E",
        Some(_) => "T",
    };
    let body = match response {
        LineResponse::Done(rows, proof) => {
            let rows: String = rows.iter().map(|row| format!("DATAROW {row}\r\n")).collect();
            format!("{rows}COMPLETE {proof}\r\n")
        }
        LineResponse::Error(text) => format!("ERROR {text}\r\n"),
    };
    format!("{body}READY {state} {}\r\n", position(group, index))
}

fn run(
    group: &mut GroupState,
    index: usize,
    session: &mut SessionState,
    id: &str,
    text: &str,
) -> LineResponse {
    group.catch_up(index);
    let (text, floor) = split_floor(text);
    if floor.is_some_and(|floor| lags_behind(group, index, floor)) {
        return LineResponse::Error(format!("LAGGING {}", position(group, index)));
    }
    let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
    if matches!(verb, "READ" | "WRITE" | "EXECUTE" | "COMMIT") {
        let begins = session.transaction.as_mut().is_none_or(OpenTransaction::take_first_statement);
        let (id, user) = (id.to_owned(), session.user.clone());
        group.record_statement(LineStatement { id, user, begins, at: Instant::now() });
    }
    let done = || LineResponse::Done(Vec::new(), "-".to_owned());
    match verb {
        "RESET" => {
            session.values.clear();
            session.names.clear();
            done()
        }
        "SET" => {
            let (name, value) = rest.split_once(' ').unwrap_or((rest, ""));
            session.values.retain(|(known, _)| known != name);
            session.values.push((name.to_owned(), value.to_owned()));
            done()
        }
        "PREPARE" => {
            let (name, statement) = rest.split_once(' ').unwrap_or((rest, ""));
            session.names.push((name.to_owned(), statement.to_owned()));
            done()
        }
        "STATUS" => LineResponse::Done(vec![status(group, index)], "-".to_owned()),
        "STEPDOWN" => {
            group.step_down(index);
            LineResponse::Done(vec![status(group, index)], "-".to_owned())
        }
        "BEGIN" => begin(group, index, session, rest == "READ"),
        "ROLLBACK" => {
            session.transaction = None;
            done()
        }
        "COMMIT" => commit(group, index, session, id),
        "EXECUTE" => {
            let (name, rest) = rest.split_once(' ').unwrap_or((rest, ""));
            let statement = session.names.iter().find(|(known, _)| known == name);
            match statement.map(|(_, statement)| statement.split(' ').next() == Some("WRITE")) {
                None => LineResponse::Error("NOSTMT no such name".to_owned()),
                Some(true) => write(group, index, session, id, rest),
                Some(false) => read(group, index, session, id, rest),
            }
        }
        "READ" => read(group, index, session, id, rest),
        "WRITE" => write(group, index, session, id, rest),
        _ => LineResponse::Error("MALFORMED".to_owned()),
    }
}

fn split_floor(text: &str) -> (&str, Option<(u64, u64)>) {
    let parsed = text.strip_prefix("AFTER ").and_then(|rest| {
        let (floor, rest) = rest.split_once(' ')?;
        let (term, number) = floor.split_once('.')?;
        Some((rest, (term.parse().ok()?, number.parse().ok()?)))
    });
    parsed.map_or((text, None), |(rest, floor)| (rest, Some(floor)))
}

fn lags_behind(group: &GroupState, index: usize, floor: (u64, u64)) -> bool {
    let last = group.members[index].log.last().map(|commit| (commit.term, commit.number));
    floor.1 > 0 && last.is_none_or(|last| last < floor)
}

fn status(group: &GroupState, index: usize) -> String {
    let member = &group.members[index];
    let role = if member.is_primary { "primary" } else { "replica" };
    format!("{role} {} {} 0 0 0 {}", member.term, position(group, index), member.connections)
}

fn begin(
    group: &GroupState,
    index: usize,
    session: &mut SessionState,
    read_only: bool,
) -> LineResponse {
    if !read_only && !group.members[index].is_primary {
        return LineResponse::Error(format!("READONLY {}", group.members[index].id));
    }
    session.transaction =
        Some(OpenTransaction { first: true, read_only, failed: false, writes: Vec::new() });
    LineResponse::Done(Vec::new(), "-".to_owned())
}

fn commit(
    group: &mut GroupState,
    index: usize,
    session: &mut SessionState,
    id: &str,
) -> LineResponse {
    let Some(open) = session.transaction.take() else {
        return LineResponse::Error("MALFORMED no transaction".to_owned());
    };
    if !open.writes.is_empty() {
        if !group.members[index].is_primary {
            return LineResponse::Error(format!("READONLY {}", group.members[index].id));
        }
        group.commit(index, open.writes);
    }
    LineResponse::Done(Vec::new(), proof(group, index, id))
}

fn read(
    group: &GroupState,
    index: usize,
    session: &SessionState,
    id: &str,
    item: &str,
) -> LineResponse {
    let own = session.transaction.iter().flat_map(|open| &open.writes);
    let log = group.members[index].log.iter().flat_map(|commit: &LineCommit| &commit.writes);
    let found = log.chain(own).rfind(|(_, known, _)| known == item);
    let data = found.map_or("none", |(_, _, data)| data.as_str());
    // The row includes the session values, so that a test can check which session served it.
    let mut values: Vec<String> =
        session.values.iter().map(|(name, value)| format!("{name}={value}")).collect();
    values.sort();
    let row = format!("{data}|{}", values.join(","));
    LineResponse::Done(vec![row], proof(group, index, id))
}

fn write(
    group: &mut GroupState,
    index: usize,
    session: &mut SessionState,
    id: &str,
    rest: &str,
) -> LineResponse {
    let (item, data) = rest.split_once(' ').unwrap_or((rest, ""));
    let change = (id.to_owned(), item.to_owned(), data.to_owned());
    let is_primary = group.members[index].is_primary;
    if !is_primary || session.transaction.as_ref().is_some_and(|open| open.read_only) {
        if let Some(open) = session.transaction.as_mut() {
            open.failed = true;
        }
        return LineResponse::Error(format!("READONLY {}", group.members[index].id));
    }
    match session.transaction.as_mut() {
        Some(open) => open.writes.push(change),
        None => group.commit(index, vec![change]),
    }
    LineResponse::Done(Vec::new(), proof(group, index, id))
}

fn proof(group: &GroupState, index: usize, id: &str) -> String {
    format!("{}.{id}", group.members[index].id)
}
