//! Key ring that follows a file, so that keys rotate while traffic runs.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio_util::sync::CancellationToken;

use crate::KeyRing;
use crate::PeerError;
use crate::Result;

/// How often the file is read again.
const RELOAD_INTERVAL: Duration = Duration::from_secs(1);

/// Key ring read from a file and swapped when the file changes.
#[derive(Clone)]
pub struct SharedKeyRing {
    path: PathBuf,
    ring: Arc<ArcSwap<KeyRing>>,
}

impl SharedKeyRing {
    /// Reads the file.
    pub fn open(path: impl Into<PathBuf>) -> Result<Self> {
        let path = path.into();
        let text = read(&path)?;
        let ring = parse(&path, &text)?;
        Ok(Self {
            path,
            ring: Arc::new(ArcSwap::from_pointee(ring)),
        })
    }

    /// Keys that are not in a file; [`Self::replace`] changes them.
    pub fn in_memory(ring: KeyRing) -> Self {
        Self {
            path: PathBuf::new(),
            ring: Arc::new(ArcSwap::from_pointee(ring)),
        }
    }

    /// Puts other keys in use.
    pub fn replace(&self, ring: KeyRing) {
        self.ring.store(Arc::new(ring));
    }

    /// The keys in use now.
    pub fn ring(&self) -> Arc<KeyRing> {
        self.ring.load_full()
    }

    /// Reads the file every second until `token` is cancelled. A broken file keeps the keys in use.
    pub async fn follow(self, logger: Logger, token: CancellationToken) {
        let mut known = read(&self.path).unwrap_or_default();
        while token
            .run_until_cancelled(tokio::time::sleep(RELOAD_INTERVAL))
            .await
            .is_some()
        {
            let Ok(text) = read(&self.path) else { continue };
            if text == known {
                continue;
            }
            match parse(&self.path, &text) {
                Ok(ring) => {
                    info!(logger, "peer keys reloaded"; "signing_key" => &*ring.signing_key().id);
                    self.ring.store(Arc::new(ring));
                }
                Err(error) => warn!(logger, "peer keys kept"; "error" => %error),
            }
            known = text;
        }
    }
}

fn read(path: &Path) -> Result<String> {
    fs::read_to_string(path).map_err(|error| key_ring_error(path, error.to_string()))
}

fn parse(path: &Path, text: &str) -> Result<KeyRing> {
    KeyRing::parse(text).map_err(|cause| key_ring_error(path, cause))
}

fn key_ring_error(path: &Path, cause: String) -> PeerError {
    PeerError::KeyRing {
        path: path.display().to_string(),
        cause,
    }
}
