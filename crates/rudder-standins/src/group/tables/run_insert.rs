//! Execution of inserts.

use super::database::{ColumnDefault, RowEffect, RowKey, RowValues, StoredTable, TableSchema};
use super::run::{RunScope, assign, project, replace_row};
use super::transaction::OpenTransaction;
use crate::group::sql::error::SqlError;
use crate::group::sql::plan::{ConflictRule, InsertPlan};
use crate::group::sql::scalar::{RowScalar, SessionInfo, now_text};
use crate::group::sql::value::SqlValue;
use std::sync::Arc;

/// Inserts the plan's rows; returns their number and the rows of `RETURNING`.
pub(crate) fn run_insert(
    insert: &InsertPlan,
    transaction: &mut OpenTransaction,
    scope: &RunScope,
) -> Result<(u64, Vec<Vec<SqlValue>>), SqlError> {
    let schema = Arc::clone(&transaction.current.table(&insert.table)?.schema);
    let targets = target_columns(&schema, &insert.columns)?;
    let mut count = 0;
    let mut returned = Vec::new();
    for row in &insert.rows {
        let values = evaluated_row(&schema, &targets, row, scope)?;
        let Some(values) = insert_row(&schema, values, &insert.on_conflict, transaction, scope)?
        else {
            continue;
        };
        count += 1;
        if !insert.returning.is_empty() {
            returned.push(project(&insert.returning, scope.row(Some(&schema), &values))?);
        }
    }
    Ok((count, returned))
}

/// Returns the indexes of the columns for which values are given, in order.
pub(crate) fn target_columns(
    schema: &TableSchema,
    names: &[Arc<str>],
) -> Result<Vec<usize>, SqlError> {
    if names.is_empty() {
        return Ok((0..schema.columns.len()).collect());
    }
    names.iter().map(|name| schema.column(name)).collect()
}

fn evaluated_row(
    schema: &TableSchema,
    targets: &[usize],
    row: &[Option<RowScalar>],
    scope: &RunScope,
) -> Result<RowValues, SqlError> {
    if row.len() > targets.len() {
        return Err(SqlError::ColumnCount(targets.len(), row.len()));
    }
    let mut given = Vec::with_capacity(row.len());
    for (&column, scalar) in targets.iter().zip(row) {
        if let Some(scalar) = scalar {
            given.push((column, scalar.evaluate(scope.row(None, &[]))?));
        }
    }
    complete_row(schema, given, &scope.info)
}

/// Returns a complete row: given values converted to their columns' types, and defaults for the
/// other columns.
pub(crate) fn complete_row(
    schema: &TableSchema,
    given: Vec<(usize, SqlValue)>,
    info: &SessionInfo,
) -> Result<RowValues, SqlError> {
    let mut values: Vec<Option<SqlValue>> = vec![None; schema.columns.len()];
    for (column, value) in given {
        values[column] = Some(value.coerce(schema.columns[column].kind)?);
    }
    let mut row = Vec::with_capacity(values.len());
    for (column, value) in schema.columns.iter().zip(values) {
        let value = match value {
            Some(value) => value,
            None => match &column.default {
                ColumnDefault::Null => SqlValue::Null,
                ColumnDefault::Value(value) => value.clone(),
                ColumnDefault::Sequence => SqlValue::Int(info.next_number()),
                ColumnDefault::Now => now_text(),
            },
        };
        if column.not_null && value == SqlValue::Null {
            return Err(SqlError::NullViolation(column.name.as_ref().to_owned()));
        }
        row.push(value);
    }
    Ok(row.into())
}

/// Inserts one row; returns `None` if it was skipped because of a conflict.
pub(crate) fn insert_row(
    schema: &TableSchema,
    values: RowValues,
    rule: &ConflictRule,
    transaction: &mut OpenTransaction,
    scope: &RunScope,
) -> Result<Option<RowValues>, SqlError> {
    let key: RowKey = match &schema.primary {
        Some(primary) => primary.columns.iter().map(|&column| values[column].clone()).collect(),
        None => vec![SqlValue::Int(scope.info.next_number())],
    };
    transaction.has_conflict_rule |= !matches!(rule, ConflictRule::Fail);
    let table = Arc::clone(transaction.current.table(&schema.name)?);
    let Some((name, owner)) = find_conflict(&table, &key, &values) else {
        let name = Arc::clone(&schema.name);
        let put = RowEffect::Put { table: name, key, values: Arc::clone(&values) };
        transaction.change(put)?;
        return Ok(Some(values));
    };
    match rule {
        ConflictRule::Fail => Err(SqlError::UniqueViolation(name.as_ref().to_owned())),
        ConflictRule::Skip => Ok(None),
        ConflictRule::Update(assignments) => {
            let Some(row) = table.rows.get(&owner) else { return Err(SqlError::Conflict) };
            let mut row_scope = scope.row(Some(schema), row);
            row_scope.excluded = &values;
            let updated = assign(schema, assignments, row_scope)?;
            replace_row(schema, &owner, &updated, transaction)?;
            Ok(Some(updated))
        }
    }
}

/// Returns the unique constraint that a new row violates, with the key of the existing row.
fn find_conflict(
    table: &StoredTable,
    key: &RowKey,
    values: &[SqlValue],
) -> Option<(Arc<str>, RowKey)> {
    if let Some(primary) = &table.schema.primary
        && table.rows.contains_key(key)
    {
        return Some((Arc::clone(&primary.name), key.clone()));
    }
    for (unique, index) in table.schema.uniques.iter().zip(&table.indexes) {
        let entry: RowKey = unique.columns.iter().map(|&column| values[column].clone()).collect();
        if let Some(owner) = index.get(&entry) {
            return Some((Arc::clone(&unique.name), owner.clone()));
        }
    }
    None
}
