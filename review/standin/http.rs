//! HTTP/1.1 with whole bodies over blocking sockets.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }
}

#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub body: String,
}

impl Response {
    pub fn new(status: u16, body: impl Into<String>) -> Self {
        Self { status, body: body.into() }
    }
}

/// Reads one message: its first line, its headers and its body.
fn read_message(stream: &mut TcpStream, ahead: &mut Vec<u8>) -> Option<(String, Vec<(String, String)>, Vec<u8>)> {
    let mut buffer = [0; 16 << 10];
    let end = loop {
        if let Some(at) = ahead.windows(4).position(|it| it == b"\r\n\r\n") {
            break at;
        }
        let count = stream.read(&mut buffer).ok()?;
        if count == 0 {
            return None;
        }
        ahead.extend_from_slice(&buffer[..count]);
    };
    let head = String::from_utf8_lossy(&ahead[..end]).into_owned();
    ahead.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let first = lines.next()?.to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect();
    let find = |name: &str| headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
    let chunked = find("transfer-encoding").is_some_and(|(_, value)| value.contains("chunked"));
    let mut body = Vec::new();
    let mut fill = |ahead: &mut Vec<u8>, count: usize| -> Option<()> {
        while ahead.len() < count {
            let read = stream.read(&mut buffer).ok()?;
            if read == 0 {
                return None;
            }
            ahead.extend_from_slice(&buffer[..read]);
        }
        Some(())
    };
    if chunked {
        loop {
            let line = loop {
                if let Some(at) = ahead.windows(2).position(|it| it == b"\r\n") {
                    break at;
                }
                let more = ahead.len() + 1;
                fill(ahead, more)?;
            };
            let size = String::from_utf8_lossy(&ahead[..line]).into_owned();
            let size = usize::from_str_radix(size.split(';').next()?.trim(), 16).ok()?;
            fill(ahead, line + 2 + size + 2)?;
            body.extend_from_slice(&ahead[line + 2..line + 2 + size]);
            ahead.drain(..line + 2 + size + 2);
            if size == 0 {
                break;
            }
        }
    } else {
        let length = find("content-length").and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
        fill(ahead, length)?;
        body = ahead.drain(..length).collect();
    }
    Some((first, headers, body))
}

/// Answers the requests of one connection, until `handle` gives no answer: then the connection closes
/// without one.
pub fn serve(mut stream: TcpStream, mut handle: impl FnMut(&Request) -> Option<Response>) {
    let _ = stream.set_nodelay(true);
    let mut ahead = Vec::new();
    while let Some((first, headers, body)) = read_message(&mut stream, &mut ahead) {
        let mut words = first.split(' ');
        let target = words.nth(1).unwrap_or_default().to_owned();
        let request = Request { target, headers, body };
        let Some(response) = handle(&request) else { return };
        let head = format!(
            "HTTP/1.1 {} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            response.status,
            response.body.len()
        );
        if stream.write_all((head + &response.body).as_bytes()).is_err() {
            return;
        }
    }
}

/// Sends a request over a connection of its own. Returns the status and body of the answer, or nothing if
/// there is none in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, String)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let _ = stream.set_nodelay(true);
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() {
        text += &format!("content-type: application/json\r\ncontent-length: {}\r\n", body.len());
    }
    text += "\r\n";
    text += body;
    stream.write_all(text.as_bytes()).ok()?;
    let (first, _, body) = read_message(&mut stream, &mut Vec::new())?;
    Some((first.split(' ').nth(1)?.parse().ok()?, body))
}
