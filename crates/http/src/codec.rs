//! Messages out through `async-h1`.

use async_h1::server;
use futures_lite::AsyncReadExt;
use futures_lite::io;
use http_types::Body;
use http_types::Method;
use http_types::StatusCode;

use crate::Error;
use crate::Headers;
use crate::Request;
use crate::Response;

/// Fields that the codec sets by itself.
const FRAMING: [&str; 4] = ["content-length", "transfer-encoding", "date", "expect"];

/// The host that a request names if its sender gives none.
const DEFAULT_HOST: &str = "upstream";

/// The bytes of a whole request: the host first, then the other fields by name.
///
/// The library would allocate for each field of a head, and would rewrite the target by the
/// rules of URLs (`/a/../b` to `/b`): an upstream would then see another path than the one that was
/// routed by.
pub(crate) fn encode_request(request: &Request) -> Result<Vec<u8>, Error> {
    if !is_target(&request.target) {
        return Err(Error::malformed("target is not a path"));
    }
    let method: Method = request.method.parse().map_err(Error::malformed)?;
    let length = request.body.len().to_string();
    let mut fields = Vec::with_capacity(request.headers.len() + 2);
    for (name, value) in request.headers.iter().filter(|(name, _)| !FRAMING.contains(name)) {
        check_field(name, value)?;
        fields.push((name, value));
    }
    if request.headers.get("host").is_none() {
        fields.push(("host", DEFAULT_HOST));
    }
    fields.push(("content-length", &length));
    fields.sort_by_key(|&(name, _)| (name != "host", name));
    let mut bytes = Vec::with_capacity(512 + request.body.len());
    for part in [method.as_ref(), " ", &request.target, " HTTP/1.1\r\n"] {
        bytes.extend_from_slice(part.as_bytes());
    }
    for (name, value) in fields {
        for part in [name, ": ", value, "\r\n"] {
            bytes.extend_from_slice(part.as_bytes());
        }
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(&request.body);
    Ok(bytes)
}

/// The bytes of a whole answer to a request with this method.
pub(crate) async fn encode_response(response: &Response, method: &str) -> Result<Vec<u8>, Error> {
    let status = StatusCode::try_from(response.status).map_err(Error::malformed)?;
    let mut typed = http_types::Response::new(status);
    add_headers(typed.as_mut(), &response.headers)?;
    let bodiless = method == "HEAD" || matches!(response.status, 204 | 304);
    let length = if method == "HEAD" { announced(response) } else { response.body.len() };
    typed.set_body(declared(length));
    drop_made_up_type(typed.as_mut(), &response.headers);
    let mut bytes = Vec::with_capacity(512 + response.body.len());
    let mut encoder = server::Encoder::new(typed, Method::Get);
    encoder.read_to_end(&mut bytes).await.map_err(Error::malformed)?;
    if !bodiless {
        bytes.extend_from_slice(&response.body);
    }
    Ok(bytes)
}

/// The length that an answer to `HEAD` tells of.
fn announced(response: &Response) -> usize {
    let declared = response.headers.get("content-length");
    declared.and_then(|value| value.parse().ok()).unwrap_or(response.body.len())
}

/// A body that has this length and no bytes: the codec writes the head alone.
fn declared(length: usize) -> Body {
    Body::from_reader(io::empty(), Some(length))
}

/// The library says what kind of body it is where the sender did not.
fn drop_made_up_type(typed: &mut http_types::Headers, headers: &Headers) {
    if headers.get("content-type").is_none() {
        typed.remove("content-type");
    }
}

fn is_target(target: &str) -> bool {
    target.starts_with('/') && target.bytes().all(|byte| byte.is_ascii_graphic())
}

fn add_headers(typed: &mut http_types::Headers, headers: &Headers) -> Result<(), Error> {
    for (name, value) in headers.iter() {
        if FRAMING.contains(&name) {
            continue;
        }
        check_field(name, value)?;
        typed.append(name, value);
    }
    Ok(())
}

fn check_field(name: &str, value: &str) -> Result<(), Error> {
    if !is_field(name, value) {
        return Err(Error::Malformed(format!("bad field {name:?}")));
    }
    Ok(())
}

/// Whether a field can be sent without becoming another or ending the head.
fn is_field(name: &str, value: &str) -> bool {
    let named =
        !name.is_empty() && name.bytes().all(|byte| byte.is_ascii_graphic() && byte != b':');
    named && value.bytes().all(|byte| byte == b'\t' || byte == b' ' || byte.is_ascii_graphic())
}
