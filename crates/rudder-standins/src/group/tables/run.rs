//! Execution of plans that read or change data, within a transaction.

use super::database::{RowEffect, RowKey, RowValues, TableSchema};
use super::describe::output_columns;
use super::matching::matching_rows;
use super::result::{CommandTag, OutputColumn, RowSource, StatementResult};
use super::run_insert::run_insert;
use super::run_select::run_select;
use super::transaction::OpenTransaction;
use crate::group::sql::error::SqlError;
use crate::group::sql::plan::{ColumnProjection, DeletePlan, StatementPlan, UpdatePlan};
use crate::group::sql::scalar::{RowScalar, ScalarScope, SessionInfo};
use crate::group::sql::value::{SqlType, SqlValue};
use std::sync::Arc;

/// Parameters and session data with which a statement runs.
#[derive(Clone)]
pub(crate) struct RunScope {
    pub(crate) parameters: Arc<[SqlValue]>,
    pub(crate) kinds: Arc<[SqlType]>,
    pub(crate) info: Arc<SessionInfo>,
}

impl RunScope {
    /// Returns the scope for evaluating an expression over a row.
    pub(crate) fn row<'a>(
        &'a self,
        schema: Option<&'a TableSchema>,
        row: &'a [SqlValue],
    ) -> ScalarScope<'a> {
        ScalarScope {
            schema,
            row,
            excluded: &[],
            parameters: &self.parameters,
            session: &self.info,
        }
    }
}

/// Runs a plan that reads or changes data.
pub(crate) fn run_plan(
    plan: &StatementPlan,
    transaction: &mut OpenTransaction,
    scope: &RunScope,
) -> Result<StatementResult, SqlError> {
    match plan {
        StatementPlan::Select(select) => {
            let columns = output_columns(plan, &transaction.current, &scope.kinds)?;
            run_select(select, columns.unwrap_or_default(), transaction, scope)
        }
        StatementPlan::Insert(insert) => {
            let columns = output_columns(plan, &transaction.current, &scope.kinds)?;
            let (count, rows) = run_insert(insert, transaction, scope)?;
            Ok(changed("INSERT 0", count, columns, rows))
        }
        StatementPlan::Update(update) => {
            let columns = output_columns(plan, &transaction.current, &scope.kinds)?;
            let (count, rows) = run_update(update, transaction, scope)?;
            Ok(changed("UPDATE", count, columns, rows))
        }
        StatementPlan::Delete(delete) => {
            let columns = output_columns(plan, &transaction.current, &scope.kinds)?;
            let (count, rows) = run_delete(delete, transaction, scope)?;
            Ok(changed("DELETE", count, columns, rows))
        }
        StatementPlan::CreateTable { schema, if_not_exists } => {
            run_create(schema, *if_not_exists, transaction)
        }
        StatementPlan::DropTable { names, if_exists } => run_drop(names, *if_exists, transaction),
        StatementPlan::Truncate(names) => run_truncate(names, transaction),
        _ => Err(SqlError::Unsupported("this statement here".to_owned())),
    }
}

fn changed(
    tag: &'static str,
    count: u64,
    columns: Option<Vec<OutputColumn>>,
    rows: Vec<Vec<SqlValue>>,
) -> StatementResult {
    StatementResult {
        columns,
        rows: RowSource::Stored(rows.into_iter()),
        tag: CommandTag::Counted(tag, count),
        notices: Vec::new(),
    }
}

fn run_create(
    schema: &Arc<TableSchema>,
    if_not_exists: bool,
    transaction: &mut OpenTransaction,
) -> Result<StatementResult, SqlError> {
    let tag = CommandTag::Plain("CREATE TABLE");
    if if_not_exists && transaction.current.table(&schema.name).is_ok() {
        let text = format!("relation \"{}\" already exists, skipping", schema.name);
        return Ok(StatementResult::done(tag).with_notice("NOTICE", "42P07", text));
    }
    transaction.change(RowEffect::CreateTable(Arc::clone(schema)))?;
    Ok(StatementResult::done(tag))
}

fn run_drop(
    names: &[Arc<str>],
    if_exists: bool,
    transaction: &mut OpenTransaction,
) -> Result<StatementResult, SqlError> {
    let mut result = StatementResult::done(CommandTag::Plain("DROP TABLE"));
    for name in names {
        if if_exists && transaction.current.table(name).is_err() {
            let text = format!("table \"{name}\" does not exist, skipping");
            result = result.with_notice("NOTICE", "00000", text);
            continue;
        }
        transaction.change(RowEffect::DropTable(Arc::clone(name)))?;
    }
    Ok(result)
}

fn run_truncate(
    names: &[Arc<str>],
    transaction: &mut OpenTransaction,
) -> Result<StatementResult, SqlError> {
    for name in names {
        let schema = Arc::clone(&transaction.current.table(name)?.schema);
        transaction.change(RowEffect::DropTable(Arc::clone(name)))?;
        transaction.change(RowEffect::CreateTable(schema))?;
    }
    Ok(StatementResult::done(CommandTag::Plain("TRUNCATE TABLE")))
}

/// Evaluates projections over one row.
pub(crate) fn project(
    projections: &[ColumnProjection],
    scope: ScalarScope<'_>,
) -> Result<Vec<SqlValue>, SqlError> {
    let mut values = Vec::with_capacity(projections.len());
    for projection in projections {
        match projection {
            ColumnProjection::All => values.extend_from_slice(scope.row),
            ColumnProjection::Scalar(scalar, _) => values.push(scalar.evaluate(scope)?),
        }
    }
    Ok(values)
}

fn run_update(
    update: &UpdatePlan,
    transaction: &mut OpenTransaction,
    scope: &RunScope,
) -> Result<(u64, Vec<Vec<SqlValue>>), SqlError> {
    let table = Arc::clone(transaction.current.table(&update.table)?);
    let mut returned = Vec::new();
    let matches = matching_rows(&table, update.filter.as_ref(), scope)?;
    let count = matches.len() as u64;
    for (key, row) in matches {
        let row_scope = scope.row(Some(&table.schema), &row);
        let values = assign(&table.schema, &update.assignments, row_scope)?;
        replace_row(&table.schema, &key, &values, transaction)?;
        if !update.returning.is_empty() {
            returned.push(project(&update.returning, scope.row(Some(&table.schema), &values))?);
        }
    }
    Ok((count, returned))
}

/// Returns the row after `column = expression` assignments.
pub(crate) fn assign(
    schema: &TableSchema,
    assignments: &[(Arc<str>, RowScalar)],
    scope: ScalarScope<'_>,
) -> Result<RowValues, SqlError> {
    let mut values = scope.row.to_vec();
    for (name, scalar) in assignments {
        let index = schema.column(name)?;
        let column = &schema.columns[index];
        let value = scalar.evaluate(scope)?.coerce(column.kind)?;
        if column.not_null && value == SqlValue::Null {
            return Err(SqlError::NullViolation(name.as_ref().to_owned()));
        }
        values[index] = value;
    }
    Ok(values.into())
}

/// Stores a row's new values, under a new key if its primary key changed.
pub(crate) fn replace_row(
    schema: &TableSchema,
    key: &RowKey,
    values: &RowValues,
    transaction: &mut OpenTransaction,
) -> Result<(), SqlError> {
    let table = Arc::clone(&schema.name);
    let new_key = match &schema.primary {
        Some(primary) => primary.columns.iter().map(|&column| values[column].clone()).collect(),
        None => key.clone(),
    };
    if new_key != *key {
        if transaction.current.table(&table)?.rows.contains_key(&new_key) {
            let name = schema.primary.as_ref().map_or("", |primary| &primary.name);
            return Err(SqlError::UniqueViolation(name.to_owned()));
        }
        let delete = RowEffect::Delete { table: Arc::clone(&table), key: key.clone() };
        transaction.change(delete)?;
    }
    transaction.change(RowEffect::Put { table, key: new_key, values: Arc::clone(values) })
}

fn run_delete(
    delete: &DeletePlan,
    transaction: &mut OpenTransaction,
    scope: &RunScope,
) -> Result<(u64, Vec<Vec<SqlValue>>), SqlError> {
    let table = Arc::clone(transaction.current.table(&delete.table)?);
    let mut returned = Vec::new();
    let matches = matching_rows(&table, delete.filter.as_ref(), scope)?;
    let count = matches.len() as u64;
    for (key, row) in matches {
        transaction.change(RowEffect::Delete { table: Arc::clone(&delete.table), key })?;
        if !delete.returning.is_empty() {
            returned.push(project(&delete.returning, scope.row(Some(&table.schema), &row))?);
        }
    }
    Ok((count, returned))
}
