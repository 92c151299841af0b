//! Charges requests to the caps of customers.

use std::{sync::Arc, time::Duration};

use redwinglatch_admission::{Charge, CreditAsk, CreditDemand};
use tokio::{
    sync::oneshot,
    time::{Instant, sleep, timeout},
};

use crate::{customer_caps::cap_of, message::CreditReply};

use super::{EntryContext, forward::PreparedRequest, refusal::RefusalReason, relay::RequestOrigin};

/// Time after which a core process is treated as not replying.
const REPLY_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which other core processes are asked after that.
const SUSPECT_MS: u64 = 500;
/// Time for which others are asked after a core process has said that it grants nothing.
const NOT_GRANTING_MS: u64 = 100;
/// Core processes that are asked in one round.
const MAX_ASKED: usize = 2;
/// Time for which a request waits for a new leader that grants; an election takes about as long. A refused caller
/// would be back later.
const GRANT_WAIT: Duration = Duration::from_millis(1_300);
/// Shortest and longest time between two rounds.
const ROUND_MS: (u64, u64) = (20, 100);
/// Rounds without any reply after which a request isn't kept waiting.
const MAX_SILENT_ROUNDS: u32 = 2;

/// Keeps a charge until it is known whether the request has run.
pub(super) struct ChargedRequest {
    context: Arc<EntryContext>,
    customer: Box<str>,
    charge: Option<Charge>,
}

impl ChargedRequest {
    /// Returns the units of a request that has not run, and counts it.
    pub(super) fn refused(self) {
        let now_ms = self.context.now_ms();
        self.context.metrics.record_customer_request(&self.customer, "refused_for_load");
        if let Some(charge) = self.charge {
            self.context.customer_credits().refund(now_ms, charge);
        }
    }
}

/// The outcome of one round of requests for credits.
enum Round {
    Charged(Charge),
    OverCap {
        retry_after_ms: u64,
    },
    /// A core process has just begun to grant.
    Starting {
        retry_after_ms: u64,
    },
    /// No core process grants; `has_reply` if one has said so.
    NotGranted {
        has_reply: bool,
    },
}

/// Charges a caller's request to its customer's cap. Returns `None` if the request has no customer, or was charged by
/// the process that has passed it on.
///
/// # Errors
///
/// Fails if the request is beyond the cap, or no core process grants anything.
pub(super) async fn charge(
    context: &Arc<EntryContext>,
    prepared: &PreparedRequest,
    received_at: Instant,
) -> Result<Option<ChargedRequest>, RefusalReason> {
    let Some(customer) = prepared.customer() else { return Ok(None) };
    if prepared.origin() != RequestOrigin::Caller {
        return Ok(None);
    }
    let charged = |charge| {
        context.metrics.record_customer_request(&customer.name, "admitted");
        let (context, customer) = (Arc::clone(context), customer.name.clone());
        Ok(Some(ChargedRequest { context, customer, charge }))
    };
    let (Some(bounds), Some(limit)) = (context.settings.caps, &customer.limit) else {
        return charged(None);
    };
    let units = prepared.usage(limit.unit);
    let asked = context.customer_credits().ask(context.now_ms(), &customer.name, units);
    let mut demand = match asked {
        CreditAsk::Charged(charge) => return charged(Some(charge)),
        CreditAsk::Demand(demand) => demand,
    };
    let cap = cap_of(limit, bounds);
    let refused = |demand: &CreditDemand, reason: RefusalReason| {
        context.customer_credits().release(&customer.name, demand);
        context.metrics.record_customer_request(&customer.name, reason.code());
        Err(reason)
    };
    let deadline = prepared.deadline.min(received_at + GRANT_WAIT);
    let mut silent_rounds = 0;
    loop {
        let (wait_ms, reason) = match ask_cores(context, &customer.name, &demand).await {
            Round::Charged(charge) => return charged(Some(charge)),
            Round::OverCap { retry_after_ms } => {
                return refused(&demand, RefusalReason::OverCap { units, retry_after_ms });
            }
            Round::Starting { retry_after_ms } => {
                (retry_after_ms, RefusalReason::OverCap { units, retry_after_ms })
            }
            Round::NotGranted { has_reply } => {
                let now_ms = context.now_ms();
                let processes = context.fleet_view().most_ready_entries();
                let mut credits = context.customer_credits();
                credits.not_granted(now_ms, has_reply);
                let own = credits.take_own(now_ms, &customer.name, &cap, processes, &demand);
                drop(credits);
                if own.is_some() {
                    return charged(own);
                }
                silent_rounds += u32::from(!has_reply);
                (ROUND_MS.1, RefusalReason::NoGrant { units })
            }
        };
        let wait = Duration::from_millis(wait_ms.clamp(ROUND_MS.0, ROUND_MS.1));
        if silent_rounds >= MAX_SILENT_ROUNDS
            || Instant::now() + wait > deadline
            || context.fleet_view().connected_cores() == 0
        {
            if matches!(reason, RefusalReason::OverCap { .. }) {
                let now_ms = context.now_ms();
                context.customer_credits().record_over_cap(now_ms, &customer.name);
            }
            return refused(&demand, reason);
        }
        sleep(wait).await;
        let now_ms = context.now_ms();
        let asked = context.customer_credits().ask_again(now_ms, &customer.name, units, &demand);
        demand = match asked {
            CreditAsk::Charged(charge) => return charged(Some(charge)),
            CreditAsk::Demand(demand) => demand,
        };
    }
}

/// Asks core processes in turn for the missing units.
async fn ask_cores(context: &Arc<EntryContext>, customer: &str, demand: &CreditDemand) -> Round {
    let mut has_reply = false;
    let mut tried = None;
    for _ in 0..MAX_ASKED {
        let sent_ms = context.now_ms();
        let (sender, reply) = oneshot::channel();
        let (core, id) = {
            let mut view = context.fleet_view();
            let Some(core) = view.choose_credit_core(sent_ms, tried) else { break };
            let units = (demand.needed, demand.ahead);
            (core, view.start_credit_request(core, customer, units, sender))
        };
        tried = Some(core);
        let Some(id) = id else { continue };
        let reply = timeout(REPLY_TIMEOUT, reply).await;
        let now_ms = context.now_ms();
        match reply {
            Ok(Ok(CreditReply::Granted(units))) => {
                let mut credits = context.customer_credits();
                let demand = demand.clone();
                let charge = credits.granted(now_ms, sent_ms, customer, demand, units);
                return Round::Charged(charge);
            }
            Ok(Ok(CreditReply::OverCap { retry_after_ms })) => {
                let mut credits = context.customer_credits();
                credits.reached(now_ms);
                credits.record_over_cap(now_ms, customer);
                return Round::OverCap { retry_after_ms };
            }
            Ok(Ok(CreditReply::Starting { retry_after_ms })) => {
                let credits = context.customer_credits();
                return if credits.was_over_cap(now_ms, customer) {
                    Round::OverCap { retry_after_ms }
                } else {
                    Round::Starting { retry_after_ms }
                };
            }
            Ok(Ok(CreditReply::NotGranting)) => {
                has_reply = true;
                context.fleet_view().suspect_for_credits(core, now_ms + NOT_GRANTING_MS);
            }
            // The link was lost, or the process doesn't reply.
            Ok(Err(_)) | Err(_) => {
                let mut view = context.fleet_view();
                view.end_credit_request(id);
                view.suspect_for_credits(core, now_ms + SUSPECT_MS);
            }
        }
    }
    Round::NotGranted { has_reply }
}
