//! Message handlers of the task of a log replica.

use redwinglatch_control::{ContractHistoryEntry, RenewalReply};
use redwinglatch_core::prelude::*;
use redwinglatch_instances::{ContractQuery, ControlRefusal};
use tokio::sync::oneshot;
use xtra::prelude::*;

use super::messages::*;
use super::{ControlActor, Proposal, ProposalResult};

impl Actor for ControlActor {
    type Stop = ();

    async fn stopped(self) {}
}

impl Handler<Tick> for ControlActor {
    type Return = ();

    async fn handle(&mut self, _: Tick, ctx: &mut Context<Self>) {
        let now_ms = self.now_ms();
        self.parts.replica.tick(now_ms);
        if let Some(leader) = &mut self.leader {
            leader.advance(now_ms);
        }
        self.propose_leader_commands(now_ms);
        self.process_effects(ctx);
    }
}

impl Handler<StepReplica> for ControlActor {
    type Return = ();

    async fn handle(&mut self, step: StepReplica, ctx: &mut Context<Self>) {
        // Messages for the id of a replaced replica may still arrive.
        if step.to == self.parts.replica.id() {
            let now_ms = self.now_ms();
            self.parts.replica.step(step.from, step.message, now_ms);
            self.process_effects(ctx);
        }
    }
}

impl Handler<LogWritten> for ControlActor {
    type Return = ();

    async fn handle(&mut self, written: LogWritten, ctx: &mut Context<Self>) {
        match written.result {
            Ok(()) => {
                self.storage = Some(written.storage);
                self.parts.replica.persisted(written.write);
                self.process_effects(ctx);
            }
            Err(error) => {
                log::error!("control: this log replica halts: {error}");
                self.parts.replica.halt();
                self.update_leadership();
            }
        }
    }
}

impl Handler<Propose> for ControlActor {
    type Return = oneshot::Receiver<ProposalResult>;

    async fn handle(&mut self, Propose(command): Propose, ctx: &mut Context<Self>) -> Self::Return {
        let (reply, outcome) = oneshot::channel();
        match self.propose(&command) {
            Ok((index, term)) => drop(self.proposals.insert(index, Proposal { term, reply })),
            Err(refusal) => drop(reply.send(Err(refusal))),
        }
        self.process_effects(ctx);
        outcome
    }
}

impl Handler<Renew> for ControlActor {
    type Return = Result<Option<RenewalReply>, ControlRefusal>;

    async fn handle(&mut self, Renew(renewal): Renew, _: &mut Context<Self>) -> Self::Return {
        let now_ms = self.now_ms();
        self.current_leader(now_ms)?;
        let Some(leader) = &mut self.leader else {
            return Err(ControlRefusal::NotLeader(None));
        };
        let reply = leader.renew(now_ms, &self.state, &renewal);
        self.report_changes_in_force();
        Ok(reply)
    }
}

impl Handler<ReadContracts> for ControlActor {
    type Return = Result<Vec<ContractHistoryEntry>, ControlRefusal>;

    async fn handle(
        &mut self,
        ReadContracts(query): ReadContracts,
        _: &mut Context<Self>,
    ) -> Self::Return {
        let now_ms = self.now_ms();
        self.current_leader(now_ms)?;
        let current_entry = |(revision, contract): (Revision, &Contract)| ContractHistoryEntry {
            revision,
            at_wall_s: 0,
            change_id: "".into(),
            contract: Some(contract.clone()),
        };
        Ok(match query {
            ContractQuery::All => self.state.contracts().map(current_entry).collect(),
            ContractQuery::Current(customer) => {
                self.state.contract(&customer).map(current_entry).into_iter().collect()
            }
            ContractQuery::History(customer) => {
                self.state.contract_history(&customer).cloned().collect()
            }
        })
    }
}

impl Handler<FindIdempotencyKey> for ControlActor {
    type Return = Result<bool, ControlRefusal>;

    async fn handle(&mut self, find: FindIdempotencyKey, _: &mut Context<Self>) -> Self::Return {
        let now_ms = self.now_ms();
        self.current_leader(now_ms)?;
        Ok(self.state.has_once_record(&find.customer, &find.key))
    }
}

impl Handler<TransferLeadership> for ControlActor {
    type Return = ();

    async fn handle(&mut self, _: TransferLeadership, ctx: &mut Context<Self>) {
        if self.parts.replica.is_leader() {
            let now_ms = self.now_ms();
            if let Err(error) = self.parts.replica.transfer_leadership(None, now_ms) {
                log::warn!(
                    "control: leadership was not transferred and ends with this instance: {error}"
                );
            }
            self.process_effects(ctx);
        }
    }
}

impl Handler<ReadControlStatus> for ControlActor {
    type Return = ControlStatus;

    async fn handle(&mut self, _: ReadControlStatus, _: &mut Context<Self>) -> ControlStatus {
        let replica = &self.parts.replica;
        ControlStatus {
            replica: replica.id(),
            role: replica.role(),
            leader: self.leader_instance(),
            term: replica.term(),
            commit_index: replica.commit_index(),
            last_index: replica.last_index(),
            voters: replica.membership().voters().to_vec(),
            learners: replica.membership().learners().to_vec(),
        }
    }
}
