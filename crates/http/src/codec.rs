//! Messages out through `async-h1`.

use std::sync::LazyLock;

use async_h1::client;
use async_h1::server;
use futures_lite::AsyncReadExt;
use futures_lite::io;
use http_types::Body;
use http_types::Method;
use http_types::StatusCode;
use http_types::Url;

use crate::Error;
use crate::Headers;
use crate::Request;
use crate::Response;

/// Fields that the codec sets by itself.
const FRAMING: [&str; 4] = ["content-length", "transfer-encoding", "date", "expect"];

/// Stands in for the target while `async-h1` encodes a request; see [`encode_request`].
static PLACEHOLDER: LazyLock<Url> =
    LazyLock::new(|| Url::parse("http://upstream/").expect("this is a URL"));

/// The bytes of a whole request.
///
/// The library would rewrite the target by the rules of URLs (`/a/../b` to `/b`): an upstream would
/// then see another path than the one that was routed by. So the request line is put in afterwards.
pub(crate) async fn encode_request(request: &Request) -> Result<Vec<u8>, Error> {
    if !is_target(&request.target) {
        return Err(Error::malformed("target is not a path"));
    }
    let method: Method = request.method.parse().map_err(Error::malformed)?;
    let mut typed = http_types::Request::new(method, PLACEHOLDER.clone());
    add_headers(typed.as_mut(), &request.headers)?;
    typed.set_body(declared(request.body.len()));
    drop_made_up_type(typed.as_mut(), &request.headers);
    let line = format!("{method} {} HTTP/1.1\r\n", request.target);
    let mut bytes = Vec::with_capacity(512 + request.body.len());
    bytes.extend_from_slice(line.as_bytes());
    let mut head = Vec::with_capacity(512);
    client::Encoder::new(typed).read_to_end(&mut head).await.map_err(Error::malformed)?;
    let fields = head.iter().position(|&byte| byte == b'\n').map_or(0, |end| end + 1);
    bytes.extend_from_slice(&head[fields..]);
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
        if !is_field(name, value) {
            return Err(Error::Malformed(format!("bad field {name:?}")));
        }
        typed.append(name, value);
    }
    Ok(())
}

/// Whether a field can be sent without becoming another or ending the head.
fn is_field(name: &str, value: &str) -> bool {
    let named =
        !name.is_empty() && name.bytes().all(|byte| byte.is_ascii_graphic() && byte != b':');
    named && value.bytes().all(|byte| byte == b'\t' || byte == b' ' || byte.is_ascii_graphic())
}
