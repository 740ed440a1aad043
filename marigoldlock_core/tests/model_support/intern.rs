//! Interned parts of states. A state refers to its parts by number and stays small.

use std::cell::RefCell;
use std::hash::Hash;
use std::marker::PhantomData;
use std::rc::Rc;

use marigoldlock_core::prelude::*;

/// Id of an interned value.
#[derive(Debug, Eq, Hash, PartialEq)]
pub struct PartId<T>(u32, PhantomData<T>);

impl<T> Clone for PartId<T> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<T> Copy for PartId<T> {}

/// Interned values.
pub struct PartStore<T> {
    ids: RefCell<FastMap<Rc<T>, u32>>,
    parts: RefCell<Vec<Rc<T>>>,
}

impl<T> Default for PartStore<T> {
    fn default() -> Self {
        Self {
            ids: RefCell::default(),
            parts: RefCell::default(),
        }
    }
}

impl<T: Eq + Hash> PartStore<T> {
    /// Interns a value. Equal values have the same id.
    pub fn put(&self, value: T) -> PartId<T> {
        if let Some(id) = self.ids.borrow().get(&value) {
            return PartId(*id, PhantomData);
        }
        let value = Rc::new(value);
        let mut parts = self.parts.borrow_mut();
        let id = parts.len() as u32;
        parts.push(Rc::clone(&value));
        self.ids.borrow_mut().insert(value, id);
        PartId(id, PhantomData)
    }

    /// The value with the id.
    pub fn get(&self, id: PartId<T>) -> Rc<T> {
        Rc::clone(&self.parts.borrow()[id.0 as usize])
    }
}
