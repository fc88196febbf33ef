//! Parsing of SQL text into plans.

use super::error::SqlError;
use super::parse_control::parse_call;
use super::parse_scalar::{
    constant_text, ident_name, integer, name_text, object_name, scalar, table_name,
};
use super::parse_select::{projections, select_plan, target_table};
use super::parse_table::{create_index, create_table};
use super::plan::{ConflictRule, CopyPlan, DeletePlan, InsertPlan, StatementPlan, UpdatePlan};
use super::scalar::RowScalar;
use rudder_core::ControlStatement;
use sqlparser::ast;
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;
use std::sync::Arc;

/// Parses all statements of a text.
pub(crate) fn parse_statements(text: &str) -> Result<Vec<StatementPlan>, SqlError> {
    let statements = Parser::parse_sql(&PostgreSqlDialect {}, text)
        .map_err(|error| SqlError::Syntax(error.to_string()))?;
    statements.into_iter().map(statement_plan).collect()
}

fn statement_plan(statement: ast::Statement) -> Result<StatementPlan, SqlError> {
    use ast::Statement as S;
    match statement {
        S::Query(query) => match parse_call(&query)? {
            Some(plan) => Ok(plan),
            None => select_plan(*query).map(Box::new).map(StatementPlan::Select),
        },
        S::Insert(insert) => insert_plan(insert).map(StatementPlan::Insert),
        S::Update(update) => update_plan(update).map(StatementPlan::Update),
        S::Delete(delete) => delete_plan(delete).map(StatementPlan::Delete),
        S::StartTransaction { modes, .. } => {
            Ok(StatementPlan::Begin { read_only: is_read_only(&modes) })
        }
        S::Commit { .. } => Ok(StatementPlan::Commit),
        S::Rollback { savepoint: None, .. } => Ok(StatementPlan::Rollback),
        S::Rollback { savepoint: Some(name), .. } => {
            Ok(StatementPlan::RollbackTo(ident_name(&name)))
        }
        S::Savepoint { name } => Ok(StatementPlan::Savepoint(ident_name(&name))),
        S::ReleaseSavepoint { name } => Ok(StatementPlan::Release(ident_name(&name))),
        S::Set(set) => set_plan(set),
        S::Reset(reset) => match reset.reset {
            ast::Reset::ConfigurationParameter(name) => {
                Ok(StatementPlan::Set { name: name_text(&name), value: None, local: false })
            }
            _ => Ok(StatementPlan::ResetAll),
        },
        S::Discard { .. } => Ok(StatementPlan::DiscardAll),
        S::Deallocate { name, .. } if name.value.eq_ignore_ascii_case("all") => {
            Ok(StatementPlan::Deallocate(None))
        }
        S::Deallocate { name, .. } => Ok(StatementPlan::Deallocate(Some(ident_name(&name)))),
        S::ShowVariable { variable } => Ok(show_plan(&variable)),
        S::CreateTable(create) => create_table(&create),
        S::CreateIndex(create) => create_index(&create),
        S::CreateSchema { .. } => Ok(StatementPlan::NoOp("CREATE SCHEMA")),
        S::Analyze(_) => Ok(StatementPlan::NoOp("ANALYZE")),
        S::Vacuum(_) => Ok(StatementPlan::NoOp("VACUUM")),
        S::Drop { object_type: ast::ObjectType::Table, if_exists, names, .. } => {
            let names = names.iter().map(table_name).collect();
            Ok(StatementPlan::DropTable { names, if_exists })
        }
        S::Truncate(truncate) => {
            let names = truncate.table_names.iter().map(|target| table_name(&target.name));
            Ok(StatementPlan::Truncate(names.collect()))
        }
        S::Copy { source, to, target, .. } => copy_plan(source, to, &target),
        other => Err(SqlError::Unsupported(other.to_string())),
    }
}

fn is_read_only(modes: &[ast::TransactionMode]) -> bool {
    let read_only = ast::TransactionMode::AccessMode(ast::TransactionAccessMode::ReadOnly);
    modes.contains(&read_only)
}

fn show_plan(variable: &[ast::Ident]) -> StatementPlan {
    let parts: Vec<_> = variable.iter().map(|part| part.value.to_ascii_lowercase()).collect();
    let name = match parts.iter().map(String::as_str).collect::<Vec<_>>().as_slice() {
        ["transaction", "isolation", "level"] => "transaction_isolation".to_owned(),
        ["time", "zone"] => "timezone".to_owned(),
        names => names.join("."),
    };
    if name == "rudder.status" {
        return StatementPlan::Control(ControlStatement::Status);
    }
    StatementPlan::Show(name.into())
}

fn set_plan(set: ast::Set) -> Result<StatementPlan, SqlError> {
    match set {
        ast::Set::SingleAssignment { scope, variable, values, .. } => {
            let local = matches!(scope, Some(ast::ContextModifier::Local));
            let texts: Result<Vec<_>, _> = values.iter().map(constant_text).collect();
            let text = texts?.join(", ");
            let value = if text.eq_ignore_ascii_case("default") { None } else { Some(text.into()) };
            Ok(StatementPlan::Set { name: name_text(&variable), value, local })
        }
        ast::Set::SetTimeZone { local, value } => Ok(StatementPlan::Set {
            name: "timezone".into(),
            value: Some(constant_text(&value)?.into()),
            local,
        }),
        ast::Set::SetNames { charset_name, .. } => Ok(StatementPlan::Set {
            name: "client_encoding".into(),
            value: Some(charset_name.value.into()),
            local: false,
        }),
        ast::Set::SetTransaction { .. }
        | ast::Set::SetRole { .. }
        | ast::Set::SetSessionAuthorization(_) => Ok(StatementPlan::NoOp("SET")),
        other => Err(SqlError::Unsupported(other.to_string())),
    }
}

fn insert_plan(insert: ast::Insert) -> Result<InsertPlan, SqlError> {
    let ast::TableObject::TableName(name) = &insert.table else {
        return Err(SqlError::Unsupported("INSERT into a function".to_owned()));
    };
    let columns = insert.columns.iter().map(name_text).collect();
    let rows = match insert.source {
        Some(source) => insert_rows(*source)?,
        None => vec![Vec::new()],
    };
    Ok(InsertPlan {
        table: table_name(name),
        columns,
        rows,
        on_conflict: conflict_rule(insert.on)?,
        returning: projections(insert.returning.unwrap_or_default())?,
    })
}

fn insert_rows(source: ast::Query) -> Result<Vec<Vec<Option<RowScalar>>>, SqlError> {
    let ast::SetExpr::Values(values) = *source.body else {
        return Err(SqlError::Unsupported("INSERT without VALUES".to_owned()));
    };
    let row = |exprs: Vec<ast::Expr>| exprs.into_iter().map(insert_value).collect();
    values.rows.into_iter().map(|parens| row(parens.content)).collect()
}

fn insert_value(expr: ast::Expr) -> Result<Option<RowScalar>, SqlError> {
    match &expr {
        ast::Expr::Identifier(ident) if ident.value.eq_ignore_ascii_case("default") => Ok(None),
        _ => scalar(expr).map(Some),
    }
}

fn conflict_rule(on: Option<ast::OnInsert>) -> Result<ConflictRule, SqlError> {
    match on {
        None => Ok(ConflictRule::Fail),
        Some(ast::OnInsert::OnConflict(conflict)) => match conflict.action {
            ast::OnConflictAction::DoNothing => Ok(ConflictRule::Skip),
            ast::OnConflictAction::DoUpdate(update) => {
                assignments(update.assignments).map(ConflictRule::Update)
            }
        },
        Some(other) => Err(SqlError::Unsupported(other.to_string())),
    }
}

fn assignments(list: Vec<ast::Assignment>) -> Result<Vec<(Arc<str>, RowScalar)>, SqlError> {
    list.into_iter()
        .map(|assignment| match &assignment.target {
            ast::AssignmentTarget::ColumnName(name) => {
                Ok((name_text(name), scalar(assignment.value)?))
            }
            ast::AssignmentTarget::Tuple(_) => {
                Err(SqlError::Unsupported(assignment.target.to_string()))
            }
        })
        .collect()
}

fn update_plan(update: ast::Update) -> Result<UpdatePlan, SqlError> {
    Ok(UpdatePlan {
        table: target_table(&update.table)?,
        assignments: assignments(update.assignments)?,
        filter: update.selection.map(scalar).transpose()?,
        returning: projections(update.returning.unwrap_or_default())?,
    })
}

fn delete_plan(delete: ast::Delete) -> Result<DeletePlan, SqlError> {
    let (ast::FromTable::WithFromKeyword(from) | ast::FromTable::WithoutKeyword(from)) =
        delete.from;
    let [table] = from.as_slice() else {
        return Err(SqlError::Unsupported("DELETE from several tables".to_owned()));
    };
    Ok(DeletePlan {
        table: target_table(table)?,
        filter: delete.selection.map(scalar).transpose()?,
        returning: projections(delete.returning.unwrap_or_default())?,
    })
}

fn copy_plan(
    source: ast::CopySource,
    to: bool,
    target: &ast::CopyTarget,
) -> Result<StatementPlan, SqlError> {
    let ast::CopySource::Table { table_name: name, columns } = source else {
        return Err(SqlError::Unsupported("COPY of a query".to_owned()));
    };
    let columns = columns.iter().map(ident_name).collect();
    let plan = CopyPlan { table: object_name(&name), columns };
    match (to, target) {
        (true, ast::CopyTarget::Stdout) => Ok(StatementPlan::CopyOut(plan)),
        (false, ast::CopyTarget::Stdin) => Ok(StatementPlan::CopyIn(plan)),
        _ => Err(SqlError::Unsupported("COPY with a file".to_owned())),
    }
}

/// Converts the expression of a `LIMIT` or `OFFSET`.
pub(crate) fn limit_scalar(expr: ast::Expr) -> Result<Option<RowScalar>, SqlError> {
    match integer(&expr) {
        Some(number) => Ok(Some(RowScalar::Literal(super::value::SqlValue::Int(number)))),
        None => scalar(expr).map(Some),
    }
}
