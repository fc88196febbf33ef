//! Puts the lines of one request in order, and names the one that decided it.

use super::advice::meaning_of;
use super::line::LogLine;
use displaydoc::Display;
use jiff::{SignedDuration, Timestamp};
use serde::Serialize;
use std::fmt;

/// How long before the request's first line changes of belief may have caused its end: a change of
/// primary takes up to six seconds.
const LOOK_BACK: SignedDuration = SignedDuration::from_secs(6);

/// How long after its last line: the next record of the primary tells what was kept.
const LOOK_AHEAD: SignedDuration = SignedDuration::from_secs(3);

/// Lines around a request that are shown; more would hide what matters.
const AROUND_MAX: usize = 24;

/// Facts that name the request, or are shown elsewhere.
const HIDDEN_FACTS: [&str; 1] = ["request"];

/// Why there is nothing to tell.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[ignore_extra_doc_attributes]
pub(crate) enum AccountError {
    /// none of {lines} log lines names {id}: served unlogged, never received, or its instance died
    Unmentioned {
        /// The request.
        id: String,
        /// Lines that could be read.
        lines: usize,
    },
    /// there are no log lines of an instance in the input
    NoLines,
}

impl std::error::Error for AccountError {}

/// A line as it is shown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct ToldLine {
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
struct SharedLine<'a> {
    /// The first of them.
    first: &'a LogLine,
    /// The other instances, sorted.
    others: Vec<&'a str>,
}

impl<'a> SharedLine<'a> {
    /// Takes in that an instance wrote it, too, or again.
    fn note_source(&mut self, source: &'a str) {
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
pub(crate) struct RequestAccount {
    request: String,
    /// Its lines, in the order of their times.
    lines: Vec<ToldLine>,
    /// Its end: the outcome, and the reason if the line gives one.
    outcome: String,
    reason: Option<String>,
    /// What that means.
    meaning: Option<&'static str>,
    /// What instances came to believe around that time, of the same service.
    around: Vec<ToldLine>,
}

/// Gathers the lines of a request, and those of what instances believed.
#[derive(Clone, Debug)]
pub(crate) struct AccountBuilder {
    request: String,
    read: usize,
    own: Vec<LogLine>,
    beliefs: Vec<LogLine>,
}

impl AccountBuilder {
    /// Gathers for one request.
    pub(crate) fn new(request: &str) -> Self {
        Self { request: request.to_owned(), read: 0, own: Vec::new(), beliefs: Vec::new() }
    }

    /// Takes in one line of text; what is no line of an instance is passed over.
    pub(crate) fn take(&mut self, text: &str, file: &str) {
        let Some(line) = LogLine::read(text, file) else { return };
        self.read += 1;
        match line.fact("request") {
            Some(id) if id == self.request => self.own.push(line),
            Some(_) => {}
            None => self.beliefs.push(line),
        }
    }

    /// Tells what became of the request.
    pub(crate) fn finish(mut self) -> Result<RequestAccount, AccountError> {
        if self.read == 0 {
            return Err(AccountError::NoLines);
        }
        self.own.sort_by_key(|line| line.time);
        let (Some(first), Some(last)) = (self.own.first(), self.own.last()) else {
            return Err(AccountError::Unmentioned { id: self.request, lines: self.read });
        };
        let (from, to) = (first.time, last.time);
        let outcome = last.fact("outcome").unwrap_or("unfinished").to_owned();
        let reason = last.fact("reason").map(str::to_owned);
        let meaning = reason.as_deref().and_then(meaning_of).or_else(|| meaning_of(&outcome));
        let around = self.around(from, to);
        let lines = self.own.iter().map(ToldLine::from).collect();
        Ok(RequestAccount { request: self.request, lines, outcome, reason, meaning, around })
    }

    /// The beliefs of the request's service and of its instances, the latest ones if there are many.
    fn around(&self, from: Timestamp, to: Timestamp) -> Vec<ToldLine> {
        let service = self.own.iter().find_map(|line| line.fact("service"));
        let concerns = |line: &&LogLine| match (line.fact("service"), service) {
            (Some(named), Some(service)) => named == service,
            (Some(_), None) => self.writes_about(line),
            (None, _) => self.own.iter().any(|own| own.source == line.source),
        };
        let mut near: Vec<&LogLine> = self
            .beliefs
            .iter()
            .filter(|line| line.time >= from - LOOK_BACK && line.time <= to + LOOK_AHEAD)
            .filter(concerns)
            .collect();
        near.sort_by_key(|line| line.time);
        let mut shared: Vec<SharedLine<'_>> = Vec::new();
        for line in near {
            match shared.iter_mut().find(|known| known.first.says_the_same_as(line)) {
                Some(known) => known.note_source(&line.source),
                None => shared.push(SharedLine { first: line, others: Vec::new() }),
            }
        }
        let skipped = shared.len().saturating_sub(AROUND_MAX);
        let told =
            |line: &SharedLine<'_>| ToldLine { others: line.others.len(), ..line.first.into() };
        shared[skipped..].iter().map(told).collect()
    }

    /// Whether a line is about a member that the request was sent to.
    fn writes_about(&self, line: &LogLine) -> bool {
        let member = line.fact("member");
        member.is_some() && self.own.iter().any(|own| own.fact("member") == member)
    }
}

impl From<&LogLine> for ToldLine {
    fn from(line: &LogLine) -> Self {
        let shown = line.facts.iter().filter(|fact| !HIDDEN_FACTS.contains(&fact.name.as_str()));
        let facts: Vec<String> =
            shown.map(|fact| format!("{}={}", fact.name, fact.value)).collect();
        Self {
            time: line.time.to_string(),
            source: line.source.clone(),
            others: 0,
            message: line.message.clone(),
            facts: facts.join(", "),
        }
    }
}

impl fmt::Display for ToldLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "  {} {}", self.time, self.source)?;
        if self.others > 0 {
            write!(f, " and {} more", self.others)?;
        }
        write!(f, ": {} ({})", self.message, self.facts)
    }
}

impl fmt::Display for RequestAccount {
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
