//! Executable form of statements, independent of the current state of the tables.

use super::scalar::RowScalar;
use crate::group::knob::KnobCommand;
use crate::group::tables::database::TableSchema;
use rudder_core::ControlStatement;
use std::sync::Arc;

/// Executable form of one statement.
#[derive(Clone, Debug)]
pub(crate) enum StatementPlan {
    Empty,
    Control(ControlStatement),
    Knob(KnobCommand),
    Begin {
        read_only: bool,
    },
    Commit,
    Rollback,
    Savepoint(Arc<str>),
    RollbackTo(Arc<str>),
    Release(Arc<str>),
    Set {
        name: Arc<str>,
        value: Option<Arc<str>>,
        local: bool,
    },
    ResetAll,
    DiscardAll,
    Deallocate(Option<Arc<str>>),
    Show(Arc<str>),
    /// Statement that is accepted without effect, with its command tag.
    NoOp(&'static str),
    Notice(Arc<str>),
    CreateTable {
        schema: Arc<TableSchema>,
        if_not_exists: bool,
    },
    DropTable {
        names: Vec<Arc<str>>,
        if_exists: bool,
    },
    Truncate(Vec<Arc<str>>),
    Insert(InsertPlan),
    Update(UpdatePlan),
    Delete(DeletePlan),
    Select(Box<SelectPlan>),
    CopyIn(CopyPlan),
    CopyOut(CopyPlan),
}

/// Column of a result: an expression with its heading, or all columns of the source.
#[derive(Clone, Debug)]
pub(crate) enum ColumnProjection {
    All,
    Scalar(RowScalar, Arc<str>),
}

/// Plan of an `INSERT`.
#[derive(Clone, Debug)]
pub(crate) struct InsertPlan {
    pub(crate) table: Arc<str>,
    /// Empty means all columns in order.
    pub(crate) columns: Vec<Arc<str>>,
    /// Values by row; `None` is the column's default.
    pub(crate) rows: Vec<Vec<Option<RowScalar>>>,
    pub(crate) on_conflict: ConflictRule,
    pub(crate) returning: Vec<ColumnProjection>,
}

/// Action of an insert for a row that violates a unique constraint.
#[derive(Clone, Debug)]
pub(crate) enum ConflictRule {
    Fail,
    Skip,
    /// Update the existing row; `excluded.<column>` refers to the value that was to be inserted.
    Update(Vec<(Arc<str>, RowScalar)>),
}

/// Plan of an `UPDATE`.
#[derive(Clone, Debug)]
pub(crate) struct UpdatePlan {
    pub(crate) table: Arc<str>,
    pub(crate) assignments: Vec<(Arc<str>, RowScalar)>,
    pub(crate) filter: Option<RowScalar>,
    pub(crate) returning: Vec<ColumnProjection>,
}

/// Plan of a `DELETE`.
#[derive(Clone, Debug)]
pub(crate) struct DeletePlan {
    pub(crate) table: Arc<str>,
    pub(crate) filter: Option<RowScalar>,
    pub(crate) returning: Vec<ColumnProjection>,
}

/// Aggregate function over the filtered rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AggregateFunction {
    Count,
    Sum,
    Min,
    Max,
}

/// Source of the rows of a `SELECT`.
#[derive(Clone, Debug)]
pub(crate) enum SelectSource {
    /// No table: a single row without columns.
    NoTable,
    Table(Arc<str>),
    /// `generate_series(first, last)`.
    Series(RowScalar, RowScalar),
}

/// Plan of a `SELECT`.
#[derive(Clone, Debug)]
pub(crate) struct SelectPlan {
    pub(crate) source: SelectSource,
    pub(crate) columns: Vec<ColumnProjection>,
    /// Aggregates; if not empty, the result is one row of them and `columns` is empty.
    pub(crate) aggregates: Vec<(AggregateFunction, Option<RowScalar>, Arc<str>)>,
    pub(crate) filter: Option<RowScalar>,
    /// Sort expressions, each with whether it sorts in descending order.
    pub(crate) order: Vec<(RowScalar, bool)>,
    pub(crate) limit: Option<RowScalar>,
    pub(crate) offset: Option<RowScalar>,
    /// Name of an operation that only a primary can run, such as locking rows.
    pub(crate) write_name: Option<&'static str>,
    /// Seconds to wait before the statement runs, from a `pg_sleep` among the columns.
    pub(crate) sleep: Option<RowScalar>,
}

/// Plan of a `COPY` of a table in text format.
#[derive(Clone, Debug)]
pub(crate) struct CopyPlan {
    pub(crate) table: Arc<str>,
    pub(crate) columns: Vec<Arc<str>>,
}

impl StatementPlan {
    /// Returns whether the statement occupies one of the member's slots for its service time.
    ///
    /// Only statements that access data do; transaction control, settings and control statements
    /// cost almost nothing on a database.
    pub(crate) fn takes_slot(&self) -> bool {
        matches!(
            self,
            Self::CreateTable { .. }
                | Self::DropTable { .. }
                | Self::Truncate(_)
                | Self::Insert(_)
                | Self::Update(_)
                | Self::Delete(_)
                | Self::Select(_)
                | Self::CopyIn(_)
                | Self::CopyOut(_)
        )
    }

    /// Returns the name of a statement that changes or locks data, as used in errors.
    pub(crate) fn write_name(&self) -> Option<&'static str> {
        match self {
            Self::CreateTable { .. } => Some("CREATE TABLE"),
            Self::DropTable { .. } => Some("DROP TABLE"),
            Self::Truncate(_) => Some("TRUNCATE TABLE"),
            Self::Insert(_) => Some("INSERT"),
            Self::Update(_) => Some("UPDATE"),
            Self::Delete(_) => Some("DELETE"),
            Self::CopyIn(_) => Some("COPY FROM"),
            Self::Select(select) => select.write_name,
            _ => None,
        }
    }

    /// Returns whether the statement may run in a failed transaction block.
    pub(crate) fn allowed_in_failed_block(&self) -> bool {
        matches!(
            self,
            Self::Commit
                | Self::Rollback
                | Self::RollbackTo(_)
                | Self::Control(_)
                | Self::Knob(_)
                | Self::Empty
        )
    }
}
