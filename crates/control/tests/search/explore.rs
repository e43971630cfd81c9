//! Breadth-first search over the states of a model.

use std::cell::RefCell;
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::fmt::Debug;
use std::ops::Deref;
use std::rc::Rc;

/// Maximum number of states; a search that reaches it fails, since it is not exhaustive.
const MAX_STATES: usize = 400_000;

/// A model of a protocol.
pub(crate) trait Model {
    /// A state of the model; equal states are visited once.
    type State: Clone + Ord;

    /// The initial state.
    fn start(&self) -> Self::State;

    /// All possible steps from `state`, each with a description and the state it leads to.
    fn steps(&self, state: &Self::State) -> Vec<(String, Self::State)>;

    /// Describes the violated property if `state` violates one.
    fn violation(&self, state: &Self::State) -> Option<String>;

    /// Whether `state` is one that the property is about. A search that visits none shows nothing.
    fn is_relevant(&self, state: &Self::State) -> bool;
}

/// Result of a search.
#[derive(Debug, Default)]
pub(crate) struct Summary {
    /// Number of states visited.
    pub(crate) states: usize,
    /// Number of steps between them.
    pub(crate) steps: usize,
    /// Number of steps from the initial state to the farthest one.
    pub(crate) depth: usize,
    /// Number of relevant states, see [`Model::is_relevant`].
    pub(crate) relevant: usize,
    /// The first violation found, and the steps that lead to it.
    pub(crate) violation: Option<(String, Vec<String>)>,
}

/// Visits all states, or all up to the first violation. Panics at [`MAX_STATES`] states.
pub(crate) fn explore<M: Model>(name: &str, model: &M) -> Summary {
    let mut summary = Summary::default();
    let mut known = BTreeSet::new();
    let mut paths: Vec<(usize, String)> = vec![(0, String::new())];
    let mut open = VecDeque::from([(0, 0, model.start())]);
    known.insert(model.start());
    while let Some((number, depth, state)) = open.pop_front() {
        summary.states += 1;
        summary.depth = depth;
        summary.relevant += usize::from(model.is_relevant(&state));
        if let Some(violation) = model.violation(&state) {
            summary.violation = Some((violation, path(&paths, number)));
            break;
        }
        for (step, next) in model.steps(&state) {
            summary.steps += 1;
            if known.insert(next.clone()) {
                paths.push((number, step));
                open.push_back((paths.len() - 1, depth + 1, next));
            }
        }
        assert!(known.len() < MAX_STATES, "{name} has too many states for an exhaustive search");
    }
    let Summary { states, steps, depth, relevant, .. } = &summary;
    println!("{name}: {states} states, {steps} steps, depth {depth}, {relevant} relevant");
    summary
}

/// The steps from the initial state to the state `number`.
fn path(paths: &[(usize, String)], mut number: usize) -> Vec<String> {
    let mut steps = Vec::new();
    while number != 0 {
        steps.push(paths[number].1.clone());
        number = paths[number].0;
    }
    steps.reverse();
    steps
}

/// Interning pool: keeps one copy of each value, since many states share them.
#[derive(Debug)]
pub(crate) struct Pool<T>(RefCell<BTreeMap<Rc<T>, usize>>);

/// A value in a [`Pool`]; equal values of one pool have the same number.
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
    /// The shared copy of `value`.
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

/// A value that is compared and ordered by its `Debug` text.
#[derive(Clone, Debug)]
pub(crate) struct ByDebug<T> {
    pub(crate) value: T,
    text: String,
}

impl<T: Debug> ByDebug<T> {
    pub(crate) fn new(value: T) -> Self {
        let text = format!("{value:?}");
        Self { value, text }
    }
}

impl<T> PartialEq for ByDebug<T> {
    fn eq(&self, other: &Self) -> bool {
        self.text == other.text
    }
}

impl<T> Eq for ByDebug<T> {}

impl<T> PartialOrd for ByDebug<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for ByDebug<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.text.cmp(&other.text)
    }
}
