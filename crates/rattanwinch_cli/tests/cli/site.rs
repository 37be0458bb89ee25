//! Serves an entry's HTTP API with the real store client and a stand-in store.

use std::net::SocketAddr;
use std::process::Output;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use poem::Route;
use poem::Server;
use poem::endpoint::make_sync;
use poem::listener::Acceptor as _;
use poem::listener::Listener as _;
use poem::listener::TcpListener;
use rattanwinch_callers::job_routes;
use rattanwinch_decisions::BurnReport;
use rattanwinch_decisions::BurnWindows;
use rattanwinch_operators::ConfigChanges;
use rattanwinch_operators::FleetReporter;
use rattanwinch_operators::GuaranteeReport;
use rattanwinch_operators::OperatorsApi;
use rattanwinch_operators::Result;
use rattanwinch_operators::TargetReport;
use rattanwinch_operators::ZoneReport;
use rattanwinch_operators::operator_routes;
use rattanwinch_platform::EtcdStore;
use rattanwinch_platform::StoreSettings;
use rattanwinch_standins::StandinStore;
use rattanwinch_standins::StoreLimits;
use rattanwinch_types::Exception;
use rattanwinch_types::ExceptionEffect;
use rattanwinch_types::ExceptionId;
use rattanwinch_types::Timestamp;
use rattanwinch_types::ZoneName;
use serde_json::json;

use crate::jobs::ScriptedJobs;

const NOW: Timestamp = Timestamp::from_millis(1_800_000_000_000);

/// A fleet with one closed zone, where one task ends between consecutive reports.
#[derive(Debug)]
pub struct DrainingFleet {
    tasks: Mutex<u32>,
}

impl FleetReporter for DrainingFleet {
    async fn targets(&self) -> Result<Vec<TargetReport>> {
        Ok(Vec::new())
    }

    async fn zones(&self) -> Result<Vec<ZoneReport>> {
        let mut tasks = self.tasks.lock().expect("no holder panics");
        let zone = ZoneName::new("a").expect("a valid name");
        let closing = Exception {
            id: ExceptionId::new("x1").expect("a valid id"),
            effect: ExceptionEffect::CloseZone(zone.clone()),
            reason: Arc::from("power works"),
            author: Arc::from("ada"),
            at: NOW,
        };
        let report = ZoneReport::builder()
            .zone(zone)
            .closed_by(closing)
            .targets(1)
            .running_tasks(*tasks)
            .in_flight(0)
            .waiting_jobs(0)
            .build();
        *tasks = tasks.saturating_sub(1);
        Ok(vec![report])
    }

    async fn guarantees(&self) -> Result<Vec<GuaranteeReport>> {
        Ok(Vec::new())
    }

    async fn burn(&self) -> Result<BurnReport> {
        Ok(BurnWindows::new().report(999_000, NOW))
    }
}

/// The running HTTP server and its store.
pub struct Site {
    pub url: String,
    /// The number of plain requests received.
    pub requests: Arc<AtomicU32>,
    pub store: StandinStore,
}

impl Site {
    pub async fn start() -> Self {
        let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        let store = StandinStore::start(any, StoreLimits::default()).await;
        let store = store.expect("a free port");
        let settings = StoreSettings::builder()
            .endpoints(vec![store.address()])
            .build();
        let client = EtcdStore::builder()
            .settings(settings)
            .client_name("cli-test")
            .start();
        let changes = ConfigChanges::new(Arc::new(client));
        let fleet = DrainingFleet {
            tasks: Mutex::new(3),
        };
        let api = OperatorsApi::new(changes, Arc::new(fleet), Arc::new(|| NOW));
        let requests = Arc::new(AtomicU32::new(0));
        let arrived = Arc::clone(&requests);
        let answer = make_sync(move |_| {
            arrived.fetch_add(1, Ordering::AcqRel);
            json!({"organisation": "o", "id": "1", "verdict": "ran", "answer": "done",
                "sha256": ""})
            .to_string()
        });
        let app = Route::new()
            .nest("/v1", operator_routes(&Arc::new(api)))
            .nest("/v1/jobs", job_routes(&Arc::new(ScriptedJobs::default())))
            .at("/v1/requests", poem::post(answer));
        let acceptor = TcpListener::bind(any).into_acceptor().await;
        let acceptor = acceptor.expect("a free port");
        let address = acceptor.local_addr()[0].as_socket_addr().copied();
        tokio::spawn(Server::new_with_acceptor(acceptor).run(app));
        Self {
            url: format!("http://{}", address.expect("a TCP address")),
            requests,
            store,
        }
    }

    /// Runs the command against this server.
    pub async fn command(&self, arguments: &[&str]) -> Outcome {
        let entry = ["--entry", &self.url];
        command(&[&entry, arguments].concat()).await
    }
}

/// The exit code and output of the command.
#[derive(Debug)]
pub struct Outcome {
    pub code: Option<i32>,
    pub stdout: String,
    pub stderr: String,
}

/// Runs the command as a process.
pub async fn command(arguments: &[&str]) -> Outcome {
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_rattanwinch"));
    command.args(arguments).env("USER", "ada");
    let ended = tokio::task::spawn_blocking(move || command.output()).await;
    let output: Output = ended.expect("the task ends").expect("the command starts");
    Outcome {
        code: output.status.code(),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}
