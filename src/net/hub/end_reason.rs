//! Why a connection to a table hub ends, as the logs say it.

/// Why a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndReason {
    /// The hub closed it.
    ClosedByHub,
    /// Reading or writing failed.
    Broken,
    /// The hub sent what is no message.
    MalformedMessage,
    /// A message of the hub stayed incomplete.
    MessageIncomplete,
    /// An answer is missing although a set-up that began later was answered.
    AnswerOvertaken,
    /// It was silent, and another connection takes its place.
    Silent,
    /// It was surplus and idle.
    Idle,
}
