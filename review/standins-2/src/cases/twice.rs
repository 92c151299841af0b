//! A replica is silent in the middle of a stream for a moment, and the answer of the one that goes on is lost.

use std::time::Duration;

use tokio::{sync::watch, task::JoinSet, time::sleep};

use crate::{
    Verdict,
    caller::StreamRequest,
    engine::{Engine, MODEL, Trouble},
    record::Record,
};

use super::start;

const STREAMS: usize = 10;
/// Of ten requests that the second replica runs, so many lose their answers: 0.4, as the bench's largest dose is.
const LOST_OF_TEN: usize = 4;
/// Time for which both replicas may work on a request.
const BOTH_MS: u64 = 400;

pub async fn run(record: &Record, has_trouble: bool) -> Verdict {
    let silence = Some(Duration::from_millis(1_600));
    let first =
        Engine::start(record, "i-first", &["a1"], Trouble { silence, ..Trouble::default() }).await;
    let trouble = Trouble {
        lost_answers_of_ten: if has_trouble { LOST_OF_TEN } else { 0 },
        ..Trouble::default()
    };
    let second = Engine::start(record, "i-second", &["a2"], trouble).await;
    let fleet = match start(record, &[&first, &second]).await {
        Ok(fleet) => fleet,
        Err(verdict) => return verdict,
    };
    let (leave, leaves) = watch::channel(false);
    let mut callers = JoinSet::new();
    for number in 0..STREAMS {
        let request = StreamRequest {
            front: fleet.front(number as u8 % fleet.entries + 1),
            id: format!("{:016x}", 0x9c42_0000 + number),
            path: "/scope/draft",
            model: format!("{MODEL}/a1"),
            shared_tokens: 350,
            own_tokens: 1_110,
            output_tokens: 600,
            deadline_ms: 25_000,
            is_kept: false,
        };
        callers.spawn(request.run(record.clone(), leaves.clone()));
        sleep(Duration::from_millis(150)).await;
    }
    sleep(Duration::from_secs(10)).await;
    leave.send_replace(true);
    callers.join_all().await;
    sleep(Duration::from_millis(300)).await;
    let (before, after) = (first.runs(), second.runs());
    let mut both = 0;
    for later in after.iter().filter(|run| run.last_event_id.is_some()) {
        let Some(began_ms) = later.began_ms else { continue };
        let earlier = before.iter().find(|run| run.id == later.id);
        let is_at_work =
            earlier.is_some_and(|run| run.ended_ms.is_none_or(|at| at > began_ms + BOTH_MS));
        if is_at_work {
            let ended_ms = earlier.and_then(|run| run.ended_ms);
            record.line(format!(
                "{} goes on at i-second from {began_ms} ms on; i-first worked on it until {ended_ms:?} ms",
                later.id
            ));
            both += 1;
        }
    }
    record
        .say(format!("{} streams went on elsewhere, {both} of them at both replicas", after.len()));
    if both > 0 {
        return Verdict::Broken(format!(
            "TWICE: {both} requests at two replicas over {BOTH_MS} ms later"
        ));
    }
    Verdict::Held
}
