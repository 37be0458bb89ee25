//! The ports of an entry.

use std::net::SocketAddr;

use crate::CROWD;
use crate::REQUEST_MEMORY_KB;
use crate::crowd::Misuse;
use crate::crowd::misuse;
use crate::crowd::send;
use crate::crowd::send_all;
use crate::process::Process;
use crate::run_alone;
use crate::side::rpc_call;

const HTTP: &str = "127.18.0.4:8080";
const RPC: &str = "127.18.0.4:8081";

/// A body that is below the limits of both ports.
const LARGE_BODY: usize = 261_000;

fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

/// Starts an entry whose store does not answer; it is alive and not ready.
async fn start_entry() -> Process {
    let settings = format!(
        "[entry]\nentry = e-1\nzone = a\nhttp_listen = {HTTP}\nrpc_listen = {RPC}\n\
         [store]\nendpoints = 127.18.0.9:9\n\
         [limits]\nrequest_memory_kb = {REQUEST_MEMORY_KB}\n",
    );
    Process::start("rattanwinch-entry", "entry", &settings, address(HTTP)).await
}

fn liveness() -> Vec<u8> {
    b"GET /live HTTP/1.1\r\nHost: entry\r\n\r\n".to_vec()
}

/// Guards against an entry whose ports have no limits.
#[tokio::test]
async fn misuse_of_an_entry_takes_bounded_memory() {
    let _alone = run_alone().await;
    for (port, path) in [(HTTP, "/v1/requests"), (RPC, "/")] {
        for kinds in [[Misuse::EndlessHead; 6], Misuse::ALL] {
            eprintln!("{port} {kinds:?}");
            let mut entry = start_entry().await;
            let _crowd = misuse(address(port), CROWD, &kinds, path, LARGE_BODY).await;
            entry.assert_within_memory();
            let status = send(address(HTTP), &liveness()).await;
            assert_eq!(status, Some(200), "a liveness check is answered");
            let status = send(address(RPC), &rpc_call()).await;
            assert_eq!(status, Some(200), "an ordinary call is answered");
            entry.assert_within_memory();
        }
    }
}

/// Control: a crowd of ordinary requests of the same size is served.
#[tokio::test]
async fn ordinary_requests_of_an_entry_are_all_served() {
    let _alone = run_alone().await;
    let mut entry = start_entry().await;
    let statuses = send_all(address(HTTP), vec![liveness(); CROWD]).await;
    assert_eq!(statuses, vec![Some(200); CROWD]);
    let statuses = send_all(address(RPC), vec![rpc_call(); CROWD]).await;
    assert_eq!(statuses, vec![Some(200); CROWD]);
    entry.assert_within_memory();
}
