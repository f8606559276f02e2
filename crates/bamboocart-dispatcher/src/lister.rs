//! The thread that reads the platform's instance list.

use std::time::Duration;

use bamboocart_core::config::Role;
use bamboocart_core::engine::{Event, ListedTarget};
use bamboocart_core::id::TargetName;
use bamboocart_platform::{InstanceEntry, ListState, Platform};
use crossbeam::channel::Sender;
use tokio_util::sync::CancellationToken;

/// The time between two reads of the list.
const READ_EVERY_MS: u64 = 1_000;

/// Reads the list until `stop` is cancelled.
pub fn run(platform: &Platform, events: &Sender<Event>, stop: &CancellationToken) {
    while !stop.is_cancelled() {
        match platform.instances() {
            Ok(list) => {
                let targets = list.entries.iter().filter_map(target).collect();
                if events.send(Event::Listed(targets)).is_err() {
                    return;
                }
            }
            Err(error) => log::warn!("{error}"),
        }
        std::thread::sleep(Duration::from_millis(READ_EVERY_MS));
    }
}

/// Returns the entry as a target, unless it is an instance.
fn target(entry: &InstanceEntry) -> Option<ListedTarget> {
    if entry.role == Role::Dispatcher {
        return None;
    }
    Some(ListedTarget {
        name: TargetName::from(entry.name.as_str()),
        role: entry.role,
        service: entry.service.clone(),
        domain: entry.failure_domain.clone(),
        address: entry.address.as_str().into(),
        slots: entry.slots,
        cpus: entry.cpus,
        memory_mb: entry.memory_mb,
        leaving: entry.state == ListState::Leaving,
        incarnation: entry.incarnation,
    })
}
