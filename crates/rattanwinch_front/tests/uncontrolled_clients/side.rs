//! The ports of a process beside a target of a site, and of an agent.

use std::net::SocketAddr;

use crate::CROWD;
use crate::REQUEST_MEMORY_KB;
use crate::crowd::Misuse;
use crate::crowd::misuse;
use crate::crowd::send;
use crate::crowd::send_all;
use crate::process::Process;
use crate::run_alone;

/// A body that is just below the limit of the executor's messages, 65,536 bytes.
const EXECUTOR_BODY: usize = 65_000;

/// A body far below the limit of messages between the system's own processes.
const PEER_BODY: usize = 261_000;

const EXECUTOR: &str = "127.18.0.2:8002";
const ORDERS: &str = "127.18.0.2:7000";
const AGENT: &str = "127.18.0.3:7000";

const LEAVE_PATH: &str = "/rattanwinch/Instances.Leave/i-1";

fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

async fn start_side() -> Process {
    let settings = format!(
        "[vm]\nname = side\nip = 127.18.0.2\npeer_port = 7000\n\
         [listen]\nexecutor = {EXECUTOR}\n\
         [store]\naddress = 127.18.0.9:9\n\
         [limits]\nlongest_lease_ms = 6000\nrequest_memory_kb = {REQUEST_MEMORY_KB}\n",
    );
    Process::start("rattanwinch-side", "side", &settings, address(EXECUTOR)).await
}

async fn start_agent() -> Process {
    let settings = format!(
        "[agent]\ntarget = t-1\nzone = a\nrack = r\nlisten = {AGENT}\n\
         executor = 127.18.0.9:9\nentries = 127.18.0.9:9\n\
         [limits]\nrequest_memory_kb = {REQUEST_MEMORY_KB}\n",
    );
    Process::start("rattanwinch-agent", "agent", &settings, address(AGENT)).await
}

/// An ordinary message of an executor: its departure.
fn departure() -> Vec<u8> {
    let body = r#"{"born":1}"#;
    let length = body.len();
    format!("POST {LEAVE_PATH} HTTP/1.1\r\nHost: side\r\nContent-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}

/// A call between the system's own processes; the method does not exist, which is an answer too.
pub fn rpc_call() -> Vec<u8> {
    let body = r#"{"jsonrpc":"2.0","id":1,"method":"none","params":[]}"#;
    let length = body.len();
    format!(
        "POST / HTTP/1.1\r\nHost: peer\r\nContent-Type: application/json\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// Guards against an agent that stops hearing its executor under misuse of the executor's port,
/// after which its runs would be given up.
#[tokio::test]
async fn misuse_of_the_executors_port_takes_bounded_memory() {
    let _alone = run_alone().await;
    let kinds = [
        [Misuse::EndlessHead; 6],
        [Misuse::EmptyLines; 6],
        Misuse::ALL,
    ];
    for kinds in &kinds {
        eprintln!("{kinds:?}");
        let mut side = start_side().await;
        let executor = address(EXECUTOR);
        let _crowd = misuse(executor, CROWD, kinds, LEAVE_PATH, EXECUTOR_BODY).await;
        side.assert_within_memory();
        let status = send(executor, &departure()).await;
        assert_eq!(status, Some(200), "the executor is answered");
        side.assert_within_memory();
    }
}

/// Guards against ports for calls between the system's own processes without limits.
#[tokio::test]
async fn misuse_of_the_ports_for_orders_takes_bounded_memory() {
    let _alone = run_alone().await;
    for port in [ORDERS, AGENT] {
        for kinds in [[Misuse::EndlessHead; 6], Misuse::ALL] {
            eprintln!("{port} {kinds:?}");
            let mut process = if port == ORDERS {
                start_side().await
            } else {
                start_agent().await
            };
            let _crowd = misuse(address(port), CROWD, &kinds, "/", PEER_BODY).await;
            process.assert_within_memory();
            let status = send(address(port), &rpc_call()).await;
            assert_eq!(status, Some(200), "an ordinary call is answered");
            process.assert_within_memory();
        }
    }
}

/// Control: a crowd of ordinary messages of the same size is served.
#[tokio::test]
async fn ordinary_messages_at_once_are_all_served() {
    let _alone = run_alone().await;
    let mut side = start_side().await;
    let statuses = send_all(address(EXECUTOR), vec![departure(); CROWD]).await;
    assert_eq!(statuses, vec![Some(200); CROWD]);
    let statuses = send_all(address(ORDERS), vec![rpc_call(); CROWD]).await;
    assert_eq!(statuses, vec![Some(200); CROWD]);
    side.assert_within_memory();
}
