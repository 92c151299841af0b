//! A replica crashes in the middle of many streams, and some of their callers leave soon after it.

use std::time::Duration;

use tokio::{sync::watch, task::JoinSet, time::sleep};

use crate::{
    Verdict,
    caller::{Seen, StreamRequest},
    engine::{Engine, MODEL, Trouble},
    record::Record,
};

use super::start;

/// Streams in progress at the replica that crashes.
const STREAMS: usize = 60;
/// Of so many callers one leaves early: 0.3 of them, as the deployment's disturbance has it.
const LEAVING_OF_TEN: usize = 3;
/// Time between the crash and their leaving.
const LEAVE_AFTER: Duration = Duration::from_millis(100);
/// Time after which a replica mustn't get, or still work on, what a caller has left.
const LEFT_MS: u64 = 500;
/// Requests that may reach a replica later: "a few".
const A_FEW: usize = 5;

pub async fn run(record: &Record, has_trouble: bool) -> Verdict {
    let first = Engine::start(record, "i-first", &["a1"], Trouble::default()).await;
    let second = Engine::start(record, "i-second", &[], Trouble::default()).await;
    let fleet = match start(record, &[&first, &second]).await {
        Ok(fleet) => fleet,
        Err(verdict) => return verdict,
    };
    let (stay, _) = watch::channel(false);
    let (leave, _) = watch::channel(false);
    let mut callers = JoinSet::new();
    for number in 0..STREAMS {
        let request = StreamRequest {
            front: fleet.front(number as u8 % fleet.entries + 1),
            id: format!("{:016x}", 0x9c41_0000 + number),
            path: "/scope/draft",
            model: format!("{MODEL}/a1"),
            shared_tokens: 350,
            own_tokens: 1_110,
            output_tokens: 600,
            deadline_ms: 25_000,
            is_kept: false,
        };
        let is_leaving = number % 10 < LEAVING_OF_TEN;
        let leaves = if is_leaving { leave.subscribe() } else { stay.subscribe() };
        callers.spawn(request.run(record.clone(), leaves));
        sleep(Duration::from_millis(62)).await;
    }
    sleep(Duration::from_millis(300)).await;
    let begun = first.runs().iter().filter(|run| run.began_ms.is_some()).count();
    record.say(format!("{begun} streams are in progress at i-first"));
    if begun < STREAMS * 9 / 10 {
        return Verdict::CannotRun("the streams aren't in progress".into());
    }
    if has_trouble {
        first.crash();
    }
    sleep(LEAVE_AFTER).await;
    leave.send_replace(true);
    sleep(Duration::from_secs(9)).await;
    stay.send_replace(true);
    let seen: Vec<Seen> = callers.join_all().await;
    sleep(Duration::from_millis(500)).await;
    judge(record, &seen, &[first, second])
}

fn judge(record: &Record, seen: &[Seen], engines: &[Engine]) -> Verdict {
    let mut late = 0;
    let mut at_work = 0;
    let mut would_last = 0;
    let left = seen.iter().filter_map(|seen| Some((&seen.id, seen.left_ms?)));
    // Those that stayed to the end of the case are no leavers.
    let first_left = left.clone().map(|(_, at)| at).min().unwrap_or_default();
    let left: Vec<_> = left.filter(|(_, at)| *at < first_left + 1_000).collect();
    for (id, left_ms) in &left {
        let runs = || engines.iter().flat_map(|engine| engine.runs()).filter(|run| run.id == **id);
        if runs().any(|run| run.arrived_ms > left_ms + LEFT_MS) {
            late += 1;
        }
        let is_at_work = |run: &crate::engine::Run| {
            run.arrived_ms <= left_ms + LEFT_MS
                && run.ended_ms.is_none_or(|ended_ms| ended_ms > left_ms + LEFT_MS)
        };
        would_last += 1;
        at_work += usize::from(runs().any(|run| is_at_work(&run)));
    }
    let resumed = seen.iter().filter(|seen| seen.is_complete).count();
    record.say(format!(
        "{} callers left; {late} of their requests reached a replica over {LEFT_MS} ms later; replicas were at work \
         on {at_work} of {would_last} then; {resumed} streams of others were complete",
        left.len()
    ));
    if late > A_FEW {
        return Verdict::Broken(format!(
            "GONE: {late} requests reached a replica over {LEFT_MS} ms after their callers had closed"
        ));
    }
    if at_work * 4 > would_last {
        return Verdict::Broken(format!(
            "GONE: replicas were at work on {at_work} of {would_last}"
        ));
    }
    Verdict::Held
}
