//! Orders to engines and to the platform: appended as an intent, sent, then settled.
//!
//! An order is appended as an intent and sent only after the intent has been read back. A receiver has at
//! most one outstanding order; a further order waits until it is settled. [`OrderBook`] folds the records;
//! [`OrderDispatcher`] decides for one process what to send, look up and append.
//!
//! Any current holder may repeat an order to an engine that refuses old fencing numbers. For the other
//! receivers the log names one sender at a time: a new holder becomes the sender only when its predecessor is
//! known to have stopped.

mod book;
mod dispatcher;

#[cfg(test)]
mod tests;

pub(crate) use book::next_sender;
pub use book::{OrderBook, OutstandingOrder};
pub use dispatcher::{
    AuthorityView, LookUpAnswer, OrderDispatcher, OrderEffect, OrderTiming, ReceiverAnswer, SendOrder,
    order_reference,
};
