//! Conversion of parsed queries into select plans.

use super::error::SqlError;
use super::parse::limit_scalar;
use super::parse_scalar::{call_arguments, ident_name, name_text, scalar, table_name};
use super::plan::{AggregateFunction, ColumnProjection, SelectPlan, SelectSource};
use super::scalar::{RowScalar, ScalarFunction};
use sqlparser::ast::{self, Expr, SelectItem, TableFactor};
use std::sync::Arc;

/// Heading of a column without a name.
const UNNAMED_COLUMN: &str = "?column?";

/// Converts a query.
pub(crate) fn select_plan(query: ast::Query) -> Result<SelectPlan, SqlError> {
    let text = query.to_string();
    if query.with.is_some() {
        return Err(SqlError::Unsupported(text));
    }
    let ast::SetExpr::Select(select) = *query.body else {
        return Err(SqlError::Unsupported(text));
    };
    if select.having.is_some() || select.distinct.is_some() {
        return Err(SqlError::Unsupported(text));
    }
    let source = select_source(&select.from)?;
    let mut plan = SelectPlan {
        source,
        columns: Vec::new(),
        aggregates: Vec::new(),
        filter: select.selection.map(scalar).transpose()?,
        order: order_scalars(query.order_by)?,
        limit: None,
        offset: None,
        write_name: if query.locks.is_empty() { None } else { Some("SELECT FOR UPDATE") },
        sleep: None,
    };
    (plan.limit, plan.offset) = limits(query.limit_clause)?;
    add_columns(&mut plan, select.projection)?;
    Ok(plan)
}

fn limits(
    clause: Option<ast::LimitClause>,
) -> Result<(Option<RowScalar>, Option<RowScalar>), SqlError> {
    match clause {
        None => Ok((None, None)),
        Some(ast::LimitClause::LimitOffset { limit, offset, .. }) => {
            let limit = limit.map_or(Ok(None), limit_scalar)?;
            let offset = offset.map_or(Ok(None), |offset| limit_scalar(offset.value))?;
            Ok((limit, offset))
        }
        Some(other) => Err(SqlError::Unsupported(other.to_string())),
    }
}

fn order_scalars(order: Option<ast::OrderBy>) -> Result<Vec<(RowScalar, bool)>, SqlError> {
    let Some(order) = order else { return Ok(Vec::new()) };
    let ast::OrderByKind::Expressions(exprs) = order.kind else {
        return Err(SqlError::Unsupported("ORDER BY ALL".to_owned()));
    };
    exprs
        .into_iter()
        .map(|order| {
            let descending = matches!(order.options.sort, Some(ast::OrderBySort::Desc));
            Ok((scalar(order.expr)?, descending))
        })
        .collect()
}

fn select_source(from: &[ast::TableWithJoins]) -> Result<SelectSource, SqlError> {
    match from {
        [] => Ok(SelectSource::NoTable),
        [table] => match (&table.relation, table.joins.is_empty()) {
            (TableFactor::Table { name, args: Some(args), .. }, true) => {
                let exprs =
                    call_arguments(ast::FunctionArguments::List(ast::FunctionArgumentList {
                        duplicate_treatment: None,
                        args: args.args.clone(),
                        clauses: Vec::new(),
                    }))?;
                series(&name_text(name), exprs)
            }
            _ => target_table(table).map(SelectSource::Table),
        },
        _ => Err(SqlError::Unsupported("a join".to_owned())),
    }
}

/// Returns the only table of a `FROM`, `UPDATE` or `DELETE`; joins and functions are unsupported.
pub(crate) fn target_table(table: &ast::TableWithJoins) -> Result<Arc<str>, SqlError> {
    match &table.relation {
        TableFactor::Table { name, args: None, .. } if table.joins.is_empty() => {
            Ok(table_name(name))
        }
        _ => Err(SqlError::Unsupported(table.to_string())),
    }
}

fn series(name: &str, exprs: Vec<Expr>) -> Result<SelectSource, SqlError> {
    let mut scalars = exprs.into_iter().map(scalar);
    match (name, scalars.next(), scalars.next(), scalars.next()) {
        ("generate_series", Some(first), Some(last), None) => {
            Ok(SelectSource::Series(first?, last?))
        }
        _ => Err(SqlError::UnknownFunction(name.to_owned())),
    }
}

/// Converts the items of a `RETURNING` clause.
pub(crate) fn projections(items: Vec<SelectItem>) -> Result<Vec<ColumnProjection>, SqlError> {
    items.into_iter().map(projection).collect()
}

fn projection(item: SelectItem) -> Result<ColumnProjection, SqlError> {
    match item {
        SelectItem::Wildcard(_) | SelectItem::QualifiedWildcard(..) => Ok(ColumnProjection::All),
        SelectItem::UnnamedExpr(expr) => {
            let heading = heading(&expr);
            Ok(ColumnProjection::Scalar(scalar(expr)?, heading))
        }
        SelectItem::ExprWithAlias { expr, alias } => {
            Ok(ColumnProjection::Scalar(scalar(expr)?, ident_name(&alias)))
        }
        other @ SelectItem::ExprWithAliases { .. } => Err(SqlError::Unsupported(other.to_string())),
    }
}

fn heading(expr: &Expr) -> Arc<str> {
    match expr {
        Expr::Identifier(ident) => ident_name(ident),
        Expr::CompoundIdentifier(parts) => {
            parts.last().map_or_else(|| UNNAMED_COLUMN.into(), ident_name)
        }
        Expr::Function(function) => {
            let name = name_text(&function.name);
            name.rsplit('.').next().unwrap_or(UNNAMED_COLUMN).into()
        }
        Expr::Cast { expr, data_type, .. } => match expr.as_ref() {
            Expr::Value(_) => cast_heading(data_type).into(),
            inner => heading(inner),
        },
        _ => UNNAMED_COLUMN.into(),
    }
}

fn cast_heading(data_type: &ast::DataType) -> &'static str {
    use super::value::SqlType;
    match super::parse_scalar::sql_type(data_type) {
        SqlType::Bool => "bool",
        SqlType::Int4 => "int4",
        SqlType::Int8 => "int8",
        SqlType::Float8 => "float8",
        SqlType::Text | SqlType::Void => "text",
    }
}

fn add_columns(plan: &mut SelectPlan, items: Vec<SelectItem>) -> Result<(), SqlError> {
    for item in items {
        if let Some((function, heading)) = function_item(&item) {
            let name = name_text(&function.name);
            if let Some(aggregate) = aggregate_function(&name) {
                let argument = call_arguments(function.args)?.into_iter().next();
                plan.aggregates.push((aggregate, argument.map(scalar).transpose()?, heading));
                continue;
            }
            if name.as_ref() == "generate_series" {
                plan.source = series(&name, call_arguments(function.args)?)?;
                plan.columns.push(ColumnProjection::Scalar(RowScalar::Column(name), heading));
                continue;
            }
        }
        let column = projection(item)?;
        if let ColumnProjection::Scalar(RowScalar::Call(function, arguments), _) = &column {
            match function {
                ScalarFunction::Sleep => plan.sleep = arguments.first().cloned(),
                ScalarFunction::NextValue => plan.write_name = Some("nextval()"),
                _ => {}
            }
        }
        plan.columns.push(column);
    }
    if !plan.aggregates.is_empty() && !plan.columns.is_empty() {
        return Err(SqlError::Unsupported("aggregates beside plain columns".to_owned()));
    }
    Ok(())
}

fn function_item(item: &SelectItem) -> Option<(ast::Function, Arc<str>)> {
    match item {
        SelectItem::UnnamedExpr(expr @ Expr::Function(function)) => {
            Some((function.clone(), heading(expr)))
        }
        SelectItem::ExprWithAlias { expr: Expr::Function(function), alias } => {
            Some((function.clone(), ident_name(alias)))
        }
        _ => None,
    }
}

fn aggregate_function(name: &str) -> Option<AggregateFunction> {
    match name {
        "count" => Some(AggregateFunction::Count),
        "sum" => Some(AggregateFunction::Sum),
        "min" => Some(AggregateFunction::Min),
        "max" => Some(AggregateFunction::Max),
        _ => None,
    }
}
