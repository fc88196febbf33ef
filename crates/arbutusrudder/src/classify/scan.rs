//! Classifies statements by the tokens of their text.

use super::facts::{
    SessionChange, StatementEffect, StatementFacts, StatementsSummary, TransactionStep,
};
use rudder_core::RequestKey;
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::tokenizer::{Token, Tokenizer, Whitespace};
use xxhash_rust::xxh3::xxh3_64;

/// Prefix of the comment that gives a request's idempotency key: `/* rudder:key=... */`.
const KEY_PREFIX: &str = "rudder:key=";

/// Keywords that make a query a write wherever they occur.
const WRITE_KEYWORDS: [&str; 5] = ["DELETE", "INSERT", "INTO", "MERGE", "UPDATE"];

/// Functions that only read, and keywords that may precede a parenthesis. Sorted.
/// Any other function may write (a user-defined one, `nextval`, an advisory lock), so its query
/// goes to the primary.
const READ_SAFE_WORDS: [&str; 78] = [
    "ABS",
    "ALL",
    "AND",
    "ANY",
    "ARRAY",
    "ARRAY_AGG",
    "AS",
    "AVG",
    "BETWEEN",
    "BOOL_AND",
    "BOOL_OR",
    "BY",
    "CASE",
    "CAST",
    "CEIL",
    "CHAR",
    "COALESCE",
    "CONCAT",
    "COUNT",
    "CURRENT_DATABASE",
    "CURRENT_SCHEMA",
    "CURRENT_SETTING",
    "CURRENT_USER",
    "DATE_PART",
    "DATE_TRUNC",
    "DECIMAL",
    "DENSE_RANK",
    "DISTINCT",
    "ELSE",
    "EXCEPT",
    "EXISTS",
    "EXTRACT",
    "FILTER",
    "FLOOR",
    "FORMAT",
    "FROM",
    "GENERATE_SERIES",
    "GREATEST",
    "IN",
    "INTERSECT",
    "JOIN",
    "JSONB_AGG",
    "JSON_AGG",
    "LATERAL",
    "LEAST",
    "LEFT",
    "LENGTH",
    "LIKE",
    "LIMIT",
    "LOWER",
    "MAX",
    "MIN",
    "NOT",
    "NOW",
    "NULLIF",
    "NUMERIC",
    "ON",
    "OR",
    "OVER",
    "PARTITION",
    "PG_SLEEP",
    "RANK",
    "REPLACE",
    "RIGHT",
    "ROUND",
    "ROW_NUMBER",
    "SELECT",
    "STRING_AGG",
    "SUBSTRING",
    "SUM",
    "TO_CHAR",
    "TRIM",
    "UNION",
    "UPPER",
    "USING",
    "VALUES",
    "VARCHAR",
    "WHERE",
];

const LISTEN_REFUSAL: &str = "LISTEN needs a connection of its own, and connections are shared";
const PREPARE_REFUSAL: &str =
    "SQL PREPARE and EXECUTE need a connection of their own; use the protocol's Parse and Bind";
const HOLD_REFUSAL: &str = "cursors WITH HOLD need a connection of their own";
const TEMPORARY_REFUSAL: &str = "temporary tables need a connection of their own";
const TWO_PHASE_REFUSAL: &str = "two-phase commit is not supported";
const CHARACTERISTICS_REFUSAL: &str =
    "SET SESSION CHARACTERISTICS is not supported; declare each transaction instead";
const ROLE_REFUSAL: &str =
    "SET ROLE outlasts its caller on a shared connection; use SET LOCAL ROLE in a transaction";
const CONFIG_REFUSAL: &str =
    "set_config for the session is not followed; use SET, or give true as its third argument";
const ADVISORY_REFUSAL: &str = "session advisory locks need a connection of their own";

/// Classifies the statements of a query text.
///
/// ```
/// assert!(arbutusrudder::classify_text("SELECT title FROM parts WHERE id = 7").is_read());
/// assert!(!arbutusrudder::classify_text("SELECT nextval('invoice')").is_read());
/// ```
#[must_use]
pub fn classify_text(text: &str) -> StatementsSummary {
    // Literals keep their escapes, because SET statements are rebuilt from their tokens.
    let mut tokenizer = Tokenizer::new(&PostgreSqlDialect {}, text).with_unescape(false);
    let Ok(tokens) = tokenizer.tokenize() else {
        // The primary rejects a text that cannot be tokenized.
        return StatementsSummary {
            statements: vec![StatementFacts::write()],
            key: None,
            fingerprint: xxh3_64(text.as_bytes()),
        };
    };
    let key = tokens.iter().find_map(key_of);
    let statements = tokens
        .split(|token| matches!(token, Token::SemiColon))
        .map(without_whitespace)
        .filter(|tokens| !tokens.is_empty())
        .map(|tokens| classify_tokens(&tokens))
        .collect();
    StatementsSummary { statements, key, fingerprint: fingerprint_of(&tokens) }
}

fn key_of(token: &Token) -> Option<RequestKey> {
    let (Token::Whitespace(Whitespace::MultiLineComment(comment))
    | Token::Whitespace(Whitespace::SingleLineComment { comment, .. })) = token
    else {
        return None;
    };
    comment.trim().strip_prefix(KEY_PREFIX)?.trim().parse().ok()
}

fn fingerprint_of(tokens: &[Token]) -> u64 {
    let mut shape = String::new();
    for token in tokens {
        match token {
            Token::Whitespace(_) => {}
            Token::Number(..) | Token::SingleQuotedString(_) => shape.push('?'),
            _ => shape.push_str(&token.to_string()),
        }
        shape.push(' ');
    }
    xxh3_64(shape.as_bytes())
}

fn without_whitespace(tokens: &[Token]) -> Vec<&Token> {
    tokens.iter().filter(|token| !matches!(token, Token::Whitespace(_))).collect()
}

fn classify_tokens(tokens: &[&Token]) -> StatementFacts {
    let words: Vec<String> = tokens.iter().filter_map(|token| unquoted_word(token)).collect();
    let word = |index: usize| words.get(index).map_or("", String::as_str);
    match word(0) {
        "SELECT" | "VALUES" | "TABLE" | "WITH" => classify_query(tokens, &words),
        "SHOW" => change(StatementEffect::Read, show_of(tokens)),
        "SET" => classify_set(tokens, &words),
        "RESET" => change(StatementEffect::Read, reset_of(tokens)),
        "DISCARD" if word(1) == "ALL" => {
            change(StatementEffect::Read, Some(SessionChange::DiscardAll))
        }
        // LISTEN is refused, so no connection listens: there is nothing to end or to refuse.
        "DISCARD" | "UNLISTEN" => StatementFacts::read(),
        "DEALLOCATE" => change(StatementEffect::Read, deallocate_of(tokens)),
        "BEGIN" | "START" => {
            step(TransactionStep::Begin { read_only: has_pair(&words, "READ", "ONLY") })
        }
        "ROLLBACK" if words.iter().any(|word| word == "TO") => StatementFacts::write(),
        "COMMIT" | "ROLLBACK" if word(1) == "PREPARED" => refusal(TWO_PHASE_REFUSAL),
        "COMMIT" | "END" | "ROLLBACK" | "ABORT" => step(TransactionStep::End),
        "PREPARE" if word(1) == "TRANSACTION" => refusal(TWO_PHASE_REFUSAL),
        "PREPARE" | "EXECUTE" => refusal(PREPARE_REFUSAL),
        "LISTEN" => refusal(LISTEN_REFUSAL),
        "DECLARE" if has_pair(&words, "WITH", "HOLD") => refusal(HOLD_REFUSAL),
        "CREATE"
            if words.iter().skip(1).take(2).any(|word| word == "TEMP" || word == "TEMPORARY") =>
        {
            refusal(TEMPORARY_REFUSAL)
        }
        "COPY" => StatementFacts {
            copy_in: words.iter().any(|word| word == "FROM")
                && words.iter().any(|word| word == "STDIN"),
            ..StatementFacts::write()
        },
        _ => StatementFacts::write(),
    }
}

fn classify_query(tokens: &[&Token], words: &[String]) -> StatementFacts {
    let writes = words.iter().any(|word| WRITE_KEYWORDS.contains(&word.as_str()));
    let locks = ["UPDATE", "SHARE", "NO", "KEY"].iter().any(|next| has_pair(words, "FOR", next));
    let calls: Vec<String> = tokens
        .windows(2)
        .filter(|pair| *pair[1] == Token::LParen)
        .filter_map(|pair| called_name(pair[0]))
        .collect();
    if calls.iter().any(|name| is_session_lock(name)) {
        return refusal(ADVISORY_REFUSAL);
    }
    if calls.iter().any(|name| name == "SET_CONFIG") && !is_local_config(tokens) {
        return refusal(CONFIG_REFUSAL);
    }
    let unknown_call =
        calls.iter().any(|name| READ_SAFE_WORDS.binary_search(&name.as_str()).is_err());
    if writes || locks || unknown_call { StatementFacts::write() } else { StatementFacts::read() }
}

/// Whether every `set_config` of a query is local to its transaction.
fn is_local_config(tokens: &[&Token]) -> bool {
    let calls = tokens.iter().filter(|token| is_word(token, "SET_CONFIG")).count();
    let is_local = |next: &[&Token]| {
        *next[0] == Token::Comma && is_word(next[1], "TRUE") && *next[2] == Token::RParen
    };
    tokens.windows(3).filter(|next| is_local(next)).count() >= calls
}

fn is_session_lock(name: &str) -> bool {
    name.starts_with("PG_ADVISORY_LOCK") || name.starts_with("PG_TRY_ADVISORY_LOCK")
}

fn classify_set(tokens: &[&Token], words: &[String]) -> StatementFacts {
    let second = words.get(1).map_or("", String::as_str);
    match second {
        "LOCAL" | "TRANSACTION" | "CONSTRAINTS" => StatementFacts::write(),
        "ROLE" => refusal(ROLE_REFUSAL),
        "SESSION" if words.get(2).is_some_and(|word| word == "AUTHORIZATION" || word == "ROLE") => {
            refusal(ROLE_REFUSAL)
        }
        "SESSION" if words.get(2).is_some_and(|word| word == "CHARACTERISTICS") => {
            refusal(CHARACTERISTICS_REFUSAL)
        }
        "TIME" => change(StatementEffect::Read, Some(set_of("timezone".to_owned(), tokens, 3))),
        "NAMES" => {
            change(StatementEffect::Read, Some(set_of("client_encoding".to_owned(), tokens, 2)))
        }
        "SCHEMA" => {
            change(StatementEffect::Read, Some(set_of("search_path".to_owned(), tokens, 2)))
        }
        "SESSION" => change(StatementEffect::Read, Some(named_set(tokens, 2))),
        _ => change(StatementEffect::Read, Some(named_set(tokens, 1))),
    }
}

fn named_set(tokens: &[&Token], start: usize) -> SessionChange {
    let (name, length) = setting_name(&tokens[start.min(tokens.len())..]);
    // Skips one more token: the equals sign or TO.
    set_of(name, tokens, start + length + 1)
}

fn set_of(name: String, tokens: &[&Token], value_start: usize) -> SessionChange {
    let value = match tokens.get(value_start..) {
        Some([value]) => literal_of(value),
        _ => None,
    };
    let statement = tokens.iter().map(ToString::to_string).collect::<Vec<_>>().join(" ");
    SessionChange::Set { name, value, statement: statement.replace(" . ", ".") }
}

fn show_of(tokens: &[&Token]) -> Option<SessionChange> {
    let (name, _) = setting_name(tokens.get(1..)?);
    Some(SessionChange::Show { name })
}

fn reset_of(tokens: &[&Token]) -> Option<SessionChange> {
    let (name, _) = setting_name(tokens.get(1..)?);
    if name == "all" { Some(SessionChange::ResetAll) } else { Some(SessionChange::Reset { name }) }
}

fn deallocate_of(tokens: &[&Token]) -> Option<SessionChange> {
    let name = tokens.last().and_then(|token| literal_of(token))?;
    let all = name.eq_ignore_ascii_case("all") || tokens.len() < 2;
    Some(SessionChange::Deallocate { name: (!all).then_some(name) })
}

/// Returns the dotted name at the start of `tokens`, in lower case, and its number of tokens.
fn setting_name(tokens: &[&Token]) -> (String, usize) {
    let is_part =
        |token: &&&Token| matches!(token, Token::Word(_) | Token::Period) && !is_word(token, "TO");
    let parts: Vec<&&Token> = tokens.iter().take_while(is_part).collect();
    let text: String = parts.iter().filter_map(|token| literal_of(token)).collect();
    (text.to_ascii_lowercase(), parts.len())
}

fn literal_of(token: &Token) -> Option<String> {
    match token {
        Token::Word(word) => Some(word.value.clone()),
        Token::Period => Some(".".to_owned()),
        Token::SingleQuotedString(text) => Some(text.replace("''", "'")),
        Token::Number(text, _) => Some(text.clone()),
        _ => None,
    }
}

fn unquoted_word(token: &Token) -> Option<String> {
    match token {
        Token::Word(word) if word.quote_style.is_none() => Some(word.value.to_ascii_uppercase()),
        _ => None,
    }
}

fn called_name(token: &Token) -> Option<String> {
    match token {
        Token::Word(word) => Some(word.value.to_ascii_uppercase()),
        _ => None,
    }
}

fn is_word(token: &Token, wanted: &str) -> bool {
    matches!(token, Token::Word(word) if word.value.eq_ignore_ascii_case(wanted))
}

fn has_pair(words: &[String], first: &str, second: &str) -> bool {
    words.windows(2).any(|pair| pair[0] == first && pair[1] == second)
}

fn step(step: TransactionStep) -> StatementFacts {
    StatementFacts { step: Some(step), ..StatementFacts::write() }
}

fn refusal(reason: &'static str) -> StatementFacts {
    StatementFacts { refusal: Some(reason), ..StatementFacts::write() }
}

fn change(effect: StatementEffect, change: Option<SessionChange>) -> StatementFacts {
    StatementFacts { effect, change, ..StatementFacts::write() }
}
