//! The faults of a target, its death and restart, and its entry in the platform's list.

use bamboocart_core::id::Incarnation;
use bamboocart_platform::{InstanceEntry, ListState};

use crate::clock;
use crate::history::EventKind;

use super::faults::{FaultBody, Switches};
use super::leases::Leases;
use super::member::Target;
use super::registrar::Update;

impl Target {
    /// Sets fault switches.
    pub fn set_faults(&self, body: &FaultBody) {
        let was_leaving = self.lock().switches.leaving.is_some();
        self.lock().switches.set(body);
        body.refuse.into_iter().for_each(|refuse| self.proxy.set_refusing(refuse));
        body.freeze.into_iter().for_each(|freeze| self.proxy.set_frozen(freeze));
        if body.silent == Some(true) {
            self.proxy.blackhole_open_connections();
        }
        if body.leaving.is_some() && !was_leaving {
            self.shared.journal.record(&self.entry.name, EventKind::Leaving, None);
            self.register();
        }
        match body.die {
            Some(true) => self.kill(),
            Some(false) => self.restart(),
            None => {}
        }
    }

    /// Registers the target at the platform in its present state.
    pub fn register(&self) {
        let state = self.lock();
        let list_state = match state.switches.leaving {
            Some(_) => ListState::Leaving,
            None => ListState::Live,
        };
        let entry = InstanceEntry {
            state: list_state,
            incarnation: state.incarnation,
            ..self.entry.clone()
        };
        drop(state);
        self.shared.registrar.send(Update::Put(Box::new(entry)));
    }

    /// Removes the target from the platform's list.
    pub fn unregister(&self) {
        self.shared.registrar.send(Update::Remove(self.entry.name.clone()));
    }

    /// Dies with all tasks and connections.
    fn kill(&self) {
        self.proxy.set_dead(true);
        let mut state = self.lock();
        state.dead = true;
        state.leases = Leases::default();
        let lost = std::mem::take(&mut state.running);
        drop(state);
        self.shared.journal.record(&self.entry.name, EventKind::Died, None);
        lost.into_values().for_each(|running| running.call.withhold());
        self.unregister();
    }

    /// Comes back under a new incarnation.
    fn restart(&self) {
        let mut state = self.lock();
        state.dead = false;
        state.switches = Switches::default();
        state.incarnation = Incarnation(clock::now().as_us());
        drop(state);
        self.shared.journal.record(&self.entry.name, EventKind::Restarted, None);
        self.proxy.set_dead(false);
        self.register();
    }
}
