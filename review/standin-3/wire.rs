//! HTTP/1.1 over blocking sockets: a server with a thread for each connection, and a client.

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

pub struct Message {
    /// The first line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or_default()
    }
}

/// Reads one message. None at the end of the stream.
pub fn read(stream: &mut TcpStream, ahead: &mut Vec<u8>) -> Option<Message> {
    let mut chunk = [0; 16 << 10];
    let end = loop {
        if let Some(at) = ahead.windows(4).position(|it| it == b"\r\n\r\n") {
            break at + 4;
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => ahead.extend_from_slice(&chunk[..count]),
        }
    };
    let head = String::from_utf8_lossy(&ahead[..end]).into_owned();
    ahead.drain(..end);
    let mut lines = head.split("\r\n");
    let start = lines.next()?.to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let mut message = Message { start, headers, body: Vec::new() };
    let length: usize = message.header("content-length").parse().unwrap_or(0);
    while ahead.len() < length {
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => ahead.extend_from_slice(&chunk[..count]),
        }
    }
    message.body = ahead.drain(..length).collect();
    Some(message)
}

/// An answer: status and body; none if the connection ends without one.
pub type Answer = Option<(u16, String)>;

/// A server that can be taken down, with all its connections, and up again at the same address.
pub struct Server {
    pub address: SocketAddr,
    up: AtomicBool,
    life: AtomicU64,
    open: Mutex<Vec<TcpStream>>,
    handle: Box<dyn Fn(&Message) -> Answer + Send + Sync>,
}

impl Server {
    pub fn open(
        address: SocketAddr,
        handle: impl Fn(&Message) -> Answer + Send + Sync + 'static,
    ) -> Arc<Self> {
        let server = Arc::new(Self {
            address,
            up: AtomicBool::new(false),
            life: AtomicU64::new(0),
            open: Mutex::default(),
            handle: Box::new(handle),
        });
        server.start();
        server
    }

    /// Accepts connections. Does nothing if it does already.
    pub fn start(self: &Arc<Self>) {
        if self.up.swap(true, Ordering::SeqCst) {
            return;
        }
        let life = self.life.fetch_add(1, Ordering::SeqCst) + 1;
        let began = Instant::now();
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(error) if began.elapsed() > Duration::from_secs(2) => {
                    panic!("{}: {error}", self.address)
                }
                Err(_) => std::thread::sleep(Duration::from_millis(5)),
            }
        };
        listener.set_nonblocking(true).expect("nonblocking");
        let server = Arc::clone(self);
        std::thread::spawn(move || {
            while server.lives(life) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            let mut open = server.open.lock().unwrap();
                            open.push(copy);
                        }
                        let server = Arc::clone(&server);
                        std::thread::spawn(move || server.serve(stream, life));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(2)),
                }
            }
        });
    }

    /// Refuses connections and ends those that are open.
    pub fn stop(&self) {
        self.up.store(false, Ordering::SeqCst);
        self.life.fetch_add(1, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn lives(&self, life: u64) -> bool {
        self.life.load(Ordering::SeqCst) == life
    }

    fn serve(&self, mut stream: TcpStream, life: u64) {
        let mut ahead = Vec::new();
        while let Some(request) = read(&mut stream, &mut ahead) {
            if !self.lives(life) {
                return;
            }
            let Some((status, body)) = (self.handle)(&request) else { return };
            if !self.lives(life) {
                return;
            }
            let head = format!(
                "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all(&[head.as_bytes(), body.as_bytes()].concat()).is_err() {
                return;
            }
        }
    }
}

/// Sends a request over a connection of its own. None without an answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    send(&mut stream, method, target, headers, body, timeout)
}

/// Sends a request over an open connection.
pub fn send(
    stream: &mut TcpStream,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    stream.set_read_timeout(Some(timeout)).ok()?;
    let _ = stream.set_nodelay(true);
    let mut text = format!("{method} {target} HTTP/1.1\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    text += body;
    stream.write_all(text.as_bytes()).ok()?;
    let answer = read(stream, &mut Vec::new())?;
    Some((answer.status(), String::from_utf8_lossy(&answer.body).into_owned()))
}

/// A block `127.X.Y.0/24` of loopback addresses that nothing else listens on.
pub fn subnet() -> [u8; 3] {
    let first = std::process::id();
    for step in 0..40_000_u32 {
        let number = first.wrapping_add(step.wrapping_mul(7_919));
        let octets = [127, 20 + (number % 200) as u8, (number / 200 % 250) as u8];
        let address = Ipv4Addr::new(octets[0], octets[1], octets[2], 1);
        if TcpListener::bind((address, 7_998)).is_ok() && TcpListener::bind((address, 9_464)).is_ok() {
            return octets;
        }
    }
    panic!("no free loopback addresses");
}

/// A free port at an address.
pub fn free_port(ip: Ipv4Addr) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("bound")
}
