//! A replica is silent for a moment in the middle of its streams and goes on, while another one turns a part of its
//! requests away.

use std::time::Duration;

use tokio::{sync::watch, task::JoinSet, time::sleep};

use crate::{
    Verdict,
    caller::{Seen, StreamRequest},
    engine::{Engine, MODEL, Trouble},
    record::Record,
};

use super::start;

const STREAMS: usize = 120;
/// Time between two callers.
const SPACING: Duration = Duration::from_millis(400);
/// How long the first replica is silent in each stream: "a second or so". In three of four it is after the head of its
/// answer, in the others after the eleventh event.
const SILENCE: Duration = Duration::from_millis(1_600);
/// Of ten requests that the second replica gets, so many are rejected: 0.4, as the disturbance has it.
const REJECTED_OF_TEN: usize = 4;
/// Connections that may be closed without an answer.
const CLOSED: usize = 3;

pub async fn run(record: &Record, has_trouble: bool) -> Verdict {
    let silent = Trouble { silence: Some(SILENCE), ..Trouble::default() };
    let first = Engine::start(record, "i-first", &["a1"], silent).await;
    let rejected_of_ten = if has_trouble { REJECTED_OF_TEN } else { 0 };
    let rejecting = Trouble { rejected_of_ten, ..silent };
    let second = Engine::start(record, "i-second", &["a2"], rejecting).await;
    let fleet = match start(record, &[&first, &second]).await {
        Ok(fleet) => fleet,
        Err(verdict) => return verdict,
    };
    let (_stay, stays) = watch::channel(false);
    let mut callers = JoinSet::new();
    for number in 0..STREAMS {
        let request = StreamRequest {
            front: fleet.front(number as u8 % fleet.entries + 1),
            id: format!("{:016x}", 0x9c43_0000 + number),
            path: if number % 4 == 3 { "/scope/draft" } else { "/scope/early" },
            model: format!("{MODEL}/a1"),
            shared_tokens: 350,
            own_tokens: 1_110,
            output_tokens: 300,
            deadline_ms: 25_000,
            is_kept: true,
        };
        callers.spawn(request.run(record.clone(), stays.clone()));
        sleep(SPACING).await;
    }
    let seen: Vec<Seen> = callers.join_all().await;
    let mut without_event = 0;
    let mut within_stream = 0;
    for seen in seen.iter().filter(|seen| !seen.is_complete && seen.status == 200) {
        let run = first.runs().into_iter().find(|run| run.id == seen.id);
        // Only what the first replica, which is sound, has begun to run.
        if run.is_none_or(|run| run.began_ms.is_none()) {
            continue;
        }
        record.line(format!("{} was closed after {} events", seen.id, seen.events.len()));
        match seen.events.len() {
            0 => without_event += 1,
            _ => within_stream += 1,
        }
    }
    let complete = seen.iter().filter(|seen| seen.is_complete).count();
    record.say(format!(
        "{complete} streams were complete; {without_event} were closed before their first event, {within_stream} later"
    ));
    if complete < STREAMS / 2 {
        return Verdict::CannotRun("too few streams went on".into());
    }
    if without_event > CLOSED {
        return Verdict::Broken(format!(
            "LOST: {without_event} kept connections were closed without an event, their requests at a sound replica"
        ));
    }
    Verdict::Held
}
