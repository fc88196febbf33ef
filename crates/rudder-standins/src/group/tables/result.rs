//! Result of a statement: columns, rows, a command tag and notices.

use super::database::{RowValues, TableSchema};
use crate::group::sql::error::SqlError;
use crate::group::sql::scalar::{RowScalar, ScalarScope, SessionInfo};
use crate::group::sql::value::{SqlType, SqlValue};
use std::sync::Arc;

/// Column of a result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OutputColumn {
    pub(crate) name: Arc<str>,
    pub(crate) kind: SqlType,
}

/// Notice sent along with a result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct NoticeMessage {
    pub(crate) severity: &'static str,
    pub(crate) sqlstate: &'static str,
    pub(crate) text: String,
}

/// Rows of a result, either stored or generated while they are sent.
#[derive(Debug)]
pub(crate) enum RowSource {
    /// Rows that are stored in memory.
    Stored(std::vec::IntoIter<Vec<SqlValue>>),
    /// One row for each number of a series, generated on demand since there may be many.
    Series(Box<SeriesRows>),
}

/// Generator of the rows over a series of numbers.
#[derive(Debug)]
pub(crate) struct SeriesRows {
    pub(crate) next: i64,
    pub(crate) last: i64,
    pub(crate) schema: Arc<TableSchema>,
    pub(crate) columns: Vec<RowScalar>,
    pub(crate) parameters: Arc<[SqlValue]>,
    pub(crate) info: Arc<SessionInfo>,
}

impl RowSource {
    /// Creates a source without rows.
    pub(crate) fn empty() -> Self {
        Self::Stored(Vec::new().into_iter())
    }

    /// Returns the next row.
    pub(crate) fn next_row(&mut self) -> Option<Result<Vec<SqlValue>, SqlError>> {
        match self {
            Self::Stored(rows) => rows.next().map(Ok),
            Self::Series(series) => series.next_row(),
        }
    }
}

impl SeriesRows {
    fn next_row(&mut self) -> Option<Result<Vec<SqlValue>, SqlError>> {
        if self.next > self.last {
            return None;
        }
        let row: RowValues = Arc::new([SqlValue::Int(self.next)]);
        self.next += 1;
        let scope = ScalarScope {
            schema: Some(&self.schema),
            row: &row,
            excluded: &[],
            parameters: &self.parameters,
            session: &self.info,
        };
        Some(self.columns.iter().map(|column| column.evaluate(scope)).collect())
    }
}

/// Command tag that ends a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CommandTag {
    /// A tag without a number.
    Plain(&'static str),
    /// A tag with the number of changed rows.
    Counted(&'static str, u64),
    /// A tag with the number of rows sent.
    Sent(&'static str),
}

/// Result of one statement.
#[derive(Debug)]
pub(crate) struct StatementResult {
    /// `None` for statements that return no rows.
    pub(crate) columns: Option<Vec<OutputColumn>>,
    pub(crate) rows: RowSource,
    pub(crate) tag: CommandTag,
    pub(crate) notices: Vec<NoticeMessage>,
}

impl StatementResult {
    /// Creates a result without rows.
    pub(crate) fn done(tag: CommandTag) -> Self {
        Self { columns: None, rows: RowSource::empty(), tag, notices: Vec::new() }
    }

    /// Creates a result with rows.
    pub(crate) fn rows(columns: Vec<OutputColumn>, rows: Vec<Vec<SqlValue>>) -> Self {
        Self {
            columns: Some(columns),
            rows: RowSource::Stored(rows.into_iter()),
            tag: CommandTag::Sent("SELECT"),
            notices: Vec::new(),
        }
    }

    /// Adds a notice.
    pub(crate) fn with_notice(
        mut self,
        severity: &'static str,
        sqlstate: &'static str,
        text: String,
    ) -> Self {
        self.notices.push(NoticeMessage { severity, sqlstate, text });
        self
    }
}
