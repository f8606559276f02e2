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
const READ_INTERVAL_MS: u64 = 1_000;

/// Reads the list until `stop` is cancelled.
///
/// The members are sent again only if the list has changed or `reread` is set. A series
/// of failures is logged once.
pub fn run(
    platform: &Platform,
    events: &Sender<Event>,
    reread: &AtomicBool,
    stop: &CancellationToken,
) {
    let mut failing = false;
    let mut known_version = 0;
    while !stop.is_cancelled() {
        if reread.swap(false, Ordering::AcqRel) {
            known_version = 0;
        }
        match platform.instances_since(known_version) {
            Ok(list) => {
                failing = false;
                known_version = list.version;
                let event = match list.unchanged {
                    true => Event::ListUnchanged {
                        version: list.version,
                        as_of_ms: list.as_of_ms,
                    },
                    false => Event::ListRead(member_list(list)),
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
        std::thread::sleep(Duration::from_millis(READ_INTERVAL_MS));
    }
}

/// Converts the platform's list into the one of the engine.
fn member_list(list: InstanceList) -> MemberList {
    let mut list_of_members = MemberList {
        version: list.version,
        as_of_ms: list.as_of_ms,
        ..MemberList::default()
    };
    for entry in list.entries {
        let leaving = entry.state == ListState::Leaving;
        match (entry.role, entry.peer_address.clone()) {
            (Role::Dispatcher, Some(address)) => {
                list_of_members.instances.push((peer_info(entry, &address), leaving));
            }
            (Role::Dispatcher, None) => {
                log::debug!(
                    "ignored {}, which is listed without a peer address",
                    entry.name
                );
            }
            _ => list_of_members.targets.push((target_info(entry), leaving)),
        }
    }
    list_of_members
}

/// Converts the list entry of an instance.
fn peer_info(entry: InstanceEntry, address: &str) -> PeerInfo {
    PeerInfo {
        name: entry.name,
        incarnation: entry.incarnation,
        domain: entry.failure_domain,
        address: address.into(),
    }
}

/// Converts the list entry of a target.
fn target_info(entry: InstanceEntry) -> TargetInfo {
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
