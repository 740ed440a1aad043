//! Steps of the model.

use derive_more::Display;

/// One step; the number is the process or the message.
#[derive(Clone, Copy, Debug, Display)]
pub enum Step {
    /// Time goes on for all.
    #[display("time goes on")]
    Tick,
    /// A process's clock gains on the others.
    #[display("clock of {_0} gains")]
    Drift(usize),
    /// A process sends an append with what is due.
    #[display("{_0} appends")]
    Append(usize),
    /// The same, the process having seen that ended processes are gone from the list.
    #[display("{_0} appends, knowing who is gone")]
    AppendKnowing(usize),
    /// An append reaches the log.
    #[display("append of {_0} lands")]
    Land(usize),
    /// The log refuses an append.
    #[display("append of {_0} is refused")]
    Refuse(usize),
    /// A delayed copy of a landed append reaches the log.
    #[display("copy of an append of {_0} lands")]
    LandCopy(usize),
    /// A process folds its next record.
    #[display("{_0} folds")]
    Fold(usize),
    /// A process checks its authority for a send; until the write it does nothing else.
    #[display("{_0} checks")]
    Check(usize),
    /// A process writes what it has checked.
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
    /// The sender gives up waiting.
    #[display("sender of message {_0} times out")]
    TimeOut(usize),
    /// A process is killed.
    #[display("{_0} is killed")]
    Kill(usize),
    /// A killed process starts again.
    #[display("{_0} restarts")]
    Restart(usize),
    /// A process begins to shut down.
    #[display("{_0} leaves")]
    Leave(usize),
    /// A process finishes a request.
    #[display("{_0} serves a request")]
    Serve(usize),
    /// A process tells another its counts.
    #[display("{_0} tells {_1} its counts")]
    Share(usize, usize),
}
