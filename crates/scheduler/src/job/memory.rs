//! How much memory a job takes up.

use super::Spec;
use super::Step;
use super::Task;

/// Memory that a job takes up, in bytes: its specification, and its tasks without checkpoints.
pub fn memory(spec: &Spec) -> usize {
    let texts = |step: &Step| step.requires.len() + step.affinity.len() + step.image.len();
    let lists = |step: &Step| step.after.len() * size_of::<u32>();
    let steps = spec.steps.iter().map(|step| size_of::<Step>() + texts(step) + lists(step));
    let tasks = spec.tasks_per_occurrence() as usize * spec.occurrences() as usize;
    // The payload is kept twice: in the specification, and for start commands.
    2 * spec.payload.len() + steps.sum::<usize>() + tasks * size_of::<Task>()
}
