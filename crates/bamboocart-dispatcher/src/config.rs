//! The configuration in force in its text form, for peers that lack it.

use std::sync::{Arc, Mutex, PoisonError};

use bamboocart_core::config::ConfigSet;
use bamboocart_core::id::ConfigVersion;
use bamboocart_core::message::Message;
use bytes::Bytes;

/// The newest configuration that this instance has accepted.
#[derive(Debug, Default)]
pub struct CurrentConfig {
    /// The version and the text.
    current: Mutex<(ConfigVersion, Bytes)>,
}

impl CurrentConfig {
    /// Notes a configuration and reports whether it is newer than the known one.
    pub fn update(&self, version: ConfigVersion, text: Bytes) -> bool {
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        let newer = version > current.0;
        if newer {
            *current = (version, text);
        }
        newer
    }

    /// Returns the message that gives the configuration to a peer, if there is one.
    pub fn message(&self) -> Option<Message> {
        let current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        let (version, text) = current.clone();
        (version.0 > 0).then_some(Message::ConfigSet { version, text })
    }
}

/// Parses the canonical text of a set.
pub fn parse(text: &[u8]) -> Result<Arc<ConfigSet>, String> {
    let text = std::str::from_utf8(text).map_err(|error| error.to_string())?;
    toml::from_str(text).map(Arc::new).map_err(|error| error.to_string())
}
