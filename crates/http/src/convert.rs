//! Between our messages and those of `http-types`.

use http_types::Body;
use http_types::Method;
use http_types::StatusCode;
use http_types::Url;

use crate::Error;
use crate::Request;
use crate::Response;
use crate::message::Headers;

/// Fields that the codec sets by itself.
const FRAMING: [&str; 4] = ["content-length", "transfer-encoding", "date", "host"];

fn malformed(error: impl std::fmt::Display) -> Error {
    Error::Malformed(error.to_string())
}

pub(crate) fn from_headers(headers: &http_types::Headers) -> Headers {
    let mut plain = Headers::default();
    for (name, values) in headers {
        for value in values {
            plain.push(name.as_str(), value.as_str());
        }
    }
    plain
}

pub(crate) fn to_request(request: &Request) -> Result<http_types::Request, Error> {
    let method: Method = request.method.parse().map_err(malformed)?;
    let host = request.headers.get("host").unwrap_or("upstream");
    let url = Url::parse(&format!("http://{host}{}", request.target)).map_err(malformed)?;
    let mut typed = http_types::Request::new(method, url);
    for (name, value) in request.headers.iter() {
        if !FRAMING.contains(&name) {
            typed.append_header(name, value);
        }
    }
    typed.set_body(Body::from_bytes(request.body.clone()));
    Ok(typed)
}

pub(crate) fn to_response(response: Response) -> Result<http_types::Response, Error> {
    let status = StatusCode::try_from(response.status).map_err(malformed)?;
    let mut typed = http_types::Response::new(status);
    for (name, value) in response.headers.iter() {
        if !FRAMING.contains(&name) {
            typed.append_header(name, value);
        }
    }
    typed.set_body(Body::from_bytes(response.body));
    Ok(typed)
}
