//! Conversion of parsed table definitions into schemas.

use super::error::SqlError;
use super::parse_scalar::{ident_name, scalar, sql_type, table_name};
use super::plan::StatementPlan;
use super::scalar::{RowScalar, ScalarFunction};
use crate::group::tables::database::{ColumnDefault, ColumnSchema, TableSchema, UniqueKey};
use sqlparser::ast::{self, ColumnOption, Expr, TableConstraint};
use std::sync::Arc;

/// Converts `CREATE TABLE`.
pub(crate) fn create_table(create: &ast::CreateTable) -> Result<StatementPlan, SqlError> {
    let name = table_name(&create.name);
    let mut schema = TableSchema { name, columns: Vec::new(), primary: None, uniques: Vec::new() };
    for column in &create.columns {
        schema.columns.push(column_schema(column)?);
    }
    for (index, column) in create.columns.iter().enumerate() {
        add_column_keys(&mut schema, index, column);
    }
    for constraint in &create.constraints {
        add_constraint(&mut schema, constraint)?;
    }
    Ok(StatementPlan::CreateTable { schema: Arc::new(schema), if_not_exists: create.if_not_exists })
}

/// Converts `CREATE INDEX`. Plain indexes do not affect results and are ignored; unique indexes
/// would, and are rejected.
pub(crate) fn create_index(create: &ast::CreateIndex) -> Result<StatementPlan, SqlError> {
    if create.unique {
        return Err(SqlError::Unsupported("CREATE UNIQUE INDEX (declare UNIQUE)".to_owned()));
    }
    Ok(StatementPlan::NoOp("CREATE INDEX"))
}

fn column_schema(column: &ast::ColumnDef) -> Result<ColumnSchema, SqlError> {
    let mut schema = ColumnSchema {
        name: ident_name(&column.name),
        kind: sql_type(&column.data_type),
        not_null: false,
        default: ColumnDefault::Null,
    };
    if column.data_type.to_string().to_ascii_lowercase().contains("serial") {
        schema.default = ColumnDefault::Sequence;
    }
    for option in &column.options {
        match &option.option {
            ColumnOption::NotNull | ColumnOption::PrimaryKey(_) => schema.not_null = true,
            ColumnOption::Default(expr) => schema.default = column_default(expr, &schema)?,
            ColumnOption::Generated { .. } => schema.default = ColumnDefault::Sequence,
            _ => {}
        }
    }
    Ok(schema)
}

fn column_default(expr: &Expr, schema: &ColumnSchema) -> Result<ColumnDefault, SqlError> {
    match scalar(expr.clone())? {
        RowScalar::Literal(value) => Ok(ColumnDefault::Value(value.coerce(schema.kind)?)),
        RowScalar::Call(ScalarFunction::Now, _) => Ok(ColumnDefault::Now),
        _ => Err(SqlError::Unsupported(format!("DEFAULT {expr}"))),
    }
}

fn add_column_keys(schema: &mut TableSchema, index: usize, column: &ast::ColumnDef) {
    for option in &column.options {
        match &option.option {
            ColumnOption::PrimaryKey(_) => {
                let name = primary_name(schema);
                schema.primary = Some(UniqueKey { name, columns: vec![index] });
            }
            ColumnOption::Unique(_) => {
                let name = unique_name(schema, &[index]);
                schema.uniques.push(UniqueKey { name, columns: vec![index] });
            }
            _ => {}
        }
    }
}

fn add_constraint(schema: &mut TableSchema, constraint: &TableConstraint) -> Result<(), SqlError> {
    match constraint {
        TableConstraint::PrimaryKey(primary) => {
            let columns = key_columns(schema, &primary.columns)?;
            for &column in &columns {
                schema.columns[column].not_null = true;
            }
            let name = primary.name.as_ref().map_or_else(|| primary_name(schema), ident_name);
            schema.primary = Some(UniqueKey { name, columns });
        }
        TableConstraint::Unique(unique) => {
            let columns = key_columns(schema, &unique.columns)?;
            let name =
                unique.name.as_ref().map_or_else(|| unique_name(schema, &columns), ident_name);
            schema.uniques.push(UniqueKey { name, columns });
        }
        _ => {}
    }
    Ok(())
}

fn key_columns(schema: &TableSchema, columns: &[ast::IndexColumn]) -> Result<Vec<usize>, SqlError> {
    columns
        .iter()
        .map(|column| match &column.column.expr {
            Expr::Identifier(ident) => schema.column(&ident_name(ident)),
            other => Err(SqlError::Unsupported(other.to_string())),
        })
        .collect()
}

fn bare_name(schema: &TableSchema) -> &str {
    schema.name.rsplit('.').next().unwrap_or(&schema.name)
}

fn primary_name(schema: &TableSchema) -> Arc<str> {
    format!("{}_pkey", bare_name(schema)).into()
}

fn unique_name(schema: &TableSchema, columns: &[usize]) -> Arc<str> {
    let names: Vec<_> =
        columns.iter().map(|&column| schema.columns[column].name.as_ref()).collect();
    format!("{}_{}_key", bare_name(schema), names.join("_")).into()
}
