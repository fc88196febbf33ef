//! Conversion of parsed names, types and expressions.

use super::error::SqlError;
use super::scalar::{ArithmeticOperator, ComparisonOperator, RowScalar, ScalarFunction};
use super::value::{SqlType, SqlValue};
use sqlparser::ast::{self, BinaryOperator, Expr};
use std::sync::Arc;

/// Returns the name of an identifier, in lower case unless it was quoted.
pub(crate) fn ident_name(ident: &ast::Ident) -> Arc<str> {
    if ident.quote_style.is_some() {
        return ident.value.as_str().into();
    }
    ident.value.to_ascii_lowercase().into()
}

/// Returns the name of an object without the default schema.
pub(crate) fn object_name(name: &ast::ObjectName) -> Arc<str> {
    table_name(name)
}

/// Returns the dotted name as written; unquoted parts are in lower case.
pub(crate) fn name_text(name: &ast::ObjectName) -> Arc<str> {
    let parts: Vec<_> = name.0.iter().map(part_text).collect();
    parts.join(".").into()
}

/// Returns the name of a table without the default schema `public`.
pub(crate) fn table_name(name: &ast::ObjectName) -> Arc<str> {
    let text = name_text(name);
    match text.strip_prefix("public.") {
        Some(rest) => rest.into(),
        None => text,
    }
}

fn part_text(part: &ast::ObjectNamePart) -> String {
    match part {
        ast::ObjectNamePart::Identifier(ident) => ident_name(ident).as_ref().to_owned(),
        ast::ObjectNamePart::Function(function) => function.to_string().to_ascii_lowercase(),
    }
}

/// Returns the type of a column or cast.
pub(crate) fn sql_type(data_type: &ast::DataType) -> SqlType {
    use ast::DataType as D;
    match data_type {
        D::Bool | D::Boolean => SqlType::Bool,
        D::Int(_) | D::Integer(_) | D::Int4(_) | D::SmallInt(_) | D::Int2(_) => SqlType::Int4,
        D::BigInt(_) | D::Int8(_) => SqlType::Int8,
        D::Float8 | D::DoublePrecision | D::Double(_) => SqlType::Float8,
        D::Custom(name, _) => match name_text(name).as_ref() {
            "serial" | "serial4" => SqlType::Int4,
            "bigserial" | "serial8" => SqlType::Int8,
            _ => SqlType::Text,
        },
        _ => SqlType::Text,
    }
}

/// Returns the value of an integer literal.
pub(crate) fn integer(expr: &Expr) -> Option<i64> {
    match expr {
        Expr::Value(value) => match &value.value {
            ast::Value::Number(text, _) => text.parse().ok(),
            _ => None,
        },
        _ => None,
    }
}

/// Returns the text of a constant in `SET` and similar statements, where an identifier stands for
/// its own text.
pub(crate) fn constant_text(expr: &Expr) -> Result<String, SqlError> {
    match expr {
        Expr::Identifier(ident) => Ok(ident.value.clone()),
        Expr::Value(value) => match literal(&value.value)? {
            RowScalar::Literal(value) => Ok(value.to_text()),
            _ => Err(SqlError::Unsupported(expr.to_string())),
        },
        Expr::UnaryOp { .. } => Ok(expr.to_string()),
        _ => Err(SqlError::Unsupported(expr.to_string())),
    }
}

/// Converts an expression.
pub(crate) fn scalar(expr: Expr) -> Result<RowScalar, SqlError> {
    match expr {
        Expr::Identifier(ident) => Ok(bare_identifier(&ident)),
        Expr::CompoundIdentifier(parts) => compound(&parts),
        Expr::Value(value) => literal(&value.value),
        Expr::Nested(inner) => scalar(*inner),
        Expr::BinaryOp { left, op, right } => binary(*left, &op, *right),
        Expr::UnaryOp { op: ast::UnaryOperator::Not, expr } => {
            Ok(RowScalar::Not(Box::new(scalar(*expr)?)))
        }
        Expr::UnaryOp { op: ast::UnaryOperator::Minus, expr } => negate(scalar(*expr)?),
        Expr::UnaryOp { op: ast::UnaryOperator::Plus, expr } => scalar(*expr),
        Expr::IsNull(inner) => Ok(RowScalar::IsNull(Box::new(scalar(*inner)?))),
        Expr::IsNotNull(inner) => {
            Ok(RowScalar::Not(Box::new(RowScalar::IsNull(Box::new(scalar(*inner)?)))))
        }
        Expr::IsTrue(inner) => scalar(*inner),
        Expr::Cast { expr, data_type, .. } => {
            Ok(RowScalar::Cast(Box::new(scalar(*expr)?), sql_type(&data_type)))
        }
        Expr::In { expr, target: ast::InTarget::List(list), negated, .. } => {
            let items: Result<Vec<_>, _> = list.into_iter().map(scalar).collect();
            let result = RowScalar::InList(Box::new(scalar(*expr)?), items?);
            Ok(if negated { RowScalar::Not(Box::new(result)) } else { result })
        }
        Expr::Between { expr, negated, low, high } => between(*expr, negated, *low, *high),
        Expr::Function(function) => call(function),
        other => Err(SqlError::Unsupported(other.to_string())),
    }
}

fn bare_identifier(ident: &ast::Ident) -> RowScalar {
    match ident_name(ident).as_ref() {
        "current_user" | "session_user" | "user" => {
            RowScalar::Call(ScalarFunction::CurrentUser, Vec::new())
        }
        "current_timestamp" => RowScalar::Call(ScalarFunction::Now, Vec::new()),
        "true" => RowScalar::Literal(SqlValue::Bool(true)),
        "false" => RowScalar::Literal(SqlValue::Bool(false)),
        name => RowScalar::Column(name.into()),
    }
}

fn compound(parts: &[ast::Ident]) -> Result<RowScalar, SqlError> {
    let Some((last, qualifiers)) = parts.split_last() else {
        return Err(SqlError::Syntax("an empty name".to_owned()));
    };
    let is_excluded = qualifiers.iter().any(|part| part.value.eq_ignore_ascii_case("excluded"));
    let name = ident_name(last);
    Ok(if is_excluded { RowScalar::Excluded(name) } else { RowScalar::Column(name) })
}

fn literal(value: &ast::Value) -> Result<RowScalar, SqlError> {
    use ast::Value as V;
    let value = match value {
        V::Number(text, _) => match text.parse() {
            Ok(number) => SqlValue::Int(number),
            Err(_) => SqlValue::text(text),
        },
        V::SingleQuotedString(text)
        | V::EscapedStringLiteral(text)
        | V::UnicodeStringLiteral(text)
        | V::NationalStringLiteral(text)
        | V::DoubleQuotedString(text) => SqlValue::text(text),
        V::DollarQuotedString(text) => SqlValue::text(&text.value),
        V::Boolean(flag) => SqlValue::Bool(*flag),
        V::Null => SqlValue::Null,
        V::Placeholder(text) => return parameter(text),
        other => return Err(SqlError::Unsupported(other.to_string())),
    };
    Ok(RowScalar::Literal(value))
}

/// Maximum number of parameters, which the protocol counts in 16 bits.
const PARAMETERS_MAX: usize = 65_535;

fn parameter(text: &str) -> Result<RowScalar, SqlError> {
    let number: Option<usize> = text.strip_prefix('$').and_then(|digits| digits.parse().ok());
    match number {
        Some(number) if (1..=PARAMETERS_MAX).contains(&number) => {
            Ok(RowScalar::Parameter(number - 1))
        }
        _ => Err(SqlError::Syntax(format!("parameter {text}"))),
    }
}

fn negate(inner: RowScalar) -> Result<RowScalar, SqlError> {
    match inner {
        RowScalar::Literal(SqlValue::Int(number)) => {
            let negative = number.checked_neg().ok_or(SqlError::OutOfRange)?;
            Ok(RowScalar::Literal(SqlValue::Int(negative)))
        }
        inner => {
            let zero = Box::new(RowScalar::Literal(SqlValue::Int(0)));
            Ok(RowScalar::Arithmetic(ArithmeticOperator::Subtract, zero, Box::new(inner)))
        }
    }
}

fn binary(left: Expr, operator: &BinaryOperator, right: Expr) -> Result<RowScalar, SqlError> {
    use ArithmeticOperator as A;
    use ComparisonOperator as C;
    let (left, right) = (Box::new(scalar(left)?), Box::new(scalar(right)?));
    Ok(match operator {
        BinaryOperator::And => RowScalar::And(left, right),
        BinaryOperator::Or => RowScalar::Or(left, right),
        BinaryOperator::Eq => RowScalar::Compare(C::Equal, left, right),
        BinaryOperator::NotEq => RowScalar::Compare(C::NotEqual, left, right),
        BinaryOperator::Lt => RowScalar::Compare(C::Less, left, right),
        BinaryOperator::LtEq => RowScalar::Compare(C::LessOrEqual, left, right),
        BinaryOperator::Gt => RowScalar::Compare(C::Greater, left, right),
        BinaryOperator::GtEq => RowScalar::Compare(C::GreaterOrEqual, left, right),
        BinaryOperator::Plus => RowScalar::Arithmetic(A::Add, left, right),
        BinaryOperator::Minus => RowScalar::Arithmetic(A::Subtract, left, right),
        BinaryOperator::Multiply => RowScalar::Arithmetic(A::Multiply, left, right),
        BinaryOperator::Divide => RowScalar::Arithmetic(A::Divide, left, right),
        BinaryOperator::Modulo => RowScalar::Arithmetic(A::Modulo, left, right),
        BinaryOperator::StringConcat => RowScalar::Arithmetic(A::Concat, left, right),
        other => return Err(SqlError::Unsupported(other.to_string())),
    })
}

fn between(expr: Expr, negated: bool, low: Expr, high: Expr) -> Result<RowScalar, SqlError> {
    use ComparisonOperator as C;
    let (value, low, high) = (scalar(expr)?, scalar(low)?, scalar(high)?);
    let above = RowScalar::Compare(C::GreaterOrEqual, Box::new(value.clone()), Box::new(low));
    let below = RowScalar::Compare(C::LessOrEqual, Box::new(value), Box::new(high));
    let result = RowScalar::And(Box::new(above), Box::new(below));
    Ok(if negated { RowScalar::Not(Box::new(result)) } else { result })
}

/// Returns the positional arguments of a function call; `*` yields no argument.
pub(crate) fn call_arguments(arguments: ast::FunctionArguments) -> Result<Vec<Expr>, SqlError> {
    let ast::FunctionArguments::List(list) = arguments else { return Ok(Vec::new()) };
    list.args
        .into_iter()
        .filter_map(|argument| match argument {
            ast::FunctionArg::Unnamed(ast::FunctionArgExpr::Expr(expr)) => Some(Ok(expr)),
            ast::FunctionArg::Unnamed(ast::FunctionArgExpr::Wildcard) => None,
            other => Some(Err(SqlError::Unsupported(other.to_string()))),
        })
        .collect()
}

fn call(function: ast::Function) -> Result<RowScalar, SqlError> {
    use ScalarFunction as F;
    let name = name_text(&function.name);
    let function_kind = match name.strip_prefix("pg_catalog.").unwrap_or(&name) {
        "version" => F::Version,
        "current_database" | "current_catalog" => F::CurrentDatabase,
        "current_user" | "session_user" | "user" => F::CurrentUser,
        "pg_backend_pid" => F::BackendPid,
        "pg_is_in_recovery" => F::InRecovery,
        "now" | "current_timestamp" | "clock_timestamp" => F::Now,
        "txid_current" => F::TransactionId,
        "coalesce" => F::Coalesce,
        "length" => F::Length,
        "lower" => F::Lower,
        "upper" => F::Upper,
        "repeat" => F::Repeat,
        "pg_sleep" => F::Sleep,
        "nextval" => F::NextValue,
        _ => return Err(SqlError::UnknownFunction(name.as_ref().to_owned())),
    };
    let arguments: Result<Vec<_>, _> =
        call_arguments(function.args)?.into_iter().map(scalar).collect();
    Ok(RowScalar::Call(function_kind, arguments?))
}
