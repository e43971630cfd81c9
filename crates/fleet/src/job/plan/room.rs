//! What room the instances of a pool have, as one step fills it.

use std::collections::BTreeMap;

use super::Booking;
use super::Scratch;
use super::preempt::Victims;
use super::score;
use super::score::Score;
use super::watch::Doubt;
use crate::config::Priority;
use crate::config::Size;
use crate::instance;
use crate::job::Total;
use crate::job::Trust;
use crate::job::index::Book;
use crate::job::index::Node;
use crate::key;
use crate::time::Time;

/// The serving instances of a pool.
pub(in crate::job) struct Rooms {
    pub(in crate::job) rooms: Vec<Room>,
    /// At least the most that any of them has free, in each dimension.
    most_free: Size,
    /// The most that any of them can hold, in each dimension.
    largest: Size,
    /// Sizes that found no room, by whether they may be checkpointed.
    full: Vec<(bool, Size)>,
    /// Sizes that could not be promised room, since the last victims were chosen.
    unpromised: Vec<Size>,
    /// What is free, or could be by checkpoints.
    reclaimable: Total,
    capacity: Total,
}

/// One instance and what is free there.
#[derive(Clone, Debug)]
pub(in crate::job) struct Room {
    pub(in crate::job) instance: key::Instance,
    pub(super) epoch: u64,
    pub(super) boot: u64,
    pub(super) rack: key::Rack,
    pub(in crate::job) capacity: Size,
    pub(in crate::job) free: Size,
    /// What would be free without the work that can be checkpointed.
    without_soft: Size,
    /// What attempts are about to give up and nothing is meant to have.
    pub(in crate::job) soon: Size,
    pub(super) standing: Trust,
    /// What is thought of its worker.
    pub(super) doubt: Doubt,
    pub(super) attempts: usize,
    /// Whether it is kept for one job that has waited long.
    pub(super) reserved: bool,
}

impl Rooms {
    pub(in crate::job) fn of(step: &Scratch<'_>, book: &Book) -> Self {
        let mut this = Self {
            rooms: Vec::with_capacity(book.nodes.len()),
            most_free: Size::default(),
            largest: Size::default(),
            full: Vec::new(),
            unpromised: Vec::new(),
            reclaimable: Total::default(),
            capacity: Total::default(),
        };
        for &instance in &book.nodes {
            let Some(node) = step.index.node(instance) else { continue };
            let Some(mut room) = Room::of(step, instance, node) else { continue };
            if book.failing.contains(&instance) && room.standing == Trust::Trusted {
                room.doubt = Doubt::of(step, book, instance, node);
            }
            this.most_free = this.most_free.component_max(room.free);
            this.largest = this.largest.component_max(room.capacity);
            this.reclaimable.add(room.without_soft);
            this.capacity.add(room.capacity);
            this.rooms.push(room);
        }
        this
    }

    /// Whether it is worth looking for a place of this size.
    pub(super) fn may_fit(&self, size: Size) -> bool {
        size.fits_in(self.most_free)
    }

    /// The room where the job does least harm, by its place in the list.
    pub(super) fn best(&self, booking: Booking<'_>, racks: &Racks) -> Option<usize> {
        let soft = booking.job.spec.preemptible;
        let is_full = |(tried, size): &(bool, Size)| *tried == soft && size.fits_in(booking.size);
        if self.full.iter().any(is_full) {
            return None;
        }
        let rooms = self.rooms.iter().enumerate();
        let open = rooms.filter(|(_, room)| room.takes(booking) && (soft || !room.reserved));
        let fitting = open.filter(|(_, room)| booking.size.fits_in(room.free));
        let scored = fitting.map(|(at, room)| (Score::of(booking, room, racks), at));
        scored.min().map(|(_, at)| at)
    }

    /// Whether a job is large, and others have passed it over for long.
    pub(super) fn is_passed_over(&self, step: &Scratch<'_>, size: Size, submitted: Time) -> bool {
        step.now.since(submitted) >= step.world.limits.reserve() && self.is_large(size)
    }

    /// Whether a job takes more than half of any instance, or half of its accelerators.
    fn is_large(&self, size: Size) -> bool {
        let most = self.largest;
        let double = size.plus(size);
        double.milli_cores > most.milli_cores
            || double.memory_mb > most.memory_mb
            || (size.accelerators > 1 && double.accelerators >= most.accelerators)
    }

    /// Takes note that a job found no room. Room is never given back within a step.
    pub(super) fn note_full(&mut self, booking: Booking<'_>) {
        if booking.job.spec.idempotent || !self.has_probation() {
            self.full.push((booking.job.spec.preemptible, booking.size));
        }
    }

    /// Takes room for a job that starts.
    pub(super) fn take(&mut self, at: usize, booking: Booking<'_>) {
        let size = booking.size;
        let room = &mut self.rooms[at];
        room.free = room.free.minus(size);
        room.attempts += 1;
        if !booking.job.spec.preemptible {
            room.without_soft = room.without_soft.minus(size);
            self.reclaimable.remove(size);
        }
    }

    /// Sets room aside for a job that fits once attempts have left, so that nothing else gets it;
    /// `false` where none is enough.
    pub(super) fn promise(&mut self, booking: Booking<'_>) -> bool {
        let size = booking.size;
        if self.unpromised.iter().any(|tried| tried.fits_in(size)) {
            return false;
        }
        let fits =
            |room: &&mut Room| room.takes(booking) && size.fits_in(room.free.plus(room.soon));
        let rooms = self.rooms.iter_mut().filter(fits);
        let Some(room) = rooms.min_by_key(|room| score::leftover(size, room)) else {
            self.unpromised.push(size);
            return false;
        };
        room.set_aside(size);
        true
    }

    /// The same on one instance.
    pub(super) fn promise_at(&mut self, at: usize, booking: Booking<'_>) -> bool {
        let room = &mut self.rooms[at];
        let fits = booking.size.fits_in(room.free.plus(room.soon));
        if fits {
            room.set_aside(booking.size);
        }
        fits
    }

    /// Counts on what victims give up, for the job of this size that they make room for.
    pub(super) fn vacate(&mut self, victims: &Victims, size: Size) {
        self.unpromised.clear();
        let room = &mut self.rooms[victims.at];
        room.soon = room.soon.plus(victims.freed);
        room.set_aside(size);
    }

    /// Keeps the instance where least work that cannot be checkpointed is in a job's way.
    pub(super) fn reserve(&mut self, booking: Booking<'_>) -> Option<usize> {
        let size = booking.size;
        let rooms = self.rooms.iter().enumerate();
        let fitting = rooms.filter(|(_, room)| {
            room.takes(booking) && !room.reserved && size.fits_in(room.capacity)
        });
        let lack = |room: &Room| Total::from(size.minus(room.without_soft));
        let by_lack = |(_, room): &(usize, &Room)| lack(room).dominant_share(room.capacity.into());
        let (at, _) = fitting.min_by_key(by_lack)?;
        self.rooms[at].reserved = true;
        Some(at)
    }

    fn has_probation(&self) -> bool {
        self.rooms.iter().any(|room| room.doubt > Doubt::None || room.standing == Trust::Probation)
    }

    /// Whether starting this leaves so many hundredths of the pool free, or held by work that can be
    /// checkpointed, in what it uses.
    pub(in crate::job) fn leaves(&self, size: Size, percent: u32) -> bool {
        let kept = self.capacity.percent(percent);
        let left = self.reclaimable.minus(size.into());
        let enough = |asked: u32, left: u64, kept: u64| asked == 0 || left >= kept;
        enough(size.milli_cores, left.milli_cores, kept.milli_cores)
            && enough(size.memory_mb, left.memory_mb, kept.memory_mb)
            && enough(size.accelerators, left.accelerators, kept.accelerators)
    }

    /// Whether an attempt of this size could run on some instance if that were empty.
    pub(in crate::job) fn could_hold(&self, size: Size) -> bool {
        self.rooms.iter().any(|room| size.fits_in(room.capacity))
    }
}

impl Room {
    fn of(step: &Scratch<'_>, instance: key::Instance, node: &Node) -> Option<Self> {
        let spot = node.spot.as_ref()?;
        let boot = *step.world.observations.boots.get(&instance)?;
        let standing = step.world.trust(instance);
        let barred = standing == Trust::Quarantine || step.barred.contains(&instance);
        if spot.state != instance::State::Serving || barred {
            return None;
        }
        Some(Self {
            instance,
            epoch: spot.epoch,
            boot,
            rack: spot.rack,
            capacity: spot.capacity,
            free: spot.capacity.remaining(node.booked),
            without_soft: spot.capacity.remaining(node.firm),
            soon: soon(step, node),
            standing,
            doubt: Doubt::None,
            attempts: node.attempts.len(),
            reserved: false,
        })
    }

    /// Whether anything that can be checkpointed runs here.
    pub(super) fn has_soft(&self) -> bool {
        self.without_soft != self.free
    }

    /// Whether attempts of such a job may start here at all.
    pub(super) fn takes(&self, booking: Booking<'_>) -> bool {
        let spec = &booking.job.spec;
        let harmless = spec.idempotent && spec.priority != Priority::Urgent;
        match self.standing {
            Trust::Trusted if self.doubt == Doubt::None => true,
            Trust::Trusted if self.doubt == Doubt::Resting => false,
            Trust::Trusted | Trust::Probation => self.attempts == 0 && harmless,
            Trust::Quarantine => false,
        }
    }

    /// Takes `size` out of what is free, the rest out of what is to be.
    fn set_aside(&mut self, size: Size) {
        let now = size.component_min(self.free);
        self.free = self.free.minus(now);
        self.soon = self.soon.minus(size.minus(now));
    }
}

/// What attempts are about to give up, leaving out those that take longer than they should.
fn soon(step: &Scratch<'_>, node: &Node) -> Size {
    let grace = step.world.limits.checkpoint_grace();
    let prompt = node.leaving.values().filter(|(since, _)| *since + grace > step.now);
    prompt.fold(Size::default(), |sum, (_, size)| sum.plus(*size))
}

/// How many attempts of one kind each rack has.
pub(super) struct Racks {
    counts: BTreeMap<key::Rack, u32>,
    /// Attempts that a rack may have before it has more than its share.
    share: u32,
    total: u32,
    racks: u32,
}

impl Racks {
    pub(super) fn of(step: &Scratch<'_>, book: &Book, kind: &str, rooms: &Rooms) -> Self {
        let mut counts: BTreeMap<key::Rack, u32> = BTreeMap::new();
        for room in &rooms.rooms {
            counts.entry(room.rack).or_default();
        }
        let racks = u32::try_from(counts.len()).unwrap_or(u32::MAX);
        let placed = book.kinds.get(kind).map(|kind| &kind.placed);
        for (instance, count) in placed.into_iter().flatten() {
            let spot = step.index.node(*instance).and_then(|node| node.spot.as_ref());
            if let Some(spot) = spot {
                *counts.entry(spot.rack).or_default() += count;
            }
        }
        let total = counts.values().sum();
        let mut this = Self { counts, share: 0, total, racks };
        this.set_share();
        this
    }

    /// Counts one more attempt in.
    pub(super) fn add(&mut self, rack: key::Rack) {
        *self.counts.entry(rack).or_default() += 1;
        self.total += 1;
        self.set_share();
    }

    /// By how many attempts a rack would have more than its share, with one more.
    pub(super) fn excess(&self, rack: key::Rack) -> u32 {
        let count = self.counts.get(&rack).copied().unwrap_or_default();
        (count + 1).saturating_sub(self.share)
    }

    fn set_share(&mut self) {
        self.share = (self.total + 1).div_ceil(self.racks.max(1));
    }
}
