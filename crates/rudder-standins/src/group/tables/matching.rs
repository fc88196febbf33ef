//! Selection of a table's rows by a filter.

use super::database::{RowKey, RowValues, StoredTable};
use super::run::RunScope;
use crate::group::sql::error::SqlError;
use crate::group::sql::scalar::{ComparisonOperator, RowScalar};
use crate::group::sql::value::SqlValue;
use std::sync::Arc;

/// Returns the rows of a table that match a filter, by key lookup if the filter determines a key.
pub(crate) fn matching_rows(
    table: &StoredTable,
    filter: Option<&RowScalar>,
    scope: &RunScope,
) -> Result<Vec<(RowKey, RowValues)>, SqlError> {
    let Some(filter) = filter else {
        return Ok(table.rows.iter().map(|(key, row)| (key.clone(), Arc::clone(row))).collect());
    };
    let mut matches = Vec::new();
    if let Some(key) = lookup_key(table, filter, scope)? {
        if let Some(row) = table.rows.get(&key)
            && filter.holds(scope.row(Some(&table.schema), row))?
        {
            matches.push((key, Arc::clone(row)));
        }
        return Ok(matches);
    }
    for (key, row) in &table.rows {
        if filter.holds(scope.row(Some(&table.schema), row))? {
            matches.push((key.clone(), Arc::clone(row)));
        }
    }
    Ok(matches)
}

/// Returns the key of the only row that can match, if the filter compares all columns of the
/// primary key or of a unique constraint with constants.
fn lookup_key(
    table: &StoredTable,
    filter: &RowScalar,
    scope: &RunScope,
) -> Result<Option<RowKey>, SqlError> {
    if let Some(primary) = &table.schema.primary
        && let Some(key) = equality_values(table, &primary.columns, filter, scope)?
    {
        return Ok(Some(key));
    }
    for (unique, index) in table.schema.uniques.iter().zip(&table.indexes) {
        if let Some(entry) = equality_values(table, &unique.columns, filter, scope)? {
            return Ok(index.get(&entry).cloned());
        }
    }
    Ok(None)
}

fn equality_values(
    table: &StoredTable,
    columns: &[usize],
    filter: &RowScalar,
    scope: &RunScope,
) -> Result<Option<RowKey>, SqlError> {
    let mut key = RowKey::with_capacity(columns.len());
    for &column in columns {
        let column = &table.schema.columns[column];
        let Some(constant) = equality_constant(filter, &column.name) else { return Ok(None) };
        let value = constant.evaluate(scope.row(None, &[]))?;
        match value.coerce(column.kind) {
            Ok(SqlValue::Null) | Err(_) => return Ok(None),
            Ok(value) => key.push(value),
        }
    }
    Ok(Some(key))
}

/// Returns the constant of a `column = constant` term of a conjunction.
fn equality_constant<'a>(filter: &'a RowScalar, column: &str) -> Option<&'a RowScalar> {
    match filter {
        RowScalar::And(left, right) => {
            equality_constant(left, column).or_else(|| equality_constant(right, column))
        }
        RowScalar::Compare(ComparisonOperator::Equal, left, right) => {
            match (left.as_ref(), right.as_ref()) {
                (RowScalar::Column(name), constant) | (constant, RowScalar::Column(name))
                    if name.as_ref() == column && is_constant(constant) =>
                {
                    Some(constant)
                }
                _ => None,
            }
        }
        _ => None,
    }
}

fn is_constant(scalar: &RowScalar) -> bool {
    match scalar {
        RowScalar::Literal(_) | RowScalar::Parameter(_) => true,
        RowScalar::Cast(inner, _) => is_constant(inner),
        _ => false,
    }
}
