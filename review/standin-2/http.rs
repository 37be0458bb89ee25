//! HTTP/1.1 over loopback: a server with a thread for each connection, and a client that opens a
//! connection for each call.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::json::Json;

pub struct Request {
    pub path: String,
    query: Vec<(String, String)>,
    pub body: Json,
}

impl Request {
    pub fn param(&self, name: &str) -> &str {
        let found = self.query.iter().find(|(param, _)| param == name);
        found.map_or("", |(_, value)| value)
    }
}

/// The status and the body of an answer.
pub type Reply = (u16, Json);

pub fn serve(listener: TcpListener, handler: impl Fn(&Request) -> Reply + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(&Request) -> Reply) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let (status, body) = handler(&request);
        let body = body.to_string();
        let head = format!(
            "HTTP/1.1 {status} -\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        if writer.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

/// Reads the lines of a message's head; the first one, and the length of the body.
fn read_head(reader: &mut impl BufRead) -> Option<(String, usize)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim().to_ascii_lowercase();
        if line.is_empty() {
            return Some((first, length));
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, length) = read_head(reader)?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let mut words = first.split_whitespace();
    words.next()?;
    let (path, query) = words.next()?.split_once('?').map_or_else(
        || (first.split_whitespace().nth(1).unwrap_or_default(), ""),
        |parts| parts,
    );
    let query = query.split('&').filter_map(|pair| {
        let (name, value) = pair.split_once('=')?;
        Some((name.to_owned(), decode_percent(value)))
    });
    Some(Request {
        path: path.to_owned(),
        query: query.collect(),
        body: Json::parse(&body).unwrap_or(Json::Null),
    })
}

fn decode_percent(text: &str) -> String {
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        if let Some(byte) = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            out.push(byte);
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends a request; the status and the body of the answer, `None` if there was none in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, Json)> {
    let deadline = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    let has_host = headers.iter().any(|(name, _)| *name == "host");
    if !has_host {
        head += &format!("host: {address}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!(
        "content-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes()).ok()?;
    let left = deadline.saturating_duration_since(Instant::now());
    stream
        .set_read_timeout(Some(left.max(Duration::from_millis(1))))
        .ok()?;
    let mut reader = BufReader::new(stream);
    let (first, length) = read_head(&mut reader)?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let status = first.split_whitespace().nth(1)?.parse().ok()?;
    Some((status, Json::parse(&body).unwrap_or(Json::Null)))
}
