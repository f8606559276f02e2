//! The thread that reads the platform's instance list.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bamboocart_core::config::Role;
use bamboocart_core::engine::Event;
use bamboocart_core::id::TargetName;
use bamboocart_core::membership::{MemberList, PeerInfo, TargetInfo};
use bamboocart_platform::{InstanceEntry, InstanceList, ListState, Platform};
use crossbeam::channel::Sender;
use tokio_util::sync::CancellationToken;

/// The time between two reads of the list.
const READ_EVERY_MS: u64 = 1_000;

/// Reads the list until `stop` is cancelled.
///
/// Members are only sent again when the list has changed, or when `reread` is set.
pub fn run(
    platform: &Platform,
    events: &Sender<Event>,
    reread: &AtomicBool,
    stop: &CancellationToken,
) {
    let mut failing = false;
    let mut known = 0;
    while !stop.is_cancelled() {
        if reread.swap(false, Ordering::AcqRel) {
            known = 0;
        }
        match platform.instances_since(known) {
            Ok(list) => {
                failing = false;
                known = list.version;
                let event = match list.unchanged {
                    true => Event::ListUnchanged {
                        version: list.version,
                        as_of_ms: list.as_of_ms,
                    },
                    false => Event::ListRead(listing(list)),
                };
                if events.send(event).is_err() {
                    return;
                }
            }
            Err(error) => {
                if !std::mem::replace(&mut failing, true) {
                    log::warn!("{error}");
                }
            }
        }
        std::thread::sleep(Duration::from_millis(READ_EVERY_MS));
    }
}

/// Turns the platform's list into the core's.
fn listing(list: InstanceList) -> MemberList {
    let mut listing = MemberList {
        version: list.version,
        as_of_ms: list.as_of_ms,
        ..MemberList::default()
    };
    for entry in list.entries {
        let leaving = entry.state == ListState::Leaving;
        match (entry.role, entry.peer_address.clone()) {
            (Role::Dispatcher, Some(address)) => {
                listing.instances.push((peer(entry, &address), leaving));
            }
            (Role::Dispatcher, None) => {
                log::debug!("{} is listed without an address for links", entry.name);
            }
            _ => listing.targets.push((target(entry), leaving)),
        }
    }
    listing
}

/// Returns an entry as an instance.
fn peer(entry: InstanceEntry, address: &str) -> PeerInfo {
    PeerInfo {
        name: entry.name,
        incarnation: entry.incarnation,
        domain: entry.failure_domain,
        address: address.into(),
    }
}

/// Returns an entry as a target.
fn target(entry: InstanceEntry) -> TargetInfo {
    TargetInfo {
        name: TargetName::from(entry.name.as_str()),
        role: entry.role,
        service: entry.service,
        domain: entry.failure_domain,
        rack: entry.rack,
        incarnation: entry.incarnation,
        address: entry.address.into(),
        slots: entry.slots,
        connections: entry.connections,
        cpus: entry.cpus,
        memory_mb: entry.memory_mb,
    }
}
