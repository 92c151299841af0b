//! Requests with idempotency keys on one process.

use std::collections::BTreeMap;

use redwinglatch_control::{
    CommandOutcome, ControlCommand, OnceOutcome,
    history::{OnceEvent, OnceReply},
};
use redwinglatch_core::prelude::*;

use crate::{network::Event, simulation::Simulation};

#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    key: Box<str>,
    at_most_once: bool,
    step: Step,
    proposals: u32,
}

#[derive(Debug, Clone, PartialEq)]
enum Step {
    Claiming,
    Running {
        claim: u64,
    },
    Finishing {
        claim: u64,
        outcome: OnceOutcome,
    },
    /// The caller got the response "not run" before the claim had an outcome.
    Abandoned,
    Done,
}

pub(crate) type Attempts = BTreeMap<u64, Attempt>;

impl Simulation {
    pub(crate) fn start_call(&mut self) {
        let process = self.rng.usize(0..self.processes.len());
        if !self.processes[process].alive {
            return;
        }
        self.next_attempt += 1;
        let attempt = self.next_attempt;
        let number = self.rng.u32(0..6);
        // Keys 0 to 2 are always marked at-most-once, key 3 sometimes, the others never.
        let at_most_once = number < 3 || (number == 3 && self.rng.bool());
        let key: Box<str> = format!("key-{number}").into();
        self.once.push(OnceEvent::Called {
            attempt,
            key: key.clone(),
            at_most_once,
            at: self.now_ms,
        });
        let state = Attempt { key, at_most_once, step: Step::Claiming, proposals: 0 };
        self.processes[process].attempts.insert(attempt, state);
        self.propose_attempt(process, attempt);
    }

    /// Proposes the claim or finish of an attempt, and again later if no outcome arrives.
    pub(crate) fn propose_attempt(&mut self, process: usize, attempt: u64) {
        let now_wall_s = 1_000_000 + self.now_ms / 1_000;
        let at = &mut self.processes[process];
        let Some(state) = at.attempts.get_mut(&attempt) else { return };
        state.proposals += 1;
        let command = match &state.step {
            Step::Claiming if state.proposals > 3 => {
                // The claim may still be granted later; its request must then not run.
                state.step = Step::Abandoned;
                self.reply(attempt, OnceReply::NotRun);
                return;
            }
            Step::Claiming => ControlCommand::ClaimOnce {
                key: state.key.clone(),
                customer: "lakeshore".into(),
                request_digest: 7,
                instance: at.instance,
                incarnation: at.incarnation,
                request: RequestId(attempt),
                at_most_once: state.at_most_once,
                now_wall_s,
            },
            Step::Finishing { .. } if state.proposals > 8 => return,
            Step::Finishing { claim, outcome } => ControlCommand::FinishOnce {
                key: state.key.clone(),
                customer: "lakeshore".into(),
                claim: *claim,
                incarnation: at.incarnation,
                outcome: outcome.clone(),
            },
            Step::Running { .. } | Step::Abandoned | Step::Done => return,
        };
        self.send(process, Event::Propose(process, attempt, command));
        self.after(1_500, Event::RetryProposal(process, attempt));
    }

    pub(crate) fn apply_outcome(&mut self, process: usize, attempt: u64, outcome: &CommandOutcome) {
        let Some(state) = self.processes[process].attempts.get_mut(&attempt) else { return };
        match (state.step.clone(), outcome) {
            (Step::Claiming, CommandOutcome::Granted { claim }) => {
                state.step = Step::Running { claim: *claim };
                let delay_ms = self.rng.u64(1..3_000);
                self.after(delay_ms, Event::FinishRun(process, attempt));
                self.coverage.granted += 1;
            }
            (Step::Claiming, CommandOutcome::Answered { body, .. }) => {
                state.step = Step::Done;
                let answer = u64::from_le_bytes((**body).try_into().unwrap());
                self.reply(attempt, OnceReply::Answered(answer));
                self.coverage.stored_answers += 1;
            }
            (Step::Claiming, CommandOutcome::Unknown) => {
                state.step = Step::Done;
                self.reply(attempt, OnceReply::Unknown);
                self.coverage.unknown_answers += 1;
            }
            (Step::Claiming, _) => state.step = Step::Done,
            (Step::Abandoned, CommandOutcome::Granted { claim }) => {
                state.step = Step::Finishing { claim: *claim, outcome: OnceOutcome::NotRun };
                state.proposals = 0;
                self.propose_attempt(process, attempt);
            }
            (Step::Finishing { outcome: ended, .. }, result) => {
                let ended_now = matches!(
                    result,
                    CommandOutcome::Finished
                        | CommandOutcome::FinishedWithoutBody
                        | CommandOutcome::Superseded
                );
                if !ended_now {
                    return;
                }
                state.step = Step::Done;
                let reply = match ended {
                    OnceOutcome::Answered { body, .. } => {
                        OnceReply::Answered(u64::from_le_bytes((*body).try_into().unwrap()))
                    }
                    OnceOutcome::NotRun => OnceReply::NotRun,
                    OnceOutcome::Unknown => OnceReply::Unknown,
                };
                self.reply(attempt, reply);
            }
            _ => {}
        }
    }

    /// Ends the request at the backend server; some attempts are rejected there and did not run.
    pub(crate) fn finish_run(&mut self, process: usize, attempt: u64) {
        let now_ms = self.now_ms;
        let choice = self.rng.u32(0..10);
        let Some(state) = self.processes[process].attempts.get_mut(&attempt) else { return };
        let Step::Running { claim } = state.step else { return };
        let outcome = if choice < 3 {
            OnceOutcome::NotRun
        } else {
            self.once.push(OnceEvent::RunStarted { attempt, digest: attempt, at: now_ms });
            if choice < 5 {
                OnceOutcome::Unknown
            } else {
                OnceOutcome::Answered { status: 200, body: attempt.to_le_bytes().into() }
            }
        };
        state.step = Step::Finishing { claim, outcome };
        state.proposals = 0;
        self.propose_attempt(process, attempt);
    }

    fn reply(&mut self, attempt: u64, reply: OnceReply) {
        self.once.push(OnceEvent::Replied { attempt, reply, at: self.now_ms });
    }
}
