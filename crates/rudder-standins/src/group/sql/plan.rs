//! Statements in the form in which they are run, independent of the tables' present state.

use super::scalar::RowScalar;
use crate::group::knob::KnobCommand;
use crate::group::tables::database::TableSchema;
use rudder_core::ControlStatement;
use std::sync::Arc;

/// One statement.
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
    /// Accepted without effect; the text is the command tag.
    Ignored(&'static str),
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

/// A column of a result: an expression with its heading, or all columns.
#[derive(Clone, Debug)]
pub(crate) enum ColumnProjection {
    All,
    Scalar(RowScalar, Arc<str>),
}

/// `INSERT`.
#[derive(Clone, Debug)]
pub(crate) struct InsertPlan {
    pub(crate) table: Arc<str>,
    /// Empty means all columns in order.
    pub(crate) columns: Vec<Arc<str>>,
    /// `None` in a row stands for the column's default.
    pub(crate) rows: Vec<Vec<Option<RowScalar>>>,
    pub(crate) on_conflict: ConflictRule,
    pub(crate) returning: Vec<ColumnProjection>,
}

/// What an insert does with a row that breaks a unique constraint.
#[derive(Clone, Debug)]
pub(crate) enum ConflictRule {
    Fail,
    Skip,
    /// Update the row in the way; `excluded.<column>` is written as the row's own new value.
    Update(Vec<(Arc<str>, RowScalar)>),
}

/// `UPDATE`.
#[derive(Clone, Debug)]
pub(crate) struct UpdatePlan {
    pub(crate) table: Arc<str>,
    pub(crate) assignments: Vec<(Arc<str>, RowScalar)>,
    pub(crate) filter: Option<RowScalar>,
    pub(crate) returning: Vec<ColumnProjection>,
}

/// `DELETE`.
#[derive(Clone, Debug)]
pub(crate) struct DeletePlan {
    pub(crate) table: Arc<str>,
    pub(crate) filter: Option<RowScalar>,
    pub(crate) returning: Vec<ColumnProjection>,
}

/// An aggregate over the filtered rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AggregateFunction {
    Count,
    Sum,
    Min,
    Max,
}

/// Where the rows of a `SELECT` come from.
#[derive(Clone, Debug)]
pub(crate) enum SelectSource {
    /// No table: one row.
    Nothing,
    Table(Arc<str>),
    /// `generate_series(first, last)`.
    Series(RowScalar, RowScalar),
}

/// `SELECT`.
#[derive(Clone, Debug)]
pub(crate) struct SelectPlan {
    pub(crate) source: SelectSource,
    pub(crate) columns: Vec<ColumnProjection>,
    /// When not empty, these replace `columns`: one row of aggregates.
    pub(crate) aggregates: Vec<(AggregateFunction, Option<RowScalar>, Arc<str>)>,
    pub(crate) filter: Option<RowScalar>,
    /// Expressions with whether they sort downwards.
    pub(crate) order: Vec<(RowScalar, bool)>,
    pub(crate) limit: Option<RowScalar>,
    pub(crate) offset: Option<RowScalar>,
    /// The name of what only a primary can do, such as locking rows.
    pub(crate) write_name: Option<&'static str>,
    /// Seconds to wait first, of a `pg_sleep` among the columns.
    pub(crate) sleep: Option<RowScalar>,
}

/// `COPY` of a table, in text form.
#[derive(Clone, Debug)]
pub(crate) struct CopyPlan {
    pub(crate) table: Arc<str>,
    pub(crate) columns: Vec<Arc<str>>,
}

impl StatementPlan {
    /// Whether the statement occupies one of the member's slots for its service time.
    ///
    /// Only what touches data does: transaction control, settings and control statements cost
    /// next to nothing on a database.
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

    /// The name of a statement that changes or locks data, as refusals give it.
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

    /// Whether the statement ends or leaves a transaction, so that it runs in a failed one too.
    pub(crate) fn runs_in_failed(&self) -> bool {
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
