//! Execution of selects.

use super::database::{RowValues, TableSchema};
use super::describe::{series_schema, source_schema};
use super::matching::matching_rows;
use super::result::{OutputColumn, RowSource, SeriesRows, StatementResult};
use super::run::{RunScope, project};
use super::transaction::OpenTransaction;
use crate::group::sql::error::SqlError;
use crate::group::sql::plan::{AggregateFunction, ColumnProjection, SelectPlan, SelectSource};
use crate::group::sql::scalar::RowScalar;
use crate::group::sql::value::{SqlType, SqlValue};
use std::sync::Arc;

/// Runs a `SELECT` whose result has these columns.
pub(crate) fn run_select(
    select: &SelectPlan,
    columns: Vec<OutputColumn>,
    transaction: &OpenTransaction,
    scope: &RunScope,
) -> Result<StatementResult, SqlError> {
    let schema = source_schema(&select.source, &transaction.current)?;
    let schema = schema.as_ref();
    let streams_rows = select.filter.is_none()
        && select.order.is_empty()
        && select.limit.is_none()
        && select.offset.is_none()
        && select.aggregates.is_empty();
    if let (SelectSource::Series(first, last), Some(schema), true) =
        (&select.source, schema, streams_rows)
    {
        return run_series(select, (first, last), schema, columns, scope);
    }
    let mut rows = source_rows(select, transaction, scope)?;
    if !select.aggregates.is_empty() {
        let row = aggregate_rows(select, schema.map(Arc::as_ref), &rows, scope)?;
        return Ok(StatementResult::rows(columns, vec![row]));
    }
    sort_rows(select, schema.map(Arc::as_ref), &mut rows, scope)?;
    limit_rows(select, &mut rows, scope)?;
    let project_row =
        |row: &RowValues| project(&select.columns, scope.row(schema.map(Arc::as_ref), row));
    let projected: Result<Vec<_>, _> = rows.iter().map(project_row).collect();
    Ok(StatementResult::rows(columns, projected?))
}

fn run_series(
    select: &SelectPlan,
    bounds: (&RowScalar, &RowScalar),
    schema: &Arc<TableSchema>,
    columns: Vec<OutputColumn>,
    scope: &RunScope,
) -> Result<StatementResult, SqlError> {
    let scalar_of = |projection: &ColumnProjection| match projection {
        ColumnProjection::All => RowScalar::Column("generate_series".into()),
        ColumnProjection::Scalar(scalar, _) => scalar.clone(),
    };
    let series = SeriesRows {
        next: bound(bounds.0, scope)?,
        last: bound(bounds.1, scope)?,
        schema: Arc::clone(schema),
        columns: select.columns.iter().map(scalar_of).collect(),
        parameters: Arc::clone(&scope.parameters),
        info: Arc::clone(&scope.info),
    };
    let mut result = StatementResult::rows(columns, Vec::new());
    result.rows = RowSource::Series(Box::new(series));
    Ok(result)
}

/// Returns the integer value of an expression that refers to no row.
fn bound(scalar: &RowScalar, scope: &RunScope) -> Result<i64, SqlError> {
    match scalar.evaluate(scope.row(None, &[]))?.coerce(SqlType::Int8)? {
        SqlValue::Int(number) => Ok(number),
        _ => Err(SqlError::OutOfRange),
    }
}

fn source_rows(
    select: &SelectPlan,
    transaction: &OpenTransaction,
    scope: &RunScope,
) -> Result<Vec<RowValues>, SqlError> {
    let mut rows = Vec::new();
    match &select.source {
        SelectSource::NoTable => {
            let row = scope.row(None, &[]);
            if select.filter.as_ref().map_or(Ok(true), |filter| filter.holds(row))? {
                rows.push(Arc::new([]) as RowValues);
            }
        }
        SelectSource::Series(first, last) => {
            let schema = series_schema();
            for number in bound(first, scope)?..=bound(last, scope)? {
                let row: RowValues = Arc::new([SqlValue::Int(number)]);
                let scope = scope.row(Some(&schema), &row);
                if select.filter.as_ref().map_or(Ok(true), |filter| filter.holds(scope))? {
                    rows.push(row);
                }
            }
        }
        SelectSource::Table(name) => {
            let table = transaction.current.table(name)?;
            let found = matching_rows(table, select.filter.as_ref(), scope)?;
            rows.extend(found.into_iter().map(|(_, row)| row));
        }
    }
    Ok(rows)
}

fn sort_rows(
    select: &SelectPlan,
    schema: Option<&TableSchema>,
    rows: &mut Vec<RowValues>,
    scope: &RunScope,
) -> Result<(), SqlError> {
    if select.order.is_empty() {
        return Ok(());
    }
    let mut keyed = Vec::with_capacity(rows.len());
    for row in rows.drain(..) {
        let mut keys = Vec::with_capacity(select.order.len());
        for (scalar, _) in &select.order {
            keys.push(scalar.evaluate(scope.row(schema, &row))?);
        }
        keyed.push((keys, row));
    }
    keyed.sort_by(|(left, _), (right, _)| {
        for ((left, right), (_, descending)) in left.iter().zip(right).zip(&select.order) {
            let ordering = left.cmp(right);
            if ordering.is_ne() {
                return if *descending { ordering.reverse() } else { ordering };
            }
        }
        std::cmp::Ordering::Equal
    });
    rows.extend(keyed.into_iter().map(|(_, row)| row));
    Ok(())
}

fn limit_rows(
    select: &SelectPlan,
    rows: &mut Vec<RowValues>,
    scope: &RunScope,
) -> Result<(), SqlError> {
    if let Some(offset) = &select.offset {
        let count = usize::try_from(bound(offset, scope)?).unwrap_or(0);
        rows.drain(..count.min(rows.len()));
    }
    if let Some(limit) = &select.limit {
        rows.truncate(usize::try_from(bound(limit, scope)?).unwrap_or(0));
    }
    Ok(())
}

fn aggregate_rows(
    select: &SelectPlan,
    schema: Option<&TableSchema>,
    rows: &[RowValues],
    scope: &RunScope,
) -> Result<Vec<SqlValue>, SqlError> {
    let mut results = Vec::with_capacity(select.aggregates.len());
    for (function, argument, _) in &select.aggregates {
        let mut values = Vec::with_capacity(rows.len());
        for row in rows {
            let value = match argument {
                Some(argument) => argument.evaluate(scope.row(schema, row))?,
                None => SqlValue::Bool(true),
            };
            if value != SqlValue::Null {
                values.push(value);
            }
        }
        results.push(evaluate_aggregate(*function, values)?);
    }
    Ok(results)
}

fn evaluate_aggregate(
    function: AggregateFunction,
    values: Vec<SqlValue>,
) -> Result<SqlValue, SqlError> {
    Ok(match function {
        AggregateFunction::Count => SqlValue::Int(i64::try_from(values.len()).unwrap_or(i64::MAX)),
        AggregateFunction::Min => values.into_iter().min().unwrap_or(SqlValue::Null),
        AggregateFunction::Max => values.into_iter().max().unwrap_or(SqlValue::Null),
        AggregateFunction::Sum => {
            let mut sum = SqlValue::Null;
            for value in values {
                let SqlValue::Int(number) = value.coerce(SqlType::Int8)? else { continue };
                let SqlValue::Int(before) = sum else {
                    sum = SqlValue::Int(number);
                    continue;
                };
                sum = SqlValue::Int(before.checked_add(number).ok_or(SqlError::OutOfRange)?);
            }
            sum
        }
    })
}
