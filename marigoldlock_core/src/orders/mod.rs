//! Orders to engines and to the platform: intent, effect, settlement.
//!
//! An order is appended as an intent and sent only once the intent has been read back. A receiver has one
//! outstanding order at a time, and a rival waits until it is settled. [`OrderBook`] folds the records;
//! [`OrderDispatcher`] decides for one process what to send, look up and append.
//!
//! Engines that refuse old fencing numbers may get a repeat from any current holder. The other receivers are
//! served by one sender at a time, which the log names: a successor becomes the sender only when its
//! predecessor is known to have stopped.

mod book;
mod dispatcher;

#[cfg(test)]
mod tests;

pub(crate) use book::next_sender;
pub use book::{OrderBook, OutstandingOrder};
pub use dispatcher::{
    AuthorityView, EngineAnswer, LookUpAnswer, OrderDispatcher, OrderEffect, OrderTiming, SendOrder,
    reference_of,
};
