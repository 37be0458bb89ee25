//! A port on loopback: what is passed on, and what is refused.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use poem::endpoint::make_sync;
use rattanwinch_http_server::HttpLimits;
use rattanwinch_http_server::HttpServer;
use rattanwinch_http_server::poem_handler;
use slog::Discard;
use slog::Logger;
use slog::o;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

/// Serves a port that counts the requests that are passed on.
async fn serve(limits: &HttpLimits) -> (SocketAddr, Arc<AtomicUsize>) {
    let passed_on = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&passed_on);
    let endpoint = make_sync(move |_| {
        counted.fetch_add(1, Ordering::AcqRel);
        "done"
    });
    let any_port = "127.0.0.1:0".parse().expect("an address");
    let server = HttpServer::bind(any_port).await.expect("a free port");
    let address = server.address();
    let log = Logger::root(Discard, o!());
    let server = server.with_handler("test", limits.caller_port(), poem_handler(endpoint), log);
    tokio::spawn(server.run(CancellationToken::new(), Duration::ZERO));
    (address, passed_on)
}

fn post(stated: usize, sent: usize) -> Vec<u8> {
    let body = "b".repeat(sent);
    format!("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {stated}\r\n\r\n{body}").into_bytes()
}

async fn send(address: SocketAddr, req: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a listener");
    stream.write_all(req).await.expect("sent");
    let mut status = [0; 12];
    stream.read_exact(&mut status).await.expect("an answer");
    String::from_utf8_lossy(&status).into_owned()
}

/// Guards against a refusal of a request that was passed on and may run.
#[tokio::test]
async fn refused_requests_are_not_passed_on() {
    let limits = HttpLimits {
        body_timeout: Duration::from_millis(300),
        ..HttpLimits::default()
    };
    let (address, passed_on) = serve(&limits).await;
    let too_large = send(address, &post(limits.max_body_bytes + 1, 0)).await;
    assert_eq!(too_large, "HTTP/1.1 413");
    let stalled = send(address, &post(100_000, 99_999)).await;
    assert_eq!(stalled, "HTTP/1.1 408");
    let chunk = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nno chunk\r\n";
    assert_eq!(send(address, chunk.as_bytes()).await, "HTTP/1.1 400");
    let head = format!(
        "GET / HTTP/1.1\r\nX: {}",
        "h".repeat(limits.max_header_bytes)
    );
    assert_eq!(send(address, head.as_bytes()).await, "HTTP/1.1 431");
    assert_eq!(passed_on.load(Ordering::Acquire), 0);
}

/// Guards against memory that stalled bodies hold while a whole one waits for it.
#[tokio::test]
async fn a_stalled_body_is_shed_for_a_whole_one() {
    let limits = HttpLimits {
        request_memory: 1024 * 1024,
        ..HttpLimits::default()
    };
    let (address, passed_on) = serve(&limits).await;
    let (stated, sent) = (250_000, 249_999);
    let stalled = post(stated, sent);
    let first = tokio::spawn(async move { send(address, &stalled).await });
    let second = post(stated, sent);
    let second = tokio::spawn(async move { send(address, &second).await });
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(send(address, &post(stated, stated)).await, "HTTP/1.1 200");
    let stalled = [first.await, second.await].map(|status| status.expect("no panic"));
    assert!(stalled.contains(&"HTTP/1.1 503".to_owned()), "{stalled:?}");
    assert_eq!(passed_on.load(Ordering::Acquire), 1);
}

/// Guards against limits that a legal request of the largest size meets in calm conditions.
#[tokio::test]
async fn a_request_of_the_largest_size_is_passed_on() {
    let limits = HttpLimits::default();
    let (address, passed_on) = serve(&limits).await;
    let max = limits.max_body_bytes;
    assert_eq!(send(address, &post(max, max)).await, "HTTP/1.1 200");
    let start = "GET / HTTP/1.1\r\nHost: h\r\nX: ";
    let filler = "h".repeat(limits.max_header_bytes - start.len() - 4);
    let head = format!("{start}{filler}\r\n\r\n");
    assert_eq!(send(address, head.as_bytes()).await, "HTTP/1.1 200");
    assert_eq!(passed_on.load(Ordering::Acquire), 2);
}
