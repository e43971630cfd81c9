//! Learns from the durations of runs which images slow each other down.
//!
//! Handles tasks that share more of a machine than what they book: caches, links and disks. A run of an image is
//! compared with other runs of that image: those beside another image with those that were not. The images whose runs
//! take longer beside each other, by more than chance explains, are kept apart for a while. Where nearly all runs of an
//! image are beside another, there is nothing to compare them with: a few are placed apart, to find out.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::time::Time;

use super::sample::Sample;

/// Factor by which runs take longer beside an image from which it counts as slowing them down: it uses up a good part
/// of the time that a job is allowed beyond its critical path.
const MIN_SLOWDOWN: f64 = 1.25;

/// Number of runs beside an image, and of runs apart from it, that are compared at the least.
const MIN_RUNS: f64 = 8.0;

/// Number of standard errors by which the difference has to exceed chance. Many pairs are compared, each many times.
const MIN_ERRORS: f64 = 4.0;

/// Least standard deviation of the logarithms of relative durations: a few even runs prove little.
const MIN_DEVIATION: f64 = 0.1;

/// Factor by which the weight of an image's runs falls with each new one: some 200 of them count.
const DECAY: f64 = 0.995;

/// Time for which a pair is kept apart. After it the images may meet again: the harm may have ended.
const HOLD: Duration = Duration::from_secs(60);

/// Weight that the runs beside the other image keep after that time: few further ones confirm the verdict, and few refute
/// it.
const KEPT_WEIGHT: f64 = 0.25;

/// Maximum number of images that are known.
const MAX_IMAGES: usize = 256;

/// Maximum number of images beside which the runs of one are compared.
const MAX_NEIGHBOURS: usize = 64;

/// Time without a run after which an image is forgotten if there are too many.
const FORGET_AFTER: Duration = Duration::from_secs(120);

/// An image.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::From, derive_more::Into)]
pub struct Key(u32);

/// An image and another that slows it down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pair {
    /// The image whose runs take longer.
    pub slowed: Key,
    /// The image beside which they do.
    pub beside: Key,
}

/// A change of what is known of a pair.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// The pair was found to be harmful: runs take `slowdown` times as long, as `runs` runs beside the other image
    /// show.
    Found {
        /// The pair.
        pair: Pair,
        /// Factor by which runs take longer.
        slowdown: f64,
        /// Number of runs beside the other image, older ones counting less.
        runs: f64,
    },
    /// The pair is not kept apart any more.
    Lapsed(Pair),
}

/// Runs of an image beside another.
#[derive(Clone, Copy, Debug, Default)]
struct Neighbour {
    sample: Sample,
    /// Until when the two are kept apart.
    apart_until: Option<Time>,
}

#[derive(Clone, Debug, Default)]
struct Image {
    queue: String,
    name: String,
    /// All runs that were compared.
    all: Sample,
    neighbours: BTreeMap<Key, Neighbour>,
    ran_at: Time,
}

/// What the runs of all images show.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    images: BTreeMap<Key, Image>,
    /// Keys by queue and name.
    keys: BTreeMap<String, BTreeMap<String, Key>>,
    next: u32,
    /// Number of pairs that are kept apart.
    apart: usize,
}

impl Evidence {
    /// The key of an image of a queue; None if too many are known.
    pub fn intern(&mut self, now: Time, queue: &str, image: &str) -> Option<Key> {
        if let Some(key) = self.key(queue, image) {
            return Some(key);
        }
        if self.images.len() >= MAX_IMAGES {
            self.forget_oldest(now)?;
        }
        let key = Key(self.next);
        self.next += 1;
        self.keys.entry(queue.to_owned()).or_default().insert(image.to_owned(), key);
        let image = Image {
            queue: queue.to_owned(),
            name: image.to_owned(),
            ran_at: now,
            ..Image::default()
        };
        self.images.insert(key, image);
        Some(key)
    }

    /// The key of an image of a queue; None if none of its runs has been observed.
    pub fn key(&self, queue: &str, image: &str) -> Option<Key> {
        self.keys.get(queue)?.get(image).copied()
    }

    /// Queue and name of an image; empty if it has been forgotten.
    pub fn name(&self, key: Key) -> (&str, &str) {
        self.images.get(&key).map_or(("", ""), |image| (&image.queue, &image.name))
    }

    /// Number of pairs that are kept apart.
    pub const fn apart(&self) -> usize {
        self.apart
    }

    /// Records a run that took `ratio` times its expected duration, beside runs of other images. Returns a pair that it
    /// shows to be harmful.
    ///
    /// A run beside an image that is known to slow it down tells nothing of the others beside it.
    pub fn observe(
        &mut self,
        now: Time,
        slowed: Key,
        ratio: f64,
        beside: &[Key],
    ) -> Option<Verdict> {
        let known: Vec<Key> =
            beside.iter().copied().filter(|key| self.images.contains_key(key)).collect();
        let image = self.images.get_mut(&slowed)?;
        image.ran_at = now;
        if !ratio.is_finite() || known.iter().any(|other| image.is_apart(now, *other)) {
            return None;
        }
        image.all.decay(DECAY);
        image.neighbours.values_mut().for_each(|neighbour| neighbour.sample.decay(DECAY));
        image.all.add(ratio);
        for other in known {
            if image.neighbours.len() < MAX_NEIGHBOURS || image.neighbours.contains_key(&other) {
                image.neighbours.entry(other).or_default().sample.add(ratio);
            }
        }
        let worst = image.worst()?;
        let (beside, slowdown) = worst;
        let neighbour = image.neighbours.get_mut(&beside)?;
        neighbour.apart_until = Some(now + HOLD);
        let runs = neighbour.sample.runs;
        self.apart += 1;
        Some(Verdict::Found { pair: Pair { slowed, beside }, slowdown, runs })
    }

    /// Whether two images are to be kept apart where there is room: since one slows the other down, or to find out
    /// whether it does.
    pub fn conflict(&self, now: Time, one: Key, other: Key) -> bool {
        let slows = |slowed: Key, beside: Key| {
            let image = self.images.get(&slowed);
            image.is_some_and(|it| it.is_apart(now, beside) || it.lacks_comparison(beside))
        };
        slows(one, other) || slows(other, one)
    }

    /// Ends verdicts whose time is over, and returns their pairs.
    pub fn lapse(&mut self, now: Time) -> Vec<Verdict> {
        let mut lapsed = Vec::new();
        if self.apart == 0 {
            return lapsed;
        }
        for (&slowed, image) in &mut self.images {
            for (&beside, neighbour) in &mut image.neighbours {
                if neighbour.apart_until.is_some_and(|until| now >= until) {
                    neighbour.apart_until = None;
                    let rest = neighbour.sample;
                    neighbour.sample.decay(KEPT_WEIGHT);
                    image.all = image.all.without(rest.without(neighbour.sample));
                    lapsed.push(Verdict::Lapsed(Pair { slowed, beside }));
                }
            }
        }
        self.apart -= lapsed.len();
        lapsed
    }

    /// Forgets the image that has not run for longest; None if it ran lately.
    fn forget_oldest(&mut self, now: Time) -> Option<()> {
        let (&oldest, image) = self.images.iter().min_by_key(|(_, image)| image.ran_at)?;
        if now.since(image.ran_at) < FORGET_AFTER {
            return None;
        }
        let image = self.images.remove(&oldest)?;
        if let Some(keys) = self.keys.get_mut(&image.queue) {
            keys.remove(&image.name);
            if keys.is_empty() {
                self.keys.remove(&image.queue);
            }
        }
        let held = |neighbour: &Neighbour| neighbour.apart_until.is_some();
        self.apart -= image.neighbours.values().filter(|it| held(it)).count();
        for other in self.images.values_mut() {
            if other.neighbours.remove(&oldest).is_some_and(|it| held(&it)) {
                self.apart -= 1;
            }
        }
        Some(())
    }
}

impl Image {
    fn is_apart(&self, now: Time, beside: Key) -> bool {
        let neighbour = self.neighbours.get(&beside);
        neighbour.and_then(|neighbour| neighbour.apart_until).is_some_and(|until| now < until)
    }

    /// Whether there are runs beside an image, but hardly any apart from it.
    fn lacks_comparison(&self, beside: Key) -> bool {
        self.neighbours.get(&beside).is_some_and(|neighbour| {
            let apart = self.all.without(neighbour.sample).runs;
            neighbour.sample.runs >= MIN_RUNS && apart < MIN_RUNS
        })
    }

    /// The image that slows this one down most beyond what chance explains, and by which factor; None if there is none
    /// that is not known yet.
    fn worst(&self) -> Option<(Key, f64)> {
        let unknown =
            self.neighbours.iter().filter(|(_, neighbour)| neighbour.apart_until.is_none());
        let harmful = unknown.filter_map(|(&key, neighbour)| {
            let slowdown = slowdown(self.all, neighbour.sample)?;
            Some((key, slowdown))
        });
        harmful.max_by(|one, other| one.1.total_cmp(&other.1))
    }
}

/// Factor by which runs of an image beside another take longer than those apart from it; None if that is too little, or
/// not sure. The spread is that of all runs: a few of them may be close by chance.
fn slowdown(all: Sample, beside: Sample) -> Option<f64> {
    let apart = all.without(beside);
    if beside.runs < MIN_RUNS || apart.runs < MIN_RUNS {
        return None;
    }
    let variance = all.variance().max(MIN_DEVIATION * MIN_DEVIATION);
    let error = (variance / beside.runs + variance / apart.runs).sqrt();
    let difference = beside.mean() - apart.mean();
    let slowdown = difference.exp();
    (slowdown >= MIN_SLOWDOWN && difference >= MIN_ERRORS * error).then_some(slowdown)
}
