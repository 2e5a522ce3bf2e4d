//! What a backend server does with each request, in order.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard},
};

/// What happens to one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Step {
    /// It is answered.
    Ok,
    /// It is answered after 30 ms.
    Slow,
    /// It is refused as not run.
    Refused,
    /// The connection breaks in the request's head.
    CutInHead,
    /// The connection breaks in the request's body.
    CutInBody,
    /// It runs, and the connection breaks before the answer.
    CutBeforeAnswer,
    /// It runs, and the connection breaks in the answer.
    CutInAnswer,
    /// It runs, and the answer stalls in the middle.
    StallInAnswer,
    /// It runs, and no answer comes.
    Silent,
    /// It runs, and something that is not HTTP comes back.
    Garbage,
    /// It is answered, and the server says that it is leaving.
    Close,
    /// It is answered before its body was read.
    Early,
}

/// One backend server's script; shared with the test.
#[derive(Clone, Default)]
pub(crate) struct Script(Arc<Mutex<State>>);

#[derive(Default)]
pub(crate) struct State {
    pub(crate) steps: VecDeque<Step>,
    /// No connection can be opened.
    pub(crate) down: bool,
    /// Requests that were begun on a connection.
    pub(crate) tried: usize,
    /// Requests that ran.
    pub(crate) ran: usize,
    /// Connections that were opened.
    pub(crate) opened: usize,
    /// Connections that the other end closed while a request was silent.
    pub(crate) cancelled: usize,
    /// Length of the answer to a request that is answered, in bytes.
    pub(crate) answer_bytes: usize,
    /// What happens once, while the fake makes its answer.
    pub(crate) in_answer: Option<Box<dyn FnOnce() + Send>>,
    /// What happens while a connection is opened by the fake.
    pub(crate) in_dial: Option<Box<dyn Fn() + Send>>,
}

impl Script {
    /// These steps, and then [`Step::Ok`] for ever.
    pub(crate) fn new(steps: &[Step]) -> Script {
        let script = Script::default();
        script.state().steps.extend(steps);
        script.state().answer_bytes = 5;
        script
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap()
    }

    /// Takes the step of a request that begins.
    pub(crate) fn begin(&self) -> Step {
        let mut state = self.state();
        state.tried += 1;
        state.steps.pop_front().unwrap_or(Step::Ok)
    }

    pub(crate) fn ran(&self) {
        self.state().ran += 1;
    }

    pub(crate) fn answer(&self) -> Vec<u8> {
        vec![b'x'; self.state().answer_bytes]
    }
}
