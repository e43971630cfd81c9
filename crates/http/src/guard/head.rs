//! The rules for a message's head.

use std::str::FromStr;

use httparse::EMPTY_HEADER;
use httparse::Header;

use crate::Error;
use crate::Headers;
use crate::Limits;
use crate::Request;
use crate::Response;

/// Fields that `httparse` is given room for; [`Limits::fields`] is lower as a rule.
const MAX_FIELDS: usize = 128;

/// How the end of a body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// There is none.
    Empty,
    /// So many bytes.
    Length(u64),
    /// In chunks, up to one of length nought.
    Chunked,
}

/// What a head says about the message and the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Head {
    /// How the body ends.
    pub(crate) framing: Framing,
    /// Whether the connection ends with this message.
    pub(crate) close: bool,
    /// Whether the sender waits for `100 Continue` before it sends the body.
    pub(crate) expects: bool,
}

/// Where a head ends, counting its empty line; bytes before `from` are known to hold no end.
pub(crate) fn find_end(bytes: &[u8], from: usize) -> Option<usize> {
    let start = from.saturating_sub(3);
    let found = bytes[start..].windows(4).position(|window| window == b"\r\n\r\n")?;
    Some(start + found + 4)
}

impl Head {
    /// Checks the size of a head of which `len` bytes are here.
    pub(crate) fn check_len(len: usize, limits: &Limits) -> Result<(), Error> {
        if len > limits.head {
            return Err(Error::HeadTooLarge);
        }
        Ok(())
    }

    /// Reads and checks a whole request head. The request's body is left empty.
    pub(crate) fn request(bytes: &[u8], limits: &Limits) -> Result<(Self, Request), Error> {
        let mut fields = [EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Request::new(&mut fields);
        complete(parsed.parse(bytes), bytes.len())?;
        check_version(parsed.version)?;
        check_count(parsed.headers, limits)?;
        check_host(parsed.headers)?;
        let head = Self {
            framing: framing(parsed.headers)?.unwrap_or(Framing::Empty),
            close: closes(parsed.headers),
            expects: expects(parsed.headers)?,
        };
        let target = parsed.path.filter(|path| path.starts_with('/'));
        let request = Request {
            method: method(parsed.method)?,
            target: target.ok_or_else(|| Error::malformed("target is not a path"))?.to_owned(),
            headers: headers(parsed.headers, bytes.len())?,
            body: Vec::new(),
        };
        Ok((head, request))
    }

    /// Reads and checks a whole answer head; `bodiless` tells that the request's method allows no
    /// body. The answer's body is left empty.
    pub(crate) fn response(
        bytes: &[u8],
        bodiless: bool,
        limits: &Limits,
    ) -> Result<(Self, Response), Error> {
        let mut fields = [EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Response::new(&mut fields);
        complete(parsed.parse(bytes), bytes.len())?;
        check_version(parsed.version)?;
        check_count(parsed.headers, limits)?;
        let status = parsed.code.unwrap_or_default();
        http_types::StatusCode::try_from(status).map_err(|_| Error::malformed("unknown status"))?;
        let declared = framing(parsed.headers)?;
        let framing = if bodiless || matches!(status, 100..=199 | 204 | 304) {
            Framing::Empty
        } else {
            // An answer that only the connection's end would end cannot be told from a cut one.
            declared.ok_or_else(|| Error::malformed("answer of unknown length"))?
        };
        let head = Self { framing, close: closes(parsed.headers), expects: false };
        let headers = headers(parsed.headers, bytes.len())?;
        Ok((head, Response { status, headers, body: Vec::new() }))
    }
}

/// Methods are those that the codec can send on, in capitals.
fn method(method: Option<&str>) -> Result<String, Error> {
    let method = method.unwrap_or_default();
    let known = http_types::Method::from_str(method).is_ok_and(|known| known.as_ref() == method);
    if !known {
        return Err(Error::malformed("unknown method"));
    }
    Ok(method.to_owned())
}

fn headers(fields: &[Header<'_>], bytes: usize) -> Result<Headers, Error> {
    let mut headers = Headers::with_capacity(fields.len() + 4, bytes + 128);
    for field in fields {
        let value = std::str::from_utf8(field.value).ok().filter(|value| value.is_ascii());
        let value = value.ok_or_else(|| Error::malformed("field is not ASCII"))?;
        if !field.name.eq_ignore_ascii_case("expect") {
            headers.push_any_case(field.name, value);
        }
    }
    Ok(headers)
}

fn complete(
    parsed: Result<httparse::Status<usize>, httparse::Error>,
    len: usize,
) -> Result<(), Error> {
    match parsed {
        Ok(httparse::Status::Complete(end)) if end == len => Ok(()),
        Ok(_) => Err(Error::malformed("head ends early")),
        Err(httparse::Error::TooManyHeaders) => Err(Error::HeadTooLarge),
        Err(error) => Err(Error::malformed(error)),
    }
}

fn check_version(version: Option<u8>) -> Result<(), Error> {
    if version != Some(1) {
        return Err(Error::malformed("not HTTP/1.1"));
    }
    Ok(())
}

fn check_count(fields: &[Header<'_>], limits: &Limits) -> Result<(), Error> {
    if fields.len() > limits.fields {
        return Err(Error::HeadTooLarge);
    }
    Ok(())
}

fn check_host(fields: &[Header<'_>]) -> Result<(), Error> {
    let host = single(fields, "host")?;
    if host.is_none_or(<[u8]>::is_empty) {
        return Err(Error::malformed("no host"));
    }
    Ok(())
}

fn values<'head>(
    fields: &'head [Header<'_>],
    name: &'static str,
) -> impl Iterator<Item = &'head [u8]> {
    fields.iter().filter(move |field| field.name.eq_ignore_ascii_case(name)).map(|f| f.value)
}

fn single<'head>(
    fields: &'head [Header<'_>],
    name: &'static str,
) -> Result<Option<&'head [u8]>, Error> {
    let mut found = values(fields, name);
    let first = found.next();
    if found.next().is_some() {
        return Err(Error::Malformed(format!("more than one {name}")));
    }
    Ok(first)
}

fn framing(fields: &[Header<'_>]) -> Result<Option<Framing>, Error> {
    let length = single(fields, "content-length")?;
    let encoding = single(fields, "transfer-encoding")?;
    match (length, encoding) {
        (Some(_), Some(_)) => Err(Error::malformed("both length and transfer encoding")),
        (Some(length), None) => Ok(Some(Framing::Length(number(length)?))),
        (None, Some(encoding)) if encoding.eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(Framing::Chunked))
        }
        (None, Some(_)) => Err(Error::malformed("unknown transfer encoding")),
        (None, None) => Ok(None),
    }
}

fn number(value: &[u8]) -> Result<u64, Error> {
    let digits = value.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(value).ok().filter(|_| digits);
    text.and_then(|text| text.parse().ok()).ok_or_else(|| Error::malformed("bad content length"))
}

fn closes(fields: &[Header<'_>]) -> bool {
    values(fields, "connection")
        .flat_map(|value| value.split(|&byte| byte == b','))
        .any(|token| token.trim_ascii().eq_ignore_ascii_case(b"close"))
}

fn expects(fields: &[Header<'_>]) -> Result<bool, Error> {
    match single(fields, "expect")? {
        None => Ok(false),
        Some(value) if value.eq_ignore_ascii_case(b"100-continue") => Ok(true),
        Some(_) => Err(Error::malformed("unknown expectation")),
    }
}
