//! An arena of entities indexed by small keys, with slots that are reused.

use std::marker::PhantomData;

use crate::key::Key;

/// Entities of one kind, each under a [`Key`] that stays the same until it is removed.
#[derive(Clone, Debug)]
pub struct Table<K, V> {
    slots: Vec<Option<V>>,
    free: Vec<u32>,
    key: PhantomData<K>,
}

impl<K, V> Default for Table<K, V> {
    fn default() -> Self {
        Self { slots: Vec::new(), free: Vec::new(), key: PhantomData }
    }
}

impl<K: Key, V> Table<K, V> {
    /// Adds an entity and returns its key.
    pub fn insert(&mut self, value: V) -> K {
        if let Some(index) = self.free.pop() {
            self.slots[index as usize] = Some(value);
            return K::from_index(index);
        }
        let index = u32::try_from(self.slots.len()).expect("a table holds at most 2^32 entities");
        self.slots.push(Some(value));
        K::from_index(index)
    }

    /// Removes an entity and returns it. Its key may be reused for another.
    pub fn remove(&mut self, key: K) -> Option<V> {
        let value = self.slots.get_mut(key.index() as usize)?.take()?;
        self.free.push(key.index());
        Some(value)
    }

    /// The entity under `key`.
    pub fn get(&self, key: K) -> Option<&V> {
        self.slots.get(key.index() as usize)?.as_ref()
    }

    /// The entity under `key`, mutably.
    pub fn get_mut(&mut self, key: K) -> Option<&mut V> {
        self.slots.get_mut(key.index() as usize)?.as_mut()
    }

    /// All entities in key order.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.slots.iter().enumerate().filter_map(|(index, slot)| {
            let value = slot.as_ref()?;
            Some((K::from_index(index as u32), value))
        })
    }

    /// All entities in key order, mutably.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut V)> {
        self.slots.iter_mut().enumerate().filter_map(|(index, slot)| {
            let value = slot.as_mut()?;
            Some((K::from_index(index as u32), value))
        })
    }

    /// Number of entities.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Whether there are no entities.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
