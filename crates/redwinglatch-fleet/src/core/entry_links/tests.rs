use std::net::SocketAddr;

use super::EntryLinks;
use crate::{
    core::compressed_configuration::CompressedConfiguration,
    ids::BackendKey,
    link::{LinkQueue, LinkSender},
    message::{Backend, EntryEndpointChanges, EntryHello, FleetMessage},
    state::FleetState,
};

/// Size of the large fleet.
const ENTRIES: u64 = 200;
/// Size of the largest configuration that operators may send.
const LARGEST_DOCUMENT_BYTES: usize = 1_044_480;
/// Servers of a fleet with thousands of engines.
const SERVERS: u16 = 4_000;
/// Control traffic that an entry process may cause.
const MAX_CONTROL_BYTES_PER_S: usize = 3_000;
/// Time from the start of the machines to the start of traffic.
const START_S: usize = 14;

fn hello(number: u64) -> EntryHello {
    let [.., high, low] = number.to_be_bytes();
    EntryHello {
        incarnation: number,
        front: SocketAddr::from(([192, 0, high, low], 80)),
        data_centre: "hall-a".into(),
    }
}

/// Entry links whose queues stand in for connections.
#[derive(Default)]
struct Fleet {
    links: EntryLinks,
    queues: Vec<(LinkSender, LinkQueue)>,
    received_bytes: usize,
    peak_queued_bytes: usize,
}

impl Fleet {
    fn connect(&mut self, link: u64) {
        let (sender, queue) = LinkQueue::without_connection(usize::MAX);
        self.links.insert(link, sender.clone(), hello(link));
        self.queues.push((sender, queue));
    }

    fn read_all(&mut self) {
        let queued = self.queues.iter().map(|(_, queue)| queue.queued_bytes()).sum();
        self.peak_queued_bytes = self.peak_queued_bytes.max(queued);
        for (_, queue) in &mut self.queues {
            while let Some(frame) = queue.try_next() {
                self.received_bytes += frame.bytes().len();
            }
        }
    }
}

/// All machines start within 300 ms, and each entry process becomes ready within a second.
#[test]
fn start_of_a_large_fleet_costs_a_bounded_number_of_bytes() {
    let mut fleet = Fleet::default();
    let mut rng = fastrand::Rng::with_seed(7);
    let mut steps: Vec<(u64, u64, bool)> = (0..ENTRIES)
        .flat_map(|link| {
            let connected_ms = rng.u64(0..300);
            [(connected_ms, link, false), (connected_ms + rng.u64(200..1_000), link, true)]
        })
        .collect();
    steps.sort_unstable();
    let mut steps = steps.into_iter().peekable();
    for now_ms in (0..2_000).step_by(10) {
        while let Some((_, link, is_ready)) = steps.next_if(|(at_ms, ..)| *at_ms <= now_ms) {
            if is_ready {
                assert!(fleet.links.set_ready(link, true));
            } else {
                fleet.connect(link);
            }
        }
        fleet.links.tick(now_ms);
        fleet.read_all();
    }
    let bound = ENTRIES as usize * MAX_CONTROL_BYTES_PER_S * START_S;
    assert!(fleet.received_bytes < bound, "{} bytes", fleet.received_bytes);
    assert!(fleet.peak_queued_bytes < 4 << 20, "{} bytes queued", fleet.peak_queued_bytes);
}

/// A restarted core process is asked for a large configuration by all entry processes at once.
#[test]
fn configuration_is_held_once_for_all_entry_processes() {
    let mut fleet = Fleet::default();
    let route = |number: u64| {
        format!("{{\"name\":\"r-{number:x}\",\"kind\":\"idempotent\",\"timeout-ms\":2000}},")
    };
    let document: String = (0..4_000u64).map(|number| route(number * 7_919)).collect();
    let state =
        FleetState { version: 3, document: document.clone().into_bytes(), ..FleetState::default() };
    let mut configuration = CompressedConfiguration::default();
    for link in 0..ENTRIES {
        fleet.connect(link);
    }
    let frames: Vec<_> = (0..ENTRIES).map(|_| configuration.frame(&state)).collect();
    let first = frames[0].bytes().as_ptr();
    assert!(frames.iter().all(|frame| frame.bytes().as_ptr() == first));
    assert!(frames[0].bytes().len() * 5 < document.len(), "{}", frames[0].bytes().len());
    let body = &frames[0].bytes()[4..];
    let Ok(FleetMessage::CompressedConfiguration { version: 3, document: compressed }) =
        postcard::from_bytes(body)
    else {
        panic!("another message");
    };
    let decompressed =
        crate::core::decompress_configuration(&compressed).expect("the document is valid");
    assert_eq!(decompressed, document.as_bytes());
}

/// Guards against a link that is closed whenever its entry process starts, because a configuration of the largest size
/// doesn't fit the queue beside the list of thousands of servers.
#[test]
fn largest_configuration_fits_the_queue_beside_a_long_list() {
    let mut links = EntryLinks::default();
    let (sender, _queue) = LinkQueue::without_connection(usize::MAX);
    links.insert(1, sender.clone(), hello(1));
    let mut rng = fastrand::Rng::with_seed(7);
    let document = std::iter::repeat_with(|| rng.u8(..)).take(LARGEST_DOCUMENT_BYTES).collect();
    let state = FleetState { version: 3, document, ..FleetState::default() };
    assert!(sender.send_frame(CompressedConfiguration::default().frame(&state)));
    let server = |number: u16| Backend {
        key: BackendKey(u64::from(number).wrapping_mul(0x9E37_79B9_7F4A_7C15)),
        id: format!("replica-{number}").into(),
        service: "service-of-engines".into(),
        address: SocketAddr::from(([192, 0, 2, 1], number)),
        data_centre: "hall-a".into(),
        slots: 64,
        leaving: false,
        software_version: "v1".into(),
    };
    let entries: Vec<Backend> = (0..SERVERS).map(server).collect();
    let versions = Backend::versions(&entries);
    assert!(sender.send(&FleetMessage::VersionedBackends { digest: 1, entries, versions }));
}

/// A slow entry process gets no more than its queue, and its link is closed.
#[test]
fn slow_entry_process_does_not_grow_memory() {
    let mut fleet = Fleet::default();
    for link in 0..ENTRIES {
        fleet.connect(link);
    }
    let message = FleetMessage::Versions(
        (0..100).map(|number| (format!("base/a{number}").into(), number)).collect(),
    );
    for _ in 0..1_000 {
        fleet.links.broadcast(&message);
    }
    for (_, queue) in &fleet.queues {
        assert!(queue.queued_bytes() <= super::MAX_QUEUED_BYTES);
    }
}

#[test]
fn new_link_gets_the_whole_list_and_then_each_change_once() {
    let mut fleet = Fleet::default();
    fleet.connect(1);
    fleet.links.set_ready(1, true);
    fleet.links.tick(0);
    fleet.connect(2);
    fleet.links.set_ready(2, true);
    fleet.links.tick(1_000);
    fleet.links.remove(1);
    fleet.links.tick(2_000);
    fleet.links.tick(3_000);
    let messages: Vec<FleetMessage> = std::iter::from_fn(|| fleet.queues[1].1.try_next())
        .map(|frame| postcard::from_bytes(&frame.bytes()[4..]).expect("a message"))
        .collect();
    let [first, second, third] = &messages[..] else { panic!("{messages:?}") };
    let FleetMessage::EntryEndpoints(endpoints) = first else { panic!("{first:?}") };
    assert_eq!(endpoints.len(), 1);
    let FleetMessage::EntryEndpointChanges(EntryEndpointChanges { added, removed }) = second else {
        panic!("{second:?}")
    };
    assert_eq!((added[0].front, removed.len()), (hello(2).front, 0));
    let FleetMessage::EntryEndpointChanges(EntryEndpointChanges { added, removed }) = third else {
        panic!("{third:?}")
    };
    assert_eq!((added.len(), removed[..].to_vec()), (0, vec![hello(1).front]));
}

#[test]
fn new_link_of_a_process_replaces_its_old_one() {
    let mut fleet = Fleet::default();
    fleet.connect(1);
    let (sender, _queue) = LinkQueue::without_connection(1 << 20);
    fleet.links.insert(9, sender, hello(1));
    assert_eq!(fleet.links.remove(1), None);
    assert_eq!(fleet.links.remove(9), Some(hello(1).front));
}

/// Guards against a hello that was held up on an abandoned link and silences the link that has replaced it.
#[test]
fn late_hello_of_an_abandoned_link_replaces_no_newer_one() {
    let mut fleet = Fleet::default();
    fleet.connect(2);
    fleet.read_all();
    let (sender, _queue) = LinkQueue::without_connection(1 << 20);
    fleet.links.insert(1, sender, hello(2));
    fleet.links.broadcast(&FleetMessage::ConfigurationNotice { version: 5 });
    assert!(fleet.queues[0].1.try_next().is_some());
}
