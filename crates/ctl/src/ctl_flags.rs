//! Command line and environment.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;
use zinniahinge_kv::KvSettings;
use zinniahinge_types::Revision;

use crate::CtlError;
use crate::Result;

/// Checks, compares and accepts the documents of services, and makes keys.
///
/// Exit codes: 0 done, 1 failure, 2 bad settings or document, 3 conflict.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum CtlCommand {
    /// Report every fault of documents
    #[bpaf(command)]
    Check {
        /// Documents to check
        #[bpaf(positional("FILE"), some("no FILE is given"))]
        files: Vec<PathBuf>,
    },
    /// Print how a file differs from the document in force
    #[bpaf(command)]
    Diff {
        /// Key-value service
        #[bpaf(external)]
        store_flags: StoreFlags,
        /// Service
        #[bpaf(positional("SERVICE"))]
        service: String,
        /// New document
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Put a document in force
    #[bpaf(command)]
    Accept {
        /// Key-value service
        #[bpaf(external)]
        store_flags: StoreFlags,
        /// Revision that the document was reviewed against; without it, only the first document
        /// of a service is accepted
        #[bpaf(argument("REVISION"))]
        reviewed: Option<Revision>,
        /// Document to accept
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print the document in force
    #[bpaf(command)]
    Show {
        /// Key-value service
        #[bpaf(external)]
        store_flags: StoreFlags,
        /// Print the revision only
        revision: bool,
        /// Service
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
    /// List the documents in force
    #[bpaf(command)]
    List {
        /// Key-value service
        #[bpaf(external)]
        store_flags: StoreFlags,
    },
    /// Make keys and digests
    #[bpaf(command)]
    Keys {
        /// What to do
        #[bpaf(external)]
        key_command: KeyCommand,
    },
}

/// Commands about keys.
#[derive(Clone, Debug, Bpaf)]
pub enum KeyCommand {
    /// Generate a key, and print it once with its digest
    #[bpaf(command)]
    New {
        /// Client account that the key is for
        #[bpaf(argument("NAME"))]
        account: Option<String>,
    },
    /// Print the digest of the key on standard input
    #[bpaf(command)]
    Digest,
}

/// How to reach the key-value service.
#[derive(Clone, Debug, Bpaf)]
pub struct StoreFlags {
    /// Addresses of the key-value service, separated by commas
    #[bpaf(argument("IP:PORT,.."), env("ZINNIAHINGE_KV"))]
    pub kv: String,
    /// Longest time for one request, in milliseconds
    #[bpaf(
        argument("MS"),
        env("ZINNIAHINGE_KV_TIMEOUT_MS"),
        fallback(2000),
        display_fallback
    )]
    pub kv_timeout_ms: u64,
}

impl StoreFlags {
    /// Checks the settings; all faults are reported at once.
    pub fn to_settings(&self) -> Result<KvSettings> {
        let Self { kv, kv_timeout_ms } = self;
        let mut faults = Vec::new();
        let mut endpoints = Vec::new();
        for text in kv.split(',').map(str::trim) {
            match text.parse::<SocketAddr>() {
                Ok(endpoint) => endpoints.push(endpoint),
                Err(_) => faults.push(format!("--kv: `{text}` is not IP:PORT")),
            }
        }
        if *kv_timeout_ms == 0 || *kv_timeout_ms > 60_000 {
            faults.push(format!(
                "--kv-timeout-ms: {kv_timeout_ms} is not from 1 to 60000"
            ));
        }
        if !faults.is_empty() {
            return Err(CtlError::Settings { faults });
        }
        let timeout = Duration::from_millis(*kv_timeout_ms);
        Ok(KvSettings::new(endpoints)
            .with_request_timeout(timeout)
            .with_watch_idle_timeout(timeout))
    }
}
