//! The scripted behaviour of a backend server, request by request.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard},
};

/// The behaviour for one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Step {
    /// Responds.
    Ok,
    /// Responds after 30 ms.
    Slow,
    /// Refuses the request without running it.
    Refused,
    /// Closes the connection in the middle of the request head.
    CutInHead,
    /// Closes the connection in the middle of the request body.
    CutInBody,
    /// Runs the request and closes the connection before the response.
    CutBeforeAnswer,
    /// Runs the request and closes the connection in the middle of the response.
    CutInAnswer,
    /// Runs the request and stalls in the middle of the response.
    StallInAnswer,
    /// Runs the request and never responds.
    Silent,
    /// Runs the request and responds with bytes that are not HTTP.
    Garbage,
    /// Responds with `Connection: close`.
    Close,
    /// Responds before it has read the request body.
    Early,
}

/// The script of a backend server; shared with the test.
#[derive(Clone, Default)]
pub(crate) struct Script(Arc<Mutex<State>>);

#[derive(Default)]
pub(crate) struct State {
    pub(crate) steps: VecDeque<Step>,
    /// Refuses connections.
    pub(crate) down: bool,
    /// Number of requests received.
    pub(crate) tried: usize,
    /// Number of requests that ran.
    pub(crate) ran: usize,
    /// Number of connections opened.
    pub(crate) opened: usize,
    /// Number of requests whose connection the client closed before the response
    /// ended.
    pub(crate) cancelled: usize,
    /// Length of response bodies, in bytes.
    pub(crate) answer_bytes: usize,
    /// Called once, before the fake adapter's next response.
    pub(crate) in_answer: Option<Box<dyn FnOnce() + Send>>,
    /// Called whenever the fake adapter opens a connection.
    pub(crate) in_dial: Option<Box<dyn Fn() + Send>>,
}

impl Script {
    /// Creates a script of these steps, followed by [`Step::Ok`] indefinitely.
    pub(crate) fn new(steps: &[Step]) -> Script {
        let script = Script::default();
        script.state().steps.extend(steps);
        script.state().answer_bytes = 5;
        script
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap()
    }

    /// Returns the step for the next request.
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
