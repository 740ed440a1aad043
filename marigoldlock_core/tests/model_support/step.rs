//! Steps of the model.

use derive_more::Display;

/// One step; the number is the index of the process or of the message.
#[derive(Clone, Copy, Debug, Display)]
pub enum Step {
    /// Time advances for all processes.
    #[display("time advances")]
    Tick,
    /// A process's clock starts to run ahead of the others.
    #[display("clock of {_0} runs ahead")]
    Drift(usize),
    /// A process sends an append with the records that are due.
    #[display("{_0} appends")]
    Append(usize),
    /// A process sends an append after it has read the list and knows which processes have ended.
    #[display("{_0} appends after reading the list")]
    AppendWithList(usize),
    /// The log stores an append.
    #[display("append of {_0} is stored")]
    StoreAppend(usize),
    /// The log refuses an append.
    #[display("append of {_0} is refused")]
    RefuseAppend(usize),
    /// The log stores a delayed copy of a stored append.
    #[display("copy of an append of {_0} is stored")]
    StoreCopy(usize),
    /// A process folds its next record.
    #[display("{_0} folds")]
    Fold(usize),
    /// A process checks its authority for a send. It does nothing else until the write.
    #[display("{_0} checks")]
    Check(usize),
    /// A process writes the message for which it checked its authority.
    #[display("{_0} writes")]
    Write(usize),
    /// A process looks an order up.
    #[display("{_0} looks up")]
    LookUp(usize),
    /// A look-up's answer is lost.
    #[display("look-up of {_0} is lost")]
    LoseLookUp(usize),
    /// A message arrives and its answer comes back.
    #[display("message {_0} arrives")]
    Deliver(usize),
    /// A message arrives and its answer is lost.
    #[display("message {_0} arrives, its answer is lost")]
    DeliverUnanswered(usize),
    /// The sender's wait for the answer times out.
    #[display("sender of message {_0} times out")]
    TimeOut(usize),
    /// A process is killed.
    #[display("{_0} is killed")]
    Kill(usize),
    /// A killed process starts again.
    #[display("{_0} restarts")]
    Restart(usize),
    /// A process starts to shut down.
    #[display("{_0} leaves")]
    Leave(usize),
    /// A process finishes a request.
    #[display("{_0} serves a request")]
    Serve(usize),
    /// A process sends its usage counts to another.
    #[display("{_0} sends {_1} its counts")]
    ShareCounts(usize, usize),
}
