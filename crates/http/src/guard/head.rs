//! The rules for a message's head.

use httparse::EMPTY_HEADER;
use httparse::Header;

use crate::Error;
use crate::Limits;

/// Fields that `httparse` is given room for; [`Limits::fields`] is lower as a rule.
const MAX_FIELDS: usize = 128;

/// Heads must stay below this, or `async-h1` refuses them.
const MAX_HEAD_BYTES: usize = 8 << 10;

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
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Head {
    /// How the body ends.
    pub(crate) framing: Framing,
    /// Whether the connection ends with this message.
    pub(crate) close: bool,
    /// Whether the sender waits for `100 Continue` before it sends the body.
    pub(crate) expects: bool,
    /// A request's target as it was sent; empty for an answer.
    pub(crate) target: String,
    /// An answer's status; nought for a request.
    pub(crate) status: u16,
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
        if len > limits.head || len >= MAX_HEAD_BYTES {
            return Err(Error::HeadTooLarge);
        }
        Ok(())
    }

    /// Checks a whole request head.
    pub(crate) fn request(bytes: &[u8], limits: &Limits) -> Result<Self, Error> {
        let mut fields = [EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Request::new(&mut fields);
        complete(parsed.parse(bytes), bytes.len())?;
        check_version(parsed.version)?;
        let target = parsed.path.unwrap_or_default();
        if !target.starts_with('/') {
            return Err(Error::malformed("target is not a path"));
        }
        check_count(parsed.headers, limits)?;
        check_host(parsed.headers)?;
        let framing = framing(parsed.headers)?.unwrap_or(Framing::Empty);
        Ok(Self {
            framing,
            close: closes(parsed.headers),
            expects: expects(parsed.headers)?,
            target: target.to_owned(),
            status: 0,
        })
    }

    /// Checks a whole answer head; `bodiless` tells that the request's method allows no body.
    pub(crate) fn response(bytes: &[u8], bodiless: bool, limits: &Limits) -> Result<Self, Error> {
        let mut fields = [EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Response::new(&mut fields);
        complete(parsed.parse(bytes), bytes.len())?;
        check_version(parsed.version)?;
        check_count(parsed.headers, limits)?;
        let status = parsed.code.unwrap_or_default();
        let declared = framing(parsed.headers)?;
        let framing = if bodiless || matches!(status, 100..=199 | 204 | 304) {
            Framing::Empty
        } else {
            // An answer that only the connection's end would end cannot be told from a cut one.
            declared.ok_or_else(|| Error::malformed("answer of unknown length"))?
        };
        let close = closes(parsed.headers);
        Ok(Self { framing, close, expects: false, target: String::new(), status })
    }
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
