//! A small HTTP/1.1 server and client over `std::net`.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request as a stand-in sees it.
pub struct Request {
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn query(&self, name: &str) -> Option<&str> {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// What a stand-in does with a request.
pub enum Reply {
    Answer(u16, String),
    /// Closes the connection without an answer.
    Close,
}

/// Decides about connections and answers requests.
pub trait Service: Send + Sync + 'static {
    /// Called when a connection has been accepted; the result identifies it to `admit`.
    fn accepted(&self) -> u64 {
        0
    }

    /// Called when a request has been read, before it is answered; false drops the connection. May
    /// block, as a partition does.
    fn admit(&self, _connection: u64, _stream: &TcpStream) -> bool {
        true
    }

    fn answer(&self, req: &Request) -> Reply;
}

/// Serves `service` until the process ends.
pub fn serve<S: Service>(address: SocketAddr, service: Arc<S>) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let service = Arc::clone(&service);
            let connection = service.accepted();
            thread::spawn(move || {
                // A client that has gone away ends its connection; there is no one to tell.
                let _ = serve_connection(stream, connection, &*service);
            });
        }
    });
    Ok(())
}

fn serve_connection<S: Service>(
    mut stream: TcpStream,
    connection: u64,
    service: &S,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buf = Vec::new();
    while let Some((req, used)) = read_request(&mut stream, &mut buf)? {
        buf.drain(..used);
        if !service.admit(connection, &stream) {
            return Ok(());
        }
        match service.answer(&req) {
            Reply::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                stream.write_all(format!("{head}{body}").as_bytes())?;
            }
            Reply::Close => return Ok(()),
        }
    }
    Ok(())
}

fn find(buf: &[u8], what: &[u8]) -> Option<usize> {
    buf.windows(what.len()).position(|window| window == what)
}

fn content_length(head: &str) -> usize {
    let lines = head.lines().filter_map(|line| line.split_once(':'));
    let mut lengths = lines.filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    lengths
        .next()
        .and_then(|(_, value)| value.trim().parse().ok())
        .unwrap_or(0)
}

/// Reads one message; `None` at the end of the connection. Returns head, body and length.
fn read_message(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
) -> std::io::Result<Option<(String, String, usize)>> {
    let mut chunk = [0_u8; 16384];
    loop {
        if let Some(end) = find(buf, b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).into_owned();
            let total = end + 4 + content_length(&head);
            if buf.len() >= total {
                let body = String::from_utf8_lossy(&buf[end + 4..total]).into_owned();
                return Ok(Some((head, body, total)));
            }
        }
        let read = stream.read(&mut chunk)?;
        if read == 0 {
            return Ok(None);
        }
        buf.extend_from_slice(&chunk[..read]);
    }
}

fn read_request(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
) -> std::io::Result<Option<(Request, usize)>> {
    let Some((head, body, used)) = read_message(stream, buf)? else {
        return Ok(None);
    };
    let mut lines = head.lines();
    let mut first = lines.next().unwrap_or_default().split(' ');
    let target = first.nth(1).unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query
        .map(|(key, value)| (decode(key), decode(value)))
        .collect();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers
        .map(|(key, value)| (key.to_owned(), value.trim().to_owned()))
        .collect();
    Ok(Some((
        Request {
            path: path.to_owned(),
            query,
            headers,
            body,
        },
        used,
    )))
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        if let Some(byte) = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            out.push(byte);
            at += 3;
        } else {
            out.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends one request on a connection of its own; `None` without an answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n",
        body.len()
    );
    if !headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("host"))
    {
        head.push_str("Host: standin\r\n");
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("Content-Type: application/json\r\n\r\n");
    stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
    let mut buf = Vec::new();
    let (head, body, _) = read_message(&mut stream, &mut buf).ok()??;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, body))
}
