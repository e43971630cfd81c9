//! Answers the requests of one caller's connection.

use std::future::Future;
use std::future::pending;
use std::time::Duration;

use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use futures_lite::FutureExt;

use crate::Error;
use crate::Limits;
use crate::Request;
use crate::Response;
use crate::budget::Account;
use crate::budget::Phase;
use crate::clock;
use crate::codec;
use crate::guard::Body;
use crate::guard::Framing;
use crate::guard::Head;
use crate::transport::Transport;

/// What is read of a refused message after its answer, at most.
const LINGER_BYTES: usize = 1 << 20;

/// How long it is read.
const LINGER: Duration = Duration::from_secs(1);

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Answers requests; see [`serve_with`].
pub trait Handler {
    /// Answers one request.
    fn run(&mut self, request: Request) -> impl Future<Output = Response>;

    /// The answer to a message that breaks a rule, and that [`Handler::run`] never sees.
    fn refuse(&mut self, _error: &Error, status: u16) -> Response {
        Response::new(status)
    }

    /// Whether connections should end as soon as the requests that have arrived are answered.
    fn closing(&self) -> bool {
        false
    }

    /// Ready once a connection that waits for its next request should end.
    fn closed(&self) -> impl Future<Output = ()> {
        pending()
    }
}

/// A [`Handler`] that is only a function.
#[derive(Debug)]
pub struct Plain<H>(pub H);

impl<H, F> Handler for Plain<H>
where
    H: FnMut(Request) -> F,
    F: Future<Output = Response>,
{
    fn run(&mut self, request: Request) -> impl Future<Output = Response> {
        (self.0)(request)
    }
}

/// Serves requests from `stream` until the caller closes it, asks to, or breaks a rule.
///
/// `handler` sees whole requests only, one at a time, in the order in which they were sent.
pub async fn serve<S, H, F>(stream: S, limits: &Limits, handler: H) -> Result<(), Error>
where
    S: AsyncRead + AsyncWrite + Unpin,
    H: FnMut(Request) -> F,
    F: Future<Output = Response>,
{
    serve_with(stream, limits, &mut Plain(handler)).await
}

/// Serves requests from `stream` with a whole [`Handler`].
///
/// A message that breaks a rule is answered with [`Error::status`], and the connection ends. Once the
/// handler is [closing](Handler::closing), requests that have arrived are still answered, and the last
/// answer ends the connection.
pub async fn serve_with<S, H>(stream: S, limits: &Limits, handler: &mut H) -> Result<(), Error>
where
    S: AsyncRead + AsyncWrite + Unpin,
    H: Handler,
{
    serve_budgeted(stream, (), limits, handler).await
}

/// Serves requests from `stream` like [`serve_with`], within the budget of which `account` is a part.
///
/// When the connection has to give way, a message that is not whole is refused as
/// [`Error::Overloaded`], and an answer that is not read is broken off.
pub async fn serve_budgeted<S, A, H>(
    stream: S,
    account: A,
    limits: &Limits,
    handler: &mut H,
) -> Result<(), Error>
where
    S: AsyncRead + AsyncWrite + Unpin,
    A: Account,
    H: Handler,
{
    let mut transport = Transport::new(stream, account);
    // Bytes received by the time at which the handler was first seen to close.
    let mut received = None;
    loop {
        let request = match next(&mut transport, limits, handler).await {
            Ok(Some(request)) => request,
            Ok(None) => return Ok(()),
            Err(error) => return refuse(&mut transport, limits, handler, error).await,
        };
        let Incoming { request, close } = request;
        let method = request.method.clone();
        transport.enter(Phase::Handling);
        let response = handler.run(request).await;
        transport.enter(Phase::Sending);
        if handler.closing() && received.is_none() {
            // An end of the stream leaves nothing to answer, and an error shows when writing.
            let _ = transport.is_quiet().await;
            transport.skip_empty_lines();
            received = Some(transport.received());
        }
        let answered = transport.received() - transport.ahead().len() as u64;
        let all_answered = received.is_some_and(|received| answered >= received);
        let close = close || all_answered || asks_to_close(&response);
        send(&mut transport, limits, response, &method, close).await?;
        if close {
            transport.linger(LINGER_BYTES, clock::now() + LINGER).await;
            return Ok(());
        }
        transport.enter(Phase::Idle);
    }
}

/// A whole request, and whether the connection ends with it.
struct Incoming {
    request: Request,
    close: bool,
}

async fn next<S, A, H>(
    transport: &mut Transport<S, A>,
    limits: &Limits,
    handler: &H,
) -> Result<Option<Incoming>, Error>
where
    S: AsyncRead + AsyncWrite + Unpin,
    A: Account,
    H: Handler,
{
    if !first_byte(transport, limits, handler).await? {
        return Ok(None);
    }
    transport.enter(Phase::Receiving);
    let deadline = clock::now() + limits.message;
    let Some(end) = transport.head(limits, deadline).await? else { return Ok(None) };
    let (head, mut request) = Head::request(&transport.ahead()[..end], limits)?;
    transport.consume(end);
    transport.hold(end)?;
    let body = Body::new(head.framing, limits.body)?;
    if head.expects && head.framing != Framing::Empty && transport.ahead().is_empty() {
        transport.write(CONTINUE, deadline).await.map_err(|(_, error)| error)?;
    }
    request.body = transport.body(body, deadline).await?;
    Ok(Some(Incoming { request, close: head.close }))
}

/// Waits for the first byte of the next request; not so where the connection should end instead.
async fn first_byte<S, A, H>(
    transport: &mut Transport<S, A>,
    limits: &Limits,
    handler: &H,
) -> Result<bool, Error>
where
    S: AsyncRead + AsyncWrite + Unpin,
    A: Account,
    H: Handler,
{
    transport.skip_empty_lines();
    while transport.ahead().is_empty() {
        let deadline = clock::now() + limits.idle;
        let stop = async {
            handler.closed().await;
            Ok(0)
        };
        match transport.fill(deadline).or(stop).await {
            // An idle caller is owed no answer.
            Ok(0) | Err(Error::Timeout | Error::Overloaded) => return Ok(false),
            Ok(_) => transport.skip_empty_lines(),
            Err(error) => return Err(error),
        }
    }
    Ok(true)
}

async fn refuse<S, A, H>(
    transport: &mut Transport<S, A>,
    limits: &Limits,
    handler: &mut H,
    error: Error,
) -> Result<(), Error>
where
    S: AsyncRead + AsyncWrite + Unpin,
    A: Account,
    H: Handler,
{
    if let Some(status) = error.status() {
        let response = handler.refuse(&error, status);
        if error == Error::Overloaded {
            if let Ok(bytes) = encode(response, "GET", true).await {
                transport.part(&bytes, LINGER_BYTES).await;
            }
            return Err(error);
        }
        transport.clear();
        let _ = send(transport, limits, response, "GET", true).await;
        transport.linger(LINGER_BYTES, clock::now() + LINGER).await;
    }
    Err(error)
}

async fn send<S, A>(
    transport: &mut Transport<S, A>,
    limits: &Limits,
    response: Response,
    method: &str,
    close: bool,
) -> Result<(), Error>
where
    S: AsyncRead + AsyncWrite + Unpin,
    A: Account,
{
    let bytes = encode(response, method, close).await?;
    // A connection that has to give way shows when the answer is not read.
    let _ = transport.hold(bytes.capacity());
    let deadline = clock::now() + limits.message;
    let written = transport.write(&bytes, deadline).await;
    let _ = transport.hold(0);
    written.map_err(|(_, error)| error)
}

async fn encode(mut response: Response, method: &str, close: bool) -> Result<Vec<u8>, Error> {
    if close {
        response.headers.remove("connection");
        response.headers.push("connection", "close");
    }
    match codec::encode_response(&response, method).await {
        Ok(bytes) => Ok(bytes),
        Err(_) => codec::encode_response(&Response::new(500), method).await,
    }
}

fn asks_to_close(response: &Response) -> bool {
    response.headers.get("connection") == Some("close")
}
