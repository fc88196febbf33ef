//! Report on one request: its log lines in order of time, its outcome, and log lines about the
//! state of its service and members at that time.

use super::advice::meaning_of;
use super::line::LogLine;
use super::notes::notes_on;
use displaydoc::Display;
use jiff::{SignedDuration, Timestamp};
use serde::Serialize;
use std::fmt;

/// Time before the request's first line from which other lines are included. A change of primary
/// takes up to six seconds and may have caused the outcome.
const CONTEXT_BEFORE: SignedDuration = SignedDuration::from_secs(6);

/// Time after the request's last line up to which other lines are included. The next record of the
/// primary shows which changes were kept.
const CONTEXT_AFTER: SignedDuration = SignedDuration::from_secs(3);

/// Maximum number of other lines shown; with more, the relevant ones are hard to find.
const CONTEXT_LINES_MAX: usize = 24;

/// Fields that are not printed with a line, because the report prints them elsewhere.
const HIDDEN_FIELDS: [&str; 1] = ["request"];

/// Error of a report that cannot be made.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[ignore_extra_doc_attributes]
pub(crate) enum ReportError {
    /// none of {lines} log lines names {id}: served unlogged, never received, or its instance died
    RequestNotFound {
        /// The id of the request.
        id: String,
        /// The number of lines that could be parsed.
        lines: usize,
    },
    /// there are no log lines of an instance in the input
    NoLogLines,
}

impl std::error::Error for ReportError {}

/// Log line in the report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct ReportLine {
    time: String,
    source: String,
    /// Number of other instances that wrote the same line.
    #[serde(skip_serializing_if = "is_zero")]
    others: usize,
    message: String,
    /// Fields of the line as `name=value`, without [`HIDDEN_FIELDS`].
    facts: String,
    /// What the line means, for lines about the work that instances share.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    notes: Vec<&'static str>,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_zero(count: &usize) -> bool {
    *count == 0
}

/// Log line that one or more instances wrote.
struct MergedLine<'a> {
    /// Earliest of the lines.
    first: &'a LogLine,
    /// Other instances that wrote it, sorted.
    others: Vec<&'a str>,
}

impl<'a> MergedLine<'a> {
    /// Adds an instance that wrote the line; ignores repetitions.
    fn add_source(&mut self, source: &'a str) {
        if source == self.first.source {
            return;
        }
        if let Err(index) = self.others.binary_search(&source) {
            self.others.insert(index, source);
        }
    }
}

/// Report on the outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct RequestReport {
    request: String,
    /// Log lines of the request, in order of time.
    lines: Vec<ReportLine>,
    /// Outcome in the deciding line of the request.
    outcome: String,
    /// Reason in that line, if it gives one.
    reason: Option<String>,
    /// Explanation of the reason or, without one, of the outcome.
    meaning: Option<&'static str>,
    /// Lines about the state of the service and its members, from around the time of the request.
    around: Vec<ReportLine>,
}

/// Collects the lines of a request, and the lines that belong to no request.
#[derive(Clone, Debug)]
pub(crate) struct ReportBuilder {
    request: String,
    lines_read: usize,
    request_lines: Vec<LogLine>,
    other_lines: Vec<LogLine>,
}

impl ReportBuilder {
    /// Creates a builder for one request.
    pub(crate) fn new(request: &str) -> Self {
        Self {
            request: request.to_owned(),
            lines_read: 0,
            request_lines: Vec::new(),
            other_lines: Vec::new(),
        }
    }

    /// Adds one line of text; skips text that no instance wrote.
    pub(crate) fn add_line(&mut self, text: &str, file: &str) {
        let Some(line) = LogLine::parse(text, file) else { return };
        self.lines_read += 1;
        match line.field("request") {
            Some(id) if id == self.request => self.request_lines.push(line),
            Some(_) => {}
            None => self.other_lines.push(line),
        }
    }

    /// Builds the report.
    pub(crate) fn finish(mut self) -> Result<RequestReport, ReportError> {
        if self.lines_read == 0 {
            return Err(ReportError::NoLogLines);
        }
        self.request_lines.sort_by_key(|line| line.time);
        let (Some(first), Some(last)) = (self.request_lines.first(), self.request_lines.last())
        else {
            return Err(ReportError::RequestNotFound { id: self.request, lines: self.lines_read });
        };
        let (from, to) = (first.time, last.time);
        let deciding = self.deciding_line(last);
        let outcome = deciding.field("outcome").unwrap_or("unfinished").to_owned();
        let reason = deciding.field("reason").map(str::to_owned);
        let meaning = reason.as_deref().and_then(meaning_of).or_else(|| meaning_of(&outcome));
        let around = self.surrounding_lines(from, to);
        let lines = self.request_lines.iter().map(ReportLine::from).collect();
        Ok(RequestReport { request: self.request, lines, outcome, reason, meaning, around })
    }

    /// Returns the line whose outcome the caller was told: the last one of the instance that the
    /// caller was connected to or, if a holder refused the request, the last one of that holder.
    fn deciding_line<'a>(&'a self, last: &'a LogLine) -> &'a LogLine {
        // A holder may finish a request after its origin has given it up.
        let origin = self.request_lines.iter().rfind(|line| !self.is_holder(&line.source));
        let line = origin.unwrap_or(last);
        if line.field("outcome") != Some("refused") {
            return line;
        }
        let Some(holder) = line.field("holder") else { return line };
        self.request_lines
            .iter()
            .rfind(|known| known.source == holder && known.field("outcome").is_some())
            .unwrap_or(line)
    }

    /// Whether the request was forwarded to an instance.
    fn is_holder(&self, instance: &str) -> bool {
        self.request_lines.iter().any(|line| line.field("holder") == Some(instance))
    }

    /// Whether a line without a service is about the request: it names the account, or was written by
    /// an instance that took part.
    fn is_of_participant(&self, line: &LogLine) -> bool {
        let account = self.request_lines.iter().find_map(|known| known.field("account"));
        match (line.field("account"), account) {
            (Some(named), Some(account)) => named == account,
            _ => {
                self.is_holder(&line.source)
                    || self.request_lines.iter().any(|known| known.source == line.source)
            }
        }
    }

    /// Returns the other lines about the request's service, and those without a service about its
    /// account or from its instances. If there are too many, the latest ones are returned.
    fn surrounding_lines(&self, from: Timestamp, to: Timestamp) -> Vec<ReportLine> {
        let service = self.request_lines.iter().find_map(|line| line.field("service"));
        let is_related = |line: &&LogLine| match (line.field("service"), service) {
            (Some(named), Some(service)) => named == service,
            (Some(_), None) => self.shares_member(line),
            (None, _) => self.is_of_participant(line),
        };
        let mut nearby: Vec<&LogLine> = self
            .other_lines
            .iter()
            .filter(|line| line.time >= from - CONTEXT_BEFORE && line.time <= to + CONTEXT_AFTER)
            .filter(is_related)
            .collect();
        nearby.sort_by_key(|line| line.time);
        let mut merged: Vec<MergedLine<'_>> = Vec::new();
        for line in nearby {
            match merged.iter_mut().find(|known| known.first.is_duplicate_of(line)) {
                Some(known) => known.add_source(&line.source),
                None => merged.push(MergedLine { first: line, others: Vec::new() }),
            }
        }
        let skipped = merged.len().saturating_sub(CONTEXT_LINES_MAX);
        let report_line =
            |line: &MergedLine<'_>| ReportLine { others: line.others.len(), ..line.first.into() };
        merged[skipped..].iter().map(report_line).collect()
    }

    /// Whether a line names a member that the request was sent to.
    fn shares_member(&self, line: &LogLine) -> bool {
        let member = line.field("member");
        member.is_some() && self.request_lines.iter().any(|known| known.field("member") == member)
    }
}

impl From<&LogLine> for ReportLine {
    fn from(line: &LogLine) -> Self {
        let shown =
            line.fields.iter().filter(|field| !HIDDEN_FIELDS.contains(&field.name.as_str()));
        let facts: Vec<String> =
            shown.map(|field| format!("{}={}", field.name, field.value)).collect();
        Self {
            time: line.time.to_string(),
            source: line.source.clone(),
            others: 0,
            message: line.message.clone(),
            facts: facts.join(", "),
            notes: notes_on(line).collect(),
        }
    }
}

impl fmt::Display for ReportLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "  {} {}", self.time, self.source)?;
        if self.others > 0 {
            write!(f, " and {} more", self.others)?;
        }
        write!(f, ": {} ({})", self.message, self.facts)?;
        self.notes.iter().try_for_each(|note| write!(f, "\n    {note}"))
    }
}

impl fmt::Display for RequestReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {}", self.request)?;
        for line in &self.lines {
            writeln!(f, "{line}")?;
        }
        write!(f, "outcome: {}", self.outcome)?;
        if let Some(reason) = &self.reason {
            write!(f, ", {reason}")?;
        }
        if let Some(meaning) = self.meaning {
            write!(f, "\n  {meaning}")?;
        }
        if !self.around.is_empty() {
            write!(f, "\naround it:")?;
        }
        for line in &self.around {
            write!(f, "\n{line}")?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
