//! Clients that exceed the limits or stall, and a control of well-behaved ones.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// How long a client goes on sending when its connection takes no bytes; it then stalls.
const SEND_TIME: Duration = Duration::from_secs(8);

/// How long a connection may take to be answered or to be accepted.
const ANSWER_TIME: Duration = Duration::from_secs(30);

/// What a client sends before it stalls with its connection open.
#[derive(Clone, Copy, Debug)]
pub enum Misuse {
    /// Nothing.
    Silence,
    /// 95 header lines of 3.9 KB without an end.
    EndlessHead,
    /// 150,000 empty lines before a request.
    EmptyLines,
    /// A body with a length, but for its last bytes.
    StalledBody,
    /// A body in chunks of 8,000 bytes, without the last chunk.
    LargeChunks,
    /// A body in chunks of 256 bytes, without the last chunk.
    SmallChunks,
}

impl Misuse {
    pub const ALL: [Self; 6] = [
        Self::Silence,
        Self::EndlessHead,
        Self::EmptyLines,
        Self::StalledBody,
        Self::LargeChunks,
        Self::SmallChunks,
    ];

    fn bytes(self, path: &str, body_len: usize) -> Vec<u8> {
        let start = format!("POST {path} HTTP/1.1\r\nHost: jobs.example\r\n");
        match self {
            Self::Silence => Vec::new(),
            Self::EndlessHead => {
                let line = |number| format!("X-{number}: {}\r\n", "h".repeat(3900));
                let lines: String = (0..95).map(line).collect();
                (start + &lines).into_bytes()
            }
            Self::EmptyLines => "\r\n".repeat(150_000).into_bytes(),
            Self::StalledBody => {
                let body = "b".repeat(body_len);
                let length = body_len + 1000;
                format!("{start}Content-Length: {length}\r\n\r\n{body}").into_bytes()
            }
            Self::LargeChunks => chunked(&start, body_len, 8000),
            Self::SmallChunks => chunked(&start, body_len, 256),
        }
    }
}

fn chunked(start: &str, body_len: usize, chunk_len: usize) -> Vec<u8> {
    let chunk = format!("{chunk_len:x}\r\n{}\r\n", "c".repeat(chunk_len));
    let chunks = chunk.repeat(body_len / chunk_len);
    format!("{start}Transfer-Encoding: chunked\r\n\r\n{chunks}").into_bytes()
}

/// Connections of misbehaving clients; they close when this is dropped.
pub struct Crowd {
    /// The connections that the process left open.
    _open: Vec<TcpStream>,
}

/// Opens `size` connections that misuse `path` at the same time, the kinds in turn, and returns
/// when all clients have sent what they could.
pub async fn misuse(
    address: SocketAddr,
    size: usize,
    kinds: &[Misuse],
    path: &str,
    body_len: usize,
) -> Crowd {
    let mut clients = JoinSet::new();
    for index in 0..size {
        let bytes = kinds[index % kinds.len()].bytes(path, body_len);
        clients.spawn(async move {
            let connected = tokio::time::timeout(ANSWER_TIME, TcpStream::connect(address)).await;
            let mut stream = connected.ok()?.ok()?;
            // The process may close the connection or read no more from it.
            let _ = tokio::time::timeout(SEND_TIME, stream.write_all(&bytes)).await;
            Some(stream)
        });
    }
    let open = clients.join_all().await.into_iter().flatten().collect();
    Crowd { _open: open }
}

/// Sends one whole request and returns the status of its answer; `None` if there was none.
pub async fn send(address: SocketAddr, req: &[u8]) -> Option<u16> {
    let answered = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        // An answer may come before the last byte of the request.
        let _ = stream.write_all(req).await;
        let mut answer = Vec::new();
        while answer.len() < "HTTP/1.1 200".len() {
            if stream.read_buf(&mut answer).await.ok()? == 0 {
                return None;
            }
        }
        std::str::from_utf8(answer.get(9..12)?).ok()?.parse().ok()
    };
    tokio::time::timeout(ANSWER_TIME, answered).await.ok()?
}

/// Sends all requests at the same time, each on a connection of its own, and returns the statuses.
pub async fn send_all(address: SocketAddr, requests: Vec<Vec<u8>>) -> Vec<Option<u16>> {
    let mut clients = JoinSet::new();
    for req in requests {
        clients.spawn(async move { send(address, &req).await });
    }
    clients.join_all().await
}
