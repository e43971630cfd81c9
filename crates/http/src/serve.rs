//! Answers the requests of one caller's connection.

use std::future::Future;

use async_h1::server;
use futures_lite::AsyncRead;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWrite;
use futures_lite::io;

use crate::Error;
use crate::Limits;
use crate::Request;
use crate::Response;
use crate::convert;

/// Serves requests from `stream` until the caller closes it, asks to, or breaks a rule.
pub async fn serve<S, H, F>(stream: S, limits: &Limits, mut handler: H) -> Result<(), Error>
where
    S: AsyncRead + AsyncWrite + Clone + Send + Sync + Unpin + 'static,
    H: FnMut(Request) -> F,
    F: Future<Output = Response>,
{
    loop {
        let decoded = server::decode(stream.clone()).await;
        let Some((mut typed, _)) = decoded.map_err(|error| Error::Malformed(error.to_string()))?
        else {
            return Ok(());
        };
        let close = typed.header("connection").is_some_and(|value| value.as_str() == "close");
        let method = typed.method();
        let mut body = Vec::new();
        let mut limited = typed.take_body().take(limits.body as u64 + 1);
        limited.read_to_end(&mut body).await.map_err(broken)?;
        if body.len() > limits.body {
            return Err(Error::BodyTooLarge);
        }
        let target = match typed.url().query() {
            Some(query) => format!("{}?{query}", typed.url().path()),
            None => typed.url().path().to_owned(),
        };
        let headers = convert::from_headers(typed.as_ref());
        let request = Request { method: method.to_string(), target, headers, body };
        let response = convert::to_response(handler(request).await)?;
        let encoder = server::Encoder::new(response, method);
        let mut writer = stream.clone();
        io::copy(encoder, &mut writer).await.map_err(broken)?;
        if close {
            return Ok(());
        }
    }
}

fn broken(error: io::Error) -> Error {
    Error::Broken(error.to_string())
}
