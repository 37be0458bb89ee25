use std::time::Duration;

use rattanwinch_runtime::SettingsFile;

use crate::PortLimits;
use crate::port_limits::CONNECTION_OVERHEAD;
use crate::port_limits::FREE_BODY_BYTES;

/// The smallest machine of the users' sites has 120 MB.
const DEFAULT_MEMORY_MB: usize = 120;

/// Descriptors that are reserved for files and for connections that the process opens itself.
const OWN_DESCRIPTORS: usize = 200;

/// Descriptors on systems that state no limit; the smallest machine of the users' sites has 3,075.
const DEFAULT_DESCRIPTORS: u64 = 3075;

/// Connections of a port that the site's own machines use, such as readiness and metrics.
const SERVICE_CONNECTIONS: usize = 512;

/// Connections that each port can have at least, whatever the memory of the machine.
const MIN_CONNECTIONS: usize = 16;

/// Largest body on ports whose requests have none.
const SERVICE_BODY_BYTES: usize = 1024;

/// The smallest parser buffer that hyper allows.
const MIN_HEADER_BYTES: usize = 8192;

/// Limits of a process for the requests that it receives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// Memory for requests that have not arrived completely, in bytes.
    pub request_memory: usize,
    /// Maximum number of open connections from callers.
    pub max_connections: usize,
    /// Maximum size of a request's head.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body.
    pub max_body_bytes: usize,
    /// Time within which a head has to arrive.
    pub header_timeout: Duration,
    /// Time within which the next bytes of a body have to arrive.
    pub body_timeout: Duration,
    /// How long a connection stays open between requests.
    pub idle_timeout: Duration,
}

impl Default for HttpLimits {
    /// The limits in the operators' configuration, on the smallest machine of the users' sites.
    fn default() -> Self {
        Self {
            request_memory: default_request_memory(),
            max_connections: default_connections(),
            max_header_bytes: 16_384,
            max_body_bytes: 262_144,
            header_timeout: Duration::from_millis(3000),
            // At 10 Mbit/s, a whole body takes 0.2 s; this allows for two lost packets in a row.
            body_timeout: Duration::from_millis(5000),
            idle_timeout: Duration::from_millis(15_000),
        }
    }
}

impl HttpLimits {
    /// Reads the settings from the section `limits` of `file`, which collects the errors.
    pub fn from_file(file: &mut SettingsFile) -> Option<Self> {
        Self::default().read(file)
    }

    /// As [`Self::from_file`], with these limits as defaults.
    pub fn read(self, file: &mut SettingsFile) -> Option<Self> {
        let default = self;
        let request_memory = file.optional(
            "limits",
            "request_memory_kb",
            default.request_memory / 1024,
            "kilobytes",
        );
        let mut bytes = |key, default| file.optional("limits", key, default, "a whole number");
        let max_connections = bytes("max_connections", default.max_connections);
        let max_header_bytes = bytes("max_header_bytes", default.max_header_bytes);
        let max_body_bytes = bytes("max_body_bytes", default.max_body_bytes);
        let header_timeout = file.millis("limits", "header_timeout_ms", default.header_timeout);
        let body_timeout = file.millis("limits", "body_timeout_ms", default.body_timeout);
        let idle_timeout = file.millis("limits", "idle_timeout_ms", default.idle_timeout);
        let limits = Self {
            request_memory: request_memory?.saturating_mul(1024),
            max_connections: max_connections?,
            max_header_bytes: max_header_bytes?,
            max_body_bytes: max_body_bytes?,
            header_timeout: header_timeout?,
            body_timeout: body_timeout?,
            idle_timeout: idle_timeout?,
        };
        let smallest = limits.smallest_request_memory();
        if limits.request_memory < smallest {
            let found = limits.request_memory / 1024;
            let expected = format!("at least {}, for one request", smallest.div_ceil(1024));
            file.add_error("limits", "request_memory_kb", &found.to_string(), &expected);
        }
        if limits.max_header_bytes < MIN_HEADER_BYTES {
            let expected = format!("at least {MIN_HEADER_BYTES}");
            let found = limits.max_header_bytes.to_string();
            file.add_error("limits", "max_header_bytes", &found, &expected);
        }
        if limits.max_connections < MIN_CONNECTIONS {
            let expected = format!("at least {MIN_CONNECTIONS}");
            let found = limits.max_connections.to_string();
            file.add_error("limits", "max_connections", &found, &expected);
        }
        Some(limits)
    }

    /// Limits of a port for callers: it gets all memory for requests.
    #[must_use]
    pub fn caller_port(&self) -> PortLimits {
        self.port(self.max_body_bytes, self.max_connections, 2)
    }

    /// Limits of a port for messages of at most `max_body_bytes` from clients next to the process.
    #[must_use]
    pub fn local_port(&self, max_body_bytes: usize) -> PortLimits {
        self.port(max_body_bytes, self.max_connections, 4)
    }

    /// Limits of a port whose requests have no body, with capacity of its own.
    #[must_use]
    pub fn service_port(&self) -> PortLimits {
        self.port(SERVICE_BODY_BYTES, SERVICE_CONNECTIONS, 8)
    }

    /// Limits of a port for calls between the system's own processes, with capacity of its own. The
    /// number of connections follows from the size of the site, whatever the memory for requests.
    #[must_use]
    pub fn peer_port(&self, max_body_bytes: usize, max_connections: usize) -> PortLimits {
        PortLimits {
            max_connections,
            ..self.port(max_body_bytes, max_connections, 4)
        }
    }

    /// A port that gets one part in `parts` of the memory for connections, and one for bodies.
    fn port(&self, max_body_bytes: usize, max_connections: usize, parts: usize) -> PortLimits {
        let memory = self.request_memory / parts;
        let connection_bytes = self.max_header_bytes + CONNECTION_OVERHEAD;
        PortLimits {
            max_connections: max_connections
                .min(memory / connection_bytes)
                .max(MIN_CONNECTIONS),
            max_header_bytes: self.max_header_bytes,
            max_body_bytes,
            body_memory: memory.max(max_body_bytes),
            handling_memory: (memory / 2).max(max_body_bytes),
            header_timeout: self.header_timeout,
            body_timeout: self.body_timeout,
            idle_timeout: self.idle_timeout,
        }
    }

    /// One connection and one body have to fit into the halves of the callers' port.
    const fn smallest_request_memory(&self) -> usize {
        let connections = MIN_CONNECTIONS * (self.max_header_bytes + CONNECTION_OVERHEAD);
        let body = self.max_body_bytes + FREE_BODY_BYTES;
        2 * if connections > body {
            connections
        } else {
            body
        }
    }
}

/// Two fifths of the machine's memory: the process has 10 MB at rest, its state grows with the
/// jobs, and bodies that are handled take another tenth.
const fn default_request_memory() -> usize {
    DEFAULT_MEMORY_MB * 1024 * 1024 / 5 * 2
}

fn default_connections() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    let descriptors = limit.current.unwrap_or(DEFAULT_DESCRIPTORS);
    let descriptors = usize::try_from(descriptors).unwrap_or(usize::MAX);
    descriptors
        .saturating_sub(OWN_DESCRIPTORS)
        .max(MIN_CONNECTIONS)
}
