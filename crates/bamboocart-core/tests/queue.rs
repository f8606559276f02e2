//! Tests of the scheduling order.

use std::collections::BTreeMap;

use bamboocart_core::queue::{
    CUSTOMER_LOOKAHEAD, FairQueue, NewEntry, Pick, PickReason, QueueError,
};
use bamboocart_core::time::Timestamp;
use proptest::prelude::*;
use proptest_state_machine::{
    ReferenceStateMachine, StateMachineTest, prop_state_machine,
};
use yare::parameterized;

type Queue = FairQueue<u32, u8>;

/// The bound of the queue under test in the state machine.
const CAPACITY: usize = 12;

fn entry(key: u32, rank: u8, customer: u8, cost_us: u32) -> NewEntry<u32, u8> {
    let start_by = Timestamp::from_us(1_000_000);
    NewEntry { key, customer, weight: 1, rank, cost_us, start_by }
}

/// A sequence of pushes and the starts that must follow.
#[derive(Default)]
struct Case {
    /// Rank, customer, weight and cost; the keys count from 0.
    pushes: Vec<(u8, u8, u32, u32)>,
    floors: Vec<(u8, u8)>,
    unfit: Vec<u32>,
    starts: Vec<(u32, PickReason)>,
}

/// Guards against starts out of order and against reasons that hide a departure from it.
#[parameterized(
    cost_counts_not_starts = { Case {
        pushes: [[(0, 0, 1, 9); 2].to_vec(), [(0, 1, 1, 4); 3].to_vec()].concat(),
        starts: [0, 2, 3, 4, 1].map(|key| (key, PickReason::Order)).to_vec(),
        ..Case::default()
    }},
    weight_divides_cost = { Case {
        pushes: [[(0, 0, 1, 9); 2].to_vec(), [(0, 1, 3, 9); 3].to_vec()].concat(),
        starts: [0, 2, 3, 4, 1].map(|key| (key, PickReason::Order)).to_vec(),
        ..Case::default()
    }},
    floor_is_paced = { Case {
        pushes: [[(0, 0, 1, 9); 3].to_vec(), [(1, 0, 1, 9); 2].to_vec()].concat(),
        floors: vec![(1, 50)], unfit: vec![],
        starts: vec![
            (3, PickReason::Floor), (0, PickReason::Order), (4, PickReason::Floor),
            (1, PickReason::Order), (2, PickReason::Order),
        ],
    }},
    floor_of_the_first_rank_is_order = { Case {
        pushes: vec![(0, 0, 1, 9), (1, 0, 1, 9)], floors: vec![(0, 50)],
        starts: vec![(0, PickReason::Order), (1, PickReason::Order)], ..Case::default()
    }},
    unfit_head_gives_its_customers_turn_to_the_next = { Case {
        pushes: vec![(0, 0, 1, 9), (0, 1, 1, 9), (0, 0, 1, 9)], unfit: vec![0],
        starts: vec![(2, PickReason::Fit), (1, PickReason::Order)], ..Case::default()
    }},
    unfit_floor_is_passed_over = { Case {
        pushes: vec![(0, 0, 1, 9), (1, 0, 1, 9)], floors: vec![(1, 50)], unfit: vec![1],
        starts: vec![(0, PickReason::Fit)],
    }},
)]
fn starts_in_order(case: Case) {
    let mut queue = Queue::new(100);
    for &(rank, percent) in &case.floors {
        queue.set_floor(rank, percent);
    }
    for (key, &(rank, customer, weight, cost_us)) in (0..).zip(&case.pushes) {
        let new = NewEntry { weight, ..entry(key, rank, customer, cost_us) };
        queue.push(new).unwrap();
    }
    let mut replay = queue.clone();
    let mut starts = vec![];
    while let Some(pick) = queue.pick(|key| !case.unfit.contains(&key)) {
        let replayed = replay.pick(|key| key == pick.key);
        assert_eq!(replayed, Some(pick), "the account verifier sees another start");
        starts.push((pick.key, pick.reason));
    }
    assert_eq!(starts, case.starts);
}

/// Guards against a rejected send losing its place or being charged twice.
#[test]
fn requeued_entry_returns_to_its_place() {
    let mut queue = Queue::new(3);
    for (key, customer) in [(0, 0), (1, 1), (2, 0)] {
        queue.push(entry(key, 0, customer, 9)).unwrap();
    }
    let pick = queue.pick(|_| true).unwrap();
    queue.push(entry(3, 0, 1, 9)).unwrap();
    queue.requeue(pick.key, pick.position).unwrap();
    assert_eq!(queue.requeue(pick.key, pick.position), Err(QueueError::Duplicate));
    assert_eq!((queue.len(), queue.free_capacity(), queue.work_ahead_us(0)), (4, 0, 36));
    let again = queue.pick(|_| true).unwrap();
    assert_eq!(again, Pick { reason: PickReason::Requeued, ..pick });
}

/// Guards against unbounded growth, double entries and wrong estimates of work ahead.
#[test]
fn is_bounded_and_counts_its_work() {
    let mut queue = Queue::new(2);
    queue.push(entry(0, 1, 0, 5)).unwrap();
    assert_eq!(queue.push(entry(0, 1, 0, 5)), Err(QueueError::Duplicate));
    queue.push(entry(1, 2, 0, 7)).unwrap();
    assert_eq!(queue.push(entry(2, 0, 0, 9)), Err(QueueError::Full { capacity: 2 }));
    assert_eq!([0, 1, 2].map(|rank| queue.work_ahead_us(rank)), [0, 5, 12]);
    assert!(queue.cancel(0) && !queue.cancel(0));
    assert_eq!([0, 1, 2].map(|rank| queue.work_ahead_us(rank)), [0, 0, 7]);
}

/// Guards against a pick whose time grows with the number of entries that do not fit.
#[test]
fn lookahead_is_bounded() {
    let mut queue = Queue::new(1_000);
    for key in 0..1_000 {
        queue.push(entry(key, 0, 0, 9)).unwrap();
    }
    let mut looked = 0;
    let nothing = queue.pick(|_| {
        looked += 1;
        false
    });
    assert_eq!((nothing, looked), (None, CUSTOMER_LOOKAHEAD));
}

proptest! {
    /// Guards against starvation: every floor holds in every window of a priority, also
    /// when the floors take everything, when the windows start at different times and
    /// when rejected starts are put back.
    #[test]
    fn floors_hold_in_every_window(
        mut cuts in prop::array::uniform2(0_u8..=100),
        joins in prop::array::uniform3(0_u32..150),
    ) {
        cuts.sort();
        let floors = [cuts[0], cuts[1] - cuts[0], 100 - cuts[1]];
        let mut queue = Queue::new(4_000);
        (0..1_000).for_each(|key| queue.push(entry(key, 3, 0, 9)).unwrap());
        // The starts since the priority joined, and its own in the current window.
        let mut counts = [(0, 0); 3];
        for turn in 0..700 {
            for rank in (0..3).filter(|&rank| joins[usize::from(rank)] == turn) {
                queue.set_floor(rank, floors[usize::from(rank)]);
                let keys = (1_000 * (u32::from(rank) + 1)..).take(1_000);
                keys.for_each(|key| queue.push(entry(key, rank, 0, 9)).unwrap());
            }
            let mut pick = queue.pick(|_| true).unwrap();
            while pick.reason == PickReason::Requeued {
                pick = queue.pick(|_| true).unwrap();
            }
            if pick.key.is_multiple_of(3) {
                queue.requeue(pick.key, pick.position).unwrap();
            }
            for rank in (0..3).filter(|&rank| joins[rank] <= turn) {
                let (starts, own) = &mut counts[rank];
                *starts += 1;
                *own += u8::from(usize::from(pick.position.rank) == rank);
                if *starts % 100 == 0 {
                    prop_assert!(*own >= floors[rank], "{rank}: {own} of {floors:?}");
                    *own = 0;
                }
            }
        }
    }

    /// Guards against a customer that gets more than its weight while others wait.
    #[test]
    fn shares_follow_weights(
        weights in prop::collection::vec(1_u32..10, 2..5),
        costs in prop::collection::vec(1_000_u32..100_000, 400),
    ) {
        let mut queue = Queue::new(10_000);
        for (customer, &weight) in (0..).zip(&weights) {
            for (key, &cost) in (0..).zip(&costs) {
                let new = entry(u32::from(customer) * 1_000 + key, 0, customer, cost);
                queue.push(NewEntry { weight, ..new }).unwrap();
            }
        }
        let mut served = vec![0.0; weights.len()];
        for _ in 0..300 {
            let place = queue.pick(|_| true).unwrap().position;
            let customer = usize::from(place.customer);
            served[customer] += f64::from(place.cost_us) / f64::from(weights[customer]);
            for (a, b) in (0..served.len()).flat_map(|a| (0..a).map(move |b| (a, b))) {
                let largest = |at: usize| 100_000.0 / f64::from(weights[at]) + 1.0;
                let gap: f64 = served[a] - served[b];
                prop_assert!(gap.abs() <= largest(a) + largest(b), "{a} {b} {gap}");
            }
        }
    }
}

/// A plain restatement of the order without floors, in linear time.
#[derive(Debug, Clone, Default)]
struct Model {
    waiting: Vec<ModelEntry>,
    running: Vec<ModelEntry>,
    /// The next start tag of each rank and customer.
    tags: BTreeMap<(u8, u8), u64>,
    virtual_times: BTreeMap<u8, u64>,
    next_key: u32,
    started: Option<(u32, PickReason)>,
    cancelled: Option<u32>,
}

#[derive(Debug, Copy, Clone)]
struct ModelEntry {
    new: NewEntry<u32, u8>,
    /// The tag of the first start of a requeued entry.
    requeued: Option<u64>,
}

#[derive(Debug, Clone)]
enum Step {
    Push(NewEntry<u32, u8>),
    Pick(u32),
    Requeue { at: usize },
    Cancel { at: usize },
    Expire { now_us: u64 },
}

impl Model {
    fn tag(&self, entry: &ModelEntry) -> u64 {
        let NewEntry { rank, customer, .. } = entry.new;
        entry.requeued.unwrap_or_else(|| self.tags[&(rank, customer)])
    }

    /// Returns the key of a customer's first entry that was not started before.
    fn first(&self, rank: u8, customer: u8) -> Option<u32> {
        let place = (rank, customer, None);
        let same = |e: &&ModelEntry| (e.new.rank, e.new.customer, e.requeued) == place;
        self.waiting.iter().find(same).map(|entry| entry.new.key)
    }

    /// Sorts by rank, then tag; a customer's later entries follow its first one at once.
    fn order(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.waiting.len()).collect();
        order.sort_by_key(|&at| {
            let entry = &self.waiting[at];
            let NewEntry { key, rank, customer, .. } = entry.new;
            let first = self.first(rank, customer).filter(|_| entry.requeued.is_none());
            (rank, self.tag(entry), first.unwrap_or(key), key)
        });
        order
    }

    fn remove(&mut self, at: usize) -> ModelEntry {
        let entry = self.waiting.remove(at);
        let rank = entry.new.rank;
        if self.waiting.iter().all(|other| other.new.rank != rank) {
            let finish =
                self.tags.range((rank, 0)..=(rank, u8::MAX)).map(|(_, &tag)| tag);
            let time = self.virtual_times.entry(rank).or_default();
            *time = finish.fold(*time, u64::max);
            self.tags.retain(|key, _| key.0 != rank);
        }
        entry
    }

    fn start(&mut self, modulus: u32) -> Option<(u32, PickReason)> {
        let order = self.order();
        let fits = |&at: &usize| !self.waiting[at].new.key.is_multiple_of(modulus);
        let position = order.iter().position(fits)?;
        let mut entry = self.waiting[order[position]];
        let reason = match position {
            _ if entry.requeued.is_some() => PickReason::Requeued,
            0 => PickReason::Order,
            _ => PickReason::Fit,
        };
        let tag = self.tag(&entry);
        if entry.requeued.is_none() {
            let NewEntry { rank, customer, cost_us, .. } = entry.new;
            self.tags.insert((rank, customer), tag + u64::from(cost_us) * 256);
            let time = self.virtual_times.entry(rank).or_default();
            *time = tag.max(*time);
        }
        self.remove(order[position]);
        entry.requeued = Some(tag);
        self.running.push(entry);
        Some((entry.new.key, reason))
    }
}

impl ReferenceStateMachine for Model {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self { next_key: 1, ..Self::default() }).boxed()
    }

    fn transitions(model: &Self) -> BoxedStrategy<Step> {
        let key = model.next_key;
        let push = move |(rank, customer, cost_us, start_by_us)| {
            let start_by = Timestamp::from_us(start_by_us);
            Step::Push(NewEntry { start_by, ..entry(key, rank, customer, cost_us) })
        };
        prop_oneof![
            4 => (0_u8..3, 0_u8..3, 1_u32..50, 0_u64..100).prop_map(push),
            4 => prop::sample::select(&[1_000, 2, 3]).prop_map(Step::Pick),
            1 => (0_usize..4).prop_map(|at| Step::Requeue { at }),
            1 => (0_usize..CAPACITY).prop_map(|at| Step::Cancel { at }),
            1 => (0_u64..40).prop_map(|now_us| Step::Expire { now_us }),
        ]
        .boxed()
    }

    fn apply(mut model: Self, step: &Step) -> Self {
        (model.started, model.cancelled) = (None, None);
        match *step {
            Step::Push(_) if model.waiting.len() >= CAPACITY => {}
            Step::Push(new) => {
                let NewEntry { rank, customer, .. } = new;
                let time = *model.virtual_times.entry(rank).or_default();
                let idle = model.first(rank, customer).is_none();
                let tag = model.tags.entry((rank, customer)).or_insert(time);
                *tag = if idle { time.max(*tag) } else { *tag };
                model.waiting.push(ModelEntry { new, requeued: None });
                model.next_key = new.key + 1;
            }
            Step::Pick(modulus) => model.started = model.start(modulus),
            Step::Requeue { at } if at < model.running.len() => {
                let entry = model.running.remove(at);
                model.waiting.push(entry);
            }
            Step::Cancel { at } if at < model.waiting.len() => {
                model.cancelled = Some(model.remove(at).new.key);
            }
            Step::Requeue { .. } | Step::Cancel { .. } => {}
            Step::Expire { now_us } => {
                let late = |entry: &ModelEntry| entry.new.start_by.as_us() < now_us;
                while let Some(at) = model.waiting.iter().position(late) {
                    model.remove(at);
                }
            }
        }
        model
    }
}

/// The queue and the starts that are out.
struct Real {
    queue: Queue,
    running: Vec<Pick<u32, u8>>,
}

impl StateMachineTest for Real {
    type SystemUnderTest = Self;
    type Reference = Model;

    fn init_test(_: &Model) -> Self {
        Self { queue: Queue::new(CAPACITY), running: vec![] }
    }

    fn apply(mut real: Self, model: &Model, step: Step) -> Self {
        match step {
            Step::Push(new) => {
                let full = real.queue.free_capacity() == 0;
                let pushed = real.queue.push(new);
                let error = QueueError::Full { capacity: CAPACITY };
                assert_eq!(pushed, if full { Err(error) } else { Ok(()) });
            }
            Step::Pick(modulus) => {
                let mut replay = real.queue.clone();
                let pick = real.queue.pick(|key| !key.is_multiple_of(modulus));
                let started = pick.map(|pick| (pick.key, pick.reason));
                assert_eq!(started, model.started);
                let replayed = pick.and_then(|pick| replay.pick(|key| key == pick.key));
                assert_eq!(replayed, pick, "the account verifier sees another start");
                real.running.extend(pick);
            }
            Step::Requeue { at } if at < real.running.len() => {
                let pick = real.running.remove(at);
                real.queue.requeue(pick.key, pick.position).unwrap();
            }
            Step::Cancel { .. } => {
                assert!(model.cancelled.is_none_or(|key| real.queue.cancel(key)));
            }
            Step::Requeue { .. } => {}
            Step::Expire { now_us } => {
                let now = Timestamp::from_us(now_us);
                while real.queue.pop_expired(now).is_some() {}
            }
        }
        real
    }

    fn check_invariants(real: &Self, model: &Model) {
        assert_eq!(real.queue.len(), model.waiting.len());
        assert!(model.waiting.iter().all(|entry| real.queue.contains(entry.new.key)));
        let work: u64 = model.waiting.iter().map(|e| u64::from(e.new.cost_us)).sum();
        assert_eq!(real.queue.work_ahead_us(u8::MAX), work);
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]

    /// Guards against lost, doubled and reordered entries under any mix of operations.
    #[test]
    fn agrees_with_the_model(sequential 1..80 => Real);
}
