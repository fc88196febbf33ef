//! Types of parameters and results, derived from a plan and the current table schemas.

use super::database::{GroupDatabase, TableSchema};
use super::result::OutputColumn;
use crate::group::sql::error::SqlError;
use crate::group::sql::plan::{
    AggregateFunction, ColumnProjection, ConflictRule, SelectPlan, SelectSource, StatementPlan,
};
use crate::group::sql::scalar::{RowScalar, ScalarFunction};
use crate::group::sql::value::SqlType;
use rudder_core::STATUS_COLUMNS;
use std::sync::Arc;

/// Returns the result columns of a plan, or `None` if it returns no rows.
pub(crate) fn output_columns(
    plan: &StatementPlan,
    database: &GroupDatabase,
    parameters: &[SqlType],
) -> Result<Option<Vec<OutputColumn>>, SqlError> {
    match plan {
        StatementPlan::Control(_) => Ok(Some(status_columns())),
        StatementPlan::Knob(_) => Ok(Some(vec![text_column("knob")])),
        StatementPlan::Notice(_) => Ok(Some(vec![text_column("notice")])),
        StatementPlan::Show(name) => Ok(Some(vec![text_column(name)])),
        StatementPlan::Select(select) => select_columns(select, database, parameters).map(Some),
        StatementPlan::Insert(insert) => {
            returning_columns(&insert.table, &insert.returning, database, parameters)
        }
        StatementPlan::Update(update) => {
            returning_columns(&update.table, &update.returning, database, parameters)
        }
        StatementPlan::Delete(delete) => {
            returning_columns(&delete.table, &delete.returning, database, parameters)
        }
        _ => Ok(None),
    }
}

/// Returns the columns of the status row.
pub(crate) fn status_columns() -> Vec<OutputColumn> {
    STATUS_COLUMNS.iter().map(|name| text_column(name)).collect()
}

/// Creates a column of type text.
pub(crate) fn text_column(name: &str) -> OutputColumn {
    OutputColumn { name: name.into(), kind: SqlType::Text }
}

/// Returns the schema of the rows of `generate_series`.
pub(crate) fn series_schema() -> TableSchema {
    use super::database::{ColumnDefault, ColumnSchema};
    let column = ColumnSchema {
        name: "generate_series".into(),
        kind: SqlType::Int8,
        not_null: true,
        default: ColumnDefault::Null,
    };
    TableSchema {
        name: "generate_series".into(),
        columns: vec![column],
        primary: None,
        uniques: Vec::new(),
    }
}

fn returning_columns(
    table: &str,
    returning: &[ColumnProjection],
    database: &GroupDatabase,
    parameters: &[SqlType],
) -> Result<Option<Vec<OutputColumn>>, SqlError> {
    if returning.is_empty() {
        return Ok(None);
    }
    let schema = &database.table(table)?.schema;
    projected_columns(returning, Some(schema), parameters).map(Some)
}

/// Returns the headings and types of projections.
pub(crate) fn projected_columns(
    projections: &[ColumnProjection],
    schema: Option<&TableSchema>,
    parameters: &[SqlType],
) -> Result<Vec<OutputColumn>, SqlError> {
    let mut columns = Vec::with_capacity(projections.len());
    for projection in projections {
        match (projection, schema) {
            (ColumnProjection::Scalar(scalar, name), _) => {
                check_columns(scalar, schema)?;
                let kind = scalar.kind(schema, parameters);
                columns.push(OutputColumn { name: Arc::clone(name), kind });
            }
            (ColumnProjection::All, Some(schema)) => {
                columns.extend(schema.columns.iter().map(|column| OutputColumn {
                    name: Arc::clone(&column.name),
                    kind: column.kind,
                }));
            }
            (ColumnProjection::All, None) => {
                return Err(SqlError::Syntax("SELECT * without a table".to_owned()));
            }
        }
    }
    Ok(columns)
}

fn check_columns(scalar: &RowScalar, schema: Option<&TableSchema>) -> Result<(), SqlError> {
    let mut result = Ok(());
    scalar.walk(&mut |part| {
        if let RowScalar::Column(name) | RowScalar::Excluded(name) = part {
            let known = schema.is_some_and(|schema| schema.column(name).is_ok());
            if !known {
                result = Err(SqlError::UnknownColumn(name.as_ref().to_owned()));
            }
        }
    });
    result
}

fn select_columns(
    select: &SelectPlan,
    database: &GroupDatabase,
    parameters: &[SqlType],
) -> Result<Vec<OutputColumn>, SqlError> {
    let schema = source_schema(&select.source, database)?;
    if select.aggregates.is_empty() {
        return projected_columns(&select.columns, schema.as_deref(), parameters);
    }
    let column = |(function, argument, name): &(AggregateFunction, Option<RowScalar>, Arc<str>)| {
        let kind = match (function, argument) {
            (AggregateFunction::Count | AggregateFunction::Sum, _) | (_, None) => SqlType::Int8,
            (_, Some(argument)) => argument.kind(schema.as_deref(), parameters),
        };
        OutputColumn { name: Arc::clone(name), kind }
    };
    Ok(select.aggregates.iter().map(column).collect())
}

/// Returns the schema of a source's rows, or `None` without a table.
pub(crate) fn source_schema(
    source: &SelectSource,
    database: &GroupDatabase,
) -> Result<Option<Arc<TableSchema>>, SqlError> {
    match source {
        SelectSource::NoTable => Ok(None),
        SelectSource::Table(name) => Ok(Some(Arc::clone(&database.table(name)?.schema))),
        SelectSource::Series(..) => Ok(Some(Arc::new(series_schema()))),
    }
}

/// Returns the types of a plan's parameters: those given by the client, otherwise those inferred
/// from the parameter's use.
pub(crate) fn parameter_types(
    plan: &StatementPlan,
    database: &GroupDatabase,
    given: &[u32],
) -> Vec<SqlType> {
    let mut inferred = ParameterTypes::default();
    inferred.visit_plan(plan, database);
    let count = inferred.kinds.len().max(given.len());
    (0..count)
        .map(|index| match given.get(index) {
            Some(&oid) if oid != 0 => SqlType::from_oid(oid),
            _ => inferred.kinds.get(index).copied().flatten().unwrap_or(SqlType::Text),
        })
        .collect()
}

#[derive(Default)]
struct ParameterTypes {
    kinds: Vec<Option<SqlType>>,
}

impl ParameterTypes {
    fn record(&mut self, scalar: &RowScalar, kind: Option<SqlType>) {
        if let RowScalar::Parameter(index) = scalar {
            if self.kinds.len() <= *index {
                self.kinds.resize(index + 1, None);
            }
            self.kinds[*index] = self.kinds[*index].or(kind);
        }
    }

    fn visit_plan(&mut self, plan: &StatementPlan, database: &GroupDatabase) {
        let schema_of = |name: &str| database.table(name).ok().map(|table| &table.schema);
        match plan {
            StatementPlan::Insert(insert) => {
                let schema = schema_of(&insert.table).map(Arc::as_ref);
                for row in &insert.rows {
                    for (index, value) in row.iter().enumerate() {
                        let Some(value) = value else { continue };
                        self.record(value, target_kind(schema, &insert.columns, index));
                        self.visit(value, schema);
                    }
                }
                if let ConflictRule::Update(assignments) = &insert.on_conflict {
                    self.visit_assignments(assignments, schema);
                }
                self.visit_projections(&insert.returning, schema);
            }
            StatementPlan::Update(update) => {
                let schema = schema_of(&update.table).map(Arc::as_ref);
                self.visit_assignments(&update.assignments, schema);
                self.visit_all(update.filter.iter(), schema);
                self.visit_projections(&update.returning, schema);
            }
            StatementPlan::Delete(delete) => {
                let schema = schema_of(&delete.table).map(Arc::as_ref);
                self.visit_all(delete.filter.iter(), schema);
                self.visit_projections(&delete.returning, schema);
            }
            StatementPlan::Select(select) => self.visit_select(select, database),
            _ => {}
        }
    }

    fn visit_select(&mut self, select: &SelectPlan, database: &GroupDatabase) {
        let schema = source_schema(&select.source, database).ok().flatten();
        let schema = schema.as_deref();
        if let SelectSource::Series(first, last) = &select.source {
            self.record(first, Some(SqlType::Int8));
            self.record(last, Some(SqlType::Int8));
            self.visit_all([first, last].into_iter(), schema);
        }
        self.visit_projections(&select.columns, schema);
        self.visit_all(
            select.aggregates.iter().filter_map(|(_, scalar, _)| scalar.as_ref()),
            schema,
        );
        self.visit_all(select.filter.iter(), schema);
        self.visit_all(select.order.iter().map(|(scalar, _)| scalar), schema);
        for bound in select.limit.iter().chain(&select.offset) {
            self.record(bound, Some(SqlType::Int8));
            self.visit(bound, schema);
        }
    }

    fn visit_assignments(
        &mut self,
        assignments: &[(Arc<str>, RowScalar)],
        schema: Option<&TableSchema>,
    ) {
        for (name, scalar) in assignments {
            self.record(scalar, Some(RowScalar::Column(Arc::clone(name)).kind(schema, &[])));
            self.visit(scalar, schema);
        }
    }

    fn visit_projections(
        &mut self,
        projections: &[ColumnProjection],
        schema: Option<&TableSchema>,
    ) {
        for projection in projections {
            if let ColumnProjection::Scalar(scalar, _) = projection {
                self.visit(scalar, schema);
            }
        }
    }

    fn visit_all<'a>(
        &mut self,
        scalars: impl Iterator<Item = &'a RowScalar>,
        schema: Option<&TableSchema>,
    ) {
        for scalar in scalars {
            self.visit(scalar, schema);
        }
    }

    fn visit(&mut self, scalar: &RowScalar, schema: Option<&TableSchema>) {
        scalar.walk(&mut |part| match part {
            RowScalar::Parameter(_) => self.record(part, None),
            RowScalar::Compare(_, left, right) | RowScalar::Arithmetic(_, left, right) => {
                self.record(left, operand_kind(right, schema));
                self.record(right, operand_kind(left, schema));
            }
            RowScalar::InList(needle, items) => {
                for item in items {
                    self.record(item, operand_kind(needle, schema));
                }
            }
            RowScalar::Cast(inner, kind) => self.record(inner, Some(*kind)),
            RowScalar::And(left, right) | RowScalar::Or(left, right) => {
                self.record(left, Some(SqlType::Bool));
                self.record(right, Some(SqlType::Bool));
            }
            RowScalar::Call(ScalarFunction::Sleep, arguments) => {
                self.record(&arguments[0], Some(SqlType::Float8));
            }
            RowScalar::Call(ScalarFunction::Repeat, arguments) if arguments.len() == 2 => {
                self.record(&arguments[1], Some(SqlType::Int4));
            }
            _ => {}
        });
    }
}

fn operand_kind(operand: &RowScalar, schema: Option<&TableSchema>) -> Option<SqlType> {
    match operand {
        RowScalar::Parameter(_) => None,
        other => Some(other.kind(schema, &[])),
    }
}

fn target_kind(
    schema: Option<&TableSchema>,
    columns: &[Arc<str>],
    index: usize,
) -> Option<SqlType> {
    let schema = schema?;
    let column = match columns.get(index) {
        Some(name) => schema.column(name).ok()?,
        None => index,
    };
    schema.columns.get(column).map(|column| column.kind)
}
