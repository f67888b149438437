//! What becomes of a request after a send that brought no answer to pass on.

/// How far a send got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sent {
    /// Nothing of it left this host.
    Not,
    /// The upstream said that it did not run it, and will not.
    Refused,
    /// It may have run.
    Perhaps,
}

/// What is done next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It may be sent to another upstream.
    SendAgain,
    /// It is given up, and certainly has not run.
    NotRun,
    /// It is given up, and may have run.
    MayHaveRun,
}

/// Decides from all sends of a request so far. Work that may have run is sent again
/// only where it is repeatable; "not run" is said only where no send may have run.
pub fn after(sends: &[Sent], repeatable: bool, may_send_again: bool) -> Fate {
    let may_have_run = sends.contains(&Sent::Perhaps);
    if may_send_again && (repeatable || !may_have_run) {
        return Fate::SendAgain;
    }
    match may_have_run {
        true => Fate::MayHaveRun,
        false => Fate::NotRun,
    }
}
