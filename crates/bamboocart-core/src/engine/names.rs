//! Interning of the names in configurations as small keys.

use std::collections::HashMap;
use std::hash::Hash;

use slotmap::{Key, SlotMap, new_key_type};

new_key_type! {
    /// The key of a request kind.
    pub struct KindKey;
    /// The key of a customer.
    pub struct CustomerKey;
}

/// Assigns a small key to each name.
///
/// Only names of a configuration are added, so their number is bounded by what operators
/// have published while the process runs.
#[derive(Debug)]
pub struct Interner<K: Key, N> {
    names: SlotMap<K, N>,
    keys: HashMap<N, K>,
}

impl<K: Key, N> Default for Interner<K, N> {
    fn default() -> Self {
        Self { names: SlotMap::with_key(), keys: HashMap::new() }
    }
}

impl<K: Key, N: Clone + Eq + Hash> Interner<K, N> {
    /// Returns the key of a name, and creates it if there is none.
    pub fn key(&mut self, name: &N) -> K {
        match self.keys.get(name) {
            Some(&key) => key,
            None => {
                let key = self.names.insert(name.clone());
                self.keys.insert(name.clone(), key);
                key
            }
        }
    }

    /// Returns the key of a name if it has one.
    pub fn find(&self, name: &N) -> Option<K> {
        self.keys.get(name).copied()
    }

    pub fn names(&self) -> impl Iterator<Item = &N> {
        self.names.values()
    }

    pub fn name(&self, key: K) -> Option<&N> {
        self.names.get(key)
    }
}
