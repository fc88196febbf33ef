//! Running of plans that read or change data, over a transaction.

use super::answer::{Answer, CommandTag, OutputColumn, RowSource, SeriesRows};
use super::database::{RowEffect, RowKey, RowValues, Table, TableSchema};
use super::describe::{output_columns, source_schema};
use super::error::SqlError;
use super::plan::{
    AggregateFunction, DeletePlan, Plan, Projection, SelectPlan, SelectSource, UpdatePlan,
};
use super::run_insert::run_insert;
use super::scalar::{ComparisonOperator, Scalar, ScalarScope, SessionFacts};
use super::transaction::Transaction;
use super::value::{SqlType, SqlValue};
use std::sync::Arc;
use std::sync::atomic::AtomicI64;

/// What a statement runs with besides the transaction.
#[derive(Clone)]
pub(crate) struct RunScope {
    pub(crate) parameters: Arc<[SqlValue]>,
    pub(crate) kinds: Arc<[SqlType]>,
    pub(crate) facts: Arc<SessionFacts>,
    /// Numbers for serial columns and for rows without a primary key.
    pub(crate) sequence: Arc<AtomicI64>,
}

impl RunScope {
    /// The scope of an expression over a row.
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
            session: &self.facts,
        }
    }
}

/// Runs a plan that reads or changes data.
pub(crate) fn run_plan(
    plan: &Plan,
    transaction: &mut Transaction,
    scope: &RunScope,
) -> Result<Answer, SqlError> {
    match plan {
        Plan::Select(select) => {
            let columns = output_columns(plan, &transaction.work, &scope.kinds)?;
            run_select(select, columns.unwrap_or_default(), transaction, scope)
        }
        Plan::Insert(insert) => {
            let columns = output_columns(plan, &transaction.work, &scope.kinds)?;
            let (count, rows) = run_insert(insert, transaction, scope)?;
            Ok(changed("INSERT 0", count, columns, rows))
        }
        Plan::Update(update) => {
            let columns = output_columns(plan, &transaction.work, &scope.kinds)?;
            let (count, rows) = run_update(update, transaction, scope)?;
            Ok(changed("UPDATE", count, columns, rows))
        }
        Plan::Delete(delete) => {
            let columns = output_columns(plan, &transaction.work, &scope.kinds)?;
            let (count, rows) = run_delete(delete, transaction, scope)?;
            Ok(changed("DELETE", count, columns, rows))
        }
        Plan::CreateTable { schema, if_not_exists } => {
            run_create(schema, *if_not_exists, transaction)
        }
        Plan::DropTable { names, if_exists } => run_drop(names, *if_exists, transaction),
        Plan::Truncate(names) => run_truncate(names, transaction),
        _ => Err(SqlError::Unsupported("this statement here".to_owned())),
    }
}

fn changed(
    tag: &'static str,
    count: u64,
    columns: Option<Vec<OutputColumn>>,
    rows: Vec<Vec<SqlValue>>,
) -> Answer {
    Answer {
        columns,
        rows: RowSource::Listed(rows.into_iter()),
        tag: CommandTag::Counted(tag, count),
        notices: Vec::new(),
    }
}

fn run_create(
    schema: &Arc<TableSchema>,
    if_not_exists: bool,
    transaction: &mut Transaction,
) -> Result<Answer, SqlError> {
    let tag = CommandTag::Plain("CREATE TABLE");
    if if_not_exists && transaction.work.table(&schema.name).is_ok() {
        let text = format!("relation \"{}\" already exists, skipping", schema.name);
        return Ok(Answer::done(tag).with_notice("NOTICE", "42P07", text));
    }
    transaction.change(RowEffect::CreateTable(Arc::clone(schema)))?;
    Ok(Answer::done(tag))
}

fn run_drop(
    names: &[Arc<str>],
    if_exists: bool,
    transaction: &mut Transaction,
) -> Result<Answer, SqlError> {
    let mut answer = Answer::done(CommandTag::Plain("DROP TABLE"));
    for name in names {
        if if_exists && transaction.work.table(name).is_err() {
            let text = format!("table \"{name}\" does not exist, skipping");
            answer = answer.with_notice("NOTICE", "00000", text);
            continue;
        }
        transaction.change(RowEffect::DropTable(Arc::clone(name)))?;
    }
    Ok(answer)
}

fn run_truncate(names: &[Arc<str>], transaction: &mut Transaction) -> Result<Answer, SqlError> {
    for name in names {
        let schema = Arc::clone(&transaction.work.table(name)?.schema);
        transaction.change(RowEffect::DropTable(Arc::clone(name)))?;
        transaction.change(RowEffect::CreateTable(schema))?;
    }
    Ok(Answer::done(CommandTag::Plain("TRUNCATE TABLE")))
}

/// Evaluates projections over one row.
pub(crate) fn project(
    projections: &[Projection],
    scope: ScalarScope<'_>,
) -> Result<Vec<SqlValue>, SqlError> {
    let mut values = Vec::with_capacity(projections.len());
    for projection in projections {
        match projection {
            Projection::All => values.extend_from_slice(scope.row),
            Projection::Scalar(scalar, _) => values.push(scalar.evaluate(scope)?),
        }
    }
    Ok(values)
}

fn run_select(
    select: &SelectPlan,
    columns: Vec<OutputColumn>,
    transaction: &Transaction,
    scope: &RunScope,
) -> Result<Answer, SqlError> {
    let schema = source_schema(&select.source, &transaction.work)?;
    let schema = schema.as_ref();
    let plain = select.filter.is_none()
        && select.order.is_empty()
        && select.limit.is_none()
        && select.offset.is_none()
        && select.aggregates.is_empty();
    if let (SelectSource::Series(first, last), Some(schema), true) = (&select.source, schema, plain)
    {
        return run_series(select, (first, last), schema, columns, scope);
    }
    let mut rows = source_rows(select, transaction, scope)?;
    if !select.aggregates.is_empty() {
        let row = aggregate(select, schema.map(Arc::as_ref), &rows, scope)?;
        return Ok(Answer::rows(columns, vec![row]));
    }
    sort_rows(select, schema.map(Arc::as_ref), &mut rows, scope)?;
    cut_rows(select, &mut rows, scope)?;
    let project_row =
        |row: &RowValues| project(&select.columns, scope.row(schema.map(Arc::as_ref), row));
    let projected: Result<Vec<_>, _> = rows.iter().map(project_row).collect();
    Ok(Answer::rows(columns, projected?))
}

fn run_series(
    select: &SelectPlan,
    bounds: (&Scalar, &Scalar),
    schema: &Arc<TableSchema>,
    columns: Vec<OutputColumn>,
    scope: &RunScope,
) -> Result<Answer, SqlError> {
    let scalar_of = |projection: &Projection| match projection {
        Projection::All => Scalar::Column("generate_series".into()),
        Projection::Scalar(scalar, _) => scalar.clone(),
    };
    let series = SeriesRows {
        next: bound(bounds.0, scope)?,
        last: bound(bounds.1, scope)?,
        schema: Arc::clone(schema),
        columns: select.columns.iter().map(scalar_of).collect(),
        parameters: Arc::clone(&scope.parameters),
        facts: Arc::clone(&scope.facts),
    };
    let mut answer = Answer::rows(columns, Vec::new());
    answer.rows = RowSource::Series(Box::new(series));
    Ok(answer)
}

/// The integer value of an expression without a row.
fn bound(scalar: &Scalar, scope: &RunScope) -> Result<i64, SqlError> {
    match scalar.evaluate(scope.row(None, &[]))?.coerce(SqlType::Int8)? {
        SqlValue::Int(number) => Ok(number),
        _ => Err(SqlError::OutOfRange),
    }
}

fn source_rows(
    select: &SelectPlan,
    transaction: &Transaction,
    scope: &RunScope,
) -> Result<Vec<RowValues>, SqlError> {
    let mut rows = Vec::new();
    match &select.source {
        SelectSource::Nothing => {
            let row = scope.row(None, &[]);
            if select.filter.as_ref().map_or(Ok(true), |filter| filter.holds(row))? {
                rows.push(Arc::new([]) as RowValues);
            }
        }
        SelectSource::Series(first, last) => {
            let schema = super::describe::series_schema();
            for number in bound(first, scope)?..=bound(last, scope)? {
                let row: RowValues = Arc::new([SqlValue::Int(number)]);
                let scope = scope.row(Some(&schema), &row);
                if select.filter.as_ref().map_or(Ok(true), |filter| filter.holds(scope))? {
                    rows.push(row);
                }
            }
        }
        SelectSource::Table(name) => {
            let table = transaction.work.table(name)?;
            let found = matching_rows(table, select.filter.as_ref(), scope)?;
            rows.extend(found.into_iter().map(|(_, row)| row));
        }
    }
    Ok(rows)
}

/// The rows of a table for which a filter holds, found by key where the filter names one.
pub(crate) fn matching_rows(
    table: &Table,
    filter: Option<&Scalar>,
    scope: &RunScope,
) -> Result<Vec<(RowKey, RowValues)>, SqlError> {
    let Some(filter) = filter else {
        return Ok(table.rows.iter().map(|(key, row)| (key.clone(), Arc::clone(row))).collect());
    };
    let mut found = Vec::new();
    if let Some(key) = exact_key(table, filter, scope)? {
        if let Some(row) = table.rows.get(&key)
            && filter.holds(scope.row(Some(&table.schema), row))?
        {
            found.push((key, Arc::clone(row)));
        }
        return Ok(found);
    }
    for (key, row) in &table.rows {
        if filter.holds(scope.row(Some(&table.schema), row))? {
            found.push((key.clone(), Arc::clone(row)));
        }
    }
    Ok(found)
}

/// The key of the only row that can match: all columns of the primary key or of a unique
/// constraint are compared with constants.
fn exact_key(table: &Table, filter: &Scalar, scope: &RunScope) -> Result<Option<RowKey>, SqlError> {
    if let Some(primary) = &table.schema.primary
        && let Some(key) = pinned_values(table, &primary.columns, filter, scope)?
    {
        return Ok(Some(key));
    }
    for (unique, index) in table.schema.uniques.iter().zip(&table.indexes) {
        if let Some(entry) = pinned_values(table, &unique.columns, filter, scope)? {
            return Ok(index.get(&entry).cloned());
        }
    }
    Ok(None)
}

fn pinned_values(
    table: &Table,
    columns: &[usize],
    filter: &Scalar,
    scope: &RunScope,
) -> Result<Option<RowKey>, SqlError> {
    let mut key = RowKey::with_capacity(columns.len());
    for &column in columns {
        let column = &table.schema.columns[column];
        let Some(constant) = pinned_constant(filter, &column.name) else { return Ok(None) };
        let value = constant.evaluate(scope.row(None, &[]))?;
        match value.coerce(column.kind) {
            Ok(SqlValue::Null) | Err(_) => return Ok(None),
            Ok(value) => key.push(value),
        }
    }
    Ok(Some(key))
}

/// The constant that `column = constant` demands among the parts of a conjunction.
fn pinned_constant<'a>(filter: &'a Scalar, column: &str) -> Option<&'a Scalar> {
    match filter {
        Scalar::And(left, right) => {
            pinned_constant(left, column).or_else(|| pinned_constant(right, column))
        }
        Scalar::Compare(ComparisonOperator::Equal, left, right) => {
            match (left.as_ref(), right.as_ref()) {
                (Scalar::Column(name), constant) | (constant, Scalar::Column(name))
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

fn is_constant(scalar: &Scalar) -> bool {
    match scalar {
        Scalar::Literal(_) | Scalar::Parameter(_) => true,
        Scalar::Cast(inner, _) => is_constant(inner),
        _ => false,
    }
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
        for ((left, right), (_, down)) in left.iter().zip(right).zip(&select.order) {
            let ordering = left.cmp(right);
            if ordering.is_ne() {
                return if *down { ordering.reverse() } else { ordering };
            }
        }
        std::cmp::Ordering::Equal
    });
    rows.extend(keyed.into_iter().map(|(_, row)| row));
    Ok(())
}

fn cut_rows(
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

fn aggregate(
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
        results.push(fold(*function, values)?);
    }
    Ok(results)
}

fn fold(function: AggregateFunction, values: Vec<SqlValue>) -> Result<SqlValue, SqlError> {
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

fn run_update(
    update: &UpdatePlan,
    transaction: &mut Transaction,
    scope: &RunScope,
) -> Result<(u64, Vec<Vec<SqlValue>>), SqlError> {
    let table = Arc::clone(transaction.work.table(&update.table)?);
    let mut returned = Vec::new();
    let found = matching_rows(&table, update.filter.as_ref(), scope)?;
    let count = found.len() as u64;
    for (key, row) in found {
        let row_scope = scope.row(Some(&table.schema), &row);
        let values = assign(&table.schema, &update.assignments, row_scope)?;
        replace_row(&table.schema, &key, &values, transaction)?;
        if !update.returning.is_empty() {
            returned.push(project(&update.returning, scope.row(Some(&table.schema), &values))?);
        }
    }
    Ok((count, returned))
}

/// The row after `column = expression` assignments.
pub(crate) fn assign(
    schema: &TableSchema,
    assignments: &[(Arc<str>, Scalar)],
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

/// Puts a row's new values, under a new key if its primary key changed.
pub(crate) fn replace_row(
    schema: &TableSchema,
    key: &RowKey,
    values: &RowValues,
    transaction: &mut Transaction,
) -> Result<(), SqlError> {
    let table = Arc::clone(&schema.name);
    let new_key = match &schema.primary {
        Some(primary) => primary.columns.iter().map(|&column| values[column].clone()).collect(),
        None => key.clone(),
    };
    if new_key != *key {
        if transaction.work.table(&table)?.rows.contains_key(&new_key) {
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
    transaction: &mut Transaction,
    scope: &RunScope,
) -> Result<(u64, Vec<Vec<SqlValue>>), SqlError> {
    let table = Arc::clone(transaction.work.table(&delete.table)?);
    let mut returned = Vec::new();
    let found = matching_rows(&table, delete.filter.as_ref(), scope)?;
    let count = found.len() as u64;
    for (key, row) in found {
        transaction.change(RowEffect::Delete { table: Arc::clone(&delete.table), key })?;
        if !delete.returning.is_empty() {
            returned.push(project(&delete.returning, scope.row(Some(&table.schema), &row))?);
        }
    }
    Ok((count, returned))
}
