//! Notes on log lines about forwarded requests, loans of connections and counted operations.

mod table;

use super::line::LogLine;
use table::{LineNote, NOTES};

/// Returns whether a note is about a line.
fn applies(known: &LineNote, line: &LogLine) -> bool {
    // The reason of a refused request is the error of a member, whose words overlap with those of
    // faults of a connection between instances.
    let is_error = known.field == "reason" && line.field("outcome") == Some("refused");
    known.field.is_empty() || (!is_error && line.field(known.field) == Some(known.value))
}

/// Returns the notes on a line.
pub(super) fn notes_on(line: &LogLine) -> impl Iterator<Item = &'static str> {
    let start = NOTES.partition_point(|known| known.message < line.message.as_str());
    NOTES[start..]
        .iter()
        .take_while(|known| known.message == line.message)
        .filter(|known| applies(known, line))
        .map(|known| known.note)
}

#[cfg(test)]
mod tests;
