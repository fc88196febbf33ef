//! Estimate of the memory that classifying a text takes, without tokenizing it.
//!
//! A text of a few megabytes may consist of millions of tokens, which take a hundred times its size.

/// Memory of a token: its entry in a list that grows by doubling, its text, and its upper-case form.
const TOKEN_BYTES: usize = 200;

/// Bytes with which a quoted text or a comment may begin.
const DELIMITERS: &[u8] = b"'\"$-/";

/// Bytes of which operators consist.
const OPERATOR_BYTES: &[u8] = b"+-*/<>=~!@#%^&|`?:";

/// Kind of the bytes that follow each other in one token.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ByteClass {
    Letter,
    Digit,
    /// Any other byte, a space included; each counts as a token.
    Symbol,
}

impl ByteClass {
    fn of(byte: u8) -> Self {
        match byte {
            b'_' | 0x80.. => Self::Letter,
            byte if byte.is_ascii_alphabetic() => Self::Letter,
            byte if byte.is_ascii_digit() => Self::Digit,
            _ => Self::Symbol,
        }
    }

    /// Whether a byte of this class may belong to the token of a byte of class `previous`. A number
    /// ends before a letter.
    fn continues(self, previous: Self) -> bool {
        match self {
            Self::Letter => previous == Self::Letter,
            Self::Digit => previous != Self::Symbol,
            Self::Symbol => false,
        }
    }
}

/// Returns an upper bound of the bytes that classifying a text takes.
pub(crate) fn classification_size(text: &str) -> usize {
    text.len() + count_tokens(text.as_bytes()) * TOKEN_BYTES
}

/// Returns an upper bound of the number of tokens. Quoted texts and comments count as two tokens,
/// unless it is uncertain where they begin.
pub(super) fn count_tokens(text: &[u8]) -> usize {
    count_around_quotes(text).unwrap_or_else(|| count_unquoted(text))
}

/// Counts the tokens outside of quoted texts and comments, and these as two each; returns `None` if
/// it is uncertain where one of them begins.
fn count_around_quotes(text: &[u8]) -> Option<usize> {
    let mut count = 0;
    let mut at = 0;
    while at < text.len() {
        let rest = &text[at..];
        let end = match rest {
            [b'$', next, ..] if !next.is_ascii_digit() => return None,
            [b'\'', ..] => end_of_quote(text, at, has_escapes(&text[..at])?),
            [b'"', ..] => end_of_quote(text, at, false),
            [b'-', b'-', ..] | [b'/', b'*', ..] if follows_operator(text, at) => return None,
            [b'-', b'-', ..] => end_of_line(text, at),
            [b'/', b'*', ..] => end_of_comment(text, at),
            _ => {
                let length = rest.iter().take_while(|byte| !DELIMITERS.contains(byte)).count();
                at + length.max(1)
            }
        };
        let is_quoted = matches!(rest, [b'\'' | b'"', ..] | [b'-', b'-', ..] | [b'/', b'*', ..]);
        // A line comment is followed by the token of its line break.
        count += if is_quoted { 2 } else { count_unquoted(&text[at..end]) };
        at = end;
    }
    Some(count)
}

/// Counts the tokens of a text without quotes and comments.
fn count_unquoted(text: &[u8]) -> usize {
    let mut count = 0;
    let mut previous = None;
    for byte in text {
        let class = ByteClass::of(*byte);
        let continues = previous.is_some_and(|previous| class.continues(previous));
        count += usize::from(!continues);
        previous = Some(class);
    }
    count
}

/// Whether the byte before a position may belong to an operator that takes in the byte there.
fn follows_operator(text: &[u8], at: usize) -> bool {
    at > 0 && OPERATOR_BYTES.contains(&text[at - 1])
}

/// Whether a quoted text after these bytes has backslash escapes, as its prefix is a single `E`;
/// `None` if the letter may also belong to a number.
fn has_escapes(before: &[u8]) -> Option<bool> {
    match before {
        [.., previous, b'e' | b'E'] => match ByteClass::of(*previous) {
            ByteClass::Letter => Some(false),
            ByteClass::Digit => None,
            ByteClass::Symbol => Some(true),
        },
        [b'e' | b'E'] => Some(true),
        _ => Some(false),
    }
}

/// Returns the position after a quoted text that begins at `start`. A doubled quote is taken for the
/// end of one text and the start of another.
fn end_of_quote(text: &[u8], start: usize, escapes: bool) -> usize {
    let quote = text[start];
    let mut at = start + 1;
    while let Some(byte) = text.get(at) {
        at += 1;
        if *byte == quote {
            break;
        }
        if escapes && *byte == b'\\' {
            at += 1;
        }
    }
    at
}

fn end_of_line(text: &[u8], start: usize) -> usize {
    memchr::memchr(b'\n', &text[start..]).map_or(text.len(), |length| start + length + 1)
}

/// Returns the position after a comment, in which others may be nested.
fn end_of_comment(text: &[u8], start: usize) -> usize {
    let mut depth = 0;
    let mut at = start;
    while at < text.len() {
        match text.get(at..at + 2) {
            Some(b"/*") => {
                depth += 1;
                at += 2;
            }
            Some(b"*/") => {
                depth -= 1;
                at += 2;
            }
            _ => at += 1,
        }
        if depth == 0 {
            break;
        }
    }
    at
}
