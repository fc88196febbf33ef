//! Scalar expressions over one row and a statement's parameters.

use super::error::SqlError;
use super::value::{SqlType, SqlValue};
use crate::group::tables::database::TableSchema;
use std::cmp::Ordering as ValueOrdering;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};

/// Operators on numbers, or on texts in the case of `Concat`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ArithmeticOperator {
    Add,
    Subtract,
    Multiply,
    Divide,
    Modulo,
    Concat,
}

/// Comparison operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ComparisonOperator {
    Equal,
    NotEqual,
    Less,
    LessOrEqual,
    Greater,
    GreaterOrEqual,
}

impl ComparisonOperator {
    fn holds(self, ordering: ValueOrdering) -> bool {
        match self {
            Self::Equal => ordering.is_eq(),
            Self::NotEqual => ordering.is_ne(),
            Self::Less => ordering.is_lt(),
            Self::LessOrEqual => ordering.is_le(),
            Self::Greater => ordering.is_gt(),
            Self::GreaterOrEqual => ordering.is_ge(),
        }
    }
}

/// Scalar functions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ScalarFunction {
    Version,
    CurrentDatabase,
    CurrentUser,
    BackendPid,
    InRecovery,
    Now,
    /// Transaction number, always 0 here.
    TransactionId,
    Coalesce,
    Length,
    Lower,
    Upper,
    Repeat,
    /// Next number of the group's only sequence; the given name is ignored.
    NextValue,
    /// `pg_sleep`; the session waits before the statement runs.
    Sleep,
}

/// Scalar expression.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum RowScalar {
    Literal(SqlValue),
    /// Parameter by its index, starting at 0.
    Parameter(usize),
    Column(Arc<str>),
    /// Column of the row that was to be inserted, in `ON CONFLICT DO UPDATE`.
    Excluded(Arc<str>),
    Arithmetic(ArithmeticOperator, Box<RowScalar>, Box<RowScalar>),
    Compare(ComparisonOperator, Box<RowScalar>, Box<RowScalar>),
    And(Box<RowScalar>, Box<RowScalar>),
    Or(Box<RowScalar>, Box<RowScalar>),
    Not(Box<RowScalar>),
    IsNull(Box<RowScalar>),
    InList(Box<RowScalar>, Vec<RowScalar>),
    Cast(Box<RowScalar>, SqlType),
    Call(ScalarFunction, Vec<RowScalar>),
}

/// Row, parameters and session data for the evaluation of an expression.
#[derive(Clone, Copy)]
pub(crate) struct ScalarScope<'a> {
    pub(crate) schema: Option<&'a TableSchema>,
    pub(crate) row: &'a [SqlValue],
    /// Row that was to be inserted, in `ON CONFLICT DO UPDATE`; otherwise empty.
    pub(crate) excluded: &'a [SqlValue],
    pub(crate) parameters: &'a [SqlValue],
    pub(crate) session: &'a SessionInfo,
}

/// Session and member data that SQL functions return.
#[derive(Clone, Debug, Default)]
pub(crate) struct SessionInfo {
    pub(crate) user: String,
    pub(crate) database: String,
    pub(crate) pid: i32,
    pub(crate) replica: bool,
    /// Sequence for serial columns and for the keys of rows without a primary key.
    pub(crate) sequence: Arc<AtomicI64>,
}

impl SessionInfo {
    /// Returns the next number of the group's sequence.
    pub(crate) fn next_number(&self) -> i64 {
        self.sequence.fetch_add(1, Ordering::Relaxed) + 1
    }
}

/// Server version that members report.
pub(crate) const SERVER_VERSION: &str = "17.0 (rudder stand-in)";

/// Maximum length of the result of `repeat`, in bytes.
const REPEAT_BYTES_MAX: usize = 64 << 20;

impl RowScalar {
    /// Returns the value of the expression in `scope`.
    pub(crate) fn evaluate(&self, scope: ScalarScope<'_>) -> Result<SqlValue, SqlError> {
        match self {
            Self::Literal(value) => Ok(value.clone()),
            Self::Parameter(index) => {
                scope.parameters.get(*index).cloned().ok_or(SqlError::MissingParameter(index + 1))
            }
            Self::Column(name) => column_value(name, scope.row, scope),
            Self::Excluded(name) => column_value(name, scope.excluded, scope),
            Self::Arithmetic(operator, left, right) => {
                calculate(*operator, left.evaluate(scope)?, right.evaluate(scope)?)
            }
            Self::Compare(operator, left, right) => {
                compare(*operator, left.evaluate(scope)?, right.evaluate(scope)?)
            }
            Self::And(left, right) => {
                evaluate_logical(left.evaluate(scope)?, || right.evaluate(scope), false)
            }
            Self::Or(left, right) => {
                evaluate_logical(left.evaluate(scope)?, || right.evaluate(scope), true)
            }
            Self::Not(inner) => Ok(match inner.evaluate(scope)? {
                SqlValue::Null => SqlValue::Null,
                value => SqlValue::Bool(!is_true(&value)),
            }),
            Self::IsNull(inner) => Ok(SqlValue::Bool(inner.evaluate(scope)? == SqlValue::Null)),
            Self::InList(needle, items) => in_list(needle, items, scope),
            Self::Cast(inner, kind) => inner.evaluate(scope)?.coerce(*kind),
            Self::Call(function, arguments) => call(*function, arguments, scope),
        }
    }

    /// Returns whether the expression is true in `scope`; null counts as false.
    pub(crate) fn holds(&self, scope: ScalarScope<'_>) -> Result<bool, SqlError> {
        self.evaluate(scope).map(|value| is_true(&value))
    }

    /// Returns the type of the expression; `parameters` holds the parameters' types.
    pub(crate) fn kind(&self, schema: Option<&TableSchema>, parameters: &[SqlType]) -> SqlType {
        match self {
            Self::Literal(value) => value.literal_type(),
            Self::Parameter(index) => parameters.get(*index).copied().unwrap_or(SqlType::Text),
            Self::Column(name) | Self::Excluded(name) => column_kind(name, schema),
            Self::Arithmetic(ArithmeticOperator::Concat, ..) => SqlType::Text,
            Self::Arithmetic(_, left, right) => {
                let wide = SqlType::Int8;
                let kinds = [left.kind(schema, parameters), right.kind(schema, parameters)];
                if kinds.contains(&wide) { wide } else { SqlType::Int4 }
            }
            Self::Compare(..)
            | Self::And(..)
            | Self::Or(..)
            | Self::Not(_)
            | Self::IsNull(_)
            | Self::InList(..) => SqlType::Bool,
            Self::Cast(_, kind) => *kind,
            Self::Call(function, arguments) => match function {
                ScalarFunction::BackendPid | ScalarFunction::Length => SqlType::Int4,
                ScalarFunction::InRecovery => SqlType::Bool,
                ScalarFunction::TransactionId | ScalarFunction::NextValue => SqlType::Int8,
                ScalarFunction::Sleep => SqlType::Void,
                ScalarFunction::Coalesce => arguments
                    .first()
                    .map_or(SqlType::Text, |argument| argument.kind(schema, parameters)),
                _ => SqlType::Text,
            },
        }
    }

    /// Calls `visit` for this expression and each subexpression.
    pub(crate) fn walk(&self, visit: &mut dyn FnMut(&RowScalar)) {
        visit(self);
        match self {
            Self::Literal(_) | Self::Parameter(_) | Self::Column(_) | Self::Excluded(_) => {}
            Self::Arithmetic(_, left, right)
            | Self::Compare(_, left, right)
            | Self::And(left, right)
            | Self::Or(left, right) => {
                left.walk(visit);
                right.walk(visit);
            }
            Self::Not(inner) | Self::IsNull(inner) | Self::Cast(inner, _) => inner.walk(visit),
            Self::InList(needle, items) => {
                needle.walk(visit);
                for item in items {
                    item.walk(visit);
                }
            }
            Self::Call(_, arguments) => {
                for argument in arguments {
                    argument.walk(visit);
                }
            }
        }
    }
}

fn is_true(value: &SqlValue) -> bool {
    *value == SqlValue::Bool(true)
}

fn column_value(
    name: &str,
    row: &[SqlValue],
    scope: ScalarScope<'_>,
) -> Result<SqlValue, SqlError> {
    let Some(schema) = scope.schema else {
        return Err(SqlError::UnknownColumn(name.to_owned()));
    };
    let index = schema.column(name)?;
    Ok(row.get(index).cloned().unwrap_or(SqlValue::Null))
}

fn column_kind(name: &str, schema: Option<&TableSchema>) -> SqlType {
    let Some(schema) = schema else { return SqlType::Text };
    schema.column(name).map_or(SqlType::Text, |index| schema.columns[index].kind)
}

/// Evaluates `AND` and `OR` in SQL's three-valued logic. `dominant` is the value that determines
/// the result regardless of the other operand: false for `AND`, true for `OR`.
fn evaluate_logical(
    left: SqlValue,
    right: impl FnOnce() -> Result<SqlValue, SqlError>,
    dominant: bool,
) -> Result<SqlValue, SqlError> {
    if left == SqlValue::Bool(dominant) {
        return Ok(left);
    }
    let right = right()?;
    if right == SqlValue::Bool(dominant) {
        return Ok(right);
    }
    if left == SqlValue::Null { Ok(left) } else { Ok(right) }
}

fn calculate(
    operator: ArithmeticOperator,
    left: SqlValue,
    right: SqlValue,
) -> Result<SqlValue, SqlError> {
    if left == SqlValue::Null || right == SqlValue::Null {
        return Ok(SqlValue::Null);
    }
    if operator == ArithmeticOperator::Concat {
        return Ok(SqlValue::text(&(left.to_text() + &right.to_text())));
    }
    let (SqlValue::Int(left), SqlValue::Int(right)) =
        (left.coerce(SqlType::Int8)?, right.coerce(SqlType::Int8)?)
    else {
        return Err(SqlError::OutOfRange);
    };
    let result = match operator {
        ArithmeticOperator::Add => left.checked_add(right),
        ArithmeticOperator::Subtract => left.checked_sub(right),
        ArithmeticOperator::Multiply => left.checked_mul(right),
        _ if right == 0 => return Err(SqlError::DivisionByZero),
        ArithmeticOperator::Divide => left.checked_div(right),
        _ => left.checked_rem(right),
    };
    result.map(SqlValue::Int).ok_or(SqlError::OutOfRange)
}

fn compare(
    operator: ComparisonOperator,
    left: SqlValue,
    right: SqlValue,
) -> Result<SqlValue, SqlError> {
    let (left, right) = match (left, right) {
        (SqlValue::Null, _) | (_, SqlValue::Null) => return Ok(SqlValue::Null),
        // A text compared with another type is an untyped literal and takes that type.
        (left @ SqlValue::Text(_), right @ SqlValue::Text(_)) => (left, right),
        (left @ SqlValue::Text(_), right) => (left.coerce(comparison_type(&right))?, right),
        (left, right @ SqlValue::Text(_)) => {
            let kind = comparison_type(&left);
            (left, right.coerce(kind)?)
        }
        (left, right) => (left, right),
    };
    if std::mem::discriminant(&left) != std::mem::discriminant(&right) {
        return Err(SqlError::TypeMismatch(
            left.literal_type().name(),
            right.literal_type().name(),
        ));
    }
    Ok(SqlValue::Bool(operator.holds(left.cmp(&right))))
}

fn comparison_type(value: &SqlValue) -> SqlType {
    match value {
        SqlValue::Bool(_) => SqlType::Bool,
        SqlValue::Int(_) => SqlType::Int8,
        SqlValue::Null | SqlValue::Text(_) => SqlType::Text,
    }
}

fn in_list(
    needle: &RowScalar,
    items: &[RowScalar],
    scope: ScalarScope<'_>,
) -> Result<SqlValue, SqlError> {
    let needle = needle.evaluate(scope)?;
    let mut result = SqlValue::Bool(false);
    for item in items {
        match compare(ComparisonOperator::Equal, needle.clone(), item.evaluate(scope)?)? {
            SqlValue::Bool(true) => return Ok(SqlValue::Bool(true)),
            SqlValue::Null => result = SqlValue::Null,
            _ => {}
        }
    }
    Ok(result)
}

fn call(
    function: ScalarFunction,
    arguments: &[RowScalar],
    scope: ScalarScope<'_>,
) -> Result<SqlValue, SqlError> {
    let argument = |index: usize| match arguments.get(index) {
        Some(argument) => argument.evaluate(scope),
        None => Ok(SqlValue::Null),
    };
    match function {
        ScalarFunction::Version => {
            Ok(SqlValue::text(&format!("PostgreSQL {SERVER_VERSION} on loopback")))
        }
        ScalarFunction::CurrentDatabase => Ok(SqlValue::text(&scope.session.database)),
        ScalarFunction::CurrentUser => Ok(SqlValue::text(&scope.session.user)),
        ScalarFunction::BackendPid => Ok(SqlValue::Int(scope.session.pid.into())),
        ScalarFunction::InRecovery => Ok(SqlValue::Bool(scope.session.replica)),
        ScalarFunction::Now => Ok(now_text()),
        ScalarFunction::TransactionId => Ok(SqlValue::Int(0)),
        ScalarFunction::NextValue => Ok(SqlValue::Int(scope.session.next_number())),
        ScalarFunction::Sleep => Ok(SqlValue::text("")),
        ScalarFunction::Coalesce => {
            for argument in arguments {
                let value = argument.evaluate(scope)?;
                if value != SqlValue::Null {
                    return Ok(value);
                }
            }
            Ok(SqlValue::Null)
        }
        ScalarFunction::Length => {
            let length = argument(0)?.to_text().chars().count();
            Ok(SqlValue::Int(i64::try_from(length).unwrap_or(i64::MAX)))
        }
        ScalarFunction::Lower => Ok(SqlValue::text(&argument(0)?.to_text().to_lowercase())),
        ScalarFunction::Upper => Ok(SqlValue::text(&argument(0)?.to_text().to_uppercase())),
        ScalarFunction::Repeat => repeat(&argument(0)?, argument(1)?),
    }
}

fn repeat(text: &SqlValue, count: SqlValue) -> Result<SqlValue, SqlError> {
    let SqlValue::Int(count) = count.coerce(SqlType::Int8)? else { return Ok(SqlValue::Null) };
    let text = text.to_text();
    let count = usize::try_from(count).unwrap_or(0);
    if text.len().saturating_mul(count) > REPEAT_BYTES_MAX {
        return Err(SqlError::OutOfRange);
    }
    Ok(SqlValue::text(&text.repeat(count)))
}

/// Returns the wall-clock time in milliseconds since 1970, as text.
pub(crate) fn now_text() -> SqlValue {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    SqlValue::text(&since.map_or(0, |since| since.as_millis()).to_string())
}
