//! Tags of the PostgreSQL protocol 3.0 frames that the proxy handles.

/// Frontend: a simple query.
pub const QUERY: u8 = b'Q';
/// Frontend: prepare a statement.
pub const PARSE: u8 = b'P';
/// Frontend: bind a portal.
pub const BIND: u8 = b'B';
/// Frontend: describe a statement or portal.
pub const DESCRIBE: u8 = b'D';
/// Frontend: execute a portal.
pub const EXECUTE: u8 = b'E';
/// Frontend: close a statement or portal.
pub const CLOSE: u8 = b'C';
/// Frontend: send the buffered responses.
pub const FLUSH: u8 = b'H';
/// Frontend: end of an extended batch.
pub const SYNC: u8 = b'S';
/// Frontend: end of the connection.
pub const TERMINATE: u8 = b'X';
/// Frontend: password, SASL or GSS response.
pub const PASSWORD: u8 = b'p';
/// Frontend: the caller aborts a COPY.
pub const COPY_FAIL: u8 = b'f';
/// Both ways: a piece of COPY data.
pub const COPY_DATA: u8 = b'd';
/// Both ways: the end of COPY data.
pub const COPY_DONE: u8 = b'c';
/// Backend: authentication request or success.
pub const AUTHENTICATION: u8 = b'R';
/// Backend: a row.
pub const DATA_ROW: u8 = b'D';
/// Backend: the columns of the rows that follow.
pub const ROW_DESCRIPTION: u8 = b'T';
/// Backend: no rows follow.
pub const NO_DATA: u8 = b'n';
/// Backend: the parameters of a statement.
pub const PARAMETER_DESCRIPTION: u8 = b't';
/// Backend: a statement ended with success.
pub const COMMAND_COMPLETE: u8 = b'C';
/// Backend: an empty query ended.
pub const EMPTY_QUERY: u8 = b'I';
/// Backend: a portal has more rows.
pub const PORTAL_SUSPENDED: u8 = b's';
/// Backend: a statement was prepared.
pub const PARSE_COMPLETE: u8 = b'1';
/// Backend: a portal was bound.
pub const BIND_COMPLETE: u8 = b'2';
/// Backend: a statement or portal was closed.
pub const CLOSE_COMPLETE: u8 = b'3';
/// Backend: the member waits for COPY data.
pub const COPY_IN: u8 = b'G';
/// Backend: COPY data follows.
pub const COPY_OUT: u8 = b'H';
/// Backend: an error.
pub const ERROR: u8 = b'E';
/// Backend: a notice.
pub const NOTICE: u8 = b'N';
/// Backend: a notification.
pub const NOTIFICATION: u8 = b'A';
/// Backend: a reported setting.
pub const PARAMETER_STATUS: u8 = b'S';
/// Backend: the key for cancel requests.
pub const BACKEND_KEY: u8 = b'K';
/// Backend: ready for the next batch, with the transaction status.
pub const READY: u8 = b'Z';
