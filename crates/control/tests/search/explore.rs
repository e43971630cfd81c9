//! Breadth-first search.

use std::cell::RefCell;
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::fmt::Debug;
use std::ops::Deref;
use std::rc::Rc;

/// States after which a search that should be exhaustive is said to have failed.
const MAX_STATES: usize = 400_000;

/// What is searched.
pub(crate) trait Model {
    /// A state; equal ones are visited once.
    type State: Clone + Ord;

    /// Where it begins.
    fn start(&self) -> Self::State;

    /// All that may happen next, each with a word for it.
    fn steps(&self, state: &Self::State) -> Vec<(String, Self::State)>;

    /// What is broken in a state, if anything.
    fn fault(&self, state: &Self::State) -> Option<String>;

    /// Whether a state is one of those that the search is about.
    fn is_telling(&self, state: &Self::State) -> bool;
}

/// What a search saw.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    /// States.
    pub(crate) states: usize,
    /// Steps between them.
    pub(crate) steps: usize,
    /// Steps from the start to the farthest state.
    pub(crate) depth: usize,
    /// States that the search is about.
    pub(crate) telling: usize,
    /// The first broken state, and the way to it.
    pub(crate) fault: Option<(String, Vec<String>)>,
}

/// Visits every state, or all up to the first broken one.
pub(crate) fn explore<M: Model>(name: &str, model: &M) -> Seen {
    let mut seen = Seen::default();
    let mut known = BTreeSet::new();
    let mut ways: Vec<(usize, String)> = vec![(0, String::new())];
    let mut open = VecDeque::from([(0, 0, model.start())]);
    known.insert(model.start());
    while let Some((number, depth, state)) = open.pop_front() {
        seen.states += 1;
        seen.depth = depth;
        seen.telling += usize::from(model.is_telling(&state));
        if let Some(fault) = model.fault(&state) {
            seen.fault = Some((fault, way(&ways, number)));
            break;
        }
        for (word, next) in model.steps(&state) {
            seen.steps += 1;
            if known.insert(next.clone()) {
                ways.push((number, word));
                open.push_back((ways.len() - 1, depth + 1, next));
            }
        }
        assert!(known.len() < MAX_STATES, "{name} has too many states to search them all");
    }
    let Seen { states, steps, depth, telling, .. } = &seen;
    println!("{name}: {states} states, {steps} steps, depth {depth}, {telling} telling");
    seen
}

/// The steps from the start.
fn way(ways: &[(usize, String)], mut number: usize) -> Vec<String> {
    let mut steps = Vec::new();
    while number != 0 {
        steps.push(ways[number].1.clone());
        number = ways[number].0;
    }
    steps.reverse();
    steps
}

/// Values that many states share, each kept once.
#[derive(Debug)]
pub(crate) struct Pool<T>(RefCell<BTreeMap<Rc<T>, usize>>);

/// A value of a [`Pool`]; equal ones of the same pool have the same number.
#[derive(Debug)]
pub(crate) struct Shared<T> {
    number: usize,
    value: Rc<T>,
}

impl<T> Default for Pool<T> {
    fn default() -> Self {
        Self(RefCell::default())
    }
}

impl<T: Ord> Pool<T> {
    /// The value's only copy.
    pub(crate) fn share(&self, value: T) -> Shared<T> {
        let mut known = self.0.borrow_mut();
        let number = known.len();
        let value = Rc::new(value);
        if let Some((value, &number)) = known.get_key_value(&value) {
            return Shared { number, value: Rc::clone(value) };
        }
        known.insert(Rc::clone(&value), number);
        Shared { number, value }
    }
}

impl<T> Clone for Shared<T> {
    fn clone(&self) -> Self {
        Self { number: self.number, value: Rc::clone(&self.value) }
    }
}

impl<T> Deref for Shared<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.value
    }
}

impl<T> PartialEq for Shared<T> {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl<T> Eq for Shared<T> {}

impl<T> PartialOrd for Shared<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Shared<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.number.cmp(&other.number)
    }
}

/// A value that is ordered by what it shows of itself.
#[derive(Clone, Debug)]
pub(crate) struct Shown<T> {
    pub(crate) value: T,
    text: String,
}

impl<T: Debug> Shown<T> {
    pub(crate) fn new(value: T) -> Self {
        let text = format!("{value:?}");
        Self { value, text }
    }
}

impl<T> PartialEq for Shown<T> {
    fn eq(&self, other: &Self) -> bool {
        self.text == other.text
    }
}

impl<T> Eq for Shown<T> {}

impl<T> PartialOrd for Shown<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Shown<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.text.cmp(&other.text)
    }
}
