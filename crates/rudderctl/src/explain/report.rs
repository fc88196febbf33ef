//! Puts the lines of one request in order, and names the one that decided it.

use super::advice::meaning_of;
use super::line::LogLine;
use displaydoc::Display;
use jiff::{SignedDuration, Timestamp};
use serde::Serialize;
use std::fmt;

/// How long before the request's first line changes of belief may have caused its end: a change of
/// primary takes up to six seconds.
const CONTEXT_BEFORE: SignedDuration = SignedDuration::from_secs(6);

/// How long after its last line: the next record of the primary tells what was kept.
const CONTEXT_AFTER: SignedDuration = SignedDuration::from_secs(3);

/// Lines around a request that are shown; more would hide what matters.
const CONTEXT_LINES_MAX: usize = 24;

/// Facts that name the request, or are shown elsewhere.
const HIDDEN_FIELDS: [&str; 1] = ["request"];

/// Why there is nothing to tell.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[ignore_extra_doc_attributes]
pub(crate) enum ReportError {
    /// none of {lines} log lines names {id}: served unlogged, never received, or its instance died
    RequestNotFound {
        /// The request.
        id: String,
        /// Lines that could be read.
        lines: usize,
    },
    /// there are no log lines of an instance in the input
    NoLogLines,
}

impl std::error::Error for ReportError {}

/// A line as it is shown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct ReportLine {
    time: String,
    source: String,
    /// Further instances that wrote the same.
    #[serde(skip_serializing_if = "is_zero")]
    others: usize,
    message: String,
    facts: String,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_zero(count: &usize) -> bool {
    *count == 0
}

/// A line that several instances wrote.
struct MergedLine<'a> {
    /// The first of them.
    first: &'a LogLine,
    /// The other instances, sorted.
    others: Vec<&'a str>,
}

impl<'a> MergedLine<'a> {
    /// Takes in that an instance wrote it, too, or again.
    fn add_source(&mut self, source: &'a str) {
        if source == self.first.source {
            return;
        }
        if let Err(index) = self.others.binary_search(&source) {
            self.others.insert(index, source);
        }
    }
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct RequestReport {
    request: String,
    /// Its lines, in the order of their times.
    lines: Vec<ReportLine>,
    /// Its end: the outcome, and the reason if the line gives one.
    outcome: String,
    reason: Option<String>,
    /// What that means.
    meaning: Option<&'static str>,
    /// What instances came to believe around that time, of the same service.
    around: Vec<ReportLine>,
}

/// Gathers the lines of a request, and those of what instances believed.
#[derive(Clone, Debug)]
pub(crate) struct ReportBuilder {
    request: String,
    lines_read: usize,
    request_lines: Vec<LogLine>,
    other_lines: Vec<LogLine>,
}

impl ReportBuilder {
    /// Gathers for one request.
    pub(crate) fn new(request: &str) -> Self {
        Self {
            request: request.to_owned(),
            lines_read: 0,
            request_lines: Vec::new(),
            other_lines: Vec::new(),
        }
    }

    /// Takes in one line of text; what is no line of an instance is passed over.
    pub(crate) fn add_line(&mut self, text: &str, file: &str) {
        let Some(line) = LogLine::parse(text, file) else { return };
        self.lines_read += 1;
        match line.field("request") {
            Some(id) if id == self.request => self.request_lines.push(line),
            Some(_) => {}
            None => self.other_lines.push(line),
        }
    }

    /// Tells what became of the request.
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
        let outcome = last.field("outcome").unwrap_or("unfinished").to_owned();
        let reason = last.field("reason").map(str::to_owned);
        let meaning = reason.as_deref().and_then(meaning_of).or_else(|| meaning_of(&outcome));
        let around = self.surrounding_lines(from, to);
        let lines = self.request_lines.iter().map(ReportLine::from).collect();
        Ok(RequestReport { request: self.request, lines, outcome, reason, meaning, around })
    }

    /// The beliefs of the request's service and of its instances, the latest ones if there are many.
    fn surrounding_lines(&self, from: Timestamp, to: Timestamp) -> Vec<ReportLine> {
        let service = self.request_lines.iter().find_map(|line| line.field("service"));
        let is_related = |line: &&LogLine| match (line.field("service"), service) {
            (Some(named), Some(service)) => named == service,
            (Some(_), None) => self.shares_member(line),
            (None, _) => self.request_lines.iter().any(|known| known.source == line.source),
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

    /// Whether a line is about a member that the request was sent to.
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
        }
    }
}

impl fmt::Display for ReportLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "  {} {}", self.time, self.source)?;
        if self.others > 0 {
            write!(f, " and {} more", self.others)?;
        }
        write!(f, ": {} ({})", self.message, self.facts)
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
