//! Checks of heads that the HTTP library takes for those of answers.

use hyper::ext::ReasonPhrase;
use hyper::header::{HeaderValue, TRANSFER_ENCODING};
use hyper::Response;
use snafu::{ensure, Snafu};

/// What every status line begins with, up to the minor version.
const STATUS_LINE_START: &[u8] = b"HTTP/1.";
/// Length of a status line without its reason phrase.
const STATUS_LINE_BYTES: usize = 12;

/// Why a head is not that of an answer.
#[derive(Debug, Snafu, Clone, Copy, PartialEq, Eq)]
pub enum HeadError {
    /// A server that fails within a head may begin another one there, whose status line then reads as
    /// the rest of a reason phrase or field.
    #[snafu(display("a second head begins within the head"))]
    Joined,
    /// The endpoint left HTTP, which no request asks for.
    #[snafu(display("the connection has another protocol"))]
    SwitchesProtocols,
    /// The library removes no other coding than chunks, and leaves chunks in place after a name that it
    /// doesn't know.
    #[snafu(display("the transfer coding can't be decoded"))]
    UnknownCoding,
}

/// Checks the head of a response.
pub fn check<B>(response: &Response<B>) -> Result<(), HeadError> {
    let reason = response.extensions().get::<ReasonPhrase>();
    let mut values = response.headers().values().map(HeaderValue::as_bytes);
    let is_joined = reason.is_some_and(|reason| has_status_line(reason.as_bytes()))
        || values.any(has_status_line);
    ensure!(!is_joined, JoinedSnafu);
    // The library passes on no other interim head.
    ensure!(
        !response.status().is_informational(),
        SwitchesProtocolsSnafu
    );
    let mut codings = response.headers().get_all(TRANSFER_ENCODING).iter();
    let is_known = match (codings.next(), codings.next()) {
        (Some(coding), None) => coding.as_bytes().eq_ignore_ascii_case(b"chunked"),
        (coding, _) => coding.is_none(),
    };
    ensure!(is_known, UnknownCodingSnafu);
    Ok(())
}

fn has_status_line(text: &[u8]) -> bool {
    text.windows(STATUS_LINE_BYTES).any(|line| {
        let rest = line.strip_prefix(STATUS_LINE_START);
        matches!(rest, Some([minor, b' ', code @ ..])
            if minor.is_ascii_digit() && code.iter().all(u8::is_ascii_digit))
    })
}
