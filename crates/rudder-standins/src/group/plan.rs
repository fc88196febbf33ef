//! Statements in the form in which they are run, independent of the tables' present state.

use super::database::TableSchema;
use super::knob::KnobCommand;
use super::scalar::Scalar;
use rudder_core::ControlStatement;
use std::sync::Arc;

/// One statement.
#[derive(Clone, Debug)]
pub(crate) enum Plan {
    Empty,
    Control(ControlStatement),
    Knob(KnobCommand),
    Begin,
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
    Select(SelectPlan),
    CopyIn(CopyPlan),
    CopyOut(CopyPlan),
}

/// A column of a result: an expression with its heading, or all columns.
#[derive(Clone, Debug)]
pub(crate) enum Projection {
    All,
    Scalar(Scalar, Arc<str>),
}

/// `INSERT`.
#[derive(Clone, Debug)]
pub(crate) struct InsertPlan {
    pub(crate) table: Arc<str>,
    /// Empty means all columns in order.
    pub(crate) columns: Vec<Arc<str>>,
    /// `None` in a row stands for the column's default.
    pub(crate) rows: Vec<Vec<Option<Scalar>>>,
    pub(crate) on_conflict: ConflictRule,
    pub(crate) returning: Vec<Projection>,
}

/// What an insert does with a row that breaks a unique constraint.
#[derive(Clone, Debug)]
pub(crate) enum ConflictRule {
    Fail,
    Skip,
    /// Update the row in the way; `excluded.<column>` is written as the row's own new value.
    Update(Vec<(Arc<str>, Scalar)>),
}

/// `UPDATE`.
#[derive(Clone, Debug)]
pub(crate) struct UpdatePlan {
    pub(crate) table: Arc<str>,
    pub(crate) assignments: Vec<(Arc<str>, Scalar)>,
    pub(crate) filter: Option<Scalar>,
    pub(crate) returning: Vec<Projection>,
}

/// `DELETE`.
#[derive(Clone, Debug)]
pub(crate) struct DeletePlan {
    pub(crate) table: Arc<str>,
    pub(crate) filter: Option<Scalar>,
    pub(crate) returning: Vec<Projection>,
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
    Series(Scalar, Scalar),
}

/// `SELECT`.
#[derive(Clone, Debug)]
pub(crate) struct SelectPlan {
    pub(crate) source: SelectSource,
    pub(crate) columns: Vec<Projection>,
    /// When not empty, these replace `columns`: one row of aggregates.
    pub(crate) aggregates: Vec<(AggregateFunction, Option<Scalar>, Arc<str>)>,
    pub(crate) filter: Option<Scalar>,
    /// Expressions with whether they sort downwards.
    pub(crate) order: Vec<(Scalar, bool)>,
    pub(crate) limit: Option<Scalar>,
    pub(crate) offset: Option<Scalar>,
    /// Seconds to wait first, of a `pg_sleep` among the columns.
    pub(crate) sleep: Option<Scalar>,
}

/// `COPY` of a table, in text form.
#[derive(Clone, Debug)]
pub(crate) struct CopyPlan {
    pub(crate) table: Arc<str>,
    pub(crate) columns: Vec<Arc<str>>,
}

impl Plan {
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

    /// The name of a statement that changes data, as refusals give it.
    pub(crate) fn write_name(&self) -> Option<&'static str> {
        match self {
            Self::CreateTable { .. } => Some("CREATE TABLE"),
            Self::DropTable { .. } => Some("DROP TABLE"),
            Self::Truncate(_) => Some("TRUNCATE TABLE"),
            Self::Insert(_) => Some("INSERT"),
            Self::Update(_) => Some("UPDATE"),
            Self::Delete(_) => Some("DELETE"),
            Self::CopyIn(_) => Some("COPY FROM"),
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
